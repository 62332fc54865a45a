package sluice

import (
	"cmp"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// maxCrashRecords bounds the requests of which crashes are remembered. The least
	// certain are forgotten first, and among them the oldest.
	maxCrashRecords = 2000
	// suspectMemory is how long a request is suspected without another crash. Certain ones
	// are remembered.
	suspectMemory = 10 * time.Minute
	// settleTime is how long after the last crash a request is not certain yet: until all
	// hosts have told which requests were at the server.
	settleTime = 600 * time.Millisecond
)

// CrashTable has the requests under which servers have ended. It is not safe for
// concurrent use.
type CrashTable struct {
	records map[Fingerprint]*tableRecord
	// targets counts the records of each target.
	targets map[uint64]int
	// contents has the contents under which each server instance has ended, also those that
	// have been cleared since.
	contents map[ServerInstance][]Fingerprint
	// changes numbers the changes of the table.
	changes uint64
}

// tableRecord is a record, and when this host has last changed it.
type tableRecord struct {
	CrashRecord
	changedAt mooring.Instant
	change    uint64
}

// NewCrashTable returns an empty table.
func NewCrashTable() *CrashTable {
	return &CrashTable{
		records: make(map[Fingerprint]*tableRecord), targets: make(map[uint64]int), contents: make(map[ServerInstance][]Fingerprint),
	}
}

// MayKnow reports whether the table may have a request with a target. Only for those a
// digest has to be computed.
func (t *CrashTable) MayKnow(target uint64) bool {
	return t.targets[target] > 0
}

// Suspicion returns how certain it is that a request crashes servers of a version.
func (t *CrashTable) Suspicion(now mooring.Instant, d RequestDigest, version fairway.SoftwareVersion) Suspicion {
	highest := SuspicionNone
	for _, f := range []Fingerprint{d.Content, d.ByCaller} {
		if r := t.records[f]; r != nil {
			suspicion := t.suspicion(&r.CrashRecord, version)
			if now.Sub(r.changedAt) < settleTime {
				suspicion = min(suspicion, SuspicionPossible)
			}
			highest = max(highest, suspicion)
		}
	}
	return highest
}

// suspicion returns how certain it is that a request crashes servers of a version.
func (t *CrashTable) suspicion(r *CrashRecord, version fairway.SoftwareVersion) Suspicion {
	switch {
	case len(r.Crashes) == 0:
		return SuspicionNone
	case t.rejectedOn(r, version):
		return SuspicionCertain
	}
	// A version that mends the fault answers the request, which clears it.
	if t.isCertain(r) && slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Version == version }) {
		return SuspicionCertain
	}
	return SuspicionPossible
}

// isCertain reports whether the request is not sent to servers of some version any more.
func (t *CrashTable) isCertain(r *CrashRecord) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return t.rejectedOn(r, c.Version) })
}

// rejectedOn reports whether the crashes of servers of one version are enough.
func (t *CrashTable) rejectedOn(r *CrashRecord, version fairway.SoftwareVersion) bool {
	instances, callers, proved := make(map[ServerInstance]bool), make(map[Fingerprint]bool), false
	for _, c := range r.Crashes {
		if c.Version == version {
			instances[c.Instance] = true
			callers[c.Caller] = true
			proved = proved || c.Alone && t.onlyRepeated(r, c.Instance)
		}
	}
	// What one caller sends must not have the requests of others rejected.
	return len(instances) >= rejectingCrashes && proved && (!r.AnyCaller || len(callers) > 1)
}

// onlyRepeated reports whether no other request has ended several servers, of those that
// were at a server instance when it ended. Hosts that have not heard of a suspect yet send it
// beside a trial.
func (t *CrashTable) onlyRepeated(r *CrashRecord, instance ServerInstance) bool {
	for _, content := range t.contents[instance] {
		if other := t.records[content]; content != r.Content && other != nil && other.ended() > 1 && other.includes(instance) {
			return false
		}
	}
	return true
}

// Crashes returns the number of servers that have ended under a request.
func (t *CrashTable) Crashes(d RequestDigest) int {
	highest := 0
	for _, f := range []Fingerprint{d.Content, d.ByCaller} {
		if r := t.records[f]; r != nil {
			highest = max(highest, r.ended())
		}
	}
	return highest
}

// Add records that a server has ended while a request was there.
func (t *CrashTable) Add(now mooring.Instant, d RequestDigest, service fairway.ServiceName, c Crash) {
	c.Caller = d.ByCaller
	for _, r := range []CrashRecord{
		{Fingerprint: d.Content, Content: d.Content, AnyCaller: true, Target: d.Target, Service: service},
		{Fingerprint: d.ByCaller, Content: d.Content, Target: d.Target, Service: service},
	} {
		known := t.record(r)
		if known.add(c) {
			t.touch(now, known)
		}
	}
	t.prune(now)
}

// Clear records that a request has been answered. It reports whether the table had crashes
// of it.
func (t *CrashTable) Clear(now mooring.Instant, d RequestDigest) bool {
	cleared := false
	for _, f := range []Fingerprint{d.Content, d.ByCaller} {
		cleared = t.clear(now, t.records[f]) || cleared
	}
	return cleared
}

// ClearAll records that an operator has cleared the requests with a fingerprint, of whatever
// caller. It reports whether the table had crashes of one.
func (t *CrashTable) ClearAll(now mooring.Instant, f Fingerprint) bool {
	named := t.records[f]
	if named == nil {
		return false
	}
	related := slices.Clone(named.Crashes)
	cleared := false
	for _, r := range t.records {
		sameEnd := func(c Crash) bool {
			return slices.ContainsFunc(related, func(other Crash) bool { return other.Instance == c.Instance && other.Caller == c.Caller })
		}
		if r.Target == named.Target && slices.ContainsFunc(r.Crashes, sameEnd) {
			cleared = t.clear(now, r) || cleared
		}
	}
	return cleared
}

func (t *CrashTable) clear(now mooring.Instant, r *tableRecord) bool {
	if r == nil || len(r.Crashes) == 0 {
		return false
	}
	r.Generation++
	r.Crashes = nil
	t.touch(now, r)
	return true
}

// Merge records what another host knows.
func (t *CrashTable) Merge(now mooring.Instant, told []CrashRecord) {
	for _, r := range told {
		known := t.record(CrashRecord{Fingerprint: r.Fingerprint, Content: r.Content, AnyCaller: r.AnyCaller, Target: r.Target, Service: r.Service})
		if known.merge(r) {
			t.touch(now, known)
		}
	}
	t.prune(now)
}

// ChangedSince returns up to n records that have changed after a change, the earliest
// first, and the last change among them, from which to go on.
func (t *CrashTable) ChangedSince(change uint64, n int) ([]CrashRecord, uint64) {
	var changed []*tableRecord
	if change < t.changes {
		for _, r := range t.records {
			if r.change > change {
				changed = append(changed, r)
			}
		}
	}
	slices.SortFunc(changed, func(a, b *tableRecord) int { return cmp.Compare(a.change, b.change) })
	changed = changed[:min(len(changed), n)]
	if n := len(changed); n > 0 {
		change = changed[n-1].change
	}
	return copyRecords(changed), change
}

func copyRecords(records []*tableRecord) []CrashRecord {
	copies := make([]CrashRecord, 0, len(records))
	for _, r := range records {
		c := r.CrashRecord
		c.Crashes = slices.Clone(r.Crashes)
		copies = append(copies, c)
	}
	return copies
}

// IsCertain reports whether the request of a record is not sent to servers of some version
// any more.
func (t *CrashTable) IsCertain(r CrashRecord) bool {
	return t.isCertain(&r)
}

// Certain returns up to n records of requests that are not sent any more, the latest
// first.
func (t *CrashTable) Certain(n int) []CrashRecord {
	var certain []*tableRecord
	for _, r := range t.records {
		if t.isCertain(&r.CrashRecord) {
			certain = append(certain, r)
		}
	}
	slices.SortFunc(certain, func(a, b *tableRecord) int { return cmp.Compare(b.change, a.change) })
	return copyRecords(certain[:min(len(certain), n)])
}

// Changes returns the number of the last change.
func (t *CrashTable) Changes() uint64 {
	return t.changes
}

// Len returns the number of requests that are suspected or rejected.
func (t *CrashTable) Len() int {
	return len(t.records)
}

// record returns the record with a fingerprint, which it adds if there is none.
func (t *CrashTable) record(r CrashRecord) *tableRecord {
	known := t.records[r.Fingerprint]
	if known == nil {
		known = &tableRecord{CrashRecord: r}
		t.records[r.Fingerprint] = known
		t.targets[r.Target]++
	}
	return known
}

func (t *CrashTable) touch(now mooring.Instant, r *tableRecord) {
	for _, c := range r.Crashes {
		if contents := t.contents[c.Instance]; !slices.Contains(contents, r.Content) {
			t.contents[c.Instance] = append(contents, r.Content)
		}
	}
	t.changes++
	r.change, r.changedAt = t.changes, now
}

// prune forgets requests that have not been suspected for long, and the least certain
// ones of too many.
func (t *CrashTable) prune(now mooring.Instant) {
	for _, r := range t.records {
		if now.Sub(r.changedAt) > suspectMemory && !t.isCertain(&r.CrashRecord) {
			t.forget(r)
		}
	}
	for len(t.records) > maxCrashRecords {
		var least *tableRecord
		for _, r := range t.records {
			if least == nil || t.weaker(r, least) {
				least = r
			}
		}
		t.forget(least)
	}
}

func (t *CrashTable) forget(r *tableRecord) {
	delete(t.records, r.Fingerprint)
	if t.targets[r.Target]--; t.targets[r.Target] == 0 {
		delete(t.targets, r.Target)
	}
	for _, c := range r.Crashes {
		remaining := slices.DeleteFunc(t.contents[c.Instance], func(content Fingerprint) bool { return t.records[content] == nil })
		if t.contents[c.Instance] = remaining; len(remaining) == 0 {
			delete(t.contents, c.Instance)
		}
	}
}

// weaker reports whether a is forgotten before b.
func (t *CrashTable) weaker(a, b *tableRecord) bool {
	if certainA, certainB := t.isCertain(&a.CrashRecord), t.isCertain(&b.CrashRecord); certainA != certainB {
		return certainB
	}
	if len(a.Crashes) != len(b.Crashes) {
		return len(a.Crashes) < len(b.Crashes)
	}
	return a.changedAt < b.changedAt
}
