package jetty

import (
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
)

// maxFallbackFeeders bounds the feeders of other failure domains that a host is told.
const maxFallbackFeeders = 2

// feedPlan returns where a host gets the store's changes: from the feeder of its failure
// domain, and that one from the root, the only host that watches the store. If the store
// answers none, each feeder watches it, and a failure domain without a feeder calls it from
// every host.
func (l *loadCollector) feedPlan(id HostID, domain fairway.Domain, now time.Time) feedPlan {
	root, feeder := l.chooseRoot(now), l.chooseFeeder(domain, now)
	host, feederHost := l.reportingHosts[id], l.reportingHosts[feeder]
	others := l.feedersOutside(domain, now)
	switch {
	case feeder == "":
		return feedPlan{fallbacks: others}
	case feeder == id && (root == "" || root == id || !host.relaysFeed):
		return feedPlan{feeder: host.address, fallbacks: others, feeds: true}
	case feeder == id:
		return feedPlan{feeder: l.reportingHosts[root].address, fallbacks: others, feeds: true}
	default:
		return feedPlan{feeder: feederHost.address, fallbacks: others}
	}
}

// chooseRoot returns the host that watches the store for the fleet, or nothing if the store
// answers none. It stays the same as long as the store answers it, and is the feeder of
// its failure domain.
func (l *loadCollector) chooseRoot(now time.Time) HostID {
	if !l.reportingHosts[l.rootFeeder].reachesStore(now) {
		l.rootFeeder = l.bestFeeder(func(_ HostID, h reportingHost) bool { return h.reachesStore(now) })
	}
	if l.rootFeeder != "" {
		l.feeders[l.reportingHosts[l.rootFeeder].domain] = l.rootFeeder
	}
	return l.rootFeeder
}

// chooseFeeder returns the host that tells the store's changes to the others of its failure
// domain, or nothing if none has fresh ones. It stays the same as long as it has.
func (l *loadCollector) chooseFeeder(domain fairway.Domain, now time.Time) HostID {
	if h := l.reportingHosts[l.feeders[domain]]; h.domain == domain && h.mayFeed(now) {
		return l.feeders[domain]
	}
	l.feeders[domain] = l.bestFeeder(func(_ HostID, h reportingHost) bool { return h.domain == domain && h.mayFeed(now) })
	return l.feeders[domain]
}

// bestFeeder returns the host with the fastest link among those for which usable returns
// true, and among equals the one that has reported for the longest time.
func (l *loadCollector) bestFeeder(usable func(HostID, reportingHost) bool) HostID {
	var best reportingHost
	var bestID HostID
	for id, h := range l.reportingHosts {
		if usable(id, h) && (bestID == "" || h.betterFeeder(best) || !best.betterFeeder(h) && id < bestID) {
			best, bestID = h, id
		}
	}
	return bestID
}

// feedersOutside returns the addresses of feeders of other failure domains, the root first.
func (l *loadCollector) feedersOutside(domain fairway.Domain, now time.Time) []string {
	var ids []HostID
	for other, id := range l.feeders {
		if other != domain && l.reportingHosts[id].mayFeed(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if i := slices.Index(ids, l.rootFeeder); i > 0 {
		ids = slices.Insert(slices.Delete(ids, i, i+1), 0, l.rootFeeder)
	}
	var addresses []string
	for _, id := range ids[:min(len(ids), maxFallbackFeeders)] {
		addresses = append(addresses, l.reportingHosts[id].address)
	}
	return addresses
}

// decodeFeedPlan returns the plan in a reply of the placer.
func decodeFeedPlan(reply *signal.LoadReply) feedPlan {
	return feedPlan{feeder: reply.Feeder, fallbacks: reply.FallbackFeeders, feeds: reply.Feeds}
}
