package berth

// rulesView is the placer's view of the newest rules and of the revisions that
// other failure domains have closed.
type rulesView struct {
	revision RulesRevision
	sources  []DomainID
	closed   map[DomainID]RulesRevision
}

func (v *rulesView) recorded(e RulesRecorded) {
	if e.Revision < v.revision {
		return
	}
	v.revision = e.Revision
	v.sources = e.Sources
}

// sourcesClosed reports whether every failure domain other than own that loses
// keys has closed the newest revision.
func (v *rulesView) sourcesClosed(own DomainID) bool {
	for _, domain := range v.sources {
		if domain != own && v.closed[domain] < v.revision {
			return false
		}
	}
	return true
}

// planRules advances the newest rules through three states: closing, closed and
// opened. Closing requires every entry host of the failure domain to load the
// rules, after which no host dispatches a key that the rules assign to another
// domain. Closed announces to the other domains that this is done. Opened lets
// this domain dispatch the keys that the rules have newly assigned to it.
func (d *draft) planRules() {
	rules := &d.next.Rules
	recorded := d.placer.table.Rules
	newest := d.placer.rules.revision
	if rules.Closing < newest {
		rules.Closing = newest
		d.placer.closingSince = d.placer.table.Version + 1
		d.recordDecision(Decision{Reason: ReasonRulesState})
		return
	}
	hostsClosed := d.placer.hostsCaughtUp(d.placer.closingVersion()) && d.placer.stoppedHostsUnrouted(d.now)
	if recorded.Closed < recorded.Closing && hostsClosed {
		rules.Closed = recorded.Closing
		d.recordDecision(Decision{Reason: ReasonRulesState})
	}
	if rules.Closed == newest && rules.Opened < newest && d.placer.rules.sourcesClosed(d.next.Domain) {
		rules.Opened = newest
		d.recordDecision(Decision{Reason: ReasonRulesState})
	}
}

// closingVersion returns the version since which the rules are closing. In a
// new term the proof starts again from the version that claimed the epoch.
func (p *Placer) closingVersion() Version {
	return max(p.closingSince, p.firstVersion)
}
