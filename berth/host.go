package berth

import (
	"slices"
	"time"
)

// hostView is the placer's view of one entry host, from its reports.
type hostView struct {
	incarnation Incarnation
	address     string
	// followed is the highest version that the host has followed. From then on it
	// admits no request, and confirms no table, of a lower one.
	followed Version
	// drained is the highest version such that the host has no running request
	// that the version forbids.
	drained Version
	// withinShares is the highest version such that the host does not exceed
	// its shares under the version.
	withinShares Version
	lastSeen     time.Time
	leaving      bool
	// stopped is the incarnation whose process is known to have ended.
	stopped Incarnation
}

// hostTransition records the version at which a host entered its current state.
type hostTransition struct {
	state       HostState
	incarnation Incarnation
	version     Version
}

// assumedReportAge is the age that the last report of each host is assumed to
// have when a term starts. All hosts are notified of a new term, so running
// hosts report sooner than usual.
const assumedReportAge = 300 * time.Millisecond

// startTerm discards state that belongs to an earlier epoch and restarts the
// timeout for the host's next report.
func (v *hostView) startTerm(now time.Time) {
	v.followed = 0
	v.drained = 0
	v.withinShares = 0
	v.lastSeen = now.Add(-assumedReportAge)
}

// caughtUp reports whether the given incarnation of the host can no longer act
// on a version lower than version: it has reported this, or its process has
// ended.
func (v *hostView) caughtUp(incarnation Incarnation, version Version) bool {
	if v.stopped == incarnation {
		return true
	}
	return v.incarnation == incarnation && v.drained >= version
}

// follows reports whether the given incarnation of the host has followed version,
// or its process has ended.
func (v *hostView) follows(incarnation Incarnation, version Version) bool {
	if v.stopped == incarnation {
		return true
	}
	return v.incarnation == incarnation && v.followed >= version
}

// host returns the view of host id. It creates the view on first use.
func (p *Placer) host(now time.Time, id HostID) *hostView {
	view, exists := p.hosts[id]
	if !exists {
		view = &hostView{lastSeen: now}
		p.hosts[id] = view
	}
	return view
}

func (p *Placer) hostReported(now time.Time, e HostReported) {
	view := p.host(now, e.Host)
	if view.stopped == e.Incarnation {
		return
	}
	if view.incarnation != e.Incarnation {
		p.recordRestart(now, view, e)
		view.followed = 0
		view.drained = 0
		view.withinShares = 0
		view.leaving = false
	}
	view.incarnation = e.Incarnation
	view.address = e.Address
	view.lastSeen = now
	view.leaving = view.leaving || e.Leaving
	if p.table != nil && e.Epoch == p.table.Epoch {
		view.followed = max(view.followed, e.Followed)
		view.drained = max(view.drained, e.Drained)
		view.withinShares = max(view.withinShares, e.WithinShares)
	}
}

// recordRestart records that the process of the listed incarnation of a host
// has ended if another incarnation reports from the same address. An entry
// host closes its listening socket only after it has stopped dispatching, so
// the listed incarnation can no longer dispatch.
func (p *Placer) recordRestart(now time.Time, view *hostView, e HostReported) {
	if p.table == nil {
		return
	}
	listed := p.table.Host(e.Host)
	if listed == nil || listed.Address != e.Address || listed.Incarnation == e.Incarnation {
		return
	}
	p.recordStop(now, view, listed.Incarnation)
}

func (p *Placer) hostConnectionRefused(now time.Time, e HostConnectionRefused) {
	view, exists := p.hosts[e.Host]
	if !exists {
		return
	}
	p.recordStop(now, view, e.Incarnation)
}

// recordStop records that the process of an incarnation of a host has ended.
func (p *Placer) recordStop(now time.Time, view *hostView, incarnation Incarnation) {
	if view.stopped == incarnation {
		return
	}
	view.stopped = incarnation
	p.hostStoppedAt = now
}

// planHosts updates the table's entry hosts: it first completes transitions,
// then makes at most one change of membership, and that only if a strict
// majority of the members follows the recorded version.
func (d *draft) planHosts() {
	d.finishHostTransitions()
	if !d.placer.history.majorityFollows(d.placer.table.Version) && len(d.placer.table.Hosts) > 0 {
		return
	}
	if d.removeHost() {
		return
	}
	d.addHost()
}

// finishHostTransitions makes joining hosts active and deletes leaving hosts,
// once no host acts on a version from before the transition any more.
func (d *draft) finishHostTransitions() {
	kept := d.next.Hosts[:0]
	for _, h := range d.next.Hosts {
		transition, exists := d.placer.hostTransitions[h.ID]
		if !exists || h.State == HostActive || !d.placer.hostsCaughtUp(transition.version) {
			kept = append(kept, h)
			continue
		}
		if h.State == HostLeaving {
			d.recordHostDecision()
			continue
		}
		if !d.placer.hostsWithinShares(transition.version) {
			kept = append(kept, h)
			continue
		}
		h.State = HostActive
		d.recordHostDecision()
		kept = append(kept, h)
	}
	d.next.Hosts = kept
}

// hostsWithinShares reports whether no active host exceeds its shares under the
// given version, so that a joining host may use its own share. Hosts that have
// ended are ignored, and so are hosts that do not report: the share of such a
// host stays reserved until the host is removed from the table.
func (p *Placer) hostsWithinShares(version Version) bool {
	for _, h := range p.table.Hosts {
		view, exists := p.hosts[h.ID]
		reports := exists && view.incarnation == h.Incarnation && view.drained >= version
		if h.State == HostActive && reports && view.withinShares < version {
			return false
		}
	}
	return true
}

func (d *draft) recordHostDecision() {
	d.recordDecision(Decision{Reason: ReasonHostState})
}

// removeHost marks as leaving the first host that has ended, restarted,
// started to shut down or stopped reporting, and reports whether there was
// one. The last member stays until another host has joined, because no
// majority could ever follow a table without members.
func (d *draft) removeHost() bool {
	if len(membersOf(d.next)) < 2 {
		return false
	}
	for i := range d.next.Hosts {
		h := &d.next.Hosts[i]
		if h.State == HostLeaving || !d.shouldRemove(*h) {
			continue
		}
		h.State = HostLeaving
		d.recordHostDecision()
		return true
	}
	return false
}

func (d *draft) shouldRemove(h Host) bool {
	view, exists := d.placer.hosts[h.ID]
	if !exists {
		return false
	}
	restarted := view.incarnation != 0 && view.incarnation != h.Incarnation
	if view.stopped == h.Incarnation || restarted || view.leaving {
		return true
	}
	return d.now.Sub(view.lastSeen) >= d.placer.cfg.Timing.HostTimeout
}

// addHost adds to the table one host that reports but is not listed in it.
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
	d.recordHostDecision()
}

func (d *draft) shouldAdd(id HostID, view *hostView) bool {
	if d.next.Host(id) != nil || view.leaving || view.incarnation == 0 {
		return false
	}
	if view.stopped == view.incarnation {
		return false
	}
	return d.now.Sub(view.lastSeen) < d.placer.cfg.Timing.HostTimeout
}
