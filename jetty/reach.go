package jetty

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// cutSilence is how long no server has responded to a host that is cut, at least.
	cutSilence = 400 * time.Millisecond
	// cutFailures and cutServers are how many connects and sends have failed in that
	// time, and at how many servers.
	cutFailures = 3
	cutServers  = 2
	// peersMaxAge is how long after the placer's reply its peers may be used.
	peersMaxAge = 3 * time.Second
	// failingMaxAge is how long a server counts as failing after its last failure.
	failingMaxAge = 5 * time.Second
	// hopExclusion is how long a peer is not used after it has not answered.
	hopExclusion = time.Second
	// minProbeInterval and maxProbeInterval bound the time between two connections
	// that a cut host opens to see whether it reaches the servers again.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = time.Second
	// idleProbeInterval is the same for a host without requests. It lets other hosts
	// tell a failure of the servers from one of their own path. It is short
	// enough for every second report to have a response.
	idleProbeInterval = 900 * time.Millisecond
	// reachInterval is the time between two checks whether a connection is to be
	// opened.
	reachInterval = 125 * time.Millisecond
)

// reachState tells by the outcomes of connects and sends which servers a host reaches.
// It is not safe for concurrent use.
type reachState struct {
	respondedAt mooring.Instant
	servers     map[fairway.ServerID]*serverReach
	// peers have answers of servers, and answering are the servers that answer others
	// and not this host, both as of repliedAt.
	peers     []peerAddress
	answering map[fairway.ServerID]bool
	repliedAt mooring.Instant
	// excluded has until when peers are not used.
	excluded map[peerAddress]mooring.Instant
	isCut    bool
	// probedAt is when the last connection was opened to look for a way back, and
	// probes the number of those that have failed since this host is cut.
	probedAt mooring.Instant
	probes   int
	// lastProbed is the server of that connection.
	lastProbed fairway.ServerID
}

// serverReach is what has happened at one server.
type serverReach struct {
	// failures counts the failures since any server responded, and failedAt is the
	// last failure since this one did, or zero.
	failures int
	failedAt mooring.Instant
	// respondedAt is when the server last responded, or zero.
	respondedAt mooring.Instant
	// signs counts the responses since the last report.
	signs int
}

func newReachState(now mooring.Instant) *reachState {
	return &reachState{
		respondedAt: now, servers: make(map[fairway.ServerID]*serverReach), excluded: make(map[peerAddress]mooring.Instant),
	}
}

func (s *reachState) server(id fairway.ServerID) *serverReach {
	r := s.servers[id]
	if r == nil {
		r = &serverReach{}
		s.servers[id] = r
	}
	return r
}

// responded records that a server has responded or accepted a connection. It reports
// whether that ends a time in which none has.
func (s *reachState) responded(now mooring.Instant, id fairway.ServerID) bool {
	restored := s.isCut || s.silent(now)
	s.respondedAt, s.isCut, s.probes = now, false, 0
	r := s.server(id)
	r.failures, r.failedAt, r.respondedAt = 0, 0, now
	r.signs++
	return restored
}

// failed records a connect or send that has failed.
func (s *reachState) failed(now mooring.Instant, id fairway.ServerID) {
	r := s.server(id)
	if r.failedAt == 0 || r.failedAt <= s.respondedAt {
		r.failures = 0
	}
	r.failures++
	r.failedAt = now
}

// cut reports whether this host reaches no server while others do.
func (s *reachState) cut(now mooring.Instant) bool {
	s.isCut = s.isCut || s.hasPeers(now) && s.silent(now)
	return s.isCut
}

// silent reports whether several servers have failed and none has responded for a while.
func (s *reachState) silent(now mooring.Instant) bool {
	if now.Sub(s.respondedAt) < cutSilence {
		return false
	}
	failures, servers := 0, 0
	for _, r := range s.servers {
		if r.failures > 0 && r.failedAt > s.respondedAt {
			failures += r.failures
			servers++
		}
	}
	return failures >= cutFailures && servers >= cutServers
}

func (s *reachState) hasPeers(now mooring.Instant) bool {
	return len(s.peers) > 0 && now.Sub(s.repliedAt) <= peersMaxAge
}

// reachesFew reports whether this host is cut, or at least half of the servers that it
// has tried lately fail and answer others.
func (s *reachState) reachesFew(now mooring.Instant) bool {
	if s.cut(now) {
		return true
	}
	failing, tried := 0, 0
	for id, r := range s.servers {
		switch {
		case r.failedAt != 0 && now.Sub(r.failedAt) <= failingMaxAge:
			tried++
			if s.answering[id] {
				failing++
			}
		case r.respondedAt != 0 && now.Sub(r.respondedAt) <= failingMaxAge:
			tried++
		}
	}
	return failing >= cutServers && 2*failing >= tried && now.Sub(s.repliedAt) <= failingMaxAge
}

// failing returns the servers that do not answer this host.
func (s *reachState) failing(now mooring.Instant) []fairway.ServerID {
	var failing []fairway.ServerID
	for id, r := range s.servers {
		if r.failedAt != 0 && now.Sub(r.failedAt) <= failingMaxAge {
			failing = append(failing, id)
		}
	}
	slices.Sort(failing)
	return failing
}

// takeSigns returns the number of responses of each server since the last call.
func (s *reachState) takeSigns() map[fairway.ServerID]int {
	signs := make(map[fairway.ServerID]int)
	for id, r := range s.servers {
		if r.signs > 0 {
			signs[id] = r.signs
			r.signs = 0
		}
	}
	return signs
}

// setPeers records a reply of the placer.
func (s *reachState) setPeers(now mooring.Instant, peers []peerAddress, answering []fairway.ServerID) {
	s.peers, s.repliedAt = peers, now
	s.answering = make(map[fairway.ServerID]bool, len(answering))
	for _, id := range answering {
		s.answering[id] = true
	}
}

// addPeers records a reply of a placer that has not heard from all hosts yet. What an
// earlier reply named counts beside it.
func (s *reachState) addPeers(now mooring.Instant, peers []peerAddress, answering []fairway.ServerID) {
	switch {
	case !s.hasPeers(now):
		s.setPeers(now, peers, answering)
		return
	case len(peers) == 0:
		return
	}
	earlier := s.answering
	known := slices.DeleteFunc(slices.Clone(s.peers), func(p peerAddress) bool { return slices.Contains(peers, p) })
	s.setPeers(now, append(slices.Clone(peers), known...), answering)
	for id := range earlier {
		s.answering[id] = true
	}
}

// relayPeers returns the peers for requests to a server, or to any if it is empty.
func (s *reachState) relayPeers(now mooring.Instant, server fairway.ServerID) []peerAddress {
	if !s.hasPeers(now) || server != "" && !s.answering[server] {
		return nil
	}
	var peers []peerAddress
	for _, p := range s.peers {
		if now >= s.excluded[p] {
			peers = append(peers, p)
		}
	}
	return peers
}

// hop records whether a peer answered an offer in time.
func (s *reachState) hop(now mooring.Instant, peer peerAddress, ok bool) {
	if ok {
		delete(s.excluded, peer)
		return
	}
	s.excluded[peer] = now.Add(hopExclusion)
}

// nextProbe returns the server to which a connection is to be opened now, if any, from
// those that are listed.
func (s *reachState) nextProbe(now mooring.Instant, listed []fairway.ServerID) (fairway.ServerID, bool) {
	if len(listed) == 0 || !s.probeDue(now) {
		return "", false
	}
	next := listed[0]
	for _, id := range listed {
		if id > s.lastProbed {
			next = id
			break
		}
	}
	s.probedAt, s.lastProbed = now, next
	if s.isCut {
		s.probes++
	}
	return next, true
}

// probeDue reports whether a connection is to be opened now.
func (s *reachState) probeDue(now mooring.Instant) bool {
	interval := idleProbeInterval
	switch {
	case s.cut(now):
		interval = min(minProbeInterval<<min(s.probes, 8), maxProbeInterval)
	case s.probedAt > s.respondedAt:
		interval = minProbeInterval
	}
	return now.Sub(s.respondedAt) >= interval && now.Sub(s.probedAt) >= interval
}

// prune forgets the servers that are not listed.
func (s *reachState) prune(catalog *fairway.Catalog) {
	for id := range s.servers {
		if _, ok := catalog.Get(id); !ok {
			delete(s.servers, id)
		}
	}
}

// reach is the [reachability] of an entry host.
type reach struct {
	clusterState *clusterState
	upstream     *upstream
	// onRestored is called with the first response after a time without any.
	onRestored func()

	mu    sync.Mutex
	state *reachState
}

func newReach(clusterState *clusterState, u *upstream, onRestored func()) *reach {
	return &reach{clusterState: clusterState, upstream: u, onRestored: onRestored, state: newReachState(bootTimeNow())}
}

func (r *reach) cut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.cut(bootTimeNow())
}

func (r *reach) reachesFew() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.reachesFew(bootTimeNow())
}

func (r *reach) relayPeers(server fairway.ServerID) []peerAddress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.relayPeers(bootTimeNow(), server)
}

func (r *reach) recordConnect(server fairway.ServerID, err error) {
	r.recordExchange(server, err)
}

// recordExchange implements [reachability]. What a canceled request has not received
// says nothing about the server, and any response is a sign of life.
func (r *reach) recordExchange(server fairway.ServerID, err error) {
	kind := kindOf(err)
	if kind == KindCanceled || errors.Is(err, errConnectionLimit) {
		return
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		r.upstream.dropIdle(server)
	}
	r.mu.Lock()
	restored := false
	if err == nil || kind == KindInvalidResponse {
		restored = r.state.responded(bootTimeNow(), server)
	} else {
		r.state.failed(bootTimeNow(), server)
	}
	r.mu.Unlock()
	if restored {
		r.onRestored()
	}
}

func (r *reach) usablePeer(peer peerAddress) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bootTimeNow() >= r.state.excluded[peer]
}

func (r *reach) recordHop(peer peerAddress, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.hop(bootTimeNow(), peer, err == nil)
}

// reachReport is what a host reports of its reach to the placer.
type reachReport struct {
	cut     bool
	failing []fairway.ServerID
	signs   map[fairway.ServerID]int
}

func (r *reach) takeReport() reachReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootTimeNow()
	return reachReport{cut: r.state.cut(now), failing: r.state.failing(now), signs: r.state.takeSigns()}
}

// applySummary records the peers that a reply of the placer names.
func (r *reach) applySummary(summary loadSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if summary.counting {
		r.state.addPeers(bootTimeNow(), summary.peers, summary.answering)
		return
	}
	r.state.setPeers(bootTimeNow(), summary.peers, summary.answering)
}

// forgetOthers forgets the servers that are not listed.
func (r *reach) forgetOthers(catalog *fairway.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.prune(catalog)
}

// run opens connections while no server responds, until ctx is done.
func (r *reach) run(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.probe(ctx)
		}
	}
}

// probe opens a connection if one is due. It is kept for requests.
func (r *reach) probe(ctx context.Context) {
	r.mu.Lock()
	due := r.state.probeDue(bootTimeNow())
	r.mu.Unlock()
	if !due {
		return
	}
	catalog := r.clusterState.catalog()
	var listed []fairway.ServerID
	for _, e := range catalog.All() {
		listed = append(listed, e.ID)
	}
	slices.Sort(listed)
	r.mu.Lock()
	id, due := r.state.nextProbe(bootTimeNow(), listed)
	r.mu.Unlock()
	if !due {
		return
	}
	if endpoint, ok := catalog.Get(id); ok {
		// What the opening says about the path is recorded by upstream.
		_ = r.upstream.connect(ctx, endpoint, r.clusterState.activeConfig.Current())
	}
}
