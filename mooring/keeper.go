package mooring

import (
	"time"

	"hornbeamwinch.example/fairway"
)

// Timing has the times of a [Keeper].
type Timing struct {
	// Hold is how long a server holds its keys after a grant.
	Hold time.Duration
	// Renew is the time between two grants of the same keys.
	Renew time.Duration
	// Margin is added to a hold before it counts as run out.
	Margin time.Duration
	// Settle is how long the first assignment waits after another server has
	// appeared, and SettleMost how long in all.
	Settle     time.Duration
	SettleMost time.Duration
	// Balance is the time between two looks at the load.
	Balance time.Duration
	// WriteGap is the least time between two writes, which lets changes be
	// written together.
	WriteGap time.Duration
}

// KeeperConfig configures a [Keeper].
type KeeperConfig struct {
	Service fairway.ServiceName
	// Now is when the term began.
	Now Instant
	// PredecessorUntil is the latest moment at which an order of an earlier
	// placer may arrive, unless [PredecessorEnded] brings an earlier one. A
	// placer renews grants for a while after it has lost the store.
	PredecessorUntil Instant
	Timing           Timing
}

// Keeper keeps the assignment of one service. It is a pure state machine and
// not safe for concurrent use.
type Keeper struct {
	cfg KeeperConfig
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
	servers map[Holder]*server
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
	Span  Span
	Fence Fence
}

// rowState is what the keeper knows of a row besides the record.
type rowState struct {
	// cleared has the former owners that hold nothing any more.
	cleared  map[Holder]bool
	handover string
	// granted is when the owner last accepted the row.
	granted   Instant
	confirmed bool
	inFlight  bool
	// superseded says that the owner has seen a higher token.
	superseded bool
}

// NewKeeper returns a keeper that knows nothing yet.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{
		cfg:              cfg,
		predecessorUntil: max(cfg.PredecessorUntil, cfg.Now),
		catalog:          fairway.NewCatalog(nil),
		servers:          make(map[Holder]*server),
		rows:             make(map[rowID]*rowState),
		load:             newLoadModel(),
		settle:           cfg.Now.Add(cfg.Timing.Settle),
	}
}

// Table returns the recorded table, or nil while it is not known.
func (k *Keeper) Table() *Table {
	return k.recorded
}

// Step takes an event and returns what has to be done.
func (k *Keeper) Step(now Instant, e Event) []Action {
	k.now = now
	k.actions = nil
	switch e := e.(type) {
	case Loaded:
		k.loaded(e)
	case Recorded:
		k.adopt(k.pending, e.Revision)
	case WriteFailed:
		k.pending = nil
		k.reload()
	case Sighted:
		k.catalog = e.Catalog
		if n := len(e.Catalog.Of(k.cfg.Service)); n > k.known {
			k.known = n
			k.settle = min(now.Add(k.cfg.Timing.Settle), k.cfg.Now.Add(k.cfg.Timing.SettleMost))
		}
	case Answered:
		k.answered(e)
	case Observed:
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

func (k *Keeper) reload() {
	if !k.loading {
		k.loading = true
		k.actions = append(k.actions, Load{})
	}
}

func (k *Keeper) loaded(e Loaded) {
	k.loading = false
	table := e.Table
	if table == nil {
		table = NewTable(k.cfg.Service)
	}
	k.adopt(table, e.Revision)
}

// adopt takes table as recorded and forgets the state of rows that it lacks.
func (k *Keeper) adopt(table *Table, revision StoreRevision) {
	if table == nil {
		return
	}
	k.recorded, k.revision, k.pending = table, revision, nil
	kept := make(map[rowID]*rowState, len(table.Rows))
	for i := range table.Rows {
		id := idOf(&table.Rows[i])
		if state := k.rows[id]; state != nil {
			kept[id] = state
		}
	}
	k.rows = kept
}

func idOf(r *Row) rowID {
	return rowID{Span: r.Span, Fence: r.Fence}
}

func (k *Keeper) row(r *Row) *rowState {
	id := idOf(r)
	state := k.rows[id]
	if state == nil {
		state = &rowState{cleared: make(map[Holder]bool)}
		k.rows[id] = state
	}
	return state
}

// server returns the state of one run of a server.
func (k *Keeper) server(h Holder) *server {
	s := k.servers[h]
	if s == nil {
		s = &server{}
		k.servers[h] = s
	}
	return s
}

// lastGrant returns the latest moment at which a grant may have arrived at a
// server, whichever placer sent it.
func (k *Keeper) lastGrant(s *server) Instant {
	return max(s.lastGrant, k.predecessorUntil)
}

func (k *Keeper) answered(e Answered) {
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

func (k *Keeper) released(e Answered, _ *server) {
	for i := range k.recorded.Rows {
		r := &k.recorded.Rows[i]
		if r.Fence != e.Order.Fence || r.From < e.Order.Span.From || r.To > e.Order.Span.To {
			continue
		}
		state := k.row(r)
		state.inFlight = false
		switch e.Result {
		case ResultAccepted:
			state.cleared[e.Order.To] = true
			state.handover = e.Handover
		case ResultElsewhere:
			state.cleared[e.Order.To] = true
		default:
		}
	}
}

func (k *Keeper) granted(e Answered, s *server) {
	switch e.Result {
	case ResultNotSent, ResultNotTried, ResultElsewhere, ResultSuperseded, ResultRejected:
	default:
		s.lastGrant = max(s.lastGrant, e.Ended)
	}
	state := k.rows[rowID{Span: e.Order.Span, Fence: e.Order.Fence}]
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
func (k *Keeper) plan() {
	if k.recorded == nil {
		if !k.writesBarred {
			k.reload()
		}
		return
	}
	for i := range k.recorded.Rows {
		k.order(i)
	}
	if k.pending == nil && !k.loading && !k.writesBarred && k.now.Sub(k.wrote) >= k.cfg.Timing.WriteGap {
		k.write()
	}
	k.forget()
}

// order sends what is due for the recorded row at index i.
func (k *Keeper) order(i int) {
	r := &k.recorded.Rows[i]
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
	due := !state.confirmed || k.now.Sub(state.granted) >= k.cfg.Timing.Renew
	if due && !state.superseded && s.grantable(k.now) && k.fit(r.Owner) == "" {
		state.inFlight = true
		k.send(Order{Span: r.Span, Fence: r.Fence, To: r.Owner, Hold: k.cfg.Timing.Hold, Handover: r.Handover})
	}
}

// unreleased returns the first former owner of a row that may hold keys of it.
func (k *Keeper) unreleased(r *Row) (Holder, bool) {
	for _, h := range r.Former {
		if !k.clear(r, h) {
			return h, true
		}
	}
	return Holder{}, false
}

// release takes back the row at index i from a former owner, together with the
// rows after it that went away from the same owner under the same token.
func (k *Keeper) release(i int, h Holder) {
	first := &k.recorded.Rows[i]
	o := Order{Span: first.Span, Fence: first.Fence, To: h, Release: true}
	for j := i; j < len(k.recorded.Rows); j++ {
		r := &k.recorded.Rows[j]
		state := k.row(r)
		if other, ok := k.unreleased(r); !ok || other != h || r.Fence != first.Fence || state.inFlight {
			break
		}
		state.inFlight = true
		o.Span.To = r.To
	}
	k.send(o)
}

func (k *Keeper) send(o Order) {
	s := k.server(o.To)
	s.inFlight++
	if !o.Release {
		s.grants++
	}
	k.actions = append(k.actions, Send{Order: o})
}

// write records the changes that are due, if there are any.
func (k *Keeper) write() {
	next := k.recorded.clone()
	moves := k.clearFormer(next)
	if candidates := k.candidates(); len(candidates) > 0 {
		moves = append(moves, k.replaceOwners(next, candidates)...)
		moves = append(moves, k.rebalance(next, candidates)...)
	}
	if len(moves) == 0 {
		return
	}
	for i := range next.Rows {
		r := &next.Rows[i]
		if !r.Moving() && r.Handover != "" && k.row(r).confirmed {
			r.Handover = ""
		}
	}
	k.pending = next
	k.wrote = k.now
	k.actions = append(k.actions, Write{Table: next, Revision: k.revision, Moves: moves})
}

// clearFormer drops former owners that hold nothing any more.
func (k *Keeper) clearFormer(next *Table) []Move {
	var moves []Move
	for i := range next.Rows {
		r := &next.Rows[i]
		if !r.Moving() {
			continue
		}
		var left []Holder
		for _, h := range r.Former {
			if !k.clear(r, h) {
				left = append(left, h)
			}
		}
		if len(left) == len(r.Former) {
			continue
		}
		moves = append(moves, Move{
			Span: r.Span, From: r.Former[0].Server, To: r.Owner.Server, Fence: r.Fence, Reason: ReasonCleared,
		})
		r.Former = left
		r.Handover = k.row(r).handover
	}
	return moves
}
