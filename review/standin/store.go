package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is the current value of a key, or an event in the history.
type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	Created    uint64 `json:"created,omitempty"`
	Lease      uint64 `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
	CurrentRev uint64 `json:"current_rev,omitempty"`
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is an in-memory stand-in of the platform's metadata store.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	leases   map[uint64]storeLease
	history  []storeItem
	changed  chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l, revision: 1, items: make(map[string]storeItem), leases: make(map[uint64]storeLease),
		changed: make(chan struct{}),
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

// set writes a key as the operator or a worker does.
func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the leases that have run out, and their keys.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	status, response := s.handle(op, id, r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

func (s *store) handle(op, id string, r *http.Request) (int, any) {
	if op == "kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch op {
	case "kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		i.CurrentRev = s.revision
		return http.StatusOK, i
	case "kv-range":
		return s.list(r)
	case "kv-txn":
		return s.commit(r)
	case "kv-lease":
		return s.newLease(r)
	case "kv-keep", "kv-lease-end":
		return s.changeLease(op, id)
	default:
		return http.StatusNotFound, nil
	}
}

// pageItems is the number of items on a page of a range.
const pageItems = 500

func (s *store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

// leaseCheckInterval is how often a waiting watch looks for expired leases.
const leaseCheckInterval = 20 * time.Millisecond

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		response := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			return http.StatusOK, response
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, response
		case <-time.After(leaseCheckInterval):
		case <-r.Context().Done():
			return http.StatusOK, response
		}
	}
}

func (s *store) commit(r *http.Request) (int, any) {
	var txn struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		PutItems []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put_items"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range txn.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[e.Key]}}
		}
	}
	for _, p := range txn.PutItems {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range txn.PutItems {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) newLease(r *http.Request) (int, any) {
	var request struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTL < 1 {
		return http.StatusBadRequest, nil
	}
	s.revision++
	ttl := time.Duration(request.TTL * float64(time.Second))
	s.leases[s.revision] = storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_s_time": request.TTL}
}

func (s *store) changeLease(op, text string) (int, any) {
	id, err := strconv.ParseUint(text, 10, 64)
	l, ok := s.leases[id]
	switch {
	case err != nil || !ok:
		return http.StatusNotFound, nil
	case op == "kv-lease-end":
		s.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()}
}
