package jetty

import (
	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

// formerTerm is the last term of this host, which has ended, with the tables that it
// recorded.
type formerTerm struct {
	term   *term
	tables map[fairway.ServiceName]*mooring.Table
}

// continues reports whether the term was the last one of the era before another. The
// store has come back from an older copy in between, within the time of the term's lease.
func (f *formerTerm) continues(era ledger.Era) bool {
	if f == nil || f.term.revision.Era()+1 != era {
		return false
	}
	return f.term.outlivedEra.Load() || bootTimeNow() < mooring.Instant(f.term.leaseUntil.Load())
}

// supersede records that another host has been the placer since.
func (f *formerTerm) supersede() {
	f.term.outlivedEra.Store(false)
	f.term.leaseUntil.Store(0)
}

// outlivedBefore reports whether the term was the last one of the era before that of a
// revision.
func (f *formerTerm) outlivedBefore(revision ledger.Revision) bool {
	return f != nil && f.term.outlivedEra.Load() && f.term.revision.Era()+1 == revision.Era()
}

// endedBefore reports whether the term is of an earlier era than a revision.
func (f *formerTerm) endedBefore(revision ledger.Revision) bool {
	return f != nil && f.term.revision.Era() < revision.Era()
}
