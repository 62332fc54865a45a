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
	// RouteLease is how long a confirmation of the table is valid.
	RouteLease time.Duration
}

// Event is an input of [LeaseTracker.Step]. The set of events is closed.
type Event interface {
	event()
}

// TableReceived carries a table that is recorded in the store.
type TableReceived struct {
	Table    *berth.Table
	Revision berth.StoreRevision
}

// RulesReceived carries the newest revision of the rules that this host routes
// by.
type RulesReceived struct {
	Revision berth.RulesRevision
}

// StoreChecked reports whether the store's record of the table is still at
// Revision. RequestedAt is a time before the request to the store was sent.
type StoreChecked struct {
	Revision    berth.StoreRevision
	Unchanged   bool
	RequestedAt time.Time
}

// PeerResponded reports which table another entry host follows.
type PeerResponded struct {
	Host        berth.HostID
	Incarnation berth.Incarnation
	Epoch       berth.Epoch
	Version     berth.Version
	// Confirmed is set if the peer's own table is confirmed. ConfirmationAge is
	// the age of that confirmation when the peer sent its response.
	Confirmed       bool
	ConfirmationAge time.Duration
	// RequestedAt is a time before the request to the peer was sent.
	RequestedAt time.Time
}

func (TableReceived) event() {}
func (RulesReceived) event() {}
func (StoreChecked) event()  {}
func (PeerResponded) event() {}

// LeaseTracker tracks the table that one entry host follows and the lease under
// which the host may dispatch requests. It is not safe for concurrent use.
type LeaseTracker struct {
	cfg      LeaseTrackerConfig
	table    *berth.Table
	revision berth.StoreRevision
	rules    berth.RulesRevision
	// pending is a newer table whose required rules have not been received yet.
	pending       *TableReceived
	confirmedAt   time.Time
	peerResponses map[berth.HostID]PeerResponded
}

// NewLeaseTracker returns a tracker without a table.
func NewLeaseTracker(cfg LeaseTrackerConfig) *LeaseTracker {
	return &LeaseTracker{cfg: cfg, peerResponses: make(map[berth.HostID]PeerResponded)}
}

// Step applies event at time now.
func (t *LeaseTracker) Step(now time.Time, event Event) {
	switch e := event.(type) {
	case TableReceived:
		t.receiveTable(e)
	case RulesReceived:
		t.rules = max(t.rules, e.Revision)
		t.adoptPending()
	case StoreChecked:
		if e.Unchanged && t.table != nil && e.Revision == t.revision {
			t.confirm(e.RequestedAt)
		}
	case PeerResponded:
		t.recordPeerResponse(now, e)
	}
}

// Table returns the table that this host follows, or nil. The caller must not
// modify it.
func (t *LeaseTracker) Table() *berth.Table {
	return t.table
}

// Revision returns the store revision of the table.
func (t *LeaseTracker) Revision() berth.StoreRevision {
	return t.revision
}

// RulesRevision returns the newest rules revision that the tracker has
// received.
func (t *LeaseTracker) RulesRevision() berth.RulesRevision {
	return t.rules
}

// MissingRules returns the rules revision that the host needs before it can
// follow a newer table that it has received, or zero.
func (t *LeaseTracker) MissingRules() berth.RulesRevision {
	if t.pending == nil {
		return 0
	}
	return t.pending.Table.Rules.Closing
}

// ConfirmedAt returns the latest time at which the table was known to be
// current.
func (t *LeaseTracker) ConfirmedAt() time.Time {
	return t.confirmedAt
}

// LeaseEnd returns the time from which the host may no longer dispatch.
func (t *LeaseTracker) LeaseEnd() time.Time {
	return t.confirmedAt.Add(t.cfg.RouteLease)
}

// Confirmed reports whether the route lease of the table is valid at now.
func (t *LeaseTracker) Confirmed(now time.Time) bool {
	return t.table != nil && !t.confirmedAt.IsZero() && now.Before(t.LeaseEnd())
}

// CheckDispatch returns nil if the host may dispatch at now, and an [*Error]
// with the reason otherwise.
func (t *LeaseTracker) CheckDispatch(now time.Time) error {
	if t.table == nil {
		return &Error{Op: "dispatch", Kind: KindNoTable}
	}
	if !t.isActiveMember() {
		return &Error{Op: "dispatch", Kind: KindNotMember}
	}
	if !t.Confirmed(now) {
		return &Error{Op: "dispatch", Kind: KindLeaseExpired}
	}
	return nil
}

// isActiveMember reports whether the table lists this run of the host as active.
func (t *LeaseTracker) isActiveMember() bool {
	self := t.table.Host(t.cfg.Host)
	return self != nil && self.Incarnation == t.cfg.Incarnation && self.State == berth.HostActive
}

// receiveTable adopts e.Table if its version is higher than any received so
// far: a host never goes back to a lower version. The host must have the rules
// that the table is closing before it follows the table; until then the table
// is pending.
func (t *LeaseTracker) receiveTable(e TableReceived) {
	if t.table != nil && e.Table.Version <= t.table.Version {
		return
	}
	if t.pending != nil && e.Table.Version <= t.pending.Table.Version {
		return
	}
	t.pending = &e
	t.adoptPending()
}

// adoptPending follows the pending table once the rules it requires have been
// received. The new table starts unconfirmed.
func (t *LeaseTracker) adoptPending() {
	if t.pending == nil || t.pending.Table.Rules.Closing > t.rules {
		return
	}
	t.table = t.pending.Table
	t.revision = t.pending.Revision
	t.pending = nil
	t.confirmedAt = time.Time{}
	clear(t.peerResponses)
}

func (t *LeaseTracker) confirm(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// recordPeerResponse applies a peer's response. Only a response for the exact
// epoch and version that this host follows can confirm the table.
func (t *LeaseTracker) recordPeerResponse(now time.Time, e PeerResponded) {
	if t.table == nil || e.Version != t.table.Version || e.Epoch != t.table.Epoch {
		delete(t.peerResponses, e.Host)
		return
	}
	if e.Confirmed {
		t.confirm(e.RequestedAt.Add(-e.ConfirmationAge))
	}
	t.peerResponses[e.Host] = e
	if at, ok := t.majorityConfirmedAt(now); ok {
		t.confirm(at)
	}
}

// majorityConfirmedAt returns the latest time such that a strict majority of
// the table's members has confirmed the table's version at that time or later.
// It reports false if there is no such majority.
func (t *LeaseTracker) majorityConfirmedAt(now time.Time) (time.Time, bool) {
	members := 0
	var times []time.Time
	for _, h := range t.table.Hosts {
		if h.State == berth.HostLeaving {
			continue
		}
		members++
		if h.ID == t.cfg.Host && h.Incarnation == t.cfg.Incarnation {
			times = append(times, now)
			continue
		}
		response, exists := t.peerResponses[h.ID]
		if exists && response.Incarnation == h.Incarnation {
			times = append(times, response.RequestedAt)
		}
	}
	if !berth.IsMajority(len(times), members) {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[members/2], true
}
