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

// continues reports whether no other host has been the placer between the term and the
// present moment of an era. The store has come back from an older copy in between, within
// the time of the term's lease.
func (f *formerTerm) continues(era ledger.Era) bool {
	return f != nil && f.term.revision.Era()+1 == era && bootTimeNow() < mooring.Instant(f.term.leaseUntil.Load())
}

// endedBefore reports whether the term is of an earlier era than a revision.
func (f *formerTerm) endedBefore(revision ledger.Revision) bool {
	return f != nil && f.term.revision.Era() < revision.Era()
}
