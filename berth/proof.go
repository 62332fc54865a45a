package berth

import "time"

// versionHistory records when each version of a table was recorded and when a
// majority followed it. It derives from this the versions that no host can act
// on any more, even a host that does not report.
//
// A host dispatches under a version for at most one route lease after the
// version was last confirmed. A confirmation comes either from the store or,
// while the store does not answer, from a strict majority of the members
// listed in the version. The store confirms a version only if it had no
// recorded successor when the request was sent. Hence no host acts on a
// version lower than v once v has been recorded, a strict majority of the
// members of v has followed v, and one route lease has passed since both.
type versionHistory struct {
	// lease is the route lease plus the margin for clock drift.
	lease   time.Duration
	entries []versionEntry
	// expired is the highest version v for which the above holds.
	expired Version
}

// versionEntry is the entry of one recorded version.
type versionEntry struct {
	version    Version
	recordedAt time.Time
	// majorityAt is when a strict majority of members was first seen to follow
	// the version, or zero.
	majorityAt time.Time
	members    []member
}

// member is one incarnation of an entry host that counts for majorities.
type member struct {
	id          HostID
	incarnation Incarnation
}

// record adds the version of t, which was recorded at or before now.
func (h *versionHistory) record(t *Table, now time.Time) {
	h.entries = append(h.entries, versionEntry{
		version:    t.Version,
		recordedAt: now,
		members:    membersOf(t),
	})
}

// advance updates the majorities and the expired version, and removes the
// entries that are no longer needed.
func (h *versionHistory) advance(now time.Time, hosts map[HostID]*hostView) {
	for i := range h.entries {
		e := &h.entries[i]
		if e.majorityAt.IsZero() && e.hasMajority(hosts) {
			e.majorityAt = now
		}
		if !e.majorityAt.IsZero() && now.Sub(e.majorityAt) >= h.lease {
			h.expired = max(h.expired, e.version)
		}
	}
	kept := h.entries[:0]
	for _, e := range h.entries {
		if e.version > h.expired {
			kept = append(kept, e)
		}
	}
	h.entries = kept
}

// majorityFollows reports whether a strict majority of the members of version
// is known to follow it.
func (h *versionHistory) majorityFollows(version Version) bool {
	if version <= h.expired {
		return true
	}
	for i := range h.entries {
		if h.entries[i].version == version {
			return !h.entries[i].majorityAt.IsZero()
		}
	}
	return false
}

// hasMajority reports whether a strict majority of the members has followed the
// version, or has ended. Requests that they still have in flight need not be
// waited for: their deadlines are within one route lease from then.
func (e *versionEntry) hasMajority(hosts map[HostID]*hostView) bool {
	n := 0
	for _, m := range e.members {
		view, exists := hosts[m.id]
		if exists && view.follows(m.incarnation, e.version) {
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

// Proof is the reason why the former owner of a shard can no longer run
// requests for it. The set of proofs is closed. In particular, neither a
// health endpoint nor the platform's list of backend servers proves a release.
type Proof interface {
	proof()
}

// ProofNoOwner holds for a shard that has never had an owner.
type ProofNoOwner struct{}

// ProofStopped holds when the former owner's process has ended.
type ProofStopped struct{}

// ProofReleased holds when the former owner has acknowledged the revocation of
// its grant.
type ProofReleased struct{}

// ProofExpired holds when the former owner checks grants and its grant has
// expired. A grant expires after its own time to live or with the route lease
// of the host that sent it, whichever is earlier.
type ProofExpired struct{}

// ProofUnrouted holds when no entry host can send the former owner a request any
// more. This is sufficient if the former owner does not check grants or is no
// longer in the table.
type ProofUnrouted struct{}

func (ProofNoOwner) proof()  {}
func (ProofStopped) proof()  {}
func (ProofReleased) proof() {}
func (ProofExpired) proof()  {}
func (ProofUnrouted) proof() {}

// hostsCaughtUp reports whether no entry host acts on a version lower than
// version any more. Every proof requires this, because a server that has
// restarted on the address of the former owner would run requests that are
// still sent to it.
func (p *Placer) hostsCaughtUp(version Version) bool {
	if p.history.expired >= version {
		return true
	}
	if !p.history.majorityFollows(version) {
		return false
	}
	for _, h := range p.table.Hosts {
		view, exists := p.hosts[h.ID]
		if !exists || !view.caughtUp(h.Incarnation, version) {
			return false
		}
	}
	return true
}

// releaseProof returns the proof that owner, the former owner of a shard that
// is moving since the given version, can no longer run requests for it. It
// returns nil if there is no proof yet.
func (p *Placer) releaseProof(now time.Time, owner ServerID, since Version) Proof {
	if !p.hostsCaughtUp(since) {
		return nil
	}
	if owner == "" {
		return ProofNoOwner{}
	}
	server := p.table.Server(owner)
	if server == nil {
		return p.unroutedProof(now)
	}
	view := p.server(owner)
	if server.State == ServerStopped && view.condition == ConditionConnectionRefused {
		return ProofStopped{}
	}
	if !server.ChecksGrants {
		return p.unroutedProof(now)
	}
	if view.released >= since {
		return ProofReleased{}
	}
	if p.history.expired >= since {
		return ProofExpired{}
	}
	if view.caughtUpAt.IsZero() || view.caughtUpVersion < since {
		view.caughtUpAt = now
		view.caughtUpVersion = since
	}
	// A frozen server may have a request in hand, which only the request's deadline
	// ends. It is within one route lease.
	wait := max(p.cfg.Timing.GrantTTL, p.cfg.Timing.RouteLease) + p.cfg.Timing.DriftMargin
	if now.Sub(view.caughtUpAt) >= wait {
		return ProofExpired{}
	}
	return nil
}

// unroutedProof returns [ProofUnrouted] once the requests of stopped hosts have
// ended.
func (p *Placer) unroutedProof(now time.Time) Proof {
	if !p.stoppedHostsUnrouted(now) {
		return nil
	}
	return ProofUnrouted{}
}

// stoppedHostsUnrouted reports whether the deadline of every request that an entry
// host sent before its process ended has passed. The end of the process closes the
// connections, but a server that is frozen or cut off does not detect that. No
// deadline is later than one route lease after the end of the host's process.
func (p *Placer) stoppedHostsUnrouted(now time.Time) bool {
	return now.Sub(p.hostStoppedAt) >= p.cfg.Timing.RouteLease+p.cfg.Timing.DriftMargin
}
