package mooring

// tokenReserveSize is the number of tokens that each write of a table reserves.
const tokenReserveSize = 64

// tokenReserve has tokens that the last write of this placer has reserved: they are below
// the next token of the recorded table, so no later placer gives them out. The owner of a
// range can be granted it under one of them without a write, also while the store is
// slow or loses writes.
type tokenReserve struct {
	next Token
	end  Token
	// moves are the assignments that got one since the last write, for the log.
	moves []Move
}

// set sets the reserve of a table that has been written.
func (r *tokenReserve) set(written *Table) {
	if written != nil {
		r.next, r.end = written.NextToken-tokenReserveSize, written.NextToken
	}
}

// clear empties the reserve.
func (r *tokenReserve) clear() {
	r.next, r.end = 0, 0
}

// take returns the next token, or false if none is left.
func (r *tokenReserve) take() (Token, bool) {
	if r.next >= r.end {
		return 0, false
	}
	r.next++
	return r.next - 1, true
}

func (r *tokenReserve) takeMoves() []Move {
	moves := r.moves
	r.moves = nil
	return moves
}

// renewWithoutWrite gives assignments whose session has ended a token of the reserve. A
// write in flight or of unknown outcome may move their keys under a lower token, so it has
// to end first.
func (a *Assigner) renewWithoutWrite() {
	if a.pending != nil || a.loading {
		return
	}
	var renewed *Table
	for i := range a.recorded.Assignments {
		r := &a.recorded.Assignments[i]
		state := a.stateOf(r)
		if state.newTokenFor != ReasonSessionEnded || state.inFlight || r.Moving() || a.ineligibleReason(r.Owner) != "" {
			continue
		}
		token, ok := a.reserve.take()
		if !ok {
			break
		}
		if renewed == nil {
			renewed = a.recorded.clone()
		}
		renewed.Assignments[i].Token = token
		a.reserve.moves = append(a.reserve.moves, Move{
			KeyRange: r.KeyRange, From: r.Owner.Server, To: r.Owner.Server, Token: token, FormerToken: r.Token, Reason: ReasonSessionEnded,
		})
	}
	if renewed == nil {
		return
	}
	former := a.recorded
	a.recorded = renewed
	for i := range renewed.Assignments {
		if r := &renewed.Assignments[i]; r.Token != former.Assignments[i].Token {
			delete(a.assignments, idOf(&former.Assignments[i]))
			a.assignments[idOf(r)] = newAssignmentState()
		}
	}
}
