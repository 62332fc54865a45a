package mooring

import (
	"time"

	"hornbeamwinch.example/fairway"
)

// Timing has the times of a [Assigner].
type Timing struct {
	// Hold is how long a server holds its keys after a grant.
	Hold time.Duration
	// RenewInterval is the time between two grants of the same keys.
	RenewInterval time.Duration
	// HoldMargin is added to a hold before it counts as run out.
	HoldMargin time.Duration
	// InitialDelay is how long the first assignment waits after another server has
	// appeared, and SettleMost how long in all.
	InitialDelay    time.Duration
	MaxInitialDelay time.Duration
	// RebalanceInterval is the time between two looks at the load.
	RebalanceInterval time.Duration
	// MinWriteInterval is the least time between two writes, which lets changes be
	// written together.
	MinWriteInterval time.Duration
}

// AssignerConfig configures a [Assigner].
type AssignerConfig struct {
	Service fairway.ServiceName
	// Now is when the term began.
	Now Instant
	// PredecessorUntil is the latest moment at which an order of an earlier
	// placer may arrive, unless [PredecessorEnded] brings an earlier one. A
	// placer renews grants for a while after it has lost the store.
	PredecessorUntil Instant
	Timing           Timing
}

// Assigner keeps the assignment of one service. It is a pure state machine and
// not safe for concurrent use.
type Assigner struct {
	cfg AssignerConfig
	// now is the time of the current step.
	now Instant
	// predecessorUntil is the latest moment at which a grant of an earlier
	// placer may have arrived, as far as known.
	predecessorUntil Instant
	// writesBarred says that the store takes no writes of this placer.
	writesBarred bool

	recorded *Table
	revision StoreRevision
	// pending is the table of a write without an answer yet.
	pending *Table
	loading bool

	catalog *fairway.Catalog
	servers map[ServerInstance]*server
	rows    map[rowID]*rowState
	load    *loadModel
	balance Instant
	// wrote is when the last write was sent.
	wrote Instant
	// settle is when the first assignment is made, for as many servers as known.
	settle Instant
	known  int

	actions []Action
}

// rowID names a range under one token.
type rowID struct {
	KeyRange KeyRange
	Fence    Token
}

// rowState is what the keeper knows of a row besides the record.
type rowState struct {
	// cleared has the former owners that hold nothing any more.
	cleared  map[ServerInstance]bool
	handover string
	// granted is when the owner last accepted the row.
	granted   Instant
	confirmed bool
	inFlight  bool
	// superseded says that the owner has seen a higher token.
	superseded bool
}

// NewAssigner returns a keeper that knows nothing yet.
func NewAssigner(cfg AssignerConfig) *Assigner {
	return &Assigner{
		cfg:              cfg,
		predecessorUntil: max(cfg.PredecessorUntil, cfg.Now),
		catalog:          fairway.NewCatalog(nil),
		servers:          make(map[ServerInstance]*server),
		rows:             make(map[rowID]*rowState),
		load:             newLoadModel(),
		settle:           cfg.Now.Add(cfg.Timing.InitialDelay),
	}
}

// Table returns the recorded table, or nil while it is not known.
func (k *Assigner) Table() *Table {
	return k.recorded
}

// Step takes an event and returns what has to be done.
func (k *Assigner) Step(now Instant, e Event) []Action {
	k.now = now
	k.actions = nil
	switch e := e.(type) {
	case TableLoaded:
		k.loaded(e)
	case WriteSucceeded:
		k.adopt(k.pending, e.Revision)
	case WriteFailed:
		k.pending = nil
		k.reload()
	case CatalogUpdated:
		k.catalog = e.Catalog
		if n := len(e.Catalog.ByService(k.cfg.Service)); n > k.known {
			k.known = n
			k.settle = min(now.Add(k.cfg.Timing.InitialDelay), k.cfg.Now.Add(k.cfg.Timing.MaxInitialDelay))
		}
	case OrderCompleted:
		k.answered(e)
	case LoadReported:
		k.load.observe(e)
		k.heard(e)
	case WritesAllowed:
		k.writesBarred = !e.Allowed
	case PredecessorEnded:
		k.predecessorUntil = min(k.predecessorUntil, e.At)
	case Tick:
	}
	k.plan()
	return k.actions
}

func (k *Assigner) reload() {
	if !k.loading {
		k.loading = true
		k.actions = append(k.actions, LoadTable{})
	}
}

func (k *Assigner) loaded(e TableLoaded) {
	k.loading = false
	table := e.Table
	if table == nil {
		table = NewTable(k.cfg.Service)
	}
	k.adopt(table, e.Revision)
}

// adopt takes table as recorded and forgets the state of rows that it lacks.
func (k *Assigner) adopt(table *Table, revision StoreRevision) {
	if table == nil {
		return
	}
	k.recorded, k.revision, k.pending = table, revision, nil
	kept := make(map[rowID]*rowState, len(table.Assignments))
	for i := range table.Assignments {
		id := idOf(&table.Assignments[i])
		if state := k.rows[id]; state != nil {
			kept[id] = state
		}
	}
	k.rows = kept
}

func idOf(r *Assignment) rowID {
	return rowID{KeyRange: r.KeyRange, Fence: r.Token}
}

func (k *Assigner) row(r *Assignment) *rowState {
	id := idOf(r)
	state := k.rows[id]
	if state == nil {
		state = &rowState{cleared: make(map[ServerInstance]bool)}
		k.rows[id] = state
	}
	return state
}

// server returns the state of one run of a server.
func (k *Assigner) server(h ServerInstance) *server {
	s := k.servers[h]
	if s == nil {
		s = &server{}
		k.servers[h] = s
	}
	return s
}

// lastGrant returns the latest moment at which a grant may have arrived at a
// server, whichever placer sent it.
func (k *Assigner) lastGrant(s *server) Instant {
	return max(s.lastGrant, k.predecessorUntil)
}

func (k *Assigner) answered(e OrderCompleted) {
	s := k.server(e.Order.To)
	s.inFlight--
	if e.Order.Release {
		k.released(e, s)
	} else {
		s.grants--
		k.granted(e, s)
	}
	switch e.Result {
	case ResultAccepted, ResultSuperseded:
		s.failures = 0
	case ResultNotTried:
		s.retryAt = k.now.Add(retryOrder)
	default:
		s.failures++
		s.unanswered = e.Result == ResultNoAnswer
		s.retryAt = k.now.Add(retryOrder)
		if s.failures == unreachableAfter {
			s.doubtedAt = k.now
		}
		if s.failures >= unreachableAfter {
			s.avoidUntil = k.now.Add(min(time.Duration(s.failures)*returnGrace/unreachableAfter, maxAvoid))
		}
	}
}

func (k *Assigner) released(e OrderCompleted, _ *server) {
	for i := range k.recorded.Assignments {
		r := &k.recorded.Assignments[i]
		if r.Token != e.Order.Token || r.From < e.Order.KeyRange.From || r.To > e.Order.KeyRange.To {
			continue
		}
		state := k.row(r)
		state.inFlight = false
		switch e.Result {
		case ResultAccepted:
			state.cleared[e.Order.To] = true
			state.handover = e.Handover
		case ResultMisdirected:
			state.cleared[e.Order.To] = true
		default:
		}
	}
}

func (k *Assigner) granted(e OrderCompleted, s *server) {
	switch e.Result {
	case ResultNotSent, ResultNotTried, ResultMisdirected, ResultSuperseded, ResultRejected:
	default:
		s.lastGrant = max(s.lastGrant, e.Ended)
	}
	state := k.rows[rowID{KeyRange: e.Order.KeyRange, Fence: e.Order.Token}]
	if state == nil {
		return
	}
	state.inFlight = false
	switch e.Result {
	case ResultAccepted:
		state.granted = e.Began
		state.confirmed = true
	case ResultSuperseded:
		state.superseded = true
	default:
	}
}

// plan sends the orders that are due and writes the changes that are needed.
//
// A record that is being read again may be older than the one in the store.
// Its orders are safe all the same: they bear tokens that are not above those
// of the newer record, and a grant delays the end of the hold that the newer
// record waits for.
func (k *Assigner) plan() {
	if k.recorded == nil {
		if !k.writesBarred {
			k.reload()
		}
		return
	}
	for i := range k.recorded.Assignments {
		k.order(i)
	}
	if k.pending == nil && !k.loading && !k.writesBarred && k.now.Sub(k.wrote) >= k.cfg.Timing.MinWriteInterval {
		k.write()
	}
	k.forget()
}

// order sends what is due for the recorded row at index i.
func (k *Assigner) order(i int) {
	r := &k.recorded.Assignments[i]
	state := k.row(r)
	if state.inFlight || r.Owner.Server == "" {
		return
	}
	if r.Moving() {
		if h, ok := k.unreleased(r); ok && k.server(h).free(k.now) {
			k.release(i, h)
		}
		return
	}
	s := k.server(r.Owner)
	due := !state.confirmed || k.now.Sub(state.granted) >= k.cfg.Timing.RenewInterval
	if due && !state.superseded && s.grantable(k.now) && k.fit(r.Owner) == "" {
		state.inFlight = true
		k.send(Order{KeyRange: r.KeyRange, Token: r.Token, To: r.Owner, Hold: k.cfg.Timing.Hold, Handover: r.Handover})
	}
}

// unreleased returns the first former owner of a row that may hold keys of it.
func (k *Assigner) unreleased(r *Assignment) (ServerInstance, bool) {
	for _, h := range r.FormerOwners {
		if !k.clear(r, h) {
			return h, true
		}
	}
	return ServerInstance{}, false
}

// release takes back the row at index i from a former owner, together with the
// rows after it that went away from the same owner under the same token.
func (k *Assigner) release(i int, h ServerInstance) {
	first := &k.recorded.Assignments[i]
	o := Order{KeyRange: first.KeyRange, Token: first.Token, To: h, Release: true}
	for j := i; j < len(k.recorded.Assignments); j++ {
		r := &k.recorded.Assignments[j]
		state := k.row(r)
		if other, ok := k.unreleased(r); !ok || other != h || r.Token != first.Token || state.inFlight {
			break
		}
		state.inFlight = true
		o.KeyRange.To = r.To
	}
	k.send(o)
}

func (k *Assigner) send(o Order) {
	s := k.server(o.To)
	s.inFlight++
	if !o.Release {
		s.grants++
	}
	k.actions = append(k.actions, SendOrder{Order: o})
}

// write records the changes that are due, if there are any.
func (k *Assigner) write() {
	next := k.recorded.clone()
	moves := k.clearFormer(next)
	if candidates := k.candidates(); len(candidates) > 0 {
		moves = append(moves, k.replaceOwners(next, candidates)...)
		moves = append(moves, k.rebalance(next, candidates)...)
	}
	if len(moves) == 0 {
		return
	}
	for i := range next.Assignments {
		r := &next.Assignments[i]
		if !r.Moving() && r.Handover != "" && k.row(r).confirmed {
			r.Handover = ""
		}
	}
	k.pending = next
	k.wrote = k.now
	k.actions = append(k.actions, WriteTable{Table: next, Revision: k.revision, Moves: moves})
}

// clearFormer drops former owners that hold nothing any more.
func (k *Assigner) clearFormer(next *Table) []Move {
	var moves []Move
	for i := range next.Assignments {
		r := &next.Assignments[i]
		if !r.Moving() {
			continue
		}
		var left []ServerInstance
		for _, h := range r.FormerOwners {
			if !k.clear(r, h) {
				left = append(left, h)
			}
		}
		if len(left) == len(r.FormerOwners) {
			continue
		}
		moves = append(moves, Move{
			KeyRange: r.KeyRange, From: r.FormerOwners[0].Server, To: r.Owner.Server, Token: r.Token, Reason: ReasonFormerOwnerCleared,
		})
		r.FormerOwners = left
		r.Handover = k.row(r).handover
	}
	return moves
}
