package mooring_test

import (
	"fmt"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const service fairway.ServiceName = "readings"

// sampledKeys are the keys whose holders the simulation checks.
var sampledKeys = func() []mooring.Key {
	var keys []mooring.Key
	for k := 0; k <= int(mooring.MaxKey); k += 1024 {
		keys = append(keys, mooring.Key(k))
	}
	return append(keys, mooring.MaxKey)
}()

var timing = mooring.Timing{
	Hold:              3500 * time.Millisecond,
	RenewInterval:     700 * time.Millisecond,
	HoldMargin:        250 * time.Millisecond,
	InitialDelay:      500 * time.Millisecond,
	MaxInitialDelay:   2 * time.Second,
	RebalanceInterval: time.Second,
	MinWriteInterval:  60 * time.Millisecond,
}

const (
	placerLease = 1800 * time.Millisecond
	// slowClock is the fraction by which the servers' clocks run slow.
	slowClock = 0.02
	step      = 10 * time.Millisecond
	// stepsPerTick is the number of steps between two ticks of the assigner.
	stepsPerTick = 4
	latency      = 2 * time.Millisecond
	// predecessorOrderLimit is how long after its lease an earlier placer may
	// still renew grants.
	predecessorOrderLimit = 10 * time.Second
	// partitionTime is the duration of a partition.
	partitionTime = 6 * time.Second
	// pathNotice is how long after the loss of the path to all servers the placer
	// knows of it. It resigns at once and another host claims after pathClaim. The
	// resigned one confirms its end when its longest order has ended.
	pathNotice     = 1100 * time.Millisecond
	pathClaim      = 300 * time.Millisecond
	longestOrder   = 700 * time.Millisecond
	pathOutageTime = 6 * time.Second
	// storeOutage is the duration of an outage of the store. It is longer than a
	// hold and shorter than predecessorOrderLimit.
	storeOutage = 6 * time.Second
	// writeLimit is how long after the beginning of an outage the placer knows
	// that its lease may have expired.
	writeLimit = placerLease - 100*time.Millisecond
	// copyAge is the age of the copy from which the store comes back after
	// storeAbsence. Servers that it has forgotten are registered again after
	// rewriteDelay, and all are after serversKnown.
	copyAge      = 2 * time.Second
	storeAbsence = 300 * time.Millisecond
	rewriteDelay = 1500 * time.Millisecond
	serversKnown = 2200 * time.Millisecond
	// watchLag is how long after a write other hosts have read it.
	watchLag = 250 * time.Millisecond
	// storeRetryDelay is the time between two attempts to read the table.
	storeRetryDelay = 100 * time.Millisecond
)

// fault is a fault that is injected at one interaction.
type fault string

const (
	faultNone           fault = ""
	faultLost           fault = "lost on the way"
	faultResponseLost   fault = "answer lost"
	faultLate           fault = "carried out late"
	faultPlacerDies     fault = "placer dies"
	faultServerDies     fault = "server dies"
	faultServerRestarts fault = "server restarts under its id"
	faultAddressReused  fault = "address goes to a new server"
	faultNetworkCut     fault = "placer and server are cut off"
	faultDrain          fault = "server drains"
	faultPartition      fault = "placer and half of the servers are cut off from the store"
	faultHalfCut        fault = "placer is cut off from half of the servers"
	faultPathHangs      fault = "placer loses the path to all servers"
	faultPathRefused    fault = "placer is refused by all servers"
	faultPathMoves      fault = "placer loses the path to all servers and resigns"
	// The store's call of the interaction, if it is one, is not executed, or
	// executed and answered, or executed without an answer.
	faultStoreOut       fault = "store goes out"
	faultStoreOutLater  fault = "store goes out after the call"
	faultStoreForgetful fault = "store goes out during the call and forgets its leases"
	// The store comes back from an older copy, and the next placer is the host of the
	// former one, or another host that cannot ask it, since it is lost or cut off from all
	// but the servers.
	faultRestored         fault = "store is restored"
	faultRestoredTwice    fault = "store is restored twice"
	faultRestoredLost     fault = "store is restored and the placer is lost"
	faultRestoredIsolated fault = "store is restored and the placer is isolated"
)

var faults = []fault{
	faultLost, faultResponseLost, faultLate, faultPlacerDies, faultServerDies, faultServerRestarts,
	faultAddressReused, faultNetworkCut, faultDrain, faultPartition,
	faultHalfCut, faultPathHangs, faultPathRefused, faultPathMoves, faultStoreOut, faultStoreOutLater, faultStoreForgetful,
	faultRestored, faultRestoredTwice, faultRestoredLost, faultRestoredIsolated,
}

// simServer is one instance of a backend server.
type simServer struct {
	instance mooring.ServerInstance
	// registered is the instance that the catalog has, which may be an earlier one.
	registered mooring.ServerInstance
	up         bool
	startedAt  mooring.Instant
	// cutUntil is until when the placer cannot reach the server.
	cutUntil mooring.Instant
	// dropsResponses is set for servers that execute orders but whose responses
	// are lost.
	dropsResponses bool
	// listed is set for servers that are in the catalog.
	listed   bool
	draining bool
	// evacuated is set while the failure domain of the server is evacuated.
	evacuated bool
	// tokens and heldUntil are indexed like sampledKeys.
	tokens    []mooring.Token
	heldUntil []mooring.Instant
	inFlight  int
}

// sessionKey identifies the connection of a term's placer to a server.
type sessionKey struct {
	term   int
	server fairway.ServerID
}

// session is a connection, which leads to one instance.
type session struct {
	id       mooring.SessionID
	instance mooring.ServerInstance
}

// scheduledEvent is a function to run at a simulated time. Events at the same
// time run in the order of seq.
type scheduledEvent struct {
	at  mooring.Instant
	seq int
	run func()
}

// simulation runs assigners against simulated servers and a simulated store,
// with injected faults.
type simulation struct {
	now         mooring.Instant
	pending     []scheduledEvent
	seq         int
	servers     map[fairway.ServerID]*simServer
	incarnation fairway.Incarnation
	recorded    *mooring.Table
	revision    mooring.StoreRevision
	// history has the writes that took effect.
	history []recordedTable
	// era counts the restores of the store, the last of which was at restoredAt.
	// fenced is the era in which a term has begun since.
	era        mooring.Era
	fenced     mooring.Era
	restoredAt mooring.Instant
	// earlier is the table of the next placer's own term before the restore, if it had
	// one, and known the newest table that its host had read. The store's list of placers is
	// incomplete until incompleteUntil.
	earlier         *mooring.Table
	known           *mooring.Table
	incompleteUntil mooring.Instant
	term            int
	assigner        *mooring.Assigner
	// formerAssigner belongs to a placer that a partition has cut off from the
	// store and from the servers on the other side, but not from its own side.
	formerAssigner *mooring.Assigner
	formerTerm     int
	// formerReachesServers is set while the former placer reaches every server.
	formerReachesServers bool
	// highestToken has the highest token with which each key was granted, and
	// lastOwner the server that it was last granted to.
	highestToken map[mooring.Key]mooring.Token
	lastOwner    map[mooring.Key]mooring.ServerInstance
	// grantedWith has the handover of the first grant of each range and token.
	grantedWith map[string]string
	// sessions has the session of each placer with each server.
	sessions    map[sessionKey]session
	lastSession mooring.SessionID
	// faultAt has the faults to inject, by the number of the interaction.
	faultAt      map[int]fault
	interactions int
	// storeCalls counts the calls to the store, which answers none until
	// storeOutUntil.
	storeCalls    int
	storeOutUntil mooring.Instant
	// together is the time for which a placer collects the results of its actions before
	// it takes account of them, and collected has them by term.
	together  time.Duration
	collected map[int][]mooring.Event
	// losesWrites is set while the store executes no write and answers none.
	losesWrites bool
	// The placer of the term lostPathTerm reaches no server until lostPathUntil. If
	// lostPathRefused is set, its connections are refused. lostPathKnown is set while
	// the placer knows.
	lostPathTerm    int
	lostPathUntil   mooring.Instant
	lostPathRefused bool
	lostPathKnown   bool
	steps           int
	violations      []string
	mostInFlight    int
}

// recordedTable is a table as the store recorded it.
type recordedTable struct {
	at       mooring.Instant
	table    *mooring.Table
	revision mooring.StoreRevision
}

func newSimulation(servers int) *simulation {
	sim := &simulation{
		now:          mooring.Instant(time.Minute),
		servers:      make(map[fairway.ServerID]*simServer),
		incarnation:  1000,
		era:          1,
		highestToken: make(map[mooring.Key]mooring.Token),
		lastOwner:    make(map[mooring.Key]mooring.ServerInstance),
		faultAt:      make(map[int]fault),
		grantedWith:  make(map[string]string),
		sessions:     make(map[sessionKey]session),
	}
	for i := range servers {
		sim.addServer(fairway.ServerID(fmt.Sprintf("s%d", i)), fmt.Sprintf("10.0.0.%d:80", i))
	}
	sim.startPlacer()
	return sim
}

// addServer starts a server. Another server that had its address is gone: two
// processes cannot listen on one.
func (sim *simulation) addServer(id fairway.ServerID, address string) *simServer {
	sim.incarnation++
	for _, other := range sim.servers {
		if other.instance.Address == address {
			other.up, other.listed = false, false
		}
	}
	instance := mooring.ServerInstance{Server: id, Incarnation: sim.incarnation, Address: address}
	s := &simServer{
		instance: instance, registered: instance,
		up: true, listed: true, startedAt: sim.now,
		tokens:    make([]mooring.Token, len(sampledKeys)),
		heldUntil: make([]mooring.Instant, len(sampledKeys)),
	}
	sim.servers[id] = s
	return s
}

// restart replaces a server by its next incarnation at the same address, which
// registers after d.
func (sim *simulation) restart(s *simServer, d time.Duration) {
	s.up = false
	next := sim.addServer(s.instance.Server, s.instance.Address)
	next.registered = s.registered
	sim.schedule(d, func() { next.registered = next.instance; sim.updateCatalog() })
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	sim.pending = append(sim.pending, scheduledEvent{at: sim.now.Add(d), seq: sim.seq, run: run})
}

// run advances the simulated time by d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for sim.now < end {
		sim.now = sim.now.Add(step)
		acted := false
		for next := sim.nextDue(); next != nil; next = sim.nextDue() {
			next.run()
			acted = true
		}
		if sim.steps++; sim.steps%stepsPerTick == 0 {
			sim.step(sim.term, mooring.Tick{})
			sim.step(sim.formerTerm, mooring.Tick{})
		}
		if acted {
			sim.check()
		}
	}
}

// nextDue removes and returns the earliest pending event that is due, or nil.
func (sim *simulation) nextDue() *scheduledEvent {
	first := -1
	for i, event := range sim.pending {
		if event.at <= sim.now && (first < 0 || event.at < sim.pending[first].at || event.at == sim.pending[first].at && event.seq < sim.pending[first].seq) {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	next := sim.pending[first]
	sim.pending = append(sim.pending[:first], sim.pending[first+1:]...)
	return &next
}

// maxViolations bounds the list of violations. The first ones are the most
// useful.
const maxViolations = 8

func (sim *simulation) reportViolation(format string, args ...any) {
	if len(sim.violations) >= maxViolations {
		return
	}
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", time.Duration(sim.now))+fmt.Sprintf(format, args...))
}

// check reports sampled keys that more than one server holds.
func (sim *simulation) check() {
	holders := make([]fairway.ServerID, len(sampledKeys))
	for id, s := range sim.servers {
		if !s.up {
			continue
		}
		for i, until := range s.heldUntil {
			if until <= sim.now {
				continue
			}
			if holders[i] != "" {
				sim.reportViolation("key %d is held by %s and %s", sampledKeys[i], id, holders[i])
			}
			holders[i] = id
		}
	}
}

// startPlacer begins a term with a new assigner once the store answers.
func (sim *simulation) startPlacer() {
	if sim.now < sim.storeOutUntil {
		sim.schedule(sim.storeOutUntil.Sub(sim.now), sim.startPlacer)
		return
	}
	sim.beginTerm()
	if sim.formerAssigner == nil && sim.now >= sim.incompleteUntil {
		// The former placer's process has ended, which its host confirms.
		sim.step(sim.term, mooring.PredecessorEnded{At: sim.now})
	}
}

// beginTerm begins a term with a new assigner.
func (sim *simulation) beginTerm() {
	sim.term++
	sim.fenced = sim.era
	sim.assigner = mooring.NewAssigner(mooring.AssignerConfig{
		Service: service, Now: sim.now, PredecessorUntil: sim.now.Add(predecessorOrderLimit), Timing: timing,
		Era: sim.era,
		Recovery: mooring.Recovery{
			Restored: sim.era > 1, EarlierTable: sim.earlier, KnownTable: sim.known, ServersKnownAt: sim.restoredAt.Add(serversKnown),
		},
	})
	sim.earlier = nil
	sim.step(sim.term, mooring.CatalogUpdated{Catalog: sim.catalog()})
}

func (sim *simulation) killPlacer() {
	sim.assigner = nil
	sim.term++
	sim.schedule(placerLease, sim.startPlacer)
}

// partition separates the placer and every second server from the store and
// the other servers. Another placer takes over on the other side.
func (sim *simulation) partition(lasts time.Duration) {
	if sim.assigner == nil || sim.formerAssigner != nil {
		return
	}
	healed := sim.now.Add(lasts)
	for id, s := range sim.servers {
		if id[1]%2 == 0 {
			s.cutUntil = healed
			sim.schedule(2600*time.Millisecond, func() { s.listed = false; sim.updateCatalog() })
			sim.schedule(lasts+time.Second, func() { s.listed = true; sim.updateCatalog() })
		}
	}
	sim.formerAssigner, sim.formerTerm = sim.assigner, sim.term
	sim.killPlacer()
	sim.step(sim.formerTerm, mooring.WritesAllowed{Allowed: false})
	sim.schedule(lasts+latency, func() {
		sim.formerAssigner = nil
		sim.step(sim.term, mooring.PredecessorEnded{At: sim.now})
	})
}

// isolatePlacer separates the placer from the store and from the other hosts, but
// not from the servers. Another placer takes over.
func (sim *simulation) isolatePlacer(lasts time.Duration) {
	sim.formerAssigner, sim.formerTerm, sim.formerReachesServers = sim.assigner, sim.term, true
	sim.killPlacer()
	sim.step(sim.formerTerm, mooring.WritesAllowed{Allowed: false})
	sim.schedule(lasts, func() {
		sim.formerAssigner, sim.formerReachesServers = nil, false
		sim.step(sim.term, mooring.PredecessorEnded{At: sim.now})
	})
}

// losePath cuts the placer off from all servers. If resigns is set, another placer that
// reaches them takes over.
func (sim *simulation) losePath(lasts time.Duration, refused, resigns bool) {
	if sim.assigner == nil || sim.formerAssigner != nil || sim.now < sim.lostPathUntil {
		return
	}
	term := sim.term
	sim.lostPathTerm, sim.lostPathUntil, sim.lostPathRefused = term, sim.now.Add(lasts), refused
	sim.schedule(pathNotice, func() {
		if term != sim.term || sim.assigner == nil {
			return
		}
		sim.lostPathKnown = true
		sim.step(term, mooring.PathLost{Lost: true})
		if resigns && sim.now >= sim.storeOutUntil {
			sim.resignPlacer()
		}
	})
}

// resignPlacer ends the term before all of its orders have ended.
func (sim *simulation) resignPlacer() {
	sim.assigner = nil
	sim.term++
	next := sim.term + 1
	sim.schedule(pathClaim, func() {
		sim.beginTerm()
		sim.schedule(longestOrder-pathClaim, func() { sim.step(next, mooring.PredecessorEnded{At: sim.now}) })
	})
}

// halveReach cuts the placer off from every second server, which stay registered.
func (sim *simulation) halveReach(lasts time.Duration) {
	for id, s := range sim.servers {
		if id[1]%2 == 0 {
			s.cutUntil = sim.now.Add(lasts)
		}
	}
}

// regainPath has the placer know by an accepted order that it reaches the servers.
func (sim *simulation) regainPath(term int, r mooring.Result) {
	if sim.lostPathKnown && term == sim.lostPathTerm && r == mooring.ResultAccepted {
		sim.lostPathKnown = false
		sim.step(term, mooring.PathLost{Lost: false})
	}
}

// stopStore makes the store unavailable. If it forgets its leases, another placer
// takes over when it returns.
func (sim *simulation) stopStore(lasts time.Duration, forgetful bool) {
	if sim.now < sim.storeOutUntil {
		return
	}
	sim.storeOutUntil = sim.now.Add(lasts)
	term := sim.term
	if lasts > writeLimit {
		sim.schedule(writeLimit, func() { sim.step(term, mooring.WritesAllowed{Allowed: false}) })
	}
	sim.schedule(lasts, func() {
		switch {
		case term != sim.term || sim.assigner == nil:
		case forgetful:
			sim.killPlacer()
		default:
			sim.step(term, mooring.WritesAllowed{Allowed: true})
		}
	})
}

// restoreStore has the store come back from an older copy. The next placer is the host of
// the former one, which has not ended its term, if same is set.
func (sim *simulation) restoreStore(same bool) {
	if sim.now < sim.storeOutUntil {
		return
	}
	sim.storeOutUntil = sim.now.Add(storeAbsence)
	copied := recordedTable{}
	for _, r := range sim.history {
		if sim.now.Sub(r.at) >= copyAge {
			copied = r
		}
		if sim.now.Sub(r.at) >= watchLag {
			sim.known = r.table
		}
	}
	copiedAt := sim.now - mooring.Instant(copyAge)
	term := sim.term
	sim.schedule(storeAbsence, func() {
		sim.recorded, sim.revision = copied.table, copied.revision
		sim.era++
		sim.restoredAt = sim.now
		sim.forgetServers(copiedAt)
		if sim.assigner == nil || term != sim.term {
			sim.incompleteUntil = sim.now.Add(predecessorOrderLimit)
			return
		}
		if sim.fenced+1 == sim.era {
			sim.earlier = sim.assigner.Table()
		}
		if !same {
			sim.earlier = nil
			sim.incompleteUntil = sim.now.Add(predecessorOrderLimit)
		}
		sim.assigner = nil
		sim.term++
		sim.schedule(pathClaim, sim.startPlacer)
	})
}

// forgetServers removes the registrations since an instant, which are written again.
func (sim *simulation) forgetServers(since mooring.Instant) {
	for _, s := range sim.servers {
		if s.listed && s.startedAt > since {
			s.listed = false
			sim.schedule(rewriteDelay, func() { s.listed = s.up; sim.updateCatalog() })
		}
	}
}

// storeUnreachable reports whether the placer of a term cannot reach the store.
func (sim *simulation) storeUnreachable(term int) bool {
	return sim.now < sim.storeOutUntil || sim.formerAssigner != nil && term == sim.formerTerm
}

// load reads the recorded table, as soon as the store can be reached.
func (sim *simulation) load(term int) {
	if sim.storeUnreachable(term) {
		sim.schedule(storeRetryDelay, func() { sim.load(term) })
		return
	}
	table, revision := sim.recorded, sim.revision
	sim.schedule(latency, func() { sim.step(term, mooring.TableLoaded{Table: table, Revision: revision}) })
}

// assignerOf returns the assigner of a term, or nil if the term has ended.
func (sim *simulation) assignerOf(term int) *mooring.Assigner {
	switch {
	case term == sim.term:
		return sim.assigner
	case sim.formerAssigner != nil && term == sim.formerTerm:
		return sim.formerAssigner
	default:
		return nil
	}
}

// unreachable reports whether the placer of a term cannot reach a server.
func (sim *simulation) unreachable(s *simServer, term int) bool {
	cut := s.cutUntil > sim.now || term == sim.lostPathTerm && sim.now < sim.lostPathUntil
	if sim.formerReachesServers {
		return cut
	}
	if sim.formerAssigner != nil && term == sim.formerTerm {
		return !cut
	}
	return cut
}

func (sim *simulation) catalog() *fairway.Catalog {
	var endpoints []fairway.Endpoint
	for id, s := range sim.servers {
		if s.listed {
			endpoints = append(endpoints, fairway.Endpoint{
				ID: id, Service: service, Address: s.registered.Address, Incarnation: s.registered.Incarnation, Slots: 6, Draining: s.draining, Evacuated: s.evacuated,
			})
		}
	}
	return fairway.NewCatalog(endpoints)
}

func (sim *simulation) updateCatalog() {
	if sim.assigner != nil {
		sim.step(sim.term, mooring.CatalogUpdated{Catalog: sim.catalog()})
	}
}

// step passes an event to the assigner of a term and executes its actions.
func (sim *simulation) step(term int, e mooring.Event) {
	assigner := sim.assignerOf(term)
	if assigner == nil {
		return
	}
	if sim.together > 0 && isResult(e) {
		sim.collect(term, e)
		return
	}
	for _, action := range assigner.Step(sim.now, e) {
		sim.execute(term, action)
	}
}

// isResult reports whether an event is the result of an action.
func isResult(e mooring.Event) bool {
	switch e.(type) {
	case mooring.TableLoaded, mooring.WriteSucceeded, mooring.WriteFailed, mooring.OrderCompleted:
		return true
	default:
		return false
	}
}

// collect keeps the result of an action for a placer that is busy.
func (sim *simulation) collect(term int, e mooring.Event) {
	if sim.collected == nil {
		sim.collected = make(map[int][]mooring.Event)
	}
	if len(sim.collected[term]) == 0 {
		sim.schedule(sim.together, func() {
			events := sim.collected[term]
			sim.collected[term] = nil
			if assigner := sim.assignerOf(term); assigner != nil {
				for _, action := range assigner.Step(sim.now, events...) {
					sim.execute(term, action)
				}
			}
		})
	}
	sim.collected[term] = append(sim.collected[term], e)
}

func (sim *simulation) execute(term int, action mooring.Action) {
	n := sim.interactions
	sim.interactions++
	injected := sim.faultAt[n]
	switch a := action.(type) {
	case mooring.LoadTable:
		sim.storeCalls++
		sim.load(term)
	case mooring.WriteTable:
		sim.storeCalls++
		for _, m := range a.Moves {
			if m.Reason != mooring.ReasonFormerOwnerCleared && m.Token <= m.FormerToken {
				sim.reportViolation("keys %v go to %s under token %d, after %d", m.KeyRange, m.To, m.Token, m.FormerToken)
			}
		}
		sim.write(term, a, injected)
	case mooring.SendOrder:
		sim.send(term, a.Order, injected)
	}
	switch injected {
	case faultPlacerDies:
		sim.killPlacer()
	case faultPartition:
		sim.partition(partitionTime)
	case faultHalfCut:
		sim.halveReach(pathOutageTime)
	case faultPathHangs, faultPathRefused, faultPathMoves:
		sim.losePath(pathOutageTime, injected == faultPathRefused, injected == faultPathMoves)
	case faultStoreOut, faultStoreOutLater:
		sim.stopStore(storeOutage, false)
	case faultStoreForgetful:
		sim.stopStore(storeOutage, true)
	case faultRestored:
		sim.restoreStore(true)
	case faultRestoredTwice:
		sim.restoreStore(true)
		sim.schedule(copyAge/2, func() { sim.restoreStore(true) })
	case faultRestoredLost:
		sim.restoreStore(false)
	case faultRestoredIsolated:
		if sim.assigner != nil && sim.formerAssigner == nil && sim.now >= sim.storeOutUntil {
			sim.isolatePlacer(partitionTime)
			sim.restoreStore(false)
		}
	default:
	}
}

func (sim *simulation) write(term int, a mooring.WriteTable, injected fault) {
	era := sim.era
	apply := func() bool {
		// Since the first term of an era, no write of an earlier one takes effect.
		if era < sim.fenced {
			return false
		}
		// A write of an earlier term fails because the placer's record has
		// changed. A term lasts until the next one begins.
		if a.Revision != sim.revision || term < sim.term-1 || term != sim.term && sim.assigner != nil {
			return false
		}
		sim.revision++
		sim.recorded = a.Table
		sim.history = append(sim.history, recordedTable{at: sim.now, table: a.Table, revision: sim.revision})
		return true
	}
	if sim.storeUnreachable(term) || sim.losesWrites {
		injected = faultLost
	}
	switch injected {
	case faultLost, faultStoreOut:
		sim.schedule(time.Second, func() { sim.step(term, mooring.WriteFailed{}) })
	case faultResponseLost, faultStoreForgetful:
		sim.schedule(latency, func() { apply() })
		sim.schedule(time.Second, func() { sim.step(term, mooring.WriteFailed{}) })
	case faultLate:
		sim.schedule(2500*time.Millisecond, func() { apply() })
		sim.schedule(time.Second, func() { sim.step(term, mooring.WriteFailed{}) })
	default:
		sim.schedule(latency, func() {
			if !apply() {
				sim.step(term, mooring.WriteFailed{})
				return
			}
			revision := sim.revision
			sim.schedule(latency, func() { sim.step(term, mooring.WriteSucceeded{Revision: revision}) })
		})
	}
}

// send delivers an order to the current instance of the server. An order names the
// server by its id, so every instance at its address executes it.
func (sim *simulation) send(term int, order mooring.Order, injected fault) {
	began := sim.now
	target := sim.servers[order.To.Server]
	sim.injectServerFault(target, injected)
	if target != nil {
		target.inFlight++
		sim.mostInFlight = max(sim.mostInFlight, target.inFlight)
	}
	current := sim.servers[order.To.Server]
	key := sessionKey{term: term, server: order.To.Server}
	sentIn := sim.sessionWith(key, current)
	respond := func(d time.Duration, r mooring.Result, handover string) {
		if r == mooring.ResultNoResponse {
			delete(sim.sessions, key)
		}
		sim.schedule(d, func() {
			if target != nil {
				target.inFlight--
			}
			sim.regainPath(term, r)
			sim.step(term, mooring.OrderCompleted{Order: order, Result: r, Session: sentIn, Handover: handover, Began: began, Ended: sim.now})
		})
	}
	switch {
	case term == sim.lostPathTerm && sim.now < sim.lostPathUntil && sim.lostPathRefused:
		respond(latency, mooring.ResultNotSent, "")
	case current != nil && sim.unreachable(current, term):
		respond(350*time.Millisecond, mooring.ResultNoResponse, "")
	case current == nil || !current.up:
		respond(latency, mooring.ResultNotSent, "")
	case current.instance.Address != order.To.Address:
		respond(latency, mooring.ResultMisdirected, "")
	case !order.Release && order.Session != 0 && order.Session != sentIn:
		respond(latency, mooring.ResultSessionEnded, "")
	case injected == faultLost:
		respond(350*time.Millisecond, mooring.ResultNoResponse, "")
	case injected == faultResponseLost || current.dropsResponses:
		sim.schedule(latency, func() { sim.executeOrder(current, order, sim.now) })
		respond(350*time.Millisecond, mooring.ResultNoResponse, "")
	case injected == faultLate:
		arrived := sim.now
		sim.schedule(5*time.Second, func() { sim.executeOrder(current, order, arrived) })
		respond(350*time.Millisecond, mooring.ResultNoResponse, "")
	default:
		sim.schedule(latency, func() {
			r, handover := sim.executeOrder(current, order, sim.now)
			respond(latency, r, handover)
		})
	}
}

// sessionWith returns the session of a placer with a server. It begins a new one if
// there is none with the server's current instance.
func (sim *simulation) sessionWith(key sessionKey, s *simServer) mooring.SessionID {
	if s == nil {
		return 0
	}
	if known, ok := sim.sessions[key]; ok && known.instance == s.instance {
		return known.id
	}
	sim.lastSession++
	sim.sessions[key] = session{id: sim.lastSession, instance: s.instance}
	return sim.lastSession
}

// injectServerFault makes a server fail.
func (sim *simulation) injectServerFault(s *simServer, injected fault) {
	if s == nil {
		return
	}
	switch injected {
	case faultServerDies:
		s.up = false
		sim.schedule(2600*time.Millisecond, func() { s.listed = false; sim.updateCatalog() })
	case faultServerRestarts:
		sim.restart(s, 300*time.Millisecond)
	case faultAddressReused:
		s.up = false
		s.listed = false
		sim.addServer(s.instance.Server+"n", s.instance.Address)
		sim.schedule(2600*time.Millisecond, sim.updateCatalog)
	case faultNetworkCut:
		s.cutUntil = sim.now.Add(8 * time.Second)
		sim.schedule(2600*time.Millisecond, func() { s.listed = false; sim.updateCatalog() })
		sim.schedule(9*time.Second, func() { s.listed = true; sim.updateCatalog() })
	case faultDrain:
		s.draining = true
		sim.schedule(latency, sim.updateCatalog)
		sim.schedule(6*time.Second, func() { s.up = false; s.listed = false; sim.updateCatalog() })
	}
}

// executeOrder executes an order at a server by the rules of the platform: a
// grant is rejected as a whole if any of its keys has a higher token, and a
// release is always accepted.
func (sim *simulation) executeOrder(s *simServer, order mooring.Order, arrived mooring.Instant) (mooring.Result, string) {
	if !s.up {
		return mooring.ResultNoResponse, ""
	}
	if !order.Release {
		for i, key := range sampledKeys {
			if order.KeyRange.Contains(key) && s.tokens[i] > order.Token {
				return mooring.ResultSuperseded, ""
			}
		}
	}
	if id := fmt.Sprintf("%v %d", order.KeyRange, order.Token); !order.Release {
		if _, granted := sim.grantedWith[id]; !granted {
			sim.grantedWith[id] = order.Handover
		}
	}
	for i, key := range sampledKeys {
		if !order.KeyRange.Contains(key) {
			continue
		}
		s.tokens[i] = max(s.tokens[i], order.Token)
		if order.Release {
			s.heldUntil[i] = 0
			continue
		}
		s.heldUntil[i] = arrived.Add(time.Duration(float64(order.Hold) / (1 - slowClock)))
		if s.heldUntil[i] > sim.now && sim.lastOwner[key] != s.instance {
			if order.Token <= sim.highestToken[key] {
				sim.reportViolation("key %d: %v is granted token %d after token %d of %v", key, s.instance, order.Token, sim.highestToken[key], sim.lastOwner[key])
			}
			sim.lastOwner[key] = s.instance
		}
		sim.highestToken[key] = max(sim.highestToken[key], order.Token)
	}
	return mooring.ResultAccepted, "handover"
}

// holds reports whether a server holds all sampled keys of a range.
func (sim *simulation) holds(instance mooring.ServerInstance, keys mooring.KeyRange) bool {
	s := sim.servers[instance.Server]
	for i, key := range sampledKeys {
		if keys.Contains(key) && (!s.up || s.heldUntil[i] <= sim.now) {
			return false
		}
	}
	return true
}

// holderCounts returns how many servers hold each sampled key.
func (sim *simulation) holderCounts() map[mooring.Key]int {
	counts := make(map[mooring.Key]int)
	for i, key := range sampledKeys {
		counts[key] = 0
		for _, s := range sim.servers {
			if s.up && s.heldUntil[i] > sim.now {
				counts[key]++
			}
		}
	}
	return counts
}

// unheldKeys returns the sampled keys that their recorded owner does not hold.
func (sim *simulation) unheldKeys() []mooring.Key {
	var keys []mooring.Key
	for i, key := range sampledKeys {
		owner := sim.servers[sim.recorded.Find(key).Owner.Server]
		if owner == nil || !owner.up || owner.heldUntil[i] <= sim.now {
			keys = append(keys, key)
		}
	}
	return keys
}
