package drydock

import (
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamwinch.example/ledger"
)

// kvStore is the state of the platform's key-value service.
type kvStore struct {
	now func() time.Time

	mu       sync.Mutex
	revision ledger.Revision
	entries  map[string]*kvEntry
	leases   map[ledger.LeaseID]*kvLease
	// changed is closed and replaced by notifyWatchers.
	changed chan struct{}
	nextID  uint64
}

type kvEntry struct {
	value    []byte
	revision ledger.Revision
	lease    ledger.LeaseID
}

type kvLease struct {
	ttl       time.Duration
	expiresAt time.Time
	entries   map[string]bool
}

func newKVStore(now func() time.Time) *kvStore {
	return &kvStore{
		now:     now,
		entries: make(map[string]*kvEntry),
		leases:  make(map[ledger.LeaseID]*kvLease),
		changed: make(chan struct{}),
	}
}

// expire removes expired leases and the keys tied to them. The caller holds
// mu.
func (s *kvStore) expire() {
	now := s.now()
	for id, lease := range s.leases {
		if !now.Before(lease.expiresAt) {
			s.removeLease(id, lease)
		}
	}
}

func (s *kvStore) removeLease(id ledger.LeaseID, lease *kvLease) {
	for key := range lease.entries {
		delete(s.entries, key)
	}
	delete(s.leases, id)
}

func (s *kvStore) get(key string) (ledger.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry, ok := s.entries[key]
	if !ok {
		return ledger.Entry{}, false
	}
	return ledger.Entry{Key: key, Value: entry.value, Revision: entry.revision}, true
}

func (s *kvStore) list(prefix string, after ledger.Revision) []ledger.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entries := []ledger.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) && entry.revision > after {
			entries = append(entries, ledger.Entry{Key: key, Value: entry.value, Revision: entry.revision})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// nextChange returns a channel that is closed at the next write or revocation.
func (s *kvStore) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// swapResult is the outcome of a conditional write.
type swapResult int

const (
	swapDone swapResult = iota
	swapConflict
	swapNoLease
)

func (s *kvStore) swap(w ledger.Swap) (ledger.Revision, swapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := ledger.Revision(0)
	if entry, ok := s.entries[w.Key]; ok {
		current = entry.revision
	}
	if current != w.Revision {
		return 0, swapConflict
	}
	if w.Lease != "" {
		lease, ok := s.leases[w.Lease]
		if !ok {
			return 0, swapNoLease
		}
		lease.entries[w.Key] = true
	}
	s.revision++
	s.entries[w.Key] = &kvEntry{value: w.Value, revision: s.revision, lease: w.Lease}
	s.notifyWatchers()
	return s.revision, swapDone
}

func (s *kvStore) remove(key string, revision ledger.Revision) swapResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry, ok := s.entries[key]
	if !ok || entry.revision != revision {
		return swapConflict
	}
	delete(s.entries, key)
	s.revision++
	s.notifyWatchers()
	return swapDone
}

func (s *kvStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) grantLease(ttl time.Duration) ledger.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := ledger.LeaseID("lease-" + strconv.FormatUint(s.nextID, 10))
	s.leases[id] = &kvLease{ttl: ttl, expiresAt: s.now().Add(ttl), entries: make(map[string]bool)}
	return id
}

func (s *kvStore) renewLease(id ledger.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	lease, ok := s.leases[id]
	if !ok {
		return false
	}
	lease.expiresAt = s.now().Add(lease.ttl)
	return true
}

func (s *kvStore) revokeLease(id ledger.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		return false
	}
	s.removeLease(id, lease)
	s.notifyWatchers()
	return true
}
