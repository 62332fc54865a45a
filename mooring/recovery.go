package mooring

import (
	"slices"
)

// Era counts how often the store has come back from an older copy. Zero stands for a
// store that does not state it.
type Era uint32

// eraShift is the position of the era in the fencing tokens that are allocated in it.
// They are above all earlier ones, also above those whose allocation the store has
// forgotten. Up to era 8191 they can be represented as floating point numbers.
const eraShift = 40

// firstToken returns the lowest fencing token of an era.
func firstToken(era Era) Token {
	return Token(era) << eraShift
}

// Era returns the era of the store in which the token was allocated.
func (t Token) Era() Era {
	return Era(t >> eraShift)
}

// Recovery is what is known of assignments that the store may have forgotten.
type Recovery struct {
	// Restored reports whether the store has come back from an older copy. Tables with
	// tokens of an earlier era show it by themselves.
	Restored bool
	// EarlierTable is the last table of this host's own term, which the restore has
	// ended and in which no other host could have changed it. It is nil if there
	// was no such term.
	EarlierTable *Table
	// KnownTable is the newest table that this host has read, or nil.
	KnownTable *Table
	// KnownServers are the servers that this host knew when the store came back, if it has
	// seen that.
	KnownServers []ServerInstance
	// ServersKnownAt is when all running servers have registered again.
	ServersKnownAt Instant
}

// isRestored reports whether a loaded table is older than grants that the store has
// forgotten.
func (a *Assigner) isRestored(t *Table) bool {
	written := t.NextToken.Era()
	return written < a.cfg.Era && (written > 0 || a.cfg.Recovery.Restored)
}

// recover emits a write of the table from which the assigner goes on after a restore. No
// order is sent before it is recorded.
func (a *Assigner) recover() {
	if a.pending != nil || a.writesBlocked {
		return
	}
	if a.cfg.Recovery.EarlierTable == nil && a.now < a.cfg.Recovery.ServersKnownAt {
		return
	}
	next := a.recoveredTable()
	token := next.allocateToken()
	var moves []Move
	for i := range next.Assignments {
		r := &next.Assignments[i]
		r.Token = token
		moves = append(moves, Move{KeyRange: r.KeyRange, From: r.Owner.Server, To: r.Owner.Server, Token: token, Reason: ReasonStoreRestored})
	}
	a.write(next, moves)
}

// recoveredTable returns the table of this host's own earlier term. Without that, any
// server may have been granted any keys, so each former owner that a key may have had is
// listed, and the newest known owners remain.
func (a *Assigner) recoveredTable() *Table {
	if earlier := a.cfg.Recovery.EarlierTable; earlier != nil {
		next := earlier.clone()
		next.NextToken = max(next.NextToken, a.restored.NextToken)
		return next
	}
	newest, newestToken := a.restored, a.restoredToken
	for _, t := range a.known {
		if t.NextToken > newestToken {
			newest, newestToken = t, t.NextToken
		}
	}
	next := newest.clone()
	next.NextToken = max(next.NextToken, a.restored.NextToken)
	holders := a.possibleHolders()
	for i := range next.Assignments {
		r := &next.Assignments[i]
		r.Handover = ""
		r.FormerOwners = slices.DeleteFunc(slices.Clone(holders), func(instance ServerInstance) bool { return instance == r.Owner })
	}
	return next
}

// possibleHolders returns the registered servers, those that were registered when the store
// came back, and those that the restored and the known tables name. The tables miss grants that
// no host has read of before the store came back.
func (a *Assigner) possibleHolders() []ServerInstance {
	var holders []ServerInstance
	add := func(instance ServerInstance) {
		if instance.Server != "" && !slices.Contains(holders, instance) {
			holders = append(holders, instance)
		}
	}
	for _, e := range a.catalog.ByService(a.cfg.Service) {
		add(instanceOf(e))
	}
	for _, instance := range a.knownServers {
		add(instance)
	}
	for _, t := range append([]*Table{a.restored}, a.known...) {
		for i := range t.Assignments {
			add(t.Assignments[i].Owner)
			for _, instance := range t.Assignments[i].FormerOwners {
				add(instance)
			}
		}
	}
	return holders
}
