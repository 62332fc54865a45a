package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedItem is an item of the store.
type storedItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// storedLease is a lease with its time to live.
type storedLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeCopy is what the store held at a moment.
type storeCopy struct {
	items    map[string]storedItem
	leases   map[uint64]storedLease
	revision uint64
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record
	addr   string

	mu        sync.Mutex
	era       int
	items     map[string]storedItem
	leases    map[uint64]storedLease
	nextLease uint64
	revision  uint64
	// history has the changes after oldest, which the store still knows.
	history []storedItem
	oldest  uint64
	changed chan struct{}
	// awayUntil is until when the store resets all connections.
	awayUntil time.Time
	// beats has when each worker last wrote its entry.
	beats map[string]time.Time
	// silence is the time without a heartbeat after which the entry of a worker is removed.
	silence time.Duration
}

const firstRevision = 100

// startStore starts a store at a free loopback address.
func startStore(rec *record) (*store, error) {
	s := &store{
		record: rec, era: 1, items: make(map[string]storedItem), leases: make(map[uint64]storedLease),
		nextLease: 1, revision: firstRevision, oldest: firstRevision, changed: make(chan struct{}),
		beats: make(map[string]time.Time), silence: heartbeats,
	}
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(l, s.gate(mux)) }()
	go s.loop()
	return s, nil
}

// gate resets connections while the store is away.
func (s *store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := time.Now().Before(s.awayUntil)
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// loop ends leases.
func (s *store) loop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.removeKey(key)
		}
	}
}

// removeKey removes a key. The caller holds mu.
func (s *store) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.append(storedItem{Key: key, Revision: s.revision, Removed: true})
}

// putKey writes a key. The caller holds mu.
func (s *store) putKey(key, value string, lease uint64) {
	s.revision++
	created := s.revision
	if former, ok := s.items[key]; ok {
		created = former.Created
	}
	item := storedItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	s.append(item)
}

func (s *store) append(change storedItem) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putKey(key, base64.StdEncoding.EncodeToString(value), 0)
}

// remove removes the entry of a worker that leaves.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, key)
	s.removeKey(key)
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := base64.StdEncoding.DecodeString(s.items[key].Value)
	return data
}

// copyNow returns a copy of the store.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{items: maps.Clone(s.items), leases: maps.Clone(s.leases), revision: s.revision}
}

// restore has the store be away for a while and come back from a copy.
func (s *store) restore(c storeCopy, away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.leases, s.revision = maps.Clone(c.items), maps.Clone(c.leases), c.revision
	s.history, s.oldest = nil, c.revision
	s.awayUntil = time.Now().Add(away)
	// The silence of the workers in the copy counts from now.
	s.beats = make(map[string]time.Time)
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") {
			s.beats[key] = s.awayUntil
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.write("store is away for %v and comes back from a copy, Store-Era %d", away, s.era)
}

// answer writes a response of the store. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	s.answer(w, http.StatusOK, struct {
		storedItem
		CurrentRev uint64 `json:"current_rev"`
	}{item, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const page = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []storedItem{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.items[key])
		}
	}
	more := len(items) > page
	s.answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "has_more": more, "current_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for {
		if s.era != era || time.Now().Before(s.awayUntil) {
			panic(http.ErrAbortHandler)
		}
		if after > s.revision || after < s.oldest {
			s.answer(w, http.StatusGone, nil)
			return
		}
		events := []storedItem{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		changed := s.changed
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
		s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Put []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put_items"`
		Remove []string `json:"remove"`
	}
	err := json.NewDecoder(r.Body).Decode(&txn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	items := []storedItem{}
	conflict := false
	for _, e := range txn.Expected {
		item := s.items[e.Key]
		conflict = conflict || item.Revision != e.Revision
		if item.Revision != 0 {
			items = append(items, item)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range txn.Put {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			s.answer(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, p := range txn.Put {
		s.putKey(p.Key, p.Value, p.Lease)
		s.record.write("store: %s is written, revision %d, era %d", p.Key, s.revision, s.era)
	}
	for _, key := range txn.Remove {
		s.removeKey(key)
	}
	s.answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL float64 `json:"ttl_s_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(max(ask.TTL, 1) * float64(time.Second))
	id := s.nextLease
	s.nextLease++
	s.leases[id] = storedLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_s_time": ttl.Seconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	s.answer(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	s.answer(w, http.StatusOK, nil)
}

// heartbeats are three heartbeats of most deployments.
const heartbeats = 3 * 870 * time.Millisecond

// beat writes the entry of a worker, and reports whether the store takes it. The item changes when
// more than the sequence does.
func (s *store) beat(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.awayUntil) {
		return false
	}
	s.beats[key] = time.Now()
	if _, ok := s.items[key]; !ok {
		s.putKey(key, base64.StdEncoding.EncodeToString(value), 0)
		s.record.write("store: %s is written, revision %d", key, s.revision)
	}
	return true
}

// expireLoop removes the entries of workers that have been silent for three heartbeats.
func (s *store) expireLoop() {
	for range time.Tick(5 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.beats {
			if time.Since(at) > s.silence {
				delete(s.beats, key)
				s.removeKey(key)
				s.record.write("store: %s is removed after three heartbeats of silence, revision %d", key, s.revision)
			}
		}
		s.mu.Unlock()
	}
}

// down has the store reset all connections for a while, and waits until it is back.
func (s *store) down(d time.Duration) {
	s.mu.Lock()
	s.awayUntil = time.Now().Add(d)
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.write("store is down for %v", d)
	s.mu.Unlock()
	time.Sleep(d)
	s.record.write("store is back")
}
