package mooring

import (
	"hornbeamwinch.example/fairway"
)

const (
	// imbalance is how far above the mean a server's utilization may be before
	// keys are moved away from it. The estimate of a rate is off by about a
	// tenth.
	imbalance = 1.25
	// severe is how far above it a server cannot bear its load: keys are moved
	// away then however many moves that takes, up to one a server.
	severe = 1.6
	// movesPerRound bounds the ranges that are without an owner at a time, while
	// no server is severely loaded.
	movesPerRound = 8
	// The rows are bounded by rowsPerServer for few servers, and for many by
	// rowsAtLeast and rowsPerMany: each costs a grant at each renewal and a place
	// in the table, which every host reads at each change.
	rowsPerServer = 6
	rowsAtLeast   = 100
	rowsPerMany   = 2
	// worthMoving is the smallest part of a server's even share that is moved.
	worthMoving = 0.04
)

// seat is a server that may be given keys, with its load.
type seat struct {
	holder   ServerInstance
	capacity float64
	load     float64
}

func (s *seat) utilization() float64 {
	return s.load / s.capacity
}

// allocation is a table in the making and the load of its servers.
type allocation struct {
	table  *Table
	model  *loadModel
	seats  []*seat
	byOwn  map[ServerInstance]*seat
	target float64
	// fence is the token of all changes, or 0 before the first. With one token,
	// one release takes back neighbouring ranges from their former owner.
	fence Token
}

func newAllocation(table *Table, model *loadModel, candidates []fairway.Endpoint) *allocation {
	a := &allocation{table: table, model: model, byOwn: make(map[ServerInstance]*seat)}
	capacity, total := 0.0, 0.0
	for _, c := range candidates {
		s := &seat{holder: holderOf(c), capacity: model.capacity(c)}
		a.seats = append(a.seats, s)
		a.byOwn[s.holder] = s
		capacity += s.capacity
	}
	for i := range table.Assignments {
		r := &table.Assignments[i]
		load := model.of(r.KeyRange)
		total += load
		if s := a.byOwn[r.Owner]; s != nil {
			s.load += load
		}
	}
	a.target = total / capacity
	return a
}

// least returns the seat with the lowest utilization.
func (a *allocation) least() *seat {
	best := a.seats[0]
	for _, s := range a.seats[1:] {
		if s.utilization() < best.utilization() {
			best = s
		}
	}
	return best
}

// most returns the seat with the highest utilization, except those in skip.
func (a *allocation) most(skip map[*seat]bool) *seat {
	var best *seat
	for _, s := range a.seats {
		if !skip[s] && (best == nil || s.utilization() > best.utilization()) {
			best = s
		}
	}
	return best
}

// give makes span a row of its own that to owns.
func (a *allocation) give(span KeyRange, load float64, to *seat, reason Reason) Move {
	i := a.table.cut(span)
	from := a.table.Assignments[i].Owner
	if s := a.byOwn[from]; s != nil {
		s.load -= load
	}
	to.load += load
	if a.fence == 0 {
		a.fence = a.table.takeFence()
	}
	a.table.reassign(i, to.holder, a.fence)
	return Move{KeyRange: span, From: from.Server, To: to.holder.Server, Token: a.table.Assignments[i].Token, Reason: reason}
}

// spread gives a span to the servers with the most room, in pieces that fit.
func (a *allocation) spread(span KeyRange, reason Reason) []Move {
	var moves []Move
	for {
		to := a.least()
		room := max(a.target*to.capacity-to.load, a.target*to.capacity/4)
		piece, load, ok := a.model.prefix(span, room)
		if !ok {
			piece = KeyRange{From: span.From, To: span.From}
			load = a.model.rate(span.From)
		}
		rest := a.model.of(KeyRange{From: piece.To, To: span.To})
		if piece.To < span.To && (rest < worthMoving*a.target*to.capacity || len(moves) >= len(a.seats)) {
			piece, load = span, a.model.of(span)
		}
		moves = append(moves, a.give(piece, load, to, reason))
		if piece.To == span.To {
			return moves
		}
		span.From = piece.To + 1
	}
}

// replaceOwners names new owners for rows whose owner must not have them.
func (k *Assigner) replaceOwners(next *Table, candidates []fairway.Endpoint) []Move {
	type loss struct {
		span   KeyRange
		reason Reason
	}
	var lost []loss
	var moves []Move
	for i := range next.Assignments {
		r := &next.Assignments[i]
		switch reason := k.fit(r.Owner); {
		case r.Owner.Server == "" && k.now < k.settle:
		case r.Owner.Server == "":
			lost = append(lost, loss{span: r.KeyRange, reason: ReasonFirstOwner})
		case reason != "":
			lost = append(lost, loss{span: r.KeyRange, reason: reason})
		case !r.Moving() && k.row(r).superseded:
			r.Token = next.takeFence()
			moves = append(moves, Move{
				KeyRange: r.KeyRange, From: r.Owner.Server, To: r.Owner.Server, Token: r.Token, Reason: ReasonTokenSuperseded,
			})
		}
	}
	if len(lost) == 0 {
		return moves
	}
	a := newAllocation(next, k.load, candidates)
	for _, l := range lost {
		moves = append(moves, a.spread(l.span, l.reason)...)
	}
	return moves
}

// rebalance moves keys from busy servers to others.
func (k *Assigner) rebalance(next *Table, candidates []fairway.Endpoint) []Move {
	if !k.load.known() || k.now.Sub(k.balance) < k.cfg.Timing.RebalanceInterval || len(candidates) < 2 {
		return nil
	}
	k.balance = k.now
	a := newAllocation(next, k.load, candidates)
	var moves []Move
	done := make(map[*seat]bool)
	for under := next.movingRows(); under < len(a.seats); under++ {
		from := a.most(done)
		if from == nil || from.utilization() < imbalance*a.target {
			break
		}
		if under >= movesPerRound && from.utilization() < severe*a.target {
			break
		}
		to := a.least()
		span, load, ok := k.piece(a, from, to)
		if !ok || load < worthMoving*a.target*to.capacity {
			done[from] = true
			continue
		}
		moves = append(moves, a.give(span, load, to, ReasonLoadBalancing))
	}
	if len(moves) > 0 {
		next.join(func(r Assignment) bool { return !k.row(&r).confirmed })
	}
	return moves
}

// maxRows returns the number of rows from which none is cut any more.
func maxRows(servers int) int {
	return min(rowsPerServer*servers, rowsAtLeast+rowsPerMany*servers)
}

// piece picks the keys to move between two servers: the largest end of a row
// that neither leaves from too little nor overloads to.
func (k *Assigner) piece(a *allocation, from, to *seat) (KeyRange, float64, bool) {
	limit := min(from.load-a.target*from.capacity, imbalance*a.target*to.capacity-to.load)
	whole := len(a.table.Assignments) >= maxRows(len(a.seats))
	var best KeyRange
	bestLoad, found := 0.0, false
	consider := func(s KeyRange, load float64, ok bool, row KeyRange) {
		if ok && load > bestLoad && (!whole || s == row) {
			best, bestLoad, found = s, load, true
		}
	}
	for i := range a.table.Assignments {
		r := &a.table.Assignments[i]
		if r.Owner != from.holder || r.Moving() || r.Handover != "" {
			continue
		}
		s, load, ok := a.model.prefix(r.KeyRange, limit)
		consider(s, load, ok, r.KeyRange)
		s, load, ok = a.model.suffix(r.KeyRange, limit)
		consider(s, load, ok, r.KeyRange)
	}
	return best, bestLoad, found
}
