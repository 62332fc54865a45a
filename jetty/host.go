package jetty

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// balancerWait is how long after SIGTERM new connections are still accepted.
	// The load balancer checks once a second and stops sending after two failures.
	balancerWait = 3 * time.Second
	// exitMargin is the time reserved for the last steps before SIGKILL.
	exitMargin = 600 * time.Millisecond
	// lastAnswersTime is the part of exitMargin in which the requests that the
	// shutdown interrupts are answered.
	lastAnswersTime = 300 * time.Millisecond
	// drainPollInterval is the time between two checks during shutdown whether
	// all callers have been served.
	drainPollInterval = 20 * time.Millisecond
	// sweepInterval is the time between two evaluations of the waiting requests.
	sweepInterval = 25 * time.Millisecond
	// unqueuedSweepInterval is the same while no request waits. Waking up for nothing costs
	// a small host more than its requests.
	unqueuedSweepInterval = 500 * time.Millisecond
	// idleSweepInterval is the time between two checks for unused connections.
	idleSweepInterval = time.Second
	// headerTimeout bounds the time for reading a request's headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds how much of a request's headers is read before the
	// limit of the configuration is applied.
	maxHeaderBytes = 1 << 18
	// sideHeaderBytes, sideHeaderTimeout, sideBodyTimeout and sideIdleTime are the limits at the addresses
	// for health checks and for operators.
	sideHeaderBytes   = 16 << 10
	sideHeaderTimeout = 3 * time.Second
	sideBodyTimeout   = 3 * time.Second
	sideIdleTime      = 15 * time.Second
	// peerHandshakeTimeout bounds the time in which another host begins a connection.
	peerHandshakeTimeout = 5 * time.Second
)

// Build says which program runs.
type Build struct {
	// Version is that of the source.
	Version string
	// ID identifies the program file; it is empty if it is not known.
	ID string
}

// Config holds the parameters of a [Host].
type Config struct {
	Settings *Settings
	// Build is written to the log at the start.
	Build    Build
	Store    ledger.TxnStore
	Protocol Protocol
	// Dial opens the connections to backend servers; nil means plain TCP.
	Dial DialFunc
	// LogTo is where the log is written; nil means standard output.
	LogTo io.Writer
	// Reload reads the settings again; nil means that they do not change.
	Reload func() (*Settings, error)
	// ReloadSignals receives a signal each time that the settings are to be read
	// again. The process has to handle the signal before the host starts and
	// after it has stopped as well, so the host cannot register for it itself.
	ReloadSignals <-chan os.Signal
}

// Host is an entry host.
type Host struct {
	cfg          Config
	logs         *logs
	metrics      *metrics
	usage        *usage
	recoverer    *recoverer
	clusterState *clusterState
	admissions   *admissionSet
	upstream     *upstream
	// orderUpstream has the connections for the placer's orders. They are
	// separate, since a busy server delays the opening of a new connection.
	orderUpstream *upstream
	orderSender   *orderSender
	watcher       *watcher
	election      *election
	reporter      *reporter
	loadCollector *loadCollector
	ingress       *ingress
	callers       *callerConns
	// sides has the connections to the addresses that are not for callers or hosts.
	sides       []*callerConns
	drain       *drain
	reach       *reach
	peerConns   *peerConns
	carriers    *carriers
	coordinated *coordinatedAdmission
	relayServer *relayServer
	limits      *limits
	cold        *coldServers
	crashes     *crashes
	notices     *notices
	bodies      *bodyBudget

	httpServers     []*http.Server
	ingressListener net.Listener
	peerServer      *grpc.Server
	// queued receives a signal when a request begins to wait for admission.
	queued       chan struct{}
	shuttingDown atomic.Bool
	cancel       context.CancelFunc
	loops        sync.WaitGroup
	stopOnce     sync.Once
}

// prioritiesFor returns when services count as ones with different priorities.
func prioritiesFor(s *Settings) priorityRule {
	if s.CoordinatePriorities {
		return prioritiesOfRequests
	}
	return prioritiesAlike
}

// New returns a host that is not running yet; see [Host.Start].
func New(cfg Config) (*Host, error) {
	s := cfg.Settings
	if cfg.Dial == nil && s.MemoryMB > 0 {
		cfg.Dial = dialServer
	}
	h := &Host{
		cfg:           cfg,
		logs:          newLogs(cfg.LogTo, s),
		metrics:       newMetrics(),
		usage:         newUsage(),
		clusterState:  newClusterState(fairway.NewActiveConfig()),
		upstream:      newUpstream(requestConnections, cfg.Dial),
		orderUpstream: newUpstream(orderConnections, cfg.Dial),
		loadCollector: newLoadCollector(),
		drain:         newDrain(),
		peerConns:     newPeerConns(),
		carriers:      newCarriers(s.Host),
		queued:        make(chan struct{}, 1),
	}
	h.recoverer = &recoverer{logs: h.logs, metrics: h.metrics}
	h.upstream.sharing = func(service fairway.ServiceName, hosts int) int { return h.carriers.current().sharing(service, hosts) }
	h.reach = newReach(h.clusterState, h.upstream, h.restoreServers)
	h.upstream.reach, h.orderUpstream.reach = h.reach, h.reach
	h.limits = newLimits(&limits{protocol: cfg.Protocol, clusterState: h.clusterState, logs: h.logs, address: s.PeerAddress})
	h.crashes = newCrashes(&crashes{
		clusterState: h.clusterState, conns: h.peerConns, logs: h.logs, metrics: h.metrics, address: s.PeerAddress,
	})
	h.admissions = newAdmissionSet(admissionSetConfig{
		OnWait:            h.limits.startWaiting,
		OnQueued:          func() { signalOnce(h.queued) },
		Priorities:        prioritiesFor(s),
		OnCreate:          func(service fairway.ServiceName, adm *admission) { h.cold.applyTo(service, adm) },
		Evacuations:       h.clusterState.ownersUntil,
		Carriers:          h.carriers,
		Host:              s.Host,
		Domain:            s.Domain,
		ReassignmentDelay: min(grantHold, s.Bounds.MaxHold) + holdMargin,
		Budget:            sluice.RetryBudgetConfig{Window: s.Bounds.BudgetWindow, Ratio: s.Bounds.BudgetRatio, Extra: s.Bounds.BudgetExtra},
		SecondSendShare:   s.SecondSendShare,
	})
	h.limits.admissions = h.admissions
	h.coordinated = newCoordinatedAdmission(coordinatedConfig{
		Host: s.Host, Domain: s.Domain, ClusterState: h.clusterState, Carriers: h.carriers, Admissions: h.admissions,
		Conns: h.peerConns, Logs: h.logs, Metrics: h.metrics, Stopping: h.shuttingDown.Load,
		Protocol: cfg.Protocol, PreferredRate: func(server sluice.ServerInstance) (float64, bool) { return h.cold.preferredRate(server) },
	})
	h.limits.coordinated = h.coordinated.admits
	h.cold = newColdServers(&coldServers{
		admissions: h.admissions, logs: h.logs, metrics: h.metrics, wake: h.limits.wakeUp, overage: s.Bounds.ColdOverage, slack: s.Bounds.ColdSlack,
	})
	h.limits.cold = h.cold
	h.notices = newNotices(&notices{
		protocol: cfg.Protocol, admissions: h.admissions, clusterState: h.clusterState, logs: h.logs, metrics: h.metrics,
	})
	h.watcher = &watcher{
		store: cfg.Store, protocol: cfg.Protocol, clusterState: h.clusterState, admissions: h.admissions, logs: h.logs,
		recoverer: h.recoverer, changeLog: newChangeLog(), memory: &memory{}, crashes: h.crashes, address: s.PeerAddress, onChange: h.refresh,
		sources: newFeedSources(s.PeerAddress, rand.Float64), evacuationBound: s.Bounds.Evacuation, firstStart: s.FirstStart,
	}
	h.orderSender = newOrderSender(orderSenderConfig{Protocol: cfg.Protocol, Upstream: h.orderUpstream, Logs: h.logs, Metrics: h.metrics})
	h.election = &election{
		store:         cfg.Store,
		sender:        h.orderSender,
		clusterState:  h.clusterState,
		admissions:    h.admissions,
		loadCollector: h.loadCollector,
		logs:          h.logs,
		metrics:       h.metrics,
		recoverer:     h.recoverer,
		memory:        h.watcher.memory,
		reach:         h.reach,
		limits:        h.limits,
		crashes:       h.crashes,
		notices:       h.notices,
		carriers:      h.carriers,
		coordination:  h.coordinated.coordination,
		coordinators:  h.coordinated.coordinators,
		keepTime:      h.upstream.keepTime,
		address:       s.PeerAddress,
		linkMbps:      s.LinkMbps,
		ttl:           max(placerLeaseTTL, s.MinLease),
		maxHold:       s.Bounds.MaxHold,
		scanned:       h.watcher.scanned.Load,
		wake:          make(chan struct{}, 1),
	}
	h.loadCollector.isPlacer = h.election.active
	h.loadCollector.limits, h.loadCollector.notices = h.limits, h.notices
	h.notices.onLeaving = h.election.notify
	h.limits.mayGive, h.crashes.mayGive = h.election.mayWrite, h.election.mayWrite
	h.loadCollector.crashes = h.crashes
	h.reporter = &reporter{
		host: s.Host, domain: s.Domain, address: s.PeerAddress, linkMbps: s.LinkMbps,
		clusterState: h.clusterState, admissions: h.admissions, loadCollector: h.loadCollector, changeLog: h.watcher.changeLog, reach: h.reach, limits: h.limits, notices: h.notices, crashes: h.crashes, logs: h.logs,
		carriers: h.carriers, coordinators: h.coordinated.coordinators, capacity: carryingCapacity(s.Cores),
		onPeers: h.watcher.recallOnce, onHostsChange: h.refresh, shuttingDown: h.shuttingDown.Load, wake: make(chan struct{}, 1),
	}
	h.crashes.onChange = h.reporter.notify
	h.watcher.onFirstPlacer = h.reporter.notify
	h.bodies = newBodyBudget(s.MemoryMB)
	h.callers = h.newConns(newConnLimits(s.MaxFDs, s.MemoryMB).callers)
	loads := &serverLoads{protocol: cfg.Protocol, admissions: h.admissions, clusterState: h.clusterState}
	requests := &forwarder{
		headers: cfg.Protocol.Headers(), admissions: h.admissions, upstream: h.upstream, endChecks: newEndChecks(h.upstream), clusterState: h.clusterState,
		reach: h.reach, limits: h.limits, notices: h.notices, loads: loads, crashes: h.crashes, bodies: h.bodies, callers: h.callers, drain: h.drain, logs: h.logs, metrics: h.metrics,
		warmChecks: &warmChecks{protocol: cfg.Protocol, headers: cfg.Protocol.Headers(), cold: h.cold, upstream: h.upstream, metrics: h.metrics},
		carriers:   h.carriers, permits: h.coordinated.permits, recoverer: h.recoverer,
		relay: &relayClient{
			host: s.Host, headers: cfg.Protocol.Headers(), conns: h.peerConns, reach: h.reach, notices: h.notices, loads: loads, bodies: h.bodies,
		},
	}
	h.relayServer = &relayServer{forwarder: requests, stopping: h.shuttingDown.Load}
	h.ingress = &ingress{
		headers:      cfg.Protocol.Headers(),
		activeConfig: h.clusterState.activeConfig,
		random:       rand.Float64,
		logs:         h.logs,
		metrics:      h.metrics,
		forwarder:    requests,
		discards:     newDiscards(),
	}
	return h, nil
}

// RecordStoreCall records the result and duration of a call to the store. The
// store's client is to call it after each call.
func (h *Host) RecordStoreCall(op string, err error, elapsed time.Duration) {
	c := storeCall{op: op, result: storeResult(err), role: h.storeRole()}
	h.metrics.storeCall(c, elapsed)
	h.usage.addStoreCall(c)
}

// refresh passes the changed cluster state to the components that depend on it.
func (h *Host) refresh() {
	catalog, hosts := h.clusterState.catalog(), h.clusterState.hostCount()
	reaching := h.clusterState.reachingCount()
	h.reach.forgetOthers(catalog)
	config := h.clusterState.activeConfig.Current()
	h.metrics.retainRoutes(config)
	h.admissions.retainRoutes(config)
	h.upstream.update(catalog, config, reaching)
	h.orderUpstream.update(catalog, nil, hosts)
	h.cold.update(monotonicNow(), catalog, config)
	h.admissions.refresh(catalog, h.clusterState.knownHostCount(), reaching)
	h.notices.refresh(monotonicNow())
	h.coordinated.permits.connect()
	h.election.notify()
}

// restoreServers ends the suspicion of all servers when this host reaches them again.
func (h *Host) restoreServers() {
	for _, adm := range h.admissions.every() {
		adm.restore()
	}
}

// Start opens the listeners and starts the host's goroutines. If it fails, no
// listener stays open.
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
	h.launch(ctx, h.limits.run)
	h.launch(ctx, h.coordinated.permits.run)
	h.launch(ctx, h.sweepLoop)
	h.launch(ctx, h.reach.run)
	h.launch(ctx, h.reloadLoop)
	h.logs.started(h.cfg.Settings, h.cfg.Build)
	return nil
}

// listen starts the servers on the host's addresses.
func (h *Host) listen() error {
	s := h.cfg.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	}
	if err := h.serveConns(newCallerServer(h.ingress, h.callers, h.logs), h.callers, s.CallerAddress); err != nil {
		return err
	}
	if err := h.serveSide(h.readyHandler(), s.ReadyAddress); err != nil {
		return err
	}
	if err := h.serveSide(h.adminHandler(), s.AdminAddress); err != nil {
		return err
	}
	return h.servePeers(s.PeerAddress)
}

// newConns returns the connections of one address; a limit of 0 means no bound.
func (h *Host) newConns(limit int) *callerConns {
	conns := newCallerConns()
	conns.limit, conns.budget, conns.buffersBounded = limit, h.bodies, h.cfg.Settings.MemoryMB > 0
	conns.onClosed = func(reason closeReason) {
		h.metrics.connectionClosed(reason)
		h.logs.connectionClosed(reason)
	}
	return conns
}

// serveSide serves an address that is not for callers.
func (h *Host) serveSide(handler http.Handler, address string) error {
	conns := h.newConns(newConnLimits(h.cfg.Settings.MaxFDs, h.cfg.Settings.MemoryMB).side)
	h.sides = append(h.sides, conns)
	server := newCallerServer(boundedHandler{next: handler}, conns, h.logs)
	server.MaxHeaderBytes, server.ReadHeaderTimeout = sideHeaderBytes, sideHeaderTimeout
	return h.serveConns(server, conns, address)
}

// boundedHandler serves requests whose bodies are not used. It does not wait for them.
type boundedHandler struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (b boundedHandler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if !beginRequest(hr) {
		panic(http.ErrAbortHandler)
	}
	if hr.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		controller := http.NewResponseController(w)
		// They fail if the connection is closed, which later reads and writes find as well.
		_ = controller.EnableFullDuplex()
		_ = controller.SetReadDeadline(time.Now().Add(sideBodyTimeout))
		setSlow(hr.Context(), true)
	}
	b.next.ServeHTTP(w, hr)
}

// newCallerServer returns a server whose connections callers tracks.
func newCallerServer(handler http.Handler, callers *callerConns, logs *logs) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         callers.onStateChange,
		ConnContext:       withCallerConn,
		ErrorLog:          logs.stdLogger(),
	}
}

// closeServers closes all listeners and connections of the host's servers.
func (h *Host) closeServers() {
	for _, server := range h.httpServers {
		_ = server.Close()
	}
	if h.peerServer != nil {
		h.peerServer.Stop()
	}
}

func (h *Host) launch(ctx context.Context, run func(context.Context)) {
	h.loops.Go(func() { h.recoverer.loop(ctx, run) })
}

// serveConns listens on address and serves it in a goroutine; see [serverLoop].
func (h *Host) serveConns(server *http.Server, conns *callerConns, address string) error {
	cfg := listenConfig{address: address}
	if s := h.cfg.Settings; s.MemoryMB > 0 {
		cfg.receiveBytes, cfg.backlog = callerReceiveBytes, sideConnections
		if conns == h.callers {
			cfg.backlog = newMemoryPlan(s.MemoryMB).backlog
		}
	}
	listener, err := cfg.listen()
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	listener = &callerListener{Listener: listener, callers: conns}
	if conns == h.callers {
		h.ingressListener = listener
	}
	h.httpServers = append(h.httpServers, server)
	l := &serverLoop{serve: server.Serve, listener: listener, logs: h.logs}
	h.loops.Go(l.run)
	return nil
}

func (h *Host) servePeers(address string) error {
	cfg := listenConfig{address: address}
	if h.cfg.Settings.MemoryMB > 0 {
		cfg.receiveBytes = peerReceiveBytes
	}
	listener, err := cfg.listen()
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	listener = newPeerListener(listener, newConnLimits(h.cfg.Settings.MaxFDs, h.cfg.Settings.MemoryMB).peers, h.callers.closed)
	options := append(h.recoverer.options(), grpc.ConnectionTimeout(peerHandshakeTimeout), grpc.ReadBufferSize(relayBufferBytes), grpc.InitialWindowSize(peerWindowBytes), grpc.InitialConnWindowSize(peerWindowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: peerKeepAlive, PermitWithoutStream: true}))
	h.peerServer = grpc.NewServer(options...)
	signal.RegisterLoadsServer(h.peerServer, h.loadCollector)
	signal.RegisterFeedServer(h.peerServer, h.watcher.changeLog)
	signal.RegisterMemoryServer(h.peerServer, h.watcher.memory)
	signal.RegisterRelayServer(h.peerServer, h.relayServer)
	signal.RegisterLimitsServer(h.peerServer, h.limits)
	signal.RegisterPermitsServer(h.peerServer, h.coordinated.server)
	signal.RegisterTrialsServer(h.peerServer, h.crashes)
	signal.RegisterTermsServer(h.peerServer, &termsServer{election: h.election})
	l := &serverLoop{serve: h.peerServer.Serve, listener: listener, logs: h.logs}
	h.loops.Go(l.run)
	return nil
}

// serverLoop accepts the connections of one listener until it is closed.
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

// sweepLoop periodically reevaluates the waiting requests, closes unused
// connections and updates the gauges.
func (h *Host) sweepLoop(ctx context.Context) {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	last := time.Now()
	logged := last
	speeds := newSpeedLog(h.logs)
	emptied := make(map[fairway.Domain]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.queued:
			// The request has just been evaluated.
			pause(ctx, sweepInterval)
		}
		next := unqueuedSweepInterval
		for _, adm := range h.admissions.all() {
			if adm.reevaluate() {
				next = sweepInterval
			}
		}
		if h.coordinated.server.sweep() {
			next = sweepInterval
		}
		timer.Reset(next)
		if time.Since(last) >= idleSweepInterval {
			last = time.Now()
			h.upstream.closeIdle()
			h.orderUpstream.closeIdle()
			h.orderSender.grants.closeIdle()
			h.closeIdleCallers()
			h.updateGauges()
			h.logEmptied(emptied)
			if time.Since(logged) >= usageInterval {
				logged = time.Now()
				h.logs.hostUsage(h.usage.take())
				speeds.update(h.admissions.all())
			}
		}
	}
}

// closeIdleCallers closes the connections of callers that have been unused for
// longer than the active configuration allows. The limit may change while a
// connection is unused; http.Server.IdleTimeout would not apply the change.
func (h *Host) closeIdleCallers() {
	for _, side := range h.sides {
		side.closeIdle(sideIdleTime, sideHeaderTimeout)
	}
	c := h.clusterState.activeConfig.Current()
	if c == nil {
		return
	}
	if c.Limits.IdleTimeout > 0 {
		h.callers.closeIdle(c.Limits.IdleTimeout, headerTimeout)
	}
	if c.Limits.HeaderTimeout > 0 {
		h.callers.closeSlowHeads(time.Now(), c.Limits.HeaderTimeout)
	}
}

// reloadLoop reads the settings again at each of the reload signals.
func (h *Host) reloadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.cfg.ReloadSignals:
			h.reload()
		}
	}
}

// reload reads the settings again and applies the memory limits, the only setting
// that can change in a running process.
func (h *Host) reload() {
	if h.cfg.Reload == nil {
		return
	}
	s, err := h.cfg.Reload()
	if err == nil && s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
		h.bodies.setMemory(s.MemoryMB)
		h.callers.setLimit(newConnLimits(h.cfg.Settings.MaxFDs, s.MemoryMB).callers)
	}
	h.logs.settingsReloaded(err)
}

// ready reports whether the load balancer should send requests to this host. A host
// whose watch has lost its history still serves what it knows.
func (h *Host) ready() bool {
	return !h.shuttingDown.Load() && h.watcher.initialized.Load() && h.clusterState.activeConfig.Current() != nil && h.clusterState.catalog().Len() > 0
}

// Stop shuts the host down: it waits until the load balancer has stopped sending
// requests, of which it forwards those that end before it does, finishes the
// requests in flight and ends all goroutines. Only the first call has an effect.
func (h *Host) Stop(ctx context.Context) error {
	h.stopOnce.Do(func() { h.stop(ctx) })
	return nil
}

func (h *Host) stop(ctx context.Context) {
	began := time.Now()
	limit := h.cfg.Settings.Bounds.Shutdown - exitMargin
	deadline := began.Add(limit)
	h.logs.stopping()
	h.shuttingDown.Store(true)
	h.ingress.closeConns.Store(true)
	// The placer is to name other coordinators.
	h.reporter.notify()
	h.drain.begin(deadline)
	h.election.resign(ctx)
	pause(ctx, time.Until(began.Add(min(balancerWait, limit/2))))
	if err := h.ingressListener.Close(); err != nil {
		h.logs.operationFailed("close listener for callers", err)
	}
	left := h.awaitRequests(ctx, deadline)
	if left > 0 {
		h.drain.end()
		left = h.awaitRequests(ctx, deadline.Add(lastAnswersTime))
	}
	h.cancel()
	h.closeServers()
	h.peerConns.close()
	h.loops.Wait()
	h.logs.stopped(stopSummary{took: time.Since(began), connectionsCut: left})
	h.logs.close()
}

// awaitRequests closes the connections of callers as they become idle, and waits for
// the requests of other hosts. It returns the number of connections and such requests
// left once there are none or deadline has passed.
func (h *Host) awaitRequests(ctx context.Context, deadline time.Time) int {
	left := h.requestsLeft()
	for left > 0 && time.Now().Before(deadline) {
		pause(ctx, drainPollInterval)
		left = h.requestsLeft()
	}
	return left
}

func (h *Host) requestsLeft() int {
	return h.callers.closeIdle(0, firstRequestGrace) + int(h.relayServer.inFlight.Load())
}
