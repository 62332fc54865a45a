package mooring_test

import (
	"fmt"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const service fairway.ServiceName = "readings"

// sampled are the keys whose holders the world watches.
var sampled = func() []mooring.Key {
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
	lease = 1800 * time.Millisecond
	// slowClock is the part by which servers' clocks run slow.
	slowClock = 0.02
	step      = 10 * time.Millisecond
	// ticksPer is the number of steps between two ticks of the keeper.
	ticksPer = 4
	latency  = 2 * time.Millisecond
	// reach is how long after its lease a placer may still renew grants.
	reach = 10 * time.Second
	// partitionTime is how long a partition lasts.
	partitionTime = 6 * time.Second
)

// fault is what goes wrong with one interaction.
type fault string

const (
	faultNone        fault = ""
	faultLost        fault = "lost on the way"
	faultAnswerLost  fault = "answer lost"
	faultLate        fault = "carried out late"
	faultPlacerDies  fault = "placer dies"
	faultServerDies  fault = "server dies"
	faultServerBack  fault = "server restarts under its id"
	faultServerMoved fault = "address goes to a new server"
	faultCut         fault = "placer and server are cut off"
	faultDrain       fault = "server drains"
	faultPartition   fault = "placer and half of the servers are cut off from the store"
)

var faults = []fault{
	faultLost, faultAnswerLost, faultLate, faultPlacerDies, faultServerDies, faultServerBack,
	faultServerMoved, faultCut, faultDrain, faultPartition,
}

// simServer is one run of a backend server.
type simServer struct {
	holder mooring.ServerInstance
	up     bool
	// cut servers cannot be reached by the placer; listed says whether their
	// entry is in the list.
	cutUntil mooring.Instant
	// mute servers carry orders out, but their answers are lost.
	mute     bool
	listed   bool
	draining bool
	// fences and until are by the index of the sampled key.
	fences   []mooring.Token
	until    []mooring.Instant
	inFlight int
}

// later is something that happens at a time.
type later struct {
	at  mooring.Instant
	seq int
	do  func()
}

// world runs keepers against servers and a store that misbehave.
type world struct {
	now      mooring.Instant
	pending  []later
	seq      int
	servers  map[fairway.ServerID]*simServer
	born     fairway.Incarnation
	recorded *mooring.Table
	revision mooring.StoreRevision
	term     int
	keeper   *mooring.Assigner
	// former is the keeper of a placer that has lost the store and the servers
	// of the other side, but not those of its own.
	former     *mooring.Assigner
	formerTerm int
	// highest has the highest fence each key was taken with, and by whom.
	highest map[mooring.Key]mooring.Token
	taker   map[mooring.Key]mooring.ServerInstance
	// faultAt injects a fault at an interaction.
	faultAt      map[int]fault
	interactions int
	// calls counts the calls to the store.
	calls        int
	steps        int
	broken       []string
	mostInFlight int
}

func newWorld(servers int) *world {
	w := &world{
		now:     mooring.Instant(time.Minute),
		servers: make(map[fairway.ServerID]*simServer),
		born:    1000,
		highest: make(map[mooring.Key]mooring.Token),
		taker:   make(map[mooring.Key]mooring.ServerInstance),
		faultAt: make(map[int]fault),
	}
	for i := range servers {
		w.addServer(fairway.ServerID(fmt.Sprintf("s%d", i)), fmt.Sprintf("10.0.0.%d:80", i))
	}
	w.startPlacer()
	return w
}

func (w *world) addServer(id fairway.ServerID, address string) *simServer {
	w.born++
	s := &simServer{
		holder: mooring.ServerInstance{Server: id, Incarnation: w.born, Address: address},
		up:     true, listed: true,
		fences: make([]mooring.Token, len(sampled)),
		until:  make([]mooring.Instant, len(sampled)),
	}
	w.servers[id] = s
	return s
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	w.pending = append(w.pending, later{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now < end {
		w.now = w.now.Add(step)
		acted := false
		for next := w.due(); next != nil; next = w.due() {
			next.do()
			acted = true
		}
		if w.steps++; w.steps%ticksPer == 0 {
			w.step(w.term, mooring.Tick{})
			w.step(w.formerTerm, mooring.Tick{})
		}
		if acted {
			w.check()
		}
	}
}

// due takes the earliest pending event whose time has come.
func (w *world) due() *later {
	first := -1
	for i, l := range w.pending {
		if l.at <= w.now && (first < 0 || l.at < w.pending[first].at || l.at == w.pending[first].at && l.seq < w.pending[first].seq) {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	next := w.pending[first]
	w.pending = append(w.pending[:first], w.pending[first+1:]...)
	return &next
}

// maxBreaches bounds the list of broken promises; the first ones tell most.
const maxBreaches = 8

func (w *world) breach(format string, args ...any) {
	if len(w.broken) >= maxBreaches {
		return
	}
	w.broken = append(w.broken, fmt.Sprintf("%v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

// check compares the holders of every sampled key.
func (w *world) check() {
	holders := make([]fairway.ServerID, len(sampled))
	for id, s := range w.servers {
		if !s.up {
			continue
		}
		for i, until := range s.until {
			if until <= w.now {
				continue
			}
			if holders[i] != "" {
				w.breach("key %d is held by %s and %s", sampled[i], id, holders[i])
			}
			holders[i] = id
		}
	}
}

// startPlacer begins a term with a keeper that knows nothing.
func (w *world) startPlacer() {
	w.term++
	w.keeper = mooring.NewAssigner(mooring.AssignerConfig{
		Service: service, Now: w.now, PredecessorUntil: w.now.Add(reach), Timing: timing,
	})
	w.step(w.term, mooring.CatalogUpdated{Catalog: w.catalog()})
	if w.former == nil {
		// The former placer's process is gone, which its host says.
		w.step(w.term, mooring.PredecessorEnded{At: w.now})
	}
}

func (w *world) killPlacer() {
	w.keeper = nil
	w.term++
	w.at(lease, w.startPlacer)
}

// partition cuts the placer and every second server off from the store and the
// rest, where another placer takes over.
func (w *world) partition(lasts time.Duration) {
	if w.keeper == nil || w.former != nil {
		return
	}
	healed := w.now.Add(lasts)
	for id, s := range w.servers {
		if id[1]%2 == 0 {
			s.cutUntil = healed
			w.at(2600*time.Millisecond, func() { s.listed = false; w.sightingsChanged() })
			w.at(lasts+time.Second, func() { s.listed = true; w.sightingsChanged() })
		}
	}
	w.former, w.formerTerm = w.keeper, w.term
	w.killPlacer()
	w.step(w.formerTerm, mooring.WritesAllowed{Allowed: false})
	w.at(lasts+latency, func() {
		w.former = nil
		w.step(w.term, mooring.PredecessorEnded{At: w.now})
	})
}

// keeperOf returns the keeper of a term that still acts.
func (w *world) keeperOf(term int) *mooring.Assigner {
	switch {
	case term == w.term:
		return w.keeper
	case w.former != nil && term == w.formerTerm:
		return w.former
	default:
		return nil
	}
}

// cutOff reports whether a server cannot be reached by the placer of a term.
func (w *world) cutOff(s *simServer, term int) bool {
	far := s.cutUntil > w.now
	if w.former != nil && term == w.formerTerm {
		return !far
	}
	return far
}

func (w *world) catalog() *fairway.Catalog {
	var sightings []fairway.Endpoint
	for id, s := range w.servers {
		if s.listed {
			sightings = append(sightings, fairway.Endpoint{
				ID: id, Service: service, Address: s.holder.Address, Incarnation: s.holder.Incarnation, Slots: 6, Draining: s.draining,
			})
		}
	}
	return fairway.NewCatalog(sightings)
}

func (w *world) sightingsChanged() {
	if w.keeper != nil {
		w.step(w.term, mooring.CatalogUpdated{Catalog: w.catalog()})
	}
}

// step steps the keeper of a term and carries out its actions.
func (w *world) step(term int, e mooring.Event) {
	keeper := w.keeperOf(term)
	if keeper == nil {
		return
	}
	for _, action := range keeper.Step(w.now, e) {
		w.carryOut(term, action)
	}
}

func (w *world) carryOut(term int, action mooring.Action) {
	n := w.interactions
	w.interactions++
	f := w.faultAt[n]
	switch a := action.(type) {
	case mooring.LoadTable:
		w.calls++
		table, revision := w.recorded, w.revision
		w.at(latency, func() { w.step(term, mooring.TableLoaded{Table: table, Revision: revision}) })
	case mooring.WriteTable:
		w.calls++
		w.write(term, a, f)
	case mooring.SendOrder:
		w.send(term, a.Order, f)
	}
	switch f {
	case faultPlacerDies:
		w.killPlacer()
	case faultPartition:
		w.partition(partitionTime)
	default:
	}
}

func (w *world) write(term int, a mooring.WriteTable, f fault) {
	apply := func() bool {
		// A write of an earlier term fails, because the placer's record has
		// changed. A term lasts until the next one begins.
		if a.Revision != w.revision || term < w.term-1 || term != w.term && w.keeper != nil {
			return false
		}
		w.revision++
		w.recorded = a.Table
		return true
	}
	switch f {
	case faultLost:
		w.at(time.Second, func() { w.step(term, mooring.WriteFailed{}) })
	case faultAnswerLost:
		w.at(latency, func() { apply() })
		w.at(time.Second, func() { w.step(term, mooring.WriteFailed{}) })
	case faultLate:
		w.at(2500*time.Millisecond, func() { apply() })
		w.at(time.Second, func() { w.step(term, mooring.WriteFailed{}) })
	default:
		w.at(latency, func() {
			if !apply() {
				w.step(term, mooring.WriteFailed{})
				return
			}
			revision := w.revision
			w.at(latency, func() { w.step(term, mooring.WriteSucceeded{Revision: revision}) })
		})
	}
}

// send delivers an order to whichever run has the address.
func (w *world) send(term int, o mooring.Order, f fault) {
	began := w.now
	target := w.servers[o.To.Server]
	w.strike(target, f)
	if target != nil {
		target.inFlight++
		w.mostInFlight = max(w.mostInFlight, target.inFlight)
	}
	answer := func(d time.Duration, r mooring.Result, handover string) {
		w.at(d, func() {
			if target != nil {
				target.inFlight--
			}
			w.step(term, mooring.OrderCompleted{Order: o, Result: r, Handover: handover, Began: began, Ended: w.now})
		})
	}
	now := w.servers[o.To.Server]
	switch {
	case now != nil && w.cutOff(now, term):
		answer(350*time.Millisecond, mooring.ResultNoAnswer, "")
	case now == nil || !now.up:
		answer(latency, mooring.ResultNotSent, "")
	case now.holder != o.To:
		answer(latency, mooring.ResultMisdirected, "")
	case f == faultLost:
		answer(350*time.Millisecond, mooring.ResultNoAnswer, "")
	case f == faultAnswerLost || now.mute:
		w.at(latency, func() { w.execute(now, o, w.now) })
		answer(350*time.Millisecond, mooring.ResultNoAnswer, "")
	case f == faultLate:
		arrived := w.now
		w.at(5*time.Second, func() { w.execute(now, o, arrived) })
		answer(350*time.Millisecond, mooring.ResultNoAnswer, "")
	default:
		w.at(latency, func() {
			r, handover := w.execute(now, o, w.now)
			answer(latency, r, handover)
		})
	}
}

// strike makes a server fail.
func (w *world) strike(s *simServer, f fault) {
	if s == nil {
		return
	}
	switch f {
	case faultServerDies:
		s.up = false
		w.at(2600*time.Millisecond, func() { s.listed = false; w.sightingsChanged() })
	case faultServerBack:
		s.up = false
		w.addServer(s.holder.Server, s.holder.Address)
		w.at(300*time.Millisecond, w.sightingsChanged)
	case faultServerMoved:
		s.up = false
		s.listed = false
		w.addServer(s.holder.Server+"n", s.holder.Address)
		w.at(2600*time.Millisecond, w.sightingsChanged)
	case faultCut:
		s.cutUntil = w.now.Add(8 * time.Second)
		w.at(2600*time.Millisecond, func() { s.listed = false; w.sightingsChanged() })
		w.at(9*time.Second, func() { s.listed = true; w.sightingsChanged() })
	case faultDrain:
		s.draining = true
		w.at(latency, w.sightingsChanged)
		w.at(6*time.Second, func() { s.up = false; s.listed = false; w.sightingsChanged() })
	}
}

// execute carries an order out at a server, with the rules of the platform: a
// grant that overlaps a higher token is refused whole, a release is obeyed.
func (w *world) execute(s *simServer, o mooring.Order, arrived mooring.Instant) (mooring.Result, string) {
	if !s.up {
		return mooring.ResultNoAnswer, ""
	}
	if !o.Release {
		for i, key := range sampled {
			if o.KeyRange.Contains(key) && s.fences[i] > o.Token {
				return mooring.ResultSuperseded, ""
			}
		}
	}
	for i, key := range sampled {
		if !o.KeyRange.Contains(key) {
			continue
		}
		s.fences[i] = max(s.fences[i], o.Token)
		if o.Release {
			s.until[i] = 0
			continue
		}
		s.until[i] = arrived.Add(time.Duration(float64(o.Hold) / (1 - slowClock)))
		if s.until[i] > w.now && w.taker[key] != s.holder {
			if o.Token <= w.highest[key] {
				w.breach("key %d: %v takes token %d after %d of %v", key, s.holder, o.Token, w.highest[key], w.taker[key])
			}
			w.taker[key] = s.holder
		}
		w.highest[key] = max(w.highest[key], o.Token)
	}
	return mooring.ResultAccepted, "handover"
}

// unheld returns the sampled keys that their owner in the record does not hold.
func (w *world) unheld() []mooring.Key {
	var keys []mooring.Key
	for i, key := range sampled {
		owner := w.servers[w.recorded.Find(key).Owner.Server]
		if owner == nil || !owner.up || owner.until[i] <= w.now {
			keys = append(keys, key)
		}
	}
	return keys
}
