package mooring

import (
	"math"

	"hornbeamwinch.example/fairway"
)

const (
	// imbalanceLimit is the ratio of a server's utilization to the mean from
	// which keys are moved away from it, at least. Where servers get few requests, the
	// ratio is 1 plus imbalanceErrors standard errors of an estimated rate: among
	// hundreds of servers some always appear to have two of them.
	imbalanceLimit  = 1.25
	imbalanceErrors = 3.0
	// minBusyUtilization is the utilization below which a server keeps its keys
	// however uneven the load is, in requests per second for each slot. With a
	// request every five seconds a slot is idle most of the time, also where a
	// response takes a second. A move makes all requests for its keys wait from the
	// release to the grant.
	minBusyUtilization = 0.2
	// severeImbalance is the ratio above which a server is overloaded. Keys are
	// then moved away even beyond maxMovingRanges, up to one range per server.
	severeImbalance = 1.6
	// maxMovingRanges bounds the ranges that have no active owner at a time,
	// unless a server exceeds severeImbalance.
	maxMovingRanges = 8
	// The number of assignments is bounded by assignmentsPerServer for a small
	// number of servers, and by largeFleetBase and largeFleetPerServer for a
	// large one. Each assignment costs a grant per renewal and an entry in the
	// table, which every entry host reads after each change.
	assignmentsPerServer = 6
	largeFleetBase       = 100
	largeFleetPerServer  = 2
	// minMoveShare is the smallest load that is moved, as a fraction of the
	// load that a server has under an even distribution.
	minMoveShare = 0.04
)

// serverLoad is a server that is eligible to own keys, with its load.
type serverLoad struct {
	instance ServerInstance
	capacity float64
	load     float64
}

func (s *serverLoad) utilization() float64 {
	return s.load / s.capacity
}

// allocation is a table that is being changed, with the load of its servers.
type allocation struct {
	table             *Table
	model             *loadModel
	servers           []*serverLoad
	byInstance        map[ServerInstance]*serverLoad
	targetUtilization float64
	// imbalanceLimit is the ratio to the target from which keys are moved.
	imbalanceLimit float64
	// token is the fencing token of all changes, or 0 before the first one.
	// Since they share a token, one release covers all adjacent ranges of a
	// former owner.
	token Token
}

func newAllocation(table *Table, model *loadModel, candidates []fairway.Endpoint) *allocation {
	a := &allocation{table: table, model: model, byInstance: make(map[ServerInstance]*serverLoad)}
	capacity, total := 0.0, 0.0
	for _, c := range candidates {
		s := &serverLoad{instance: instanceOf(c), capacity: model.capacity(c)}
		a.servers = append(a.servers, s)
		a.byInstance[s.instance] = s
		capacity += s.capacity
	}
	for i := range table.Assignments {
		r := &table.Assignments[i]
		load := model.rangeRate(r.KeyRange)
		total += load
		if s := a.byInstance[r.Owner]; s != nil {
			s.load += load
		}
	}
	a.targetUtilization = total / capacity
	a.imbalanceLimit = imbalanceLimitFor(total / float64(len(candidates)))
	a.applyLimits(total)
	return a
}

// imbalanceLimitFor returns the imbalance that is no chance where servers get a number of
// requests a second on average.
func imbalanceLimitFor(rate float64) float64 {
	return max(imbalanceLimit, 1+imbalanceErrors/math.Sqrt(max(rate*steadySamples, 1)))
}

// limitRounds bounds the rounds of applyLimits. Each raises the target for the servers
// without a limit, and with it the part of the others that their limits exceed.
const limitRounds = 4

// applyLimits lowers the capacity of servers whose limit is below their part of the load.
func (a *allocation) applyLimits(total float64) {
	for range limitRounds {
		lowered, capacity := false, 0.0
		for _, s := range a.servers {
			if most := a.model.maxLoad(s.instance.Server); s.capacity*a.targetUtilization > most {
				s.capacity = most / a.targetUtilization
				lowered = true
			}
			capacity += s.capacity
		}
		if !lowered {
			return
		}
		a.targetUtilization = total / capacity
	}
}

// leastUtilized returns the server with the lowest utilization.
func (a *allocation) leastUtilized() *serverLoad {
	best := a.servers[0]
	for _, s := range a.servers[1:] {
		if s.utilization() < best.utilization() {
			best = s
		}
	}
	return best
}

// mostUtilized returns the server with the highest utilization that is not in
// skip, or nil.
func (a *allocation) mostUtilized(skip map[*serverLoad]bool) *serverLoad {
	var best *serverLoad
	for _, s := range a.servers {
		if !skip[s] && (best == nil || s.utilization() > best.utilization()) {
			best = s
		}
	}
	return best
}

// assign gives keys to the server to, as an assignment of their own.
func (a *allocation) assign(keys KeyRange, load float64, to *serverLoad, reason Reason) Move {
	i := a.table.split(keys)
	from := a.table.Assignments[i].Owner
	if s := a.byInstance[from]; s != nil {
		s.load -= load
	}
	to.load += load
	if a.token == 0 {
		a.token = a.table.allocateToken()
	}
	a.table.reassign(i, to.instance, a.token)
	return Move{KeyRange: keys, From: from.Server, To: to.instance.Server, Token: a.table.Assignments[i].Token, Reason: reason}
}

// spread splits keys into ranges that fit the spare capacity of the least
// utilized servers and assigns the ranges to them.
func (a *allocation) spread(keys KeyRange, reason Reason) []Move {
	var moves []Move
	for {
		to := a.leastUtilized()
		room := max(a.targetUtilization*to.capacity-to.load, a.targetUtilization*to.capacity/4)
		piece, load, ok := a.model.prefix(keys, room)
		if !ok {
			piece = KeyRange{From: keys.From, To: keys.From}
			load = a.model.rate(keys.From)
		}
		rest := a.model.rangeRate(KeyRange{From: piece.To, To: keys.To})
		if piece.To < keys.To && (rest < minMoveShare*a.targetUtilization*to.capacity || len(moves) >= len(a.servers)) {
			piece, load = keys, a.model.rangeRate(keys)
		}
		moves = append(moves, a.assign(piece, load, to, reason))
		if piece.To == keys.To {
			return moves
		}
		keys.From = piece.To + 1
	}
}

// replaceOwners assigns ranges that have no owner, or an ineligible one, to
// other servers.
func (a *Assigner) replaceOwners(next *Table, candidates []fairway.Endpoint) []Move {
	type orphan struct {
		keys   KeyRange
		reason Reason
	}
	var orphans []orphan
	for i := range next.Assignments {
		r := &next.Assignments[i]
		switch reason := a.ineligibleReason(r.Owner); {
		case r.Owner.Server == "" && a.now < a.assignAfter:
		case r.Owner.Server == "":
			orphans = append(orphans, orphan{keys: r.KeyRange, reason: ReasonFirstOwner})
		case reason != "":
			orphans = append(orphans, orphan{keys: r.KeyRange, reason: reason})
		}
	}
	if len(orphans) == 0 {
		return nil
	}
	var moves []Move
	alloc := newAllocation(next, a.load, candidates)
	for _, o := range orphans {
		moves = append(moves, alloc.spread(o.keys, o.reason)...)
	}
	return moves
}

// rebalance moves keys from highly utilized servers to others.
func (a *Assigner) rebalance(next *Table, candidates []fairway.Endpoint) []Move {
	if !a.load.hasData() || a.now.Sub(a.rebalancedAt) < a.cfg.Timing.RebalanceInterval || len(candidates) < 2 {
		return nil
	}
	a.rebalancedAt = a.now
	alloc := newAllocation(next, a.load, candidates)
	var moves []Move
	done := make(map[*serverLoad]bool)
	for moving := next.movingCount(); moving < len(alloc.servers); moving++ {
		from := alloc.mostUtilized(done)
		if from == nil || from.utilization() < max(alloc.imbalanceLimit*alloc.targetUtilization, minBusyUtilization) {
			break
		}
		if moving >= maxMovingRanges && from.utilization() < severeImbalance*alloc.targetUtilization {
			break
		}
		to := alloc.leastUtilized()
		keys, load, ok := a.pickRange(alloc, from, to)
		least := minMoveShare * alloc.targetUtilization * to.capacity
		if (!ok || load < least) && from.exceedsLimit(alloc.model) {
			keys, load, ok = a.pickHottestKey(alloc, from, to)
		}
		if !ok || load < least {
			done[from] = true
			continue
		}
		moves = append(moves, alloc.assign(keys, load, to, ReasonLoadBalancing))
	}
	if len(moves) > 0 {
		next.merge(func(r Assignment) bool { return !a.isConfirmed(&r) })
	}
	return moves
}

// maxAssignments returns the number of assignments from which on no further
// ones are split.
func maxAssignments(servers int) int {
	return min(assignmentsPerServer*servers, largeFleetBase+largeFleetPerServer*servers)
}

// exceedsLimit reports whether a server has more load than the limit that it names.
func (s *serverLoad) exceedsLimit(model *loadModel) bool {
	return s.load > model.maxLoad(s.instance.Server)
}

// pickHottestKey picks the busiest key of a server that exceeds its limit. The other
// server may exceed the target by it, but not a limit of its own, as long as it is
// utilized less than the first, and other keys are moved away from it next.
func (a *Assigner) pickHottestKey(alloc *allocation, from, to *serverLoad) (KeyRange, float64, bool) {
	var hottest Key
	highest := 0.0
	for i := range alloc.table.Assignments {
		r := &alloc.table.Assignments[i]
		if r.Owner != from.instance || r.Moving() || r.Handover != "" {
			continue
		}
		for key := int(r.From); key <= int(r.To); key++ {
			if rate := alloc.model.rate(Key(key)); rate > highest {
				hottest, highest = Key(key), rate
			}
		}
	}
	ok := highest > 0 && to.load+highest <= alloc.model.maxLoad(to.instance.Server) &&
		(to.load+highest)/to.capacity < from.utilization()
	return KeyRange{From: hottest, To: hottest}, highest, ok
}

// pickRange picks the keys to move between two servers: the largest prefix or
// suffix of an assignment that neither takes from below the target utilization
// nor raises to above the limit.
func (a *Assigner) pickRange(alloc *allocation, from, to *serverLoad) (KeyRange, float64, bool) {
	limit := min(from.load-alloc.targetUtilization*from.capacity, alloc.imbalanceLimit*alloc.targetUtilization*to.capacity-to.load)
	full := len(alloc.table.Assignments) >= maxAssignments(len(alloc.servers))
	var best KeyRange
	bestLoad, found := 0.0, false
	consider := func(part KeyRange, load float64, ok bool, whole KeyRange) {
		if ok && load > bestLoad && (!full || part == whole) {
			best, bestLoad, found = part, load, true
		}
	}
	for i := range alloc.table.Assignments {
		r := &alloc.table.Assignments[i]
		if r.Owner != from.instance || r.Moving() || r.Handover != "" {
			continue
		}
		part, load, ok := alloc.model.prefix(r.KeyRange, limit)
		consider(part, load, ok, r.KeyRange)
		part, load, ok = alloc.model.suffix(r.KeyRange, limit)
		consider(part, load, ok, r.KeyRange)
	}
	return best, bestLoad, found
}
