package berth

import "time"

// versionLedger remembers when each version of a table was recorded, and
// derives from it which versions no silent host can act on any more.
//
// A host dispatches under a version for at most one route lease after it was
// last confirmed. A confirmation comes from the store, so it shows a version
// that had no recorded successor when the question was sent; or, while the
// store does not answer, from a strict majority of the members that the
// version lists. Hence nobody acts on a version before v once v was recorded,
// a strict majority of the members of v has followed it, and one route lease
// has passed since both.
type versionLedger struct {
	lease   time.Duration
	entries []versionEntry
	// lapsed is the highest version for which the above holds.
	lapsed Version
}

// versionEntry is one recorded version.
type versionEntry struct {
	version    Version
	recordedAt time.Time
	majorityAt time.Time
	members    []member
}

// member is one run of an entry host that counts for majorities.
type member struct {
	id          HostID
	incarnation Incarnation
}

// record adds the version of t, recorded at the latest by now.
func (l *versionLedger) record(t *Table, now time.Time) {
	l.entries = append(l.entries, versionEntry{
		version:    t.Version,
		recordedAt: now,
		members:    membersOf(t),
	})
}

// advance updates majorities and lapsed versions, and drops settled entries.
func (l *versionLedger) advance(now time.Time, hosts map[HostID]*hostView) {
	for i := range l.entries {
		e := &l.entries[i]
		if e.majorityAt.IsZero() && e.hasMajority(hosts) {
			e.majorityAt = now
		}
		if !e.majorityAt.IsZero() && now.Sub(e.majorityAt) >= l.lease {
			l.lapsed = max(l.lapsed, e.version)
		}
	}
	kept := l.entries[:0]
	for _, e := range l.entries {
		if e.version > l.lapsed {
			kept = append(kept, e)
		}
	}
	l.entries = kept
}

// majorityFollows reports whether a strict majority of the members of version
// is known to follow it.
func (l *versionLedger) majorityFollows(version Version) bool {
	if version <= l.lapsed {
		return true
	}
	for i := range l.entries {
		if l.entries[i].version == version {
			return !l.entries[i].majorityAt.IsZero()
		}
	}
	return false
}

func (e *versionEntry) hasMajority(hosts map[HostID]*hostView) bool {
	n := 0
	for _, m := range e.members {
		view, known := hosts[m.id]
		if known && view.clear(m.incarnation, e.version) {
			n++
		}
	}
	return IsMajority(n, len(e.members))
}

// IsMajority reports whether n of total members are a strict majority.
func IsMajority(n, total int) bool {
	return 2*n > total
}

// membersOf lists the hosts that count for majorities: all but leaving ones.
func membersOf(t *Table) []member {
	var members []member
	for _, h := range t.Hosts {
		if h.State != HostLeaving {
			members = append(members, member{id: h.ID, incarnation: h.Incarnation})
		}
	}
	return members
}

// Proof says why the former owner of a shard can no longer run requests for
// it. The set of proofs is closed, and there are no others: neither a health
// page nor the platform's list of hosts proves a release.
type Proof interface {
	proof()
}

// ProofNoOwner holds for a shard that nobody has owned.
type ProofNoOwner struct{}

// ProofStopped holds when the former owner's process is gone.
type ProofStopped struct{}

// ProofReleased holds when the former owner acknowledged the revocation.
type ProofReleased struct{}

// ProofExpired holds when the former owner checks grants and its grant ended.
// A grant ends with its own time to live or with the route lease of the host
// that sent it, whichever is earlier.
type ProofExpired struct{}

// ProofUnrouted holds when the former owner does not check grants but no entry
// host can send it a request any more.
type ProofUnrouted struct{}

func (ProofNoOwner) proof()  {}
func (ProofStopped) proof()  {}
func (ProofReleased) proof() {}
func (ProofExpired) proof()  {}
func (ProofUnrouted) proof() {}

// hostsClear reports whether no entry host acts on a version before the given
// one. Every proof needs it, because a server that has restarted on the
// address of the former owner would serve requests that still reach it.
func (p *Placer) hostsClear(version Version) bool {
	if p.ledger.lapsed >= version {
		return true
	}
	if !p.ledger.majorityFollows(version) {
		return false
	}
	for _, h := range p.table.Hosts {
		view, known := p.hosts[h.ID]
		if !known || !view.clear(h.Incarnation, version) {
			return false
		}
	}
	return true
}

// release returns the proof that the owner of a moving shard no longer owns
// it, or nil while there is none.
func (p *Placer) release(now time.Time, owner ServerID, since Version) Proof {
	if !p.hostsClear(since) {
		return nil
	}
	if owner == "" {
		return ProofNoOwner{}
	}
	server := p.table.Server(owner)
	if server == nil {
		return ProofUnrouted{}
	}
	view := p.server(owner)
	if server.State == ServerStopped && view.condition == ConditionConnectionRefused {
		return ProofStopped{}
	}
	if !server.ChecksGrants {
		return ProofUnrouted{}
	}
	if view.released >= since {
		return ProofReleased{}
	}
	if p.ledger.lapsed >= since {
		return ProofExpired{}
	}
	if view.clearedAt.IsZero() || view.clearedFor < since {
		view.clearedAt = now
		view.clearedFor = since
	}
	if now.Sub(view.clearedAt) >= p.cfg.Timing.GrantTTL+p.cfg.Timing.DriftMargin {
		return ProofExpired{}
	}
	return nil
}
