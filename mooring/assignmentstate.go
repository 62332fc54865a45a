package mooring

// assignmentID identifies a key range under one token.
type assignmentID struct {
	KeyRange KeyRange
	Token    Token
}

// assignmentState is the state of a recorded assignment that is not part of the
// table. A new assigner starts without it.
type assignmentState struct {
	// cleared has the former owners that no longer hold any of the keys.
	cleared  map[ServerInstance]Proof
	handover string
	// grantedAt is when the last grant that the owner accepted was sent.
	grantedAt Instant
	// confirmed is set when the owner has accepted a grant.
	confirmed bool
	// inFlight is set while an order for the assignment is in flight.
	inFlight bool
	// session is the session in which the owner was first sent a grant. A later
	// incarnation of the owner, which another session may reach, must be granted
	// the keys under a higher token.
	session SessionID
	// newTokenFor is why the assignment needs a new token before it can be granted
	// again, or empty.
	newTokenFor Reason
}

// partState returns the state of an assignment that this placer has split or merged
// from assignments of the former table, or has just made. Keys that were granted
// under its token stay bound to the session of that grant.
func (a *Assigner) partState(former *Table, r *Assignment) *assignmentState {
	state := newAssignmentState()
	for i := range former.Assignments {
		part := &former.Assignments[i]
		if part.Owner != r.Owner || !part.overlaps(r.KeyRange) {
			continue
		}
		if part.Token > r.Token {
			// The table that has been read does not have a token of the reserve.
			state.newTokenFor = ReasonSessionEnded
		}
		if part.Token != r.Token {
			continue
		}
		old := a.stateOf(part)
		switch {
		case old.newTokenFor != "":
			state.newTokenFor = old.newTokenFor
		case old.session == 0:
		case state.session != 0 && state.session != old.session:
			state.newTokenFor = ReasonSessionEnded
		default:
			state.session = old.session
		}
	}
	return state
}

func idOf(r *Assignment) assignmentID {
	return assignmentID{KeyRange: r.KeyRange, Token: r.Token}
}

// stateOf returns the state of an assignment, creating it if needed.
func (a *Assigner) stateOf(r *Assignment) *assignmentState {
	id := idOf(r)
	state := a.assignments[id]
	if state == nil {
		state = newAssignmentState()
		a.assignments[id] = state
	}
	return state
}

// isConfirmed reports whether the owner has accepted a grant of an assignment, which
// need not be recorded.
func (a *Assigner) isConfirmed(r *Assignment) bool {
	state := a.assignments[idOf(r)]
	return state != nil && state.confirmed
}

func newAssignmentState() *assignmentState {
	return &assignmentState{cleared: make(map[ServerInstance]Proof)}
}
