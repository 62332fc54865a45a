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

// Durations of the model, those of the example settings.
const (
	tick          = 50 * time.Millisecond
	routeLease    = 900 * time.Millisecond
	grantTTL      = 900 * time.Millisecond
	drift         = 50 * time.Millisecond
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

// faultKind is one fault of the brief, applied at one interaction.
type faultKind int

const (
	noFault faultKind = iota
	lostRequest
	lostAnswer
	storeDown
	pauseHost
	killHost
	restartHost
	cutStore
	cutPeers
	cutServers
	cutControl
	cutAll
	freezeServer
	killServer
	restartServer
	lapseLease
	faultKinds
)

var faultNames = [...]string{
	"none", "lost request", "lost answer", "store down", "host paused", "host killed", "host restarted",
	"cut from store", "cut from peers", "cut from servers", "cut from store and peers", "cut from all", "server frozen",
	"server killed", "server restarted", "placer lease lapses unaware",
}

func (f faultKind) String() string { return faultNames[f] }

// world is the platform, three entry hosts and four backend servers on a
// virtual clock, around the real placer, follower and gate.
type world struct {
	now        time.Time
	steps      int
	faults     map[int]faultKind
	violations []string

	table       *berth.Table
	revision    berth.StoreRevision
	leaseHolder berth.HostID
	leaseEnds   time.Time
	storeUp     time.Time
	rules       []*manifest.File
	leaving     berth.ServerID
	checking    bool

	hosts   []*modelHost
	servers []*modelServer
	nonce   uint64
	tokens  map[int]berth.Token
}

type modelServer struct {
	id       berth.ServerID
	instance int
	dead     bool
	thaws    time.Time
	version  berth.Version
	tokens   map[berth.ShardID]berth.Token
	until    time.Time
	queue    []func()
	running  []*execution
}

type execution struct {
	shard    berth.ShardID
	server   *modelServer
	permit   *roster.Permit
	ctx      context.Context
	ends     time.Time
	deadline time.Time
	over     bool
}

type modelHost struct {
	w           *world
	id          berth.HostID
	incarnation berth.Incarnation
	gate        *roster.Gate
	placer      *berth.Placer
	dead        bool
	wakes       time.Time
	onWake      []func()
	open        []*execution
	storeCut    time.Time
	peersCut    time.Time
	serversCut  time.Time
	elected     bool
	renewedAt   time.Time
	heardPlacer time.Time
	nextRound   time.Time
	nextRenew   time.Time
	nextList    time.Time
	knownRules  int
	wards       map[berth.ServerID]*modelWard
}

type modelWard struct {
	instance  int
	clock     time.Time
	condition berth.Condition
	alive     time.Time
	released  berth.Version
}

func newWorld(checking bool) *world {
	w := &world{
		now:      time.Now().Add(24 * time.Hour),
		faults:   make(map[int]faultKind),
		checking: checking,
		tokens:   make(map[int]berth.Token),
	}
	w.addRules("route readings * to d1 # test: home")
	for i := range 3 {
		h := &modelHost{w: w, id: berth.HostID(fmt.Sprintf("h%d", i+1))}
		h.start()
		w.hosts = append(w.hosts, h)
	}
	for i := range 4 {
		w.servers = append(w.servers, &modelServer{id: berth.ServerID(fmt.Sprintf("s%d", i+1)), instance: 1})
	}
	return w
}

func (w *world) addRules(text string) {
	file, err := manifest.Parse("rules", text)
	if err != nil {
		panic(err)
	}
	w.rules = append(w.rules, file)
}

func (w *world) nextNonce() uint64 {
	w.nonce++
	return w.nonce
}

func (w *world) fail(format string, args ...any) {
	if len(w.violations) < 5 {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

func (w *world) host(id berth.HostID) *modelHost {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *world) server(id berth.ServerID) *modelServer {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// start gives the host a new run that knows nothing.
func (h *modelHost) start() {
	w := h.w
	h.incarnation = berth.Incarnation(w.nextNonce())
	h.dead, h.elected, h.onWake, h.wakes = false, false, nil, time.Time{}
	h.heardPlacer, h.knownRules = w.now, 0
	h.wards = make(map[berth.ServerID]*modelWard)
	h.gate = roster.NewGate(roster.GateConfig{
		Domain:       domain,
		LeaseTracker: roster.LeaseTrackerConfig{Host: h.id, Incarnation: h.incarnation, RouteLease: routeLease},
		Now:          func() time.Time { return w.now },
	})
	h.placer = berth.NewPlacer(berth.PlacerConfig{
		Domain: domain, Host: h.id, Address: string(h.id), Incarnation: h.incarnation,
		Services: []berth.ServiceSpec{{ID: service, HashShards: 4}},
		Timing: berth.Timing{
			RouteLease: routeLease, GrantTTL: grantTTL, DriftMargin: drift, HostTimeout: hostTimeout,
		},
		Nonce: w.nextNonce,
	})
}

func (h *modelHost) kill() {
	h.dead = true
	for _, e := range h.open {
		e.over = true
	}
	h.open = nil
}

func (h *modelHost) up() bool { return !h.dead && !h.w.now.Before(h.wakes) }

// answer is the state of one interaction.
type answer int

const (
	answered answer = iota
	failed
	deferred
)

// call makes one interaction of h: do takes effect at the other side and
// returns how h takes the answer. The fault planned for this interaction, if
// any, is applied here.
func (w *world) call(h *modelHost, reachable func() bool, target *modelServer, do func() func()) answer {
	w.steps++
	fault := w.faults[w.steps]
	w.inject(h, target, fault, true)
	if fault == lostRequest || !h.up() || !reachable() {
		return failed
	}
	take := do()
	w.inject(h, target, fault, false)
	switch {
	case fault == lostAnswer || h.dead || fault == restartHost:
		return failed
	case !h.up():
		h.onWake = append(h.onWake, take)
		return deferred
	}
	take()
	return answered
}

// inject applies the faults that come before the effect of an interaction, or
// those that come after it.
func (w *world) inject(h *modelHost, target *modelServer, fault faultKind, before bool) {
	until := w.now.Add(faultTime)
	if target == nil {
		target = w.servers[w.steps%len(w.servers)]
	}
	if before {
		switch fault {
		case storeDown:
			w.storeUp = until
		case cutStore:
			h.storeCut = until
		case cutPeers:
			h.peersCut = until
		case cutServers:
			h.serversCut = until
		case cutControl:
			h.storeCut, h.peersCut = until, until
		case cutAll:
			h.storeCut, h.peersCut, h.serversCut = until, until, until
		case killServer:
			w.die(target)
		}
		return
	}
	switch fault {
	case pauseHost:
		h.wakes = until
	case killHost:
		h.kill()
	case restartHost:
		h.kill()
		h.start()
	case freezeServer:
		target.thaws = until
	case restartServer:
		w.die(target)
		target.revive()
	case lapseLease:
		w.leaseEnds = w.now
	}
}

// die ends the server's process and thereby its connections.
func (w *world) die(s *modelServer) {
	s.dead = true
	s.running, s.queue = nil, nil
	for _, h := range w.hosts {
		for _, e := range h.open {
			e.over = e.over || e.server == s
		}
	}
}

func (s *modelServer) revive() {
	s.dead = false
	s.instance++
	s.version, s.tokens, s.until = 0, nil, time.Time{}
}

func (w *world) storeReachable(h *modelHost) func() bool {
	return func() bool { return !w.now.Before(w.storeUp) && !w.now.Before(h.storeCut) }
}

func (w *world) peerReachable(h, other *modelHost) func() bool {
	return func() bool {
		return other.up() && !w.now.Before(h.peersCut) && !w.now.Before(other.peersCut)
	}
}

// run advances the world by d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for _, s := range w.servers {
			s.advance(w)
		}
		for _, h := range w.hosts {
			h.advance()
		}
		w.check()
	}
}

func (s *modelServer) advance(w *world) {
	if s.dead || w.now.Before(s.thaws) {
		return
	}
	queue := s.queue
	s.queue = nil
	for _, f := range queue {
		f()
	}
	s.running = slices.DeleteFunc(s.running, func(e *execution) bool {
		e.over = e.over || !w.now.Before(e.ends) || !w.now.Before(e.deadline)
		return e.over
	})
}

func (h *modelHost) advance() {
	if !h.up() {
		return
	}
	waking := h.onWake
	h.onWake = nil
	for _, f := range waking {
		f()
	}
	if len(waking) > 0 && h.up() {
		// A host that wakes may dispatch before it hears anything new.
		h.dispatch()
	}
	h.endPermits()
	h.elect()
	if h.up() && !h.w.now.Before(h.nextRound) {
		h.nextRound = h.w.now.Add(roundInterval)
		h.follow()
		h.probe()
	}
	if h.up() && h.elected {
		h.place()
	}
	if h.up() {
		h.dispatch()
	}
}
