package mooring

import (
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
)

// Timing holds the intervals of an [Assigner].
type Timing struct {
	// Hold is how long a server holds its keys after a grant.
	Hold time.Duration
	// RenewInterval is the time between two grants of the same keys.
	RenewInterval time.Duration
	// HoldMargin is added to a hold before it counts as expired.
	HoldMargin time.Duration
	// InitialDelay is how long the first assignment of keys waits for further
	// servers after one has registered. MaxInitialDelay bounds the whole wait.
	InitialDelay    time.Duration
	MaxInitialDelay time.Duration
	// RebalanceInterval is the time between two checks of the load.
	RebalanceInterval time.Duration
	// MinWriteInterval is the minimum time between two writes of the table. It
	// lets several changes be written together.
	MinWriteInterval time.Duration
}

// AssignerConfig holds the parameters of an [Assigner].
type AssignerConfig struct {
	Service fairway.ServiceName
	// Now is when the placer's term began.
	Now Instant
	// PredecessorUntil is the latest time at which an order of an earlier
	// placer may arrive, unless [PredecessorEnded] reports an earlier one. The
	// reason is that a placer continues to renew grants for some time after it
	// has lost its connection to the store.
	PredecessorUntil Instant
	// Era is the store's era in which the term began.
	Era Era
	// Recovery is what is known if the store came back from an older copy.
	Recovery Recovery
	Timing   Timing
}

// Assigner assigns the keys of one service to backend servers. It is a state
// machine without side effects and is not safe for concurrent use.
type Assigner struct {
	cfg AssignerConfig
	// now is the time of the current call of Step.
	now Instant
	// predecessorUntil is the latest time at which a grant of an earlier placer
	// may have arrived, according to the reports received so far.
	predecessorUntil Instant
	// writesBlocked is set while the store accepts no writes of this placer.
	writesBlocked bool
	// pathLost is set while failed orders indicate nothing about a single server.
	pathLost bool

	recorded *Table
	revision StoreRevision
	// restored is a loaded table that the store has brought back from an older copy,
	// until the recovered one is recorded. There is no recorded table meanwhile.
	// restoredToken is its next token as the store has it.
	restored      *Table
	restoredToken Token
	// known are the tables of earlier eras that hosts have read, this one's first, and
	// knownServers the servers that were registered then.
	known        []*Table
	knownServers []ServerInstance
	// reserve has the tokens that this placer may use without a write.
	reserve tokenReserve
	// pending is the table of the write in flight, or nil.
	pending *Table
	loading bool

	catalog      *fairway.Catalog
	servers      map[ServerInstance]*server
	assignments  map[assignmentID]*assignmentState
	load         *loadModel
	rebalancedAt Instant
	// wroteAt is when the last write was sent.
	wroteAt Instant
	// assignAfter is when keys without any owner are first assigned. It is
	// postponed when the number of servers exceeds mostServers, the highest
	// number seen so far.
	assignAfter Instant
	mostServers int

	actions []Action
}

// NewAssigner returns an assigner without a table. Its first step loads one.
func NewAssigner(cfg AssignerConfig) *Assigner {
	var known []*Table
	if t := cfg.Recovery.KnownTable; t != nil {
		known = append(known, t)
	}
	return &Assigner{
		cfg:              cfg,
		known:            known,
		knownServers:     cfg.Recovery.KnownServers,
		predecessorUntil: max(cfg.PredecessorUntil, cfg.Now),
		catalog:          fairway.NewCatalog(nil),
		servers:          make(map[ServerInstance]*server),
		assignments:      make(map[assignmentID]*assignmentState),
		load:             newLoadModel(),
		assignAfter:      cfg.Now.Add(cfg.Timing.InitialDelay),
	}
}

// Table returns the recorded table, or nil before it has been loaded.
func (a *Assigner) Table() *Table {
	return a.recorded
}

// UnrecordedGrants returns the assignments whose owners have accepted a grant
// while the recorded table still lists former owners.
func (a *Assigner) UnrecordedGrants() []Assignment {
	if a.recorded == nil {
		return nil
	}
	var granted []Assignment
	for i := range a.recorded.Assignments {
		r := &a.recorded.Assignments[i]
		if r.Moving() && a.stateOf(r).confirmed {
			granted = append(granted, Assignment{KeyRange: r.KeyRange, Owner: r.Owner, Token: r.Token})
		}
	}
	return granted
}

// Step processes events and returns the actions to execute. What follows from several
// events is planned once: where hundreds of servers answer orders, planning costs more than
// the events.
func (a *Assigner) Step(now Instant, events ...Event) []Action {
	a.now = now
	a.actions = nil
	for _, e := range events {
		a.process(e)
	}
	a.plan()
	return a.actions
}

// process takes account of an event.
func (a *Assigner) process(e Event) {
	switch e := e.(type) {
	case TableLoaded:
		a.tableLoaded(e)
	case TableRecalled:
		a.known = append(a.known, e.Table)
	case ServersRecalled:
		a.knownServers = slices.Concat(a.knownServers, e.Servers)
	case WriteSucceeded:
		a.reserve.set(a.pending)
		if a.restored != nil {
			a.restored, a.recorded = nil, a.pending
		}
		a.setRecorded(a.pending, e.Revision)
	case WriteFailed:
		a.pending, a.restored = nil, nil
		a.reload()
	case CatalogUpdated:
		a.catalog = e.Catalog
		if n := len(e.Catalog.ByService(a.cfg.Service)); n > a.mostServers {
			a.mostServers = n
			a.assignAfter = min(a.now.Add(a.cfg.Timing.InitialDelay), a.cfg.Now.Add(a.cfg.Timing.MaxInitialDelay))
		}
	case OrderCompleted:
		a.orderCompleted(e)
	case LoadReported:
		a.load.observe(a.now, e)
		a.clearSuspicion(e)
	case WritesAllowed:
		a.writesBlocked = !e.Allowed
	case PredecessorEnded:
		a.predecessorUntil = min(a.predecessorUntil, e.At)
	case PathLost:
		a.pathLost = e.Lost
		a.clearFailures()
	case Tick:
	}
}

func (a *Assigner) reload() {
	if !a.loading {
		a.loading = true
		a.actions = append(a.actions, LoadTable{})
	}
}

func (a *Assigner) tableLoaded(e TableLoaded) {
	a.loading = false
	table := NewTable(a.cfg.Service)
	if e.Table != nil {
		table = e.Table.clone()
	}
	restored := a.recorded == nil && a.isRestored(table)
	nextToken := table.NextToken
	table.NextToken = max(nextToken, firstToken(a.cfg.Era))
	if a.recorded == nil || table.NextToken != a.recorded.NextToken {
		a.reserve.clear()
	}
	if restored {
		a.restored, a.restoredToken, a.revision = table, nextToken, e.Revision
		return
	}
	a.setRecorded(table, e.Revision)
}

// setRecorded sets the recorded table and drops the state of assignments that
// it does not contain. Earlier placers may have granted the assignments of the first
// table; all later ones are writes of this placer.
func (a *Assigner) setRecorded(table *Table, revision StoreRevision) {
	if table == nil {
		return
	}
	former := a.recorded
	a.recorded, a.revision, a.pending = table, revision, nil
	kept := make(map[assignmentID]*assignmentState, len(table.Assignments))
	for i := range table.Assignments {
		r := &table.Assignments[i]
		state := a.assignments[idOf(r)]
		switch {
		case state != nil:
		case former == nil:
			state = newAssignmentState()
			state.newTokenFor = ReasonSessionEnded
		default:
			state = a.partState(former, r)
		}
		kept[idOf(r)] = state
	}
	a.assignments = kept
}

// server returns the state of a server instance, creating it if needed.
func (a *Assigner) server(instance ServerInstance) *server {
	s := a.servers[instance]
	if s == nil {
		s = &server{}
		a.servers[instance] = s
	}
	return s
}

// lastGrant returns the latest time at which a grant of any placer may have
// arrived at a server.
func (a *Assigner) lastGrant(s *server) Instant {
	return max(s.lastGrant, a.predecessorUntil)
}

func (a *Assigner) orderCompleted(e OrderCompleted) {
	s := a.server(e.Order.To)
	s.inFlight--
	if e.Order.Release {
		a.releaseCompleted(e, s)
	} else {
		if i := slices.Index(s.grants, e.Order); i >= 0 {
			s.grants = slices.Delete(s.grants, i, i+1)
		}
		a.grantCompleted(e, s)
	}
	switch e.Result {
	case ResultAccepted, ResultSuperseded, ResultSessionEnded:
		s.failures = 0
	case ResultNotTried:
		s.retryAt = a.now.Add(orderRetryDelay)
	default:
		if a.pathLost {
			s.retryAt = a.now.Add(lostPathRetryDelay)
			break
		}
		s.failures++
		s.unanswered = e.Result == ResultNoResponse
		s.retryAt = a.now.Add(orderRetryDelay)
		if s.failures == suspectAfterFailures {
			s.suspectedAt = a.now
		}
		if s.failures >= suspectAfterFailures {
			s.avoidUntil = a.now.Add(min(time.Duration(s.failures)*avoidTime/suspectAfterFailures, maxAvoidTime))
		}
	}
}

func (a *Assigner) releaseCompleted(e OrderCompleted, _ *server) {
	for i := range a.recorded.Assignments {
		r := &a.recorded.Assignments[i]
		if r.Token != e.Order.Token || r.From < e.Order.KeyRange.From || r.To > e.Order.KeyRange.To {
			continue
		}
		state := a.stateOf(r)
		state.inFlight = false
		switch e.Result {
		case ResultAccepted:
			state.cleared[e.Order.To] = ProofReleased
			state.handover = e.Handover
		case ResultMisdirected:
			state.cleared[e.Order.To] = ProofMisdirected
		default:
		}
	}
}

func (a *Assigner) grantCompleted(e OrderCompleted, s *server) {
	switch e.Result {
	case ResultNotSent, ResultNotTried, ResultMisdirected, ResultSuperseded, ResultInvalid, ResultSessionEnded:
	default:
		s.lastGrant = max(s.lastGrant, e.Ended)
	}
	state := a.assignments[assignmentID{KeyRange: e.Order.KeyRange, Token: e.Order.Token}]
	if state == nil {
		return
	}
	state.inFlight = false
	if state.session == 0 {
		state.session = e.Session
	}
	switch e.Result {
	case ResultAccepted:
		state.grantedAt = e.Began
		state.confirmed = true
	case ResultSuperseded:
		state.newTokenFor = ReasonTokenSuperseded
	case ResultSessionEnded:
		state.newTokenFor = ReasonSessionEnded
	default:
	}
}

// plan emits the orders that are due and, if needed, a write of the table.
//
// While the table is being reloaded, the recorded one may be older than the one
// in the store. Its orders are safe nevertheless: their tokens are not above
// those of the newer table, and a grant extends the time for which the newer
// table waits for the former owner.
func (a *Assigner) plan() {
	if a.restored != nil {
		a.recover()
		return
	}
	if a.recorded == nil {
		if !a.writesBlocked {
			a.reload()
		}
		return
	}
	a.renewWithoutWrite()
	for i := range a.recorded.Assignments {
		a.sendDueOrder(i)
	}
	if a.pending == nil && !a.loading && !a.writesBlocked && a.now.Sub(a.wroteAt) >= a.cfg.Timing.MinWriteInterval {
		a.writeChanges()
	}
	a.pruneServers()
}

// sendDueOrder emits the release or grant that the recorded assignment at index
// i needs now, if any. A release waits for the grants of the keys that are in flight:
// one that arrives after it is accepted by a server that has restarted in between.
func (a *Assigner) sendDueOrder(i int) {
	r := &a.recorded.Assignments[i]
	state := a.stateOf(r)
	if state.inFlight || r.Owner.Server == "" {
		return
	}
	if instance, ok := a.unreleased(r); ok {
		if s := a.server(instance); s.canSend(a.now) && !s.isGranting(r) {
			a.release(i, instance)
		}
		return
	}
	handover := r.Handover
	if r.Moving() {
		handover = state.handover
	}
	s := a.server(r.Owner)
	due := !state.confirmed || a.now.Sub(state.grantedAt) >= a.cfg.Timing.RenewInterval
	if due && state.newTokenFor == "" && s.canGrant(a.now) && a.keepsKeys(r.Owner) {
		state.inFlight = true
		a.send(Order{
			KeyRange: r.KeyRange, Token: r.Token, To: r.Owner, Hold: a.cfg.Timing.Hold, Handover: handover, Session: state.session,
		})
	}
}

// unreleased returns a former owner that may still hold keys of an assignment, one that
// can be sent an order if there is any. What was proved of the others stays proved: a
// grant of other keys to one of them must not interrupt the grants of the next owner,
// which may have begun.
func (a *Assigner) unreleased(r *Assignment) (ServerInstance, bool) {
	state := a.stateOf(r)
	var blocked ServerInstance
	for _, instance := range r.FormerOwners {
		if proof := a.proofOf(r, instance); proof != "" {
			state.cleared[instance] = proof
			continue
		}
		if s := a.server(instance); s.canSend(a.now) && !s.isGranting(r) {
			return instance, true
		}
		if blocked.Server == "" {
			blocked = instance
		}
	}
	return blocked, blocked.Server != ""
}

// release emits an order to a former owner to release the assignment at index
// i, together with the following ones that were moved away from the same owner
// under the same token.
func (a *Assigner) release(i int, instance ServerInstance) {
	first := &a.recorded.Assignments[i]
	o := Order{KeyRange: first.KeyRange, Token: first.Token, To: instance, Release: true}
	for j := i; j < len(a.recorded.Assignments); j++ {
		r := &a.recorded.Assignments[j]
		state := a.stateOf(r)
		if other, ok := a.unreleased(r); !ok || other != instance || r.Token != first.Token || state.inFlight || a.server(instance).isGranting(r) {
			break
		}
		state.inFlight = true
		o.KeyRange.To = r.To
	}
	a.send(o)
}

func (a *Assigner) send(o Order) {
	s := a.server(o.To)
	s.inFlight++
	if !o.Release {
		s.grants = append(s.grants, o)
	}
	a.actions = append(a.actions, SendOrder{Order: o})
}

// writeChanges emits a write of the table if anything in it has to change.
func (a *Assigner) writeChanges() {
	next := a.recorded.clone()
	moves := a.removeClearedOwners(next)
	moves = append(moves, a.renewTokens(next)...)
	if candidates := a.candidates(); len(candidates) > 0 {
		moves = append(moves, a.replaceOwners(next, candidates)...)
		if !a.pathLost {
			moves = append(moves, a.rebalance(next, candidates)...)
		}
	}
	if len(moves) == 0 {
		return
	}
	moves = append(a.reserve.takeMoves(), moves...)
	for i := range next.Assignments {
		r := &next.Assignments[i]
		if !r.Moving() && r.Handover != "" && a.isConfirmed(r) {
			r.Handover = ""
		}
	}
	a.write(next, moves)
}

// write emits a write of a table, which reserves tokens.
func (a *Assigner) write(next *Table, moves []Move) {
	a.pending = next
	a.wroteAt = a.now
	for i := range moves {
		if m := &moves[i]; m.FormerToken == 0 {
			m.FormerToken = a.formerToken(m.KeyRange)
		}
	}
	next.NextToken += tokenReserveSize
	a.actions = append(a.actions, WriteTable{Table: next, Revision: a.revision, Moves: moves})
}

// formerToken returns the highest token that a key of a range has in the table from which
// the next one is made.
func (a *Assigner) formerToken(keys KeyRange) Token {
	table := a.recorded
	if table == nil {
		table = a.restored
	}
	var highest Token
	for i := range table.Assignments {
		if r := &table.Assignments[i]; r.overlaps(keys) {
			highest = max(highest, r.Token)
		}
	}
	return highest
}

// renewTokens issues a new token for the assignments that need one.
func (a *Assigner) renewTokens(next *Table) []Move {
	var moves []Move
	var token Token
	for i := range next.Assignments {
		r := &next.Assignments[i]
		reason := a.stateOf(r).newTokenFor
		if reason == "" || r.Moving() || !a.keepsKeys(r.Owner) {
			continue
		}
		if token == 0 {
			token = next.allocateToken()
		}
		r.Token = token
		moves = append(moves, Move{KeyRange: r.KeyRange, From: r.Owner.Server, To: r.Owner.Server, Token: token, Reason: reason})
	}
	return moves
}

// removeClearedOwners removes former owners that no longer hold any keys from
// their assignments.
func (a *Assigner) removeClearedOwners(next *Table) []Move {
	var moves []Move
	for i := range next.Assignments {
		r := &next.Assignments[i]
		if !r.Moving() {
			continue
		}
		var left []ServerInstance
		move := Move{KeyRange: r.KeyRange, To: r.Owner.Server, Token: r.Token, Reason: ReasonFormerOwnerCleared}
		for _, instance := range r.FormerOwners {
			proof := a.proofOf(r, instance)
			switch {
			case proof == "":
				left = append(left, instance)
			case move.Proof == "":
				move.From, move.Proof = instance.Server, proof
			}
		}
		if len(left) == len(r.FormerOwners) {
			continue
		}
		moves = append(moves, move)
		r.FormerOwners = left
		r.Handover = a.stateOf(r).handover
	}
	return moves
}
