package roster

import (
	"slices"
	"time"

	"hornbeamwinch.example/berth"
)

// LeaseTrackerConfig holds the parameters of a [LeaseTracker].
type LeaseTrackerConfig struct {
	Host        berth.HostID
	Incarnation berth.Incarnation
	// RouteLease is how long a confirmation lasts.
	RouteLease time.Duration
}

// Event is an input of [LeaseTracker.Step]. The set of events is closed.
type Event interface {
	event()
}

// TableReceived offers a recorded table.
type TableReceived struct {
	Table    *berth.Table
	Revision berth.StoreRevision
}

// RulesReceived tells the newest rules that this host routes by.
type RulesReceived struct {
	Revision berth.RulesRevision
}

// StoreChecked is the store's answer to whether the record of the table at
// Revision was unchanged. AskedAt is taken before the question was sent.
type StoreChecked struct {
	Revision    berth.StoreRevision
	Unchanged   bool
	RequestedAt time.Time
}

// PeerAnswered is another entry host's account of the table it follows.
type PeerAnswered struct {
	Host        berth.HostID
	Incarnation berth.Incarnation
	Epoch       berth.Epoch
	Version     berth.Version
	// Confirmed says that the peer passes on a confirmation, which was Age
	// old when the answer was sent.
	Confirmed bool
	Age       time.Duration
	// RequestedAt is taken before the question was sent.
	RequestedAt time.Time
}

func (TableReceived) event() {}
func (RulesReceived) event() {}
func (StoreChecked) event()  {}
func (PeerAnswered) event()  {}

// LeaseTracker tracks the table that one entry host follows. It is not safe for
// concurrent use.
type LeaseTracker struct {
	cfg         LeaseTrackerConfig
	table       *berth.Table
	revision    berth.StoreRevision
	rules       berth.RulesRevision
	waiting     *TableReceived
	confirmedAt time.Time
	answers     map[berth.HostID]PeerAnswered
}

// NewLeaseTracker returns a follower that knows nothing.
func NewLeaseTracker(cfg LeaseTrackerConfig) *LeaseTracker {
	return &LeaseTracker{cfg: cfg, answers: make(map[berth.HostID]PeerAnswered)}
}

// Step applies event at time now.
func (f *LeaseTracker) Step(now time.Time, event Event) {
	switch e := event.(type) {
	case TableReceived:
		f.learn(e)
	case RulesReceived:
		f.rules = max(f.rules, e.Revision)
		f.adoptWaiting()
	case StoreChecked:
		if e.Unchanged && f.table != nil && e.Revision == f.revision {
			f.confirm(e.RequestedAt)
		}
	case PeerAnswered:
		f.answered(now, e)
	}
}

// Table returns the table in force on this host, or nil. It must not be
// changed.
func (f *LeaseTracker) Table() *berth.Table {
	return f.table
}

// Revision returns the store's revision of the table.
func (f *LeaseTracker) Revision() berth.StoreRevision {
	return f.revision
}

// RulesRevision returns the newest rules revision that the follower was told of.
func (f *LeaseTracker) RulesRevision() berth.RulesRevision {
	return f.rules
}

// MissingRules returns the rules revision without which a newer table cannot
// be followed, or zero.
func (f *LeaseTracker) MissingRules() berth.RulesRevision {
	if f.waiting == nil {
		return 0
	}
	return f.waiting.Table.Rules.Closing
}

// ConfirmedAt returns the latest moment at which the table was known to be
// current.
func (f *LeaseTracker) ConfirmedAt() time.Time {
	return f.confirmedAt
}

// LeaseEnd returns the moment from which the host may not dispatch.
func (f *LeaseTracker) LeaseEnd() time.Time {
	return f.confirmedAt.Add(f.cfg.RouteLease)
}

// Confirmed reports whether the table is known to be current enough at now.
func (f *LeaseTracker) Confirmed(now time.Time) bool {
	return f.table != nil && !f.confirmedAt.IsZero() && now.Before(f.LeaseEnd())
}

// CheckDispatch returns nil if the host may dispatch at now.
func (f *LeaseTracker) CheckDispatch(now time.Time) error {
	if f.table == nil {
		return &Error{Op: "dispatch", Kind: KindNoTable}
	}
	self := f.table.Host(f.cfg.Host)
	if self == nil || self.Incarnation != f.cfg.Incarnation || self.State != berth.HostActive {
		return &Error{Op: "dispatch", Kind: KindNotMember}
	}
	if !f.Confirmed(now) {
		return &Error{Op: "dispatch", Kind: KindLeaseExpired}
	}
	return nil
}

// learn adopts a newer table. A host never follows a lower version again, and
// it first learns the rules that the table is closing.
func (f *LeaseTracker) learn(e TableReceived) {
	if f.table != nil && e.Table.Version <= f.table.Version {
		return
	}
	if f.waiting != nil && e.Table.Version <= f.waiting.Table.Version {
		return
	}
	f.waiting = &e
	f.adoptWaiting()
}

func (f *LeaseTracker) adoptWaiting() {
	if f.waiting == nil || f.waiting.Table.Rules.Closing > f.rules {
		return
	}
	f.table = f.waiting.Table
	f.revision = f.waiting.Revision
	f.waiting = nil
	f.confirmedAt = time.Time{}
	clear(f.answers)
}

func (f *LeaseTracker) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// answered takes a peer's account. Only an account of the very version that
// this host follows can confirm it.
func (f *LeaseTracker) answered(now time.Time, e PeerAnswered) {
	if f.table == nil || e.Version != f.table.Version || e.Epoch != f.table.Epoch {
		delete(f.answers, e.Host)
		return
	}
	if e.Confirmed {
		f.confirm(e.RequestedAt.Add(-e.Age))
	}
	f.answers[e.Host] = e
	if at, ok := f.majorityAt(now); ok {
		f.confirm(at)
	}
}

// majorityAt returns the latest moment since which a strict majority of the
// table's members has answered for the table's version.
func (f *LeaseTracker) majorityAt(now time.Time) (time.Time, bool) {
	members := 0
	var moments []time.Time
	for _, h := range f.table.Hosts {
		if h.State == berth.HostLeaving {
			continue
		}
		members++
		if h.ID == f.cfg.Host && h.Incarnation == f.cfg.Incarnation {
			moments = append(moments, now)
			continue
		}
		answer, known := f.answers[h.ID]
		if known && answer.Incarnation == h.Incarnation {
			moments = append(moments, answer.RequestedAt)
		}
	}
	if !berth.IsMajority(len(moments), members) {
		return time.Time{}, false
	}
	slices.SortFunc(moments, func(a, b time.Time) int { return b.Compare(a) })
	return moments[members/2], true
}
