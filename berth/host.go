package berth

import (
	"slices"
	"time"
)

// hostView is what the placer knows of one entry host.
type hostView struct {
	incarnation Incarnation
	address     string
	settled     Version
	// withinShares is the highest version to whose shares the host keeps.
	withinShares Version
	lastSeen     time.Time
	leaving      bool
	// gone is the incarnation whose process is known to have ended.
	gone Incarnation
}

// hostTransition is the version at which a host got its present state.
type hostTransition struct {
	state       HostState
	incarnation Incarnation
	version     Version
}

// termCredit is the silence with which a host enters a new term. Hosts are
// nudged when a term starts, so those that live report sooner than usual.
const termCredit = 300 * time.Millisecond

// startTerm drops what an earlier epoch left behind, and gives the host a new
// period in which to report.
func (v *hostView) startTerm(now time.Time) {
	v.settled = 0
	v.withinShares = 0
	v.lastSeen = now.Add(-termCredit)
}

// clear reports whether the given run of the host cannot act on a version
// before the given one: it has said so, or it has ended.
func (v *hostView) clear(incarnation Incarnation, version Version) bool {
	if v.gone == incarnation {
		return true
	}
	return v.incarnation == incarnation && v.settled >= version
}

// host returns the view of id, made on first use.
func (p *Placer) host(now time.Time, id HostID) *hostView {
	view, known := p.hosts[id]
	if !known {
		view = &hostView{lastSeen: now}
		p.hosts[id] = view
	}
	return view
}

func (p *Placer) hostFollowed(now time.Time, e HostReported) {
	view := p.host(now, e.Host)
	if view.gone == e.Incarnation {
		return
	}
	if view.incarnation != e.Incarnation {
		p.noteRestart(view, e)
		view.settled = 0
		view.withinShares = 0
		view.leaving = false
	}
	view.incarnation = e.Incarnation
	view.address = e.Address
	view.lastSeen = now
	view.leaving = view.leaving || e.Leaving
	if p.table != nil && e.Epoch == p.table.Epoch {
		view.settled = max(view.settled, e.Drained)
		view.withinShares = max(view.withinShares, e.WithinShares)
	}
}

// noteRestart records the end of the listed run of a host when a new run
// reports from the same address. An entry host gives up its listening socket
// only after it has stopped dispatching, so the former run is gone.
func (p *Placer) noteRestart(view *hostView, e HostReported) {
	if p.table == nil {
		return
	}
	listed := p.table.Host(e.Host)
	if listed == nil || listed.Address != e.Address || listed.Incarnation == e.Incarnation {
		return
	}
	view.gone = listed.Incarnation
}

func (p *Placer) hostRefused(e HostConnectionRefused) {
	view, known := p.hosts[e.Host]
	if !known {
		return
	}
	view.gone = e.Incarnation
}

// planHosts changes the roster: finished transitions first, then at most one
// change of membership.
func (d *draft) planHosts() {
	d.finishHosts()
	if !d.placer.ledger.majorityFollows(d.placer.table.Version) && len(d.placer.table.Hosts) > 0 {
		return
	}
	if d.dropHost() {
		return
	}
	d.addHost()
}

// finishHosts lets joined hosts dispatch and removes hosts that have left,
// once no host acts on a version before their transition.
func (d *draft) finishHosts() {
	kept := d.next.Hosts[:0]
	for _, h := range d.next.Hosts {
		since, noted := d.placer.hostSince[h.ID]
		if !noted || h.State == HostActive || !d.placer.hostsClear(since.version) {
			kept = append(kept, h)
			continue
		}
		if h.State == HostLeaving {
			d.decideHost()
			continue
		}
		if !d.placer.sharesFree(since.version) {
			kept = append(kept, h)
			continue
		}
		h.State = HostActive
		d.decideHost()
		kept = append(kept, h)
	}
	d.next.Hosts = kept
}

// sharesFree reports whether every active host keeps to the shares of the given
// version, or has ended, so that a joining host may use its own share. A host
// that has only fallen silent is no obstacle: its share stays reserved until it
// is removed from the table.
func (p *Placer) sharesFree(version Version) bool {
	for _, h := range p.table.Hosts {
		view, known := p.hosts[h.ID]
		reports := known && view.incarnation == h.Incarnation && view.settled >= version
		if h.State == HostActive && reports && view.withinShares < version {
			return false
		}
	}
	return true
}

func (d *draft) decideHost() {
	d.decide(Decision{Reason: ReasonHostState})
}

// dropHost marks the first host that has ended, restarted, left or fallen
// silent as leaving. The last member stays until another one has joined,
// because a table without members could never be followed by a majority.
func (d *draft) dropHost() bool {
	if len(membersOf(d.next)) < 2 {
		return false
	}
	for i := range d.next.Hosts {
		h := &d.next.Hosts[i]
		if h.State == HostLeaving || !d.shouldDrop(*h) {
			continue
		}
		h.State = HostLeaving
		d.decideHost()
		return true
	}
	return false
}

func (d *draft) shouldDrop(h Host) bool {
	view, known := d.placer.hosts[h.ID]
	if !known {
		return false
	}
	restarted := view.incarnation != 0 && view.incarnation != h.Incarnation
	if view.gone == h.Incarnation || restarted || view.leaving {
		return true
	}
	return d.now.Sub(view.lastSeen) >= d.placer.cfg.Timing.HostTimeout
}

// addHost lists one host that reports but is not on the roster.
func (d *draft) addHost() {
	var ids []HostID
	for id, view := range d.placer.hosts {
		if d.shouldAdd(id, view) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	id := slices.Min(ids)
	view := d.placer.hosts[id]
	d.next.Hosts = append(d.next.Hosts, Host{
		ID:          id,
		Address:     view.address,
		Incarnation: view.incarnation,
		State:       HostJoining,
	})
	d.decideHost()
}

func (d *draft) shouldAdd(id HostID, view *hostView) bool {
	if d.next.Host(id) != nil || view.leaving || view.incarnation == 0 {
		return false
	}
	if view.gone == view.incarnation {
		return false
	}
	return d.now.Sub(view.lastSeen) < d.placer.cfg.Timing.HostTimeout
}
