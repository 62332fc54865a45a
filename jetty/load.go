package jetty

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// reportInterval is the time between two reports of a host.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 300 * time.Millisecond
	// hostTimeout is how long after its last report a host is included in the
	// number of hosts.
	hostTimeout = 3 * time.Second
	// feederTimeout is how long after its last report a host may be a feeder. It
	// allows for the loss of one report.
	feederTimeout = 1200 * time.Millisecond
	// peerKeepAlive is the timeout of keepalive probes, which detect broken
	// connections between hosts. It is also the least interval of probes that a
	// host accepts from its peers.
	peerKeepAlive = 2 * time.Second
	// countingTime is how long after the beginning of its term a placer has not heard
	// from all hosts.
	countingTime = 2 * reportInterval
)

// loadCollector collects the reports of all hosts on the placer. It implements
// signal.LoadsServer.
type loadCollector struct {
	signal.UnimplementedLoadsServer

	isPlacer func() bool
	// limits, if set, keeps the limits that servers name.
	limits *limits
	// crashes, if set, has the requests that may crash servers.
	crashes *crashes
	// notices, if set, keeps which servers leave or are closed.
	notices *notices

	mu             sync.Mutex
	requests       map[fairway.ServiceName]map[mooring.Key]int
	stats          map[fairway.ServerID]serverStats
	overload       *sluice.OverloadDetector
	reportingHosts map[HostID]reportingHost
	// countingUntil is until when reports of some hosts are still missing.
	countingUntil time.Time
	// leastHosts and leastReaching are the numbers that this host knew before its term.
	leastHosts    int
	leastReaching int
	// feeders has the feeder of each failure domain, and rootFeeder the one that the
	// others get the store's changes from.
	feeders    map[fairway.Domain]HostID
	rootFeeder HostID
	// granted has the ranges of each service whose grants are not recorded yet.
	granted map[fairway.ServiceName][]mooring.Assignment
	plan    carrierPlan
	// coordinatorPlan is the decision which hosts coordinate.
	coordinatorPlan coordinatorPlan
}

func newLoadCollector() *loadCollector {
	l := &loadCollector{
		overload:       sluice.NewOverloadDetector(),
		reportingHosts: make(map[HostID]reportingHost),
		feeders:        make(map[fairway.Domain]HostID),
		granted:        make(map[fairway.ServiceName][]mooring.Assignment),
		plan:           newCarrierPlan(),
	}
	l.takeReported()
	return l
}

// takeReported returns the load reported since the last call.
func (l *loadCollector) takeReported() (map[fairway.ServiceName]map[mooring.Key]int, map[fairway.ServerID]serverStats) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests, stats := l.requests, l.stats
	l.requests = make(map[fairway.ServiceName]map[mooring.Key]int)
	l.stats = make(map[fairway.ServerID]serverStats)
	return requests, stats
}

// beginTerm begins to count the hosts, for a new term of this host, which knows some
// numbers from before. It drops the load reported before.
func (l *loadCollector) beginTerm(now time.Time, hosts, reaching int) {
	l.takeReported()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countingUntil, l.leastHosts, l.leastReaching = now.Add(countingTime), hosts, reaching
}

// setGranted sets the ranges of a service whose grants are not recorded yet.
func (l *loadCollector) setGranted(service fairway.ServiceName, granted []mooring.Assignment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(granted) == 0 {
		delete(l.granted, service)
		return
	}
	l.granted[service] = granted
}

// Report implements signal.LoadsServer.
func (l *loadCollector) Report(_ context.Context, r *signal.LoadReport) (*signal.LoadReply, error) {
	summary := l.add(r, time.Now())
	reply := &signal.LoadReply{
		Hosts: uint32(summary.hosts), Placer: l.isPlacer(), Feeder: summary.feed.feeder, FallbackFeeders: summary.feed.fallbacks,
		Feeds: summary.feed.feeds, Reaching: uint32(summary.reaching),
		Counting: summary.counting,
	}
	for _, p := range summary.peers {
		reply.Peers = append(reply.Peers, string(p))
	}
	for _, id := range summary.answering {
		reply.Answering = append(reply.Answering, string(id))
	}
	for _, id := range summary.overloaded {
		reply.Crowded = append(reply.Crowded, string(id))
	}
	reply.Carriers, reply.CarriersVersion = summary.carriers, summary.carriersVersion
	if summary.carriersVersion == r.CarriersVersion {
		reply.Carriers = nil
	}
	reply.Coordinators, reply.CoordinatorsVersion = summary.coordinators, summary.coordinatorsVersion
	if summary.coordinatorsVersion == r.CoordinatorsVersion {
		reply.Coordinators = nil
	}
	reply.Granted = encodeGranted(summary.granted)
	if l.limits != nil {
		l.limits.merge(r.Limits, monotonicNow())
		reply.Limits = l.limits.reports(monotonicNow())
	}
	if l.crashes != nil {
		l.crashes.reply(r, reply)
	}
	reply.LeavingServers = l.notices.leaving()
	return reply, nil
}

func encodeGranted(granted map[fairway.ServiceName][]mooring.Assignment) []*signal.GrantedRange {
	var encoded []*signal.GrantedRange
	for service, assignments := range granted {
		for _, a := range assignments {
			encoded = append(encoded, &signal.GrantedRange{
				Service: string(service), FirstKey: uint32(a.From), LastKey: uint32(a.To), Token: uint64(a.Token),
				Server: string(a.Owner.Server), Incarnation: uint64(a.Owner.Incarnation), Address: a.Owner.Address,
			})
		}
	}
	return encoded
}

// decodeGranted leaves out ranges that do not exist.
func decodeGranted(encoded []*signal.GrantedRange) map[fairway.ServiceName][]mooring.Assignment {
	granted := make(map[fairway.ServiceName][]mooring.Assignment)
	for _, g := range encoded {
		if g.FirstKey > g.LastKey || g.LastKey > uint32(mooring.MaxKey) {
			continue
		}
		service := fairway.ServiceName(g.Service)
		granted[service] = append(granted[service], mooring.Assignment{
			KeyRange: mooring.KeyRange{From: mooring.Key(g.FirstKey), To: mooring.Key(g.LastKey)},
			Token:    mooring.Token(g.Token),
			Owner: mooring.ServerInstance{
				Server: fairway.ServerID(g.Server), Incarnation: fairway.Incarnation(g.Incarnation), Address: g.Address,
			},
		})
	}
	return granted
}

// loadSummary is the summary of the load reports of all entry hosts. It is
// returned for each load report.
type loadSummary struct {
	// hosts is the number of hosts that report.
	hosts int
	// feed is where the reporting host gets the store's changes.
	feed feedPlan
	// overloaded lists the overloaded servers.
	overloaded []fairway.ServerID
	// granted has the ranges of each service whose grants are not recorded yet.
	granted map[fairway.ServiceName][]mooring.Assignment
	// peers are hosts that reach servers, for the reporting host, and answering those
	// of its failing servers that answer others.
	peers     []peerAddress
	answering []fairway.ServerID
	// reaching is the number of hosts that are not cut.
	reaching int
	// counting is set while hosts and reaching may be too low.
	counting bool
	// carriers are those of the failure domain of the reporting host, or nil if there are
	// none or those that it knows are to remain.
	carriers        *signal.Carriers
	carriersVersion uint64
	// coordinators are those of all hosts, or nil if there are none or those that the
	// reporting host knows are to remain.
	coordinators        []*signal.Carrier
	coordinatorsVersion uint64
}

// add records a report and returns the summary of all reports.
func (l *loadCollector) add(r *signal.LoadReport, now time.Time) loadSummary {
	l.notices.merge(r.LeavingServers, instantOf(now))
	l.notices.addClosures(HostID(r.Host), r.ClosedServers, instantOf(now))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range r.Services {
		counts := l.requests[fairway.ServiceName(s.Service)]
		if counts == nil {
			counts = make(map[mooring.Key]int)
			l.requests[fairway.ServiceName(s.Service)] = counts
		}
		for i, key := range s.Keys {
			if i < len(s.Counts) && key <= uint32(mooring.MaxKey) {
				counts[mooring.Key(key)] += int(s.Counts[i])
			}
		}
	}
	for _, s := range r.Servers {
		st := l.stats[fairway.ServerID(s.Server)]
		st.responses += int(s.Answers)
		st.slowness += s.Slowness
		st.requests += int(s.Requests)
		l.stats[fairway.ServerID(s.Server)] = st
		if s.Requests > 0 {
			l.overload.Add(instantOf(now), fairway.ServerID(s.Server), int(s.Requests), int(s.Pressed))
		}
	}
	id := HostID(r.Host)
	if r.Leaving {
		delete(l.reportingHosts, id)
		l.coordinatorPlan.chosenAt = time.Time{}
	} else {
		h, known := l.reportingHosts[id]
		if !known || h.address != r.Address || !h.reporting(now) {
			h = reportingHost{domain: fairway.Domain(r.Domain), address: r.Address, firstReport: now}
			h.answers, h.responses = make(map[fairway.ServerID]time.Time), make(map[fairway.ServerID]time.Time)
		}
		h.cut = r.Cut
		h.recordAnswers(r, now)
		h.lastReport, h.linkMbps, h.storeAnsweredAt = now, r.LinkMbps, time.Time{}
		h.capacity, h.coordinates = r.CarryingCapacity, r.CoordinatorsVersion != 0
		h.relaysFeed, h.knowsAsOf = r.RelaysFeed, now.Add(-time.Duration(r.KnowledgeAgeMillis)*time.Millisecond)
		if r.Direct {
			h.storeAnsweredAt = now.Add(-time.Duration(r.StoreAgeMillis) * time.Millisecond)
		}
		l.reportingHosts[id] = h
	}
	for id, h := range l.reportingHosts {
		if now.Sub(h.lastReport) > hostTimeout {
			delete(l.reportingHosts, id)
		}
	}
	summary := loadSummary{
		peers:      l.peers(id, fairway.Domain(r.Domain), now),
		answering:  l.answeringOthers(id, r.Failing, now),
		reaching:   l.reaching(),
		counting:   now.Before(l.countingUntil),
		hosts:      max(len(l.reportingHosts), 1),
		feed:       l.feedPlan(id, fairway.Domain(r.Domain), now),
		overloaded: l.overload.Overloaded(instantOf(now)),
		granted:    maps.Clone(l.granted),
	}
	if summary.carriers = l.carriersOf(fairway.Domain(r.Domain), now); summary.carriers != nil {
		summary.carriersVersion = versionOf(summary.carriers)
	}
	if summary.counting {
		// Hosts that have not reported yet may be carriers.
		summary.carriers, summary.carriersVersion = nil, r.CarriersVersion
		summary.coordinators, summary.coordinatorsVersion = nil, r.CoordinatorsVersion
		summary.hosts, summary.reaching = max(summary.hosts, l.leastHosts), max(summary.reaching, l.leastReaching)
		return summary
	}
	summary.coordinators = l.coordinators(now)
	summary.coordinatorsVersion = coordinatorsVersionOf(summary.coordinators)
	return summary
}

// addressesExcept returns the peer addresses of hosts that report, up to a number, except some.
func (l *loadCollector) addressesExcept(except map[string]bool, limit int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, h := range l.reportingHosts {
		if len(addresses) < limit && h.address != "" && !except[h.address] {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}

// maxRelayPeers bounds the peers that a reply names, and maxOwnDomainPeers those of
// the reporting host's failure domain if there are others.
const (
	maxRelayPeers     = 4
	maxOwnDomainPeers = 3
)

// peers returns hosts that reach the servers, for another host. The hosts are spread
// by rendezvous hashing, so that each is named to few others.
func (l *loadCollector) peers(host HostID, domain fairway.Domain, now time.Time) []peerAddress {
	var own, other []rankedPeer
	for id, h := range l.reportingHosts {
		if id == host || h.address == "" || !h.reachesServers(now) {
			continue
		}
		p := rankedPeer{address: peerAddress(h.address), rank: rendezvousRank(host, id)}
		if h.domain == domain {
			own = append(own, p)
		} else {
			other = append(other, p)
		}
	}
	byRank := func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
	}
	slices.SortFunc(own, byRank)
	slices.SortFunc(other, byRank)
	fromOwn := min(len(own), max(maxOwnDomainPeers, maxRelayPeers-len(other)))
	fromOther := min(len(other), maxRelayPeers-fromOwn)
	var peers []peerAddress
	for _, p := range append(own[:fromOwn], other[:fromOther]...) {
		peers = append(peers, p.address)
	}
	return peers
}

// rankedPeer is a host with its rank among the peers of another.
type rankedPeer struct {
	address peerAddress
	rank    uint64
}

func rendezvousRank(host, peer HostID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(host) + "\x00" + string(peer)))
	// The high bits of FNV hardly depend on the last bytes.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// answeringOthers returns those of a host's failing servers that answer other hosts.
func (l *loadCollector) answeringOthers(host HostID, failing []string, now time.Time) []fairway.ServerID {
	var answering []fairway.ServerID
	for _, f := range failing {
		server := fairway.ServerID(f)
		for id, h := range l.reportingHosts {
			at, ok := h.answers[server]
			if ok && id != host && h.reachesServers(now) && now.Sub(at) <= feederTimeout+reportInterval {
				answering = append(answering, server)
				break
			}
		}
	}
	return answering
}

// reaching returns the number of hosts that are not cut.
func (l *loadCollector) reaching() int {
	n := 0
	for _, h := range l.reportingHosts {
		if !h.cut {
			n++
		}
	}
	return max(n, 1)
}

// answeringSince returns how many of some servers have shown signs of life to a host
// other than the one at an address since the instants given for them.
func (l *loadCollector) answeringSince(since map[fairway.ServerID]mooring.Instant, except string) int {
	return l.countSince(since, except, func(h reportingHost) map[fairway.ServerID]time.Time { return h.answers })
}

// respondingSince is like answeringSince for whole responses.
func (l *loadCollector) respondingSince(since map[fairway.ServerID]mooring.Instant, except string) int {
	return l.countSince(since, except, func(h reportingHost) map[fairway.ServerID]time.Time { return h.responses })
}

func (l *loadCollector) countSince(
	since map[fairway.ServerID]mooring.Instant, except string, timesOf func(reportingHost) map[fairway.ServerID]time.Time,
) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, bootNow := time.Now(), bootTimeNow()
	n := 0
	for server, instant := range since {
		after := now.Add(-bootNow.Sub(instant))
		for _, h := range l.reportingHosts {
			if at, ok := timesOf(h)[server]; ok && h.address != except && !at.Before(after) {
				n++
				break
			}
		}
	}
	return n
}
