package jetty

import (
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// coordinatorPlanAge is how long the placer's choice of coordinators stands until it looks
// again which hosts report.
const coordinatorPlanAge = 200 * time.Millisecond

// coordinatorPlan is the placer's decision which hosts coordinate. The mutex of the
// loadCollector protects it.
type coordinatorPlan struct {
	// wanted is set while any service is to have coordinators.
	wanted bool
	rate   serviceRate
	// present is the number of coordinators, also of an earlier placer.
	present  int
	chosen   []*signal.Carrier
	chosenAt time.Time
}

// continueCoordinators takes over the number of coordinators from an earlier placer.
func (l *loadCollector) continueCoordinators(present int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinatorPlan = coordinatorPlan{wanted: present > 0, present: present}
}

// decideCoordinators decides again whether there are coordinators, for the requests of the
// services that are to have them in an interval.
func (l *loadCollector) decideCoordinators(wanted bool, requests int, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.coordinatorPlan
	p.wanted = wanted
	p.rate.add(requests, interval)
}

// coordinators returns the hosts that coordinate. There are none for a single host. Hosts
// that are cut, or have not reported for a while, are left out.
func (l *loadCollector) coordinators(now time.Time) []*signal.Carrier {
	p := &l.coordinatorPlan
	if !p.wanted || len(l.reportingHosts) < 2 {
		p.present, p.chosen, p.chosenAt = 0, nil, time.Time{}
		return nil
	}
	if now.Sub(p.chosenAt) < coordinatorPlanAge {
		return p.chosen
	}
	var hosts []sluice.Carrier
	for id, h := range l.reportingHosts {
		if h.coordinates && h.reporting(now) && !h.cut && h.address != "" {
			hosts = append(hosts, sluice.Carrier{Host: string(id), Capacity: h.capacity})
		}
	}
	chosen := sluice.ChooseCoordinators(hosts, p.rate.rate(), p.present)
	encoded := encodeCoordinators(chosen, func(host string) string { return l.reportingHosts[HostID(host)].address })
	if !sameCoordinators(encoded, p.chosen) {
		p.chosen = encoded
	}
	p.present, p.chosenAt = len(chosen), now
	return p.chosen
}

// decideCoordinators decides by the reported load which hosts coordinate.
func (r *termRunner) decideCoordinators(stats map[fairway.ServerID]serverStats, catalog *fairway.Catalog, interval time.Duration) {
	if r.election.coordination == nil {
		return
	}
	wanted, requests := false, 0
	for id, e := range catalog.All() {
		if r.election.coordination.wanted(e.Service) {
			wanted = true
			requests += stats[id].requests
		}
	}
	r.election.loadCollector.decideCoordinators(wanted, requests, interval)
}
