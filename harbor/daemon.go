package harbor

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/roster"
	"hornbeamwinch.example/signal"
)

// Config holds the parameters of a [Daemon].
type Config struct {
	Settings *charter.Settings
	// Store is the platform's store; nil selects the HTTP client at the
	// address from the settings.
	Store ledger.Store
	// Logger receives the log lines; nil selects JSON on standard error.
	Logger *log.Logger
}

// Daemon is one entry host.
type Daemon struct {
	settings    *charter.Settings
	store       ledger.Store
	logs        *logs
	metrics     *metrics
	incarnation berth.Incarnation

	gate           *roster.Gate
	rulesCache     *RulesCache
	directory      *Directory
	router         *quay.Router
	controlClients *peerClients
	forwardClients *peerClients
	tableSync      *tableSync
	election       *election
	placerRunner   *placerRunner
	storePoller    *storePoller
	prober         *prober
	drain          *drain
	ingress        *ingress
	admin          *admin

	grpcServer  *grpc.Server
	httpServers []*http.Server
	group       sync.WaitGroup
	cancel      context.CancelFunc
}

// New returns a daemon that has opened no connections or listeners yet.
func New(cfg Config) (*Daemon, error) {
	s := cfg.Settings
	d := &Daemon{
		settings:       s,
		store:          cfg.Store,
		incarnation:    berth.Incarnation(randomNonce()),
		rulesCache:     NewRulesCache(),
		controlClients: newPeerClients(),
		forwardClients: newPeerClients(),
		metrics:        newMetrics(),
		logs:           newLogs(s, cfg.Logger),
	}
	if d.store == nil {
		d.store = ledger.NewHTTP(ledger.HTTPConfig{
			Address: s.Platform.Address,
			Timeout: s.Platform.TimeoutMS.Duration(),
		})
	}
	d.gate = roster.NewGate(roster.GateConfig{
		Domain: s.Host.Domain,
		LeaseTracker: roster.LeaseTrackerConfig{
			Host:        s.Host.ID,
			Incarnation: d.incarnation,
			RouteLease:  s.Timing.RouteLeaseMS.Duration(),
		},
		DriftMargin: s.Timing.DriftMarginMS.Duration(),
		Now:         time.Now,
	})
	d.directory = NewDirectory(s.Host.Domain, d.gate)
	d.router = d.newRouter()
	d.placerRunner = newPlacerRunner(d)
	d.storePoller = newStorePoller(d)
	d.election = newElection(d)
	d.prober = newProber(d)
	d.tableSync = newTableSync(d)
	d.drain = newDrain()
	d.ingress = newIngress(d)
	d.admin = newAdmin(d)
	return d, nil
}

func (d *Daemon) newRouter() *quay.Router {
	return quay.NewRouter(quay.RouterConfig{
		Host:     d.settings.Host.ID,
		Domain:   d.settings.Host.Domain,
		Gate:     d.gate,
		Services: serviceConfigs(d.settings),
		Claims: quay.NewClaims(quay.ClaimsConfig{
			Store:     d.store,
			Host:      d.settings.Host.ID,
			Retention: d.settings.Timing.ClaimRetentionMS.Duration(),
			Now:       time.Now,
			Nonce:     randomNonce,
		}),
		Forwarder:    &forwarder{clients: d.forwardClients},
		Directory:    d.directory,
		FrontSetSize: d.settings.Limits.FrontSetSize,
		Metrics:      d.metrics.scope,
		Decisions:    d.logs,
		Home:         d.rulesCache.Home,
	})
}

func serviceConfigs(s *charter.Settings) []quay.ServiceConfig {
	configs := make([]quay.ServiceConfig, 0, len(s.Services))
	for _, service := range s.Services {
		configs = append(configs, quay.ServiceConfig{
			ID:                    service.ID,
			Divided:               service.DividedByKey,
			Repeat:                quay.RepeatPolicy(service.Repeat),
			Timeout:               service.TimeoutMS.Duration(),
			ResponseHeaderTimeout: service.SilentAfterMS.Duration(),
			ProgressTimeout:       service.ProgressTimeoutMS.Duration(),
			Resumable:             service.Resumable,
			QueueLimit:            service.QueueLimit,
		})
	}
	return configs
}

// Start opens the listeners and starts the daemon's goroutines. It returns once
// the daemon is listening; readiness is reported at the admin address.
func (d *Daemon) Start(context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.grpcServer = grpc.NewServer()
	signal.RegisterPeersServer(d.grpcServer, &peerServer{daemon: d})
	d.launch(func() { _ = d.grpcServer.Serve(listeners.peer) })
	d.serveHTTP(listeners.caller, d.ingress.handler())
	d.serveHTTP(listeners.admin, d.admin.handler())
	d.launch(func() { d.placerRunner.run(ctx) })
	d.launch(func() { d.storePoller.run(ctx) })
	d.launch(func() { d.election.run(ctx) })
	d.launch(func() { d.prober.run(ctx) })
	d.launch(func() { d.tableSync.run(ctx) })
	d.logs.hostStarted(d)
	return nil
}

// launch runs loop in a goroutine. Stop waits for it to return.
func (d *Daemon) launch(loop func()) {
	d.group.Go(loop)
}

// listeners holds the listening sockets of a daemon.
type listeners struct {
	caller net.Listener
	peer   net.Listener
	admin  net.Listener
}

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	host := d.settings.Host
	if l.caller, err = net.Listen("tcp", host.CallerAddress); err != nil {
		return l, newError("listen for callers", KindListen, err)
	}
	if l.peer, err = net.Listen("tcp", host.PeerAddress); err != nil {
		_ = l.caller.Close()
		return l, newError("listen for peers", KindListen, err)
	}
	if l.admin, err = net.Listen("tcp", host.AdminAddress); err != nil {
		_ = l.caller.Close()
		_ = l.peer.Close()
		return l, newError("listen for operators", KindListen, err)
	}
	return l, nil
}

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

func (d *Daemon) serveHTTP(l net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          d.logs.stdLogger(),
	}
	d.httpServers = append(d.httpServers, server)
	d.launch(func() { _ = server.Serve(l) })
}

// Stop shuts the daemon down gracefully: it reports the host as not ready,
// waits until the load balancer has had time to detect this, stops admitting
// requests and waits for those in flight, reports the host as leaving to the
// placer, releases the placer's lease if it holds it, and then closes the peer
// listener and the HTTP servers. Requests that are still in progress shortly
// before the drain limit are ended with a response.
func (d *Daemon) Stop(ctx context.Context) error {
	balancerWait, drainLimit := d.settings.Timing.BalancerWaitMS.Duration(), d.settings.Timing.DrainLimitMS.Duration()
	deadline := time.Now().Add(balancerWait + drainLimit)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	d.admin.setDraining()
	sleep(ctx, balancerWait)
	drainEnd := deadline.Add(-min(answerTime, drainLimit/answerDivisor))
	d.drain.begin(drainEnd)
	d.gate.Leave()
	drainCtx, cancelDrain := context.WithDeadline(ctx, drainEnd)
	defer cancelDrain()
	d.drainRequests(drainCtx)
	d.tableSync.leave(drainCtx)
	d.election.resign(drainCtx)
	d.cancel()
	stopGRPC(ctx, d.grpcServer)
	d.stopHTTP(ctx)
	d.group.Wait()
	d.controlClients.close()
	d.forwardClients.close()
	d.logs.hostStopped()
	return nil
}

// drainRequests waits until no request is in flight on this host or until ctx
// is done.
func (d *Daemon) drainRequests(ctx context.Context) {
	for _, server := range d.httpServers {
		server.SetKeepAlivesEnabled(false)
	}
	const poll = 10 * time.Millisecond
	for ctx.Err() == nil {
		if d.ingress.inFlight() == 0 && d.gate.View().InFlight == 0 {
			return
		}
		sleep(ctx, poll)
	}
}

// stopHTTP waits for the requests that have been read, also those that arrived
// since none were in flight, and cuts them off when ctx is done.
func (d *Daemon) stopHTTP(ctx context.Context) {
	for _, server := range d.httpServers {
		_ = server.Shutdown(ctx)
		_ = server.Close()
	}
}

// stopGRPC waits for running calls and cancels them when ctx is done.
func stopGRPC(ctx context.Context, server *grpc.Server) {
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	server.GracefulStop()
}

// sleep waits for the given duration or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// randomNonce returns a random number other than zero.
func randomNonce() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
