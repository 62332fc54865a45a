package roster_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/roster"
)

// Durations of the simulation, equal to those of the example settings.
const (
	tick          = 50 * time.Millisecond
	routeLease    = 900 * time.Millisecond
	grantTTL      = 900 * time.Millisecond
	driftMargin   = 50 * time.Millisecond
	hostTimeout   = 700 * time.Millisecond
	placerLease   = 900 * time.Millisecond
	roundInterval = 150 * time.Millisecond
	suspectAfter  = 600 * time.Millisecond
	workTime      = 400 * time.Millisecond
	faultTime     = 3 * time.Second
)

const (
	service = berth.ServiceID("readings")
	domain  = berth.DomainID("d1")
)

// faultKind is a kind of fault, injected at one interaction.
type faultKind int

const (
	noFault faultKind = iota
	lostRequest
	lostResponse
	storeDown
	pauseHost
	killHost
	restartHost
	cutStore
	cutPeers
	cutServers
	cutStoreAndPeers
	cutAll
	freezeServer
	killServer
	restartServer
	expireLease
	faultKinds
)

var faultNames = [...]string{
	"none", "lost request", "lost answer", "store down", "host paused", "host killed", "host restarted",
	"cut from store", "cut from peers", "cut from servers", "cut from store and peers", "cut from all", "server frozen",
	"server killed", "server restarted", "placer lease lapses unaware",
}

func (f faultKind) String() string { return faultNames[f] }

// simulation runs the real placer, lease tracker and gate on three simulated
// entry hosts, with four simulated backend servers, a simulated store and a
// virtual clock.
type simulation struct {
	now time.Time
	// steps counts the interactions so far, and faults holds the fault to
	// inject at each of them.
	steps      int
	faults     map[int]faultKind
	violations []string

	table          *berth.Table
	revision       berth.StoreRevision
	leaseHolder    berth.HostID
	leaseEndsAt    time.Time
	storeDownUntil time.Time
	rules          []*manifest.File
	leaving        berth.ServerID
	checksGrants   bool

	hosts   []*modelHost
	servers []*modelServer
	nonce   uint64
	tokens  map[int]berth.Token
}

type modelServer struct {
	id          berth.ServerID
	instance    int
	stopped     bool
	frozenUntil time.Time
	version     berth.Version
	tokens      map[berth.ShardID]berth.Token
	grantEndsAt time.Time
	queue       []func()
	running     []*execution
}

type execution struct {
	shard    berth.ShardID
	server   *modelServer
	host     *modelHost
	permit   *roster.Permit
	ctx      context.Context
	endsAt   time.Time
	deadline time.Time
	// ended is set once the server no longer works on the request, completed if
	// it then has sent its response, and abandoned once the host waits no more.
	ended     bool
	completed bool
	abandoned bool
}

type modelHost struct {
	sim             *simulation
	id              berth.HostID
	incarnation     berth.Incarnation
	gate            *roster.Gate
	placer          *berth.Placer
	stopped         bool
	pausedUntil     time.Time
	onResume        []func()
	inFlight        []*execution
	storeCutUntil   time.Time
	peersCutUntil   time.Time
	serversCutUntil time.Time
	elected         bool
	renewedAt       time.Time
	placerSeenAt    time.Time
	nextRound       time.Time
	nextRenew       time.Time
	nextList        time.Time
	rulesRevision   int
	probes          map[berth.ServerID]*modelProbe
}

type modelProbe struct {
	instance    int
	serverClock time.Time
	condition   berth.Condition
	aliveAt     time.Time
	released    berth.Version
}

func newSimulation(checksGrants bool) *simulation {
	sim := &simulation{
		now:          time.Now().Add(24 * time.Hour),
		faults:       make(map[int]faultKind),
		checksGrants: checksGrants,
		tokens:       make(map[int]berth.Token),
	}
	sim.addRules("route readings * to d1 # test: home")
	for i := range 3 {
		h := &modelHost{sim: sim, id: berth.HostID(fmt.Sprintf("h%d", i+1))}
		h.start()
		sim.hosts = append(sim.hosts, h)
	}
	for i := range 4 {
		sim.servers = append(sim.servers, &modelServer{id: berth.ServerID(fmt.Sprintf("s%d", i+1)), instance: 1})
	}
	return sim
}

func (sim *simulation) addRules(text string) {
	file, err := manifest.Parse("rules", text)
	if err != nil {
		panic(err)
	}
	sim.rules = append(sim.rules, file)
}

func (sim *simulation) nextNonce() uint64 {
	sim.nonce++
	return sim.nonce
}

func (sim *simulation) violation(format string, args ...any) {
	if len(sim.violations) < 5 {
		sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) host(id berth.HostID) *modelHost {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (sim *simulation) server(id berth.ServerID) *modelServer {
	for _, s := range sim.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// start starts a new process of the host, without any state of earlier ones.
func (h *modelHost) start() {
	sim := h.sim
	h.incarnation = berth.Incarnation(sim.nextNonce())
	h.stopped, h.elected, h.onResume, h.pausedUntil = false, false, nil, time.Time{}
	h.placerSeenAt, h.rulesRevision = sim.now, 0
	h.probes = make(map[berth.ServerID]*modelProbe)
	h.gate = roster.NewGate(roster.GateConfig{
		Domain:       domain,
		LeaseTracker: roster.LeaseTrackerConfig{Host: h.id, Incarnation: h.incarnation, RouteLease: routeLease},
		DriftMargin:  driftMargin,
		Now:          func() time.Time { return sim.now },
	})
	h.placer = berth.NewPlacer(berth.PlacerConfig{
		Domain: domain, Host: h.id, Address: string(h.id), Incarnation: h.incarnation,
		Services: []berth.ServiceSpec{{ID: service, HashShards: 4}},
		Timing: berth.Timing{
			RouteLease: routeLease, GrantTTL: grantTTL, DriftMargin: driftMargin, HostTimeout: hostTimeout,
		},
		Nonce: sim.nextNonce,
	})
}

func (h *modelHost) kill() {
	h.stopped = true
	for _, e := range h.inFlight {
		e.abandoned = true
	}
	h.inFlight = nil
}

func (h *modelHost) up() bool { return !h.stopped && !h.sim.now.Before(h.pausedUntil) }

// callResult is the result of one interaction.
type callResult int

const (
	answered callResult = iota
	failed
	deferred
)

// call performs one interaction of h with the store, a peer or a server: do
// takes effect at the other side and returns the function by which h handles
// the response. The fault planned for this interaction, if any, is injected
// here.
func (sim *simulation) call(h *modelHost, reachable func() bool, target *modelServer, do func() func()) callResult {
	sim.steps++
	fault := sim.faults[sim.steps]
	sim.inject(h, target, fault, true)
	if fault == lostRequest || !h.up() || !reachable() {
		return failed
	}
	onResponse := do()
	sim.inject(h, target, fault, false)
	switch {
	case fault == lostResponse || h.stopped || fault == restartHost:
		return failed
	case !h.up():
		h.onResume = append(h.onResume, onResponse)
		return deferred
	}
	onResponse()
	return answered
}

// inject applies fault if it is of a kind that occurs before the effect of an
// interaction and before is set, or of a kind that occurs after the effect and
// before is not set.
func (sim *simulation) inject(h *modelHost, target *modelServer, fault faultKind, before bool) {
	until := sim.now.Add(faultTime)
	if target == nil {
		target = sim.servers[sim.steps%len(sim.servers)]
	}
	if before {
		switch fault {
		case storeDown:
			sim.storeDownUntil = until
		case cutStore:
			h.storeCutUntil = until
		case cutPeers:
			h.peersCutUntil = until
		case cutServers:
			h.serversCutUntil = until
		case cutStoreAndPeers:
			h.storeCutUntil, h.peersCutUntil = until, until
		case cutAll:
			h.storeCutUntil, h.peersCutUntil, h.serversCutUntil = until, until, until
		case killServer:
			sim.stopServer(target)
		}
		return
	}
	switch fault {
	case pauseHost:
		h.pausedUntil = until
	case killHost:
		h.kill()
	case restartHost:
		h.kill()
		h.start()
	case freezeServer:
		target.frozenUntil = until
	case restartServer:
		sim.stopServer(target)
		target.restart()
	case expireLease:
		sim.leaseEndsAt = sim.now
	}
}

// stopServer ends the server's process, which closes its connections.
func (sim *simulation) stopServer(s *modelServer) {
	s.stopped = true
	s.running, s.queue = nil, nil
	for _, h := range sim.hosts {
		for _, e := range h.inFlight {
			e.ended = e.ended || e.server == s
		}
	}
}

func (s *modelServer) restart() {
	s.stopped = false
	s.instance++
	s.version, s.tokens, s.grantEndsAt = 0, nil, time.Time{}
}

func (sim *simulation) storeReachable(h *modelHost) func() bool {
	return func() bool { return !sim.now.Before(sim.storeDownUntil) && !sim.now.Before(h.storeCutUntil) }
}

func (sim *simulation) peerReachable(h, other *modelHost) func() bool {
	return func() bool {
		return other.up() && !sim.now.Before(h.peersCutUntil) && !sim.now.Before(other.peersCutUntil)
	}
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(tick)
		for _, s := range sim.servers {
			s.advance(sim)
		}
		for _, h := range sim.hosts {
			h.advance()
		}
		sim.checkSingleOwner()
	}
}

func (s *modelServer) advance(sim *simulation) {
	if s.stopped || sim.now.Before(s.frozenUntil) {
		return
	}
	queue := s.queue
	s.queue = nil
	for _, f := range queue {
		f()
	}
	s.running = slices.DeleteFunc(s.running, func(e *execution) bool {
		e.completed = !e.ended && !sim.now.Before(e.endsAt) && sim.now.Before(e.deadline)
		e.ended = e.ended || e.completed || e.cancellationArrived(sim) || !sim.now.Before(e.deadline)
		return e.ended
	})
}

func (h *modelHost) advance() {
	if !h.up() {
		return
	}
	resumed := h.onResume
	h.onResume = nil
	for _, f := range resumed {
		f()
	}
	if len(resumed) > 0 && h.up() {
		// A host that resumes after a pause may dispatch before it receives any
		// update.
		h.dispatch()
	}
	h.endPermits()
	h.renewOrAcquireLease()
	if h.up() && !h.sim.now.Before(h.nextRound) {
		h.nextRound = h.sim.now.Add(roundInterval)
		h.confirmTable()
		h.probe()
	}
	if h.up() && h.elected {
		h.runPlacer()
	}
	if h.up() {
		h.dispatch()
	}
}
