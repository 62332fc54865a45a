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
	// drainPoll is the time between two looks at whether all callers are served.
	drainPoll = 20 * time.Millisecond
	// sweepEvery is the time between two looks at the queues.
	sweepEvery = 25 * time.Millisecond
	// idleSweepEvery is the time between two looks at unused connections.
	idleSweepEvery = time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// maxHeader bounds what is read of a request's headers, before the limit of
	// the configuration is applied.
	maxHeader = 1 << 18
	// memoryPart is the part of the memory at which the garbage collector works
	// harder.
	memoryPart = 0.7
)

// Config configures a [Host].
type Config struct {
	Settings *Settings
	Store    ledger.TxnStore
	Dialect  Dialect
	// LogTo takes the log; nil means standard output.
	LogTo io.Writer
	// Reload reads the settings again; nil means that they do not change.
	Reload func() (*Settings, error)
}

// Host is an entry host.
type Host struct {
	cfg      Config
	logs     *logs
	metrics  *metrics
	views    *views
	desks    *deskSet
	upstream *upstream
	// orders has the placer's connections. A new connection waits at a busy
	// server, so orders keep their own.
	orders   *upstream
	watcher  *watcher
	placer   *placer
	reporter *reporter
	loads    *loads
	front    *front
	callers  *callerConns

	servers       []*http.Server
	frontListener net.Listener
	peers         *grpc.Server
	leaving       atomic.Bool
	cancel        context.CancelFunc
	loops         sync.WaitGroup
	stopOnce      sync.Once
}

// New builds a host. Nothing runs before [Host.Start].
func New(cfg Config) (*Host, error) {
	s := cfg.Settings
	h := &Host{
		cfg:      cfg,
		logs:     newLogs(cfg.LogTo, s),
		metrics:  newMetrics(),
		views:    newViews(fairway.NewBook()),
		upstream: newUpstream(callerConnections),
		orders:   newUpstream(orderConnections),
		loads:    newLoads(),
	}
	h.desks = newDeskSet(deskSetConfig{
		Host:      s.Host,
		Domain:    s.Domain,
		KeyReturn: min(grantHold, s.Bounds.MaxHold) + holdMargin,
		Budget:    sluice.BudgetConfig{Window: s.Bounds.BudgetWindow, Ratio: s.Bounds.BudgetRatio, Extra: s.Bounds.BudgetExtra},
	})
	h.watcher = &watcher{
		store: cfg.Store, dialect: cfg.Dialect, views: h.views, desks: h.desks, logs: h.logs,
		mirror: newMirror(), address: s.PeerAddress, changed: h.refresh,
	}
	h.placer = &placer{
		store:   cfg.Store,
		sender:  &orderSender{dialect: cfg.Dialect, upstream: h.orders, logs: h.logs, metrics: h.metrics},
		views:   h.views,
		desks:   h.desks,
		loads:   h.loads,
		logs:    h.logs,
		metrics: h.metrics,
		address: s.PeerAddress,
		ttl:     max(placerLease, s.MinLease),
		maxHold: s.Bounds.MaxHold,
		scanned: h.watcher.scanned.Load,
		wake:    make(chan struct{}, 1),
	}
	h.loads.isPlacer = h.placer.active
	h.reporter = &reporter{
		host: s.Host, domain: s.Domain, address: s.PeerAddress, linkMbps: s.LinkMbps,
		views: h.views, desks: h.desks, loads: h.loads, mirror: h.watcher.mirror, logs: h.logs,
		hostsChanged: h.refresh, leaving: h.leaving.Load,
	}
	h.callers = newCallerConns()
	h.front = &front{
		headers: cfg.Dialect.Headers(),
		book:    h.views.book,
		random:  rand.Float64,
		logs:    h.logs,
		metrics: h.metrics,
		forwarder: &forwarder{
			headers: cfg.Dialect.Headers(), desks: h.desks, upstream: h.upstream, views: h.views,
			logs: h.logs, metrics: h.metrics,
		},
	}
	return h, nil
}

// StoreCall counts a call to the store; see the store's client.
func (h *Host) StoreCall(op string, err error, took time.Duration) {
	h.metrics.storeCall(op, err, took)
}

// refresh hands changed views to all that depend on them.
func (h *Host) refresh() {
	catalog, hosts := h.views.catalog(), h.views.hostCount()
	h.upstream.update(catalog, h.views.book.Current(), hosts)
	h.orders.update(catalog, nil, hosts)
	h.desks.refresh(catalog, hosts)
	h.placer.notify()
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
	h.launch(ctx, h.placer.run)
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
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	}
	front := &http.Server{
		Handler:           h.front,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         h.callers.changed,
		ErrorLog:          h.logs.standard(),
	}
	if err := h.serve(front, s.CallerAddress); err != nil {
		return err
	}
	if err := h.serve(&http.Server{Handler: h.readyHandler(), ErrorLog: h.logs.standard()}, s.ReadyAddress); err != nil {
		return err
	}
	if err := h.serve(&http.Server{Handler: h.adminHandler(), ErrorLog: h.logs.standard()}, s.AdminAddress); err != nil {
		return err
	}
	return h.servePeers(s.PeerAddress)
}

// closeServers closes what is listening, and every connection.
func (h *Host) closeServers() {
	for _, server := range h.servers {
		_ = server.Close()
	}
	if h.peers != nil {
		h.peers.Stop()
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
	if server.Handler == h.front {
		listener = &callerListener{Listener: listener, callers: h.callers}
		h.frontListener = listener
	}
	h.servers = append(h.servers, server)
	l := &serverLoop{serve: server.Serve, listener: listener, logs: h.logs}
	h.loops.Go(l.run)
	return nil
}

func (h *Host) servePeers(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	h.peers = grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
		MinTime: peerKeepAlive, PermitWithoutStream: true,
	}))
	hostsignal.RegisterLoadsServer(h.peers, h.loads)
	hostsignal.RegisterFeedServer(h.peers, h.watcher.mirror)
	hostsignal.RegisterTermsServer(h.peers, &terms{placer: h.placer})
	l := &serverLoop{serve: h.peers.Serve, listener: listener, logs: h.logs}
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
		l.logs.failure("serve "+l.listener.Addr().String(), err)
	}
}

// sweepLoop looks at the queues and at unused connections.
func (h *Host) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, d := range h.desks.all() {
			d.sweep()
		}
		if time.Since(last) >= idleSweepEvery {
			last = time.Now()
			h.upstream.sweep()
			h.orders.sweep()
			h.closeIdleCallers()
			h.measure()
		}
	}
}

// closeIdleCallers closes the connections of callers that have been unused for
// longer than the configuration in force allows. The limit may change while a
// connection is unused, which http.Server.IdleTimeout does not follow.
func (h *Host) closeIdleCallers() {
	if c := h.views.book.Current(); c != nil && c.Limits.IdleTimeout > 0 {
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
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	}
	h.logs.reloaded(err)
}

// ready reports whether the balancer should send callers here.
func (h *Host) ready() bool {
	return !h.leaving.Load() && h.watcher.scanned.Load() && h.views.book.Current() != nil && h.views.catalog().Len() > 0
}

// Stop lets the balancer move on, finishes the requests in flight, and ends.
// Only the first call does anything.
func (h *Host) Stop(ctx context.Context) error {
	h.stopOnce.Do(func() { h.stop(ctx) })
	return nil
}

func (h *Host) stop(ctx context.Context) {
	h.logs.stopping()
	h.leaving.Store(true)
	h.front.closing.Store(true)
	h.placer.leave(ctx)
	deadline := time.Now().Add(h.cfg.Settings.Bounds.Shutdown - exitMargin)
	pause(ctx, min(balancerWait, time.Until(deadline)/2))
	if err := h.frontListener.Close(); err != nil {
		h.logs.failure("close listener", err)
	}
	for h.callers.closeIdle(0, newGrace) > 0 && time.Now().Before(deadline) {
		pause(ctx, drainPoll)
	}
	h.cancel()
	h.closeServers()
	h.loops.Wait()
	h.logs.stopped()
	h.logs.close()
}
