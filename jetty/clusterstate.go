package jetty

import (
	"sync"
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

// clusterState is what this host has read or received about the rest of the
// system: configuration, backend servers, entry hosts, placer and feeder. It may
// be out of date.
type clusterState struct {
	activeConfig *fairway.ActiveConfig
	servers      atomic.Pointer[fairway.Catalog]
	// hosts is the number of entry hosts that share the servers. It is assumed until
	// hostsKnown is set.
	hosts      atomic.Int64
	hostsKnown atomic.Bool
	// reaching is the number of those that are not cut, or 0 if it is not known.
	reaching atomic.Int64

	mu     sync.Mutex
	placer placerRecord
	// restoredAt is when this host read the store for the first time after it had come
	// back from an older copy, or 0 if it has not.
	restoredAt mooring.Instant
	// lastPlacer is the address of the placer that this host knew before that.
	lastPlacer string
	// firstEra is the store's era in which the system first started, or 0 if this host does
	// not know it.
	firstEra ledger.Era
	// feed is where this host gets the store's changes.
	feed feedPlan
	// evacuations has the evacuated failure domains. It is replaced, not changed.
	evacuations map[fairway.Domain]evacuation
}

// placerRecord is the record of the placer in the store.
type placerRecord struct {
	// address is the placer's peer address, or empty if there is no placer.
	address  string
	revision ledger.Revision
}

func newClusterState(activeConfig *fairway.ActiveConfig) *clusterState {
	s := &clusterState{activeConfig: activeConfig}
	s.servers.Store(fairway.NewCatalog(nil))
	s.hosts.Store(defaultHostCount)
	return s
}

// currentEvacuations returns the evacuated failure domains. The map must not be changed.
func (s *clusterState) currentEvacuations() map[fairway.Domain]evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations
}

// setEvacuations replaces the evacuated failure domains, and marks their servers.
func (s *clusterState) setEvacuations(next map[fairway.Domain]evacuation) {
	s.mu.Lock()
	s.evacuations = next
	s.mu.Unlock()
	var marked []fairway.Endpoint
	for _, e := range s.catalog().All() {
		if _, evacuated := next[e.Domain]; e.Evacuated != evacuated {
			e.Evacuated = evacuated
			marked = append(marked, e)
		}
	}
	s.servers.Store(s.catalog().Apply(marked, nil))
}

// defaultHostCount is the assumed number of entry hosts until the placer has
// reported the actual one.
const defaultHostCount = 8

func (s *clusterState) catalog() *fairway.Catalog {
	return s.servers.Load()
}

func (s *clusterState) hostCount() int {
	return int(s.hosts.Load())
}

// knownHostCount returns the number of entry hosts, or 0 if no placer has reported it.
func (s *clusterState) knownHostCount() int {
	if !s.hostsKnown.Load() {
		return 0
	}
	return s.hostCount()
}

// setHostCounts sets the numbers that the placer has reported, and reports whether any
// has changed.
func (s *clusterState) setHostCounts(hosts, reaching int) bool {
	changed := s.hosts.Swap(int64(hosts)) != int64(hosts)
	changed = s.reaching.Swap(int64(reaching)) != int64(reaching) || changed
	return !s.hostsKnown.Swap(true) || changed
}

// reachingCount returns the number of hosts that send requests to the servers.
func (s *clusterState) reachingCount() int {
	if n := s.reaching.Load(); n > 0 {
		return int(min(n, s.hosts.Load()))
	}
	return s.hostCount()
}

func (s *clusterState) currentPlacer() placerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer
}

// setPlacer stores a record of the placer if it is newer than the present one,
// and reports whether it was.
func (s *clusterState) setPlacer(next placerRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.revision <= s.placer.revision {
		return false
	}
	s.placer = next
	return true
}

// setRestored records that the store has come back from an older copy.
func (s *clusterState) setRestored(at mooring.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoredAt, s.lastPlacer = at, s.placer.address
}

// setFirstEra records the store's era in which the system first started.
func (s *clusterState) setFirstEra(era ledger.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstEra = era
}

// knownFirstEra returns the store's era in which the system first started, or 0 if this host
// does not know it.
func (s *clusterState) knownFirstEra() ledger.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstEra
}

// placerBeforeRestore returns the placer that this host knew when the store last came back
// from an older copy, and when that was.
func (s *clusterState) placerBeforeRestore() (address string, at mooring.Instant, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastPlacer, s.restoredAt, s.restoredAt != 0
}

// restored reports whether the store has come back from an older copy while this host
// runs, and when it was read after the last time.
func (s *clusterState) restored() (at mooring.Instant, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restoredAt, s.restoredAt != 0
}

func (s *clusterState) feedPlan() feedPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feed
}

func (s *clusterState) setFeedPlan(plan feedPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed = plan
}
