package jetty

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	hostsignal "hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// balancerWait is how long after SIGTERM new connections are served. The
	// balancer asks once a second and moves on after two misses.
	balancerWait = 3 * time.Second
	// exitMargin is kept free before SIGKILL.
	exitMargin = 600 * time.Millisecond
	// drainPollInterval is the time between two looks at whether all callers are served.
	drainPollInterval = 20 * time.Millisecond
	// sweepInterval is the time between two looks at the queues.
	sweepInterval = 25 * time.Millisecond
	// idleSweepInterval is the time between two looks at unused connections.
	idleSweepInterval = time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds what is read of a request's headers, before the limit of
	// the configuration is applied.
	maxHeaderBytes = 1 << 18
	// memoryLimitFraction is the part of the memory at which the garbage collector works
	// harder.
	memoryLimitFraction = 0.7
)

// Config configures a [Host].
type Config struct {
	Settings *Settings
	Store    ledger.TxnStore
	Protocol Protocol
	// LogTo takes the log; nil means standard output.
	LogTo io.Writer
	// Reload reads the settings again; nil means that they do not change.
	Reload func() (*Settings, error)
}

// Host is an entry host.
type Host struct {
	cfg          Config
	logs         *logs
	metrics      *metrics
	clusterState *clusterState
	admissions   *admissionSet
	upstream     *upstream
	// orderUpstream has the placer's connections. A new connection waits at a busy
	// server, so orders keep their own.
	orderUpstream *upstream
	watcher       *watcher
	election      *election
	reporter      *reporter
	loadCollector *loadCollector
	ingress       *ingress
	callers       *callerConns

	httpServers     []*http.Server
	ingressListener net.Listener
	peerServer      *grpc.Server
	shuttingDown    atomic.Bool
	cancel          context.CancelFunc
	loops           sync.WaitGroup
	stopOnce        sync.Once
}

// New builds a host. Nothing runs before [Host.Start].
func New(cfg Config) (*Host, error) {
	s := cfg.Settings
	h := &Host{
		cfg:           cfg,
		logs:          newLogs(cfg.LogTo, s),
		metrics:       newMetrics(),
		clusterState:  newClusterState(fairway.NewActiveConfig()),
		upstream:      newUpstream(requestConnections),
		orderUpstream: newUpstream(orderConnections),
		loadCollector: newLoadCollector(),
	}
	h.admissions = newAdmissionSet(admissionSetConfig{
		Host:              s.Host,
		Domain:            s.Domain,
		ReassignmentDelay: min(grantHold, s.Bounds.MaxHold) + holdMargin,
		Budget:            sluice.RetryBudgetConfig{Window: s.Bounds.BudgetWindow, Ratio: s.Bounds.BudgetRatio, Extra: s.Bounds.BudgetExtra},
	})
	h.watcher = &watcher{
		store: cfg.Store, protocol: cfg.Protocol, clusterState: h.clusterState, admissions: h.admissions, logs: h.logs,
		changeLog: newChangeLog(), address: s.PeerAddress, onChange: h.refresh,
	}
	h.election = &election{
		store:         cfg.Store,
		sender:        &orderSender{protocol: cfg.Protocol, upstream: h.orderUpstream, logs: h.logs, metrics: h.metrics},
		clusterState:  h.clusterState,
		admissions:    h.admissions,
		loadCollector: h.loadCollector,
		logs:          h.logs,
		metrics:       h.metrics,
		address:       s.PeerAddress,
		ttl:           max(placerLeaseTTL, s.MinLease),
		maxHold:       s.Bounds.MaxHold,
		scanned:       h.watcher.scanned.Load,
		wake:          make(chan struct{}, 1),
	}
	h.loadCollector.isPlacer = h.election.active
	h.reporter = &reporter{
		host: s.Host, domain: s.Domain, address: s.PeerAddress, linkMbps: s.LinkMbps,
		clusterState: h.clusterState, admissions: h.admissions, loadCollector: h.loadCollector, changeLog: h.watcher.changeLog, logs: h.logs,
		onHostsChange: h.refresh, shuttingDown: h.shuttingDown.Load,
	}
	h.callers = newCallerConns()
	h.ingress = &ingress{
		headers:      cfg.Protocol.Headers(),
		activeConfig: h.clusterState.activeConfig,
		random:       rand.Float64,
		logs:         h.logs,
		metrics:      h.metrics,
		forwarder: &forwarder{
			headers: cfg.Protocol.Headers(), admissions: h.admissions, upstream: h.upstream, clusterState: h.clusterState,
			logs: h.logs, metrics: h.metrics,
		},
	}
	return h, nil
}

// RecordStoreCall counts a call to the store; see the store's client.
func (h *Host) RecordStoreCall(op string, err error, took time.Duration) {
	h.metrics.storeCall(op, err, took)
}

// refresh hands changed views to all that depend on them.
func (h *Host) refresh() {
	catalog, hosts := h.clusterState.catalog(), h.clusterState.hostCount()
	h.upstream.update(catalog, h.clusterState.activeConfig.Current(), hosts)
	h.orderUpstream.update(catalog, nil, hosts)
	h.admissions.refresh(catalog, hosts)
	h.election.notify()
}

// Start listens and runs the loops. If it fails, nothing is left listening.
func (h *Host) Start(context.Context) error {
	if err := h.listen(); err != nil {
		h.closeServers()
		h.loops.Wait()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.launch(ctx, h.watcher.run)
	h.launch(ctx, h.election.run)
	h.launch(ctx, h.reporter.run)
	h.launch(ctx, h.sweepLoop)
	h.launch(ctx, h.reloadLoop)
	h.logs.started(h.cfg.Settings)
	return nil
}

// listen opens the host's addresses.
func (h *Host) listen() error {
	s := h.cfg.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	}
	front := &http.Server{
		Handler:           h.ingress,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         h.callers.onStateChange,
		ErrorLog:          h.logs.stdLogger(),
	}
	if err := h.serve(front, s.CallerAddress); err != nil {
		return err
	}
	if err := h.serve(&http.Server{Handler: h.readyHandler(), ErrorLog: h.logs.stdLogger()}, s.ReadyAddress); err != nil {
		return err
	}
	if err := h.serve(&http.Server{Handler: h.adminHandler(), ErrorLog: h.logs.stdLogger()}, s.AdminAddress); err != nil {
		return err
	}
	return h.servePeers(s.PeerAddress)
}

// closeServers closes what is listening, and every connection.
func (h *Host) closeServers() {
	for _, server := range h.httpServers {
		_ = server.Close()
	}
	if h.peerServer != nil {
		h.peerServer.Stop()
	}
}

func (h *Host) launch(ctx context.Context, run func(context.Context)) {
	h.loops.Go(func() { run(ctx) })
}

// serve listens on address; see [serverLoop].
func (h *Host) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if server.Handler == h.ingress {
		listener = &callerListener{Listener: listener, callers: h.callers}
		h.ingressListener = listener
	}
	h.httpServers = append(h.httpServers, server)
	l := &serverLoop{serve: server.Serve, listener: listener, logs: h.logs}
	h.loops.Go(l.run)
	return nil
}

func (h *Host) servePeers(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	h.peerServer = grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
		MinTime: peerKeepAlive, PermitWithoutStream: true,
	}))
	hostsignal.RegisterLoadsServer(h.peerServer, h.loadCollector)
	hostsignal.RegisterFeedServer(h.peerServer, h.watcher.changeLog)
	hostsignal.RegisterTermsServer(h.peerServer, &termsServer{election: h.election})
	l := &serverLoop{serve: h.peerServer.Serve, listener: listener, logs: h.logs}
	h.loops.Go(l.run)
	return nil
}

// serverLoop serves one listener.
type serverLoop struct {
	serve    func(net.Listener) error
	listener net.Listener
	logs     *logs
}

func (l *serverLoop) run() {
	err := l.serve(l.listener)
	switch {
	case err == nil, errors.Is(err, http.ErrServerClosed), errors.Is(err, net.ErrClosed), errors.Is(err, grpc.ErrServerStopped):
	default:
		l.logs.operationFailed("serve "+l.listener.Addr().String(), err)
	}
}

// sweepLoop looks at the queues and at unused connections.
func (h *Host) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, d := range h.admissions.all() {
			d.reevaluate()
		}
		if time.Since(last) >= idleSweepInterval {
			last = time.Now()
			h.upstream.closeIdle()
			h.orderUpstream.closeIdle()
			h.closeIdleCallers()
			h.updateGauges()
		}
	}
}

// closeIdleCallers closes the connections of callers that have been unused for
// longer than the configuration in force allows. The limit may change while a
// connection is unused, which http.Server.IdleTimeout does not follow.
func (h *Host) closeIdleCallers() {
	if c := h.clusterState.activeConfig.Current(); c != nil && c.Limits.IdleTimeout > 0 {
		h.callers.closeIdle(c.Limits.IdleTimeout, headerTimeout)
	}
}

// reloadLoop reads the settings again at each SIGHUP.
func (h *Host) reloadLoop(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			h.reload()
		}
	}
}

// reload applies what can change in a running process.
func (h *Host) reload() {
	if h.cfg.Reload == nil {
		return
	}
	s, err := h.cfg.Reload()
	if err == nil && s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	}
	h.logs.settingsReloaded(err)
}

// ready reports whether the balancer should send callers here.
func (h *Host) ready() bool {
	return !h.shuttingDown.Load() && h.watcher.scanned.Load() && h.clusterState.activeConfig.Current() != nil && h.clusterState.catalog().Len() > 0
}

// Stop lets the balancer move on, finishes the requests in flight, and ends.
// Only the first call does anything.
func (h *Host) Stop(ctx context.Context) error {
	h.stopOnce.Do(func() { h.stop(ctx) })
	return nil
}

func (h *Host) stop(ctx context.Context) {
	h.logs.stopping()
	h.shuttingDown.Store(true)
	h.ingress.closeConns.Store(true)
	h.election.resign(ctx)
	deadline := time.Now().Add(h.cfg.Settings.Bounds.Shutdown - exitMargin)
	pause(ctx, min(balancerWait, time.Until(deadline)/2))
	if err := h.ingressListener.Close(); err != nil {
		h.logs.operationFailed("close listener", err)
	}
	for h.callers.closeIdle(0, firstRequestGrace) > 0 && time.Now().Before(deadline) {
		pause(ctx, drainPollInterval)
	}
	h.cancel()
	h.closeServers()
	h.loops.Wait()
	h.logs.stopped()
	h.logs.close()
}
