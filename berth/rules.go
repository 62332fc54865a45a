package berth

// rulesView is what the placer knows of the rules beyond its own table.
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

// sourcesClosed reports whether every other failure domain that loses keys
// has closed the newest revision.
func (v *rulesView) sourcesClosed(own DomainID) bool {
	for _, domain := range v.sources {
		if domain != own && v.closed[domain] < v.revision {
			return false
		}
	}
	return true
}

// planRules takes the newest rules through their three steps: closing, closed
// and opened. Closing makes every entry host of the domain learn the rules,
// after which none dispatches a key that they give away. Closed tells the
// other domains so. Opened lets the domain dispatch the keys it was given.
func (d *draft) planRules() {
	rules := &d.next.Rules
	recorded := d.placer.table.Rules
	newest := d.placer.rules.revision
	if rules.Closing < newest {
		rules.Closing = newest
		d.placer.closingSince = d.placer.table.Version + 1
		d.decide(Decision{Reason: ReasonRulesState})
		return
	}
	if recorded.Closed < recorded.Closing && d.placer.hostsClear(d.placer.closingVersion()) {
		rules.Closed = recorded.Closing
		d.decide(Decision{Reason: ReasonRulesState})
	}
	if rules.Closed == newest && rules.Opened < newest && d.placer.rules.sourcesClosed(d.next.Domain) {
		rules.Opened = newest
		d.decide(Decision{Reason: ReasonRulesState})
	}
}

// closingVersion returns the version since which the rules are closing. A new
// term starts the proof again at the version that claimed the epoch.
func (p *Placer) closingVersion() Version {
	return max(p.closingSince, p.firstVersion)
}
