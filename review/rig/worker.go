package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heldRange is a range of keys that a worker holds from one moment to another.
type heldRange struct {
	worker      string
	from, to    int
	fence       uint64
	since, till time.Time
}

// run is a request that a worker has begun to work on.
type run struct {
	worker, id string
	key        int
	at         time.Time
}

// worker is a stand-in for a worker. It checks grants if its service is divided by key.
type worker struct {
	id, service, zone, addr string
	slots                   int
	sharded                 bool
	work                    time.Duration
	born                    time.Time
	record                  *record
	// free has an entry for each slot in use.
	free    chan struct{}
	waiting atomic.Int64
	silent  atomic.Bool
	server  *http.Server
	// quiet leaves what it runs out of the record.
	quiet bool

	mu sync.Mutex
	// fences has the highest fence by key, and holds all that it has held.
	fences [keys]uint64
	holds  []heldRange
	runs   []run
	atWork map[int]int
	beats  int
	idle   *sync.Cond
}

// workerSlots is how many requests a worker runs at a time.
const workerSlots = 6

// keys is the number of keys.
const keys = 65536

func startWorker(rec *record, id, service, zone string, sharded bool, work time.Duration) (*worker, error) {
	w := &worker{
		id: id, service: service, zone: zone, slots: workerSlots, sharded: sharded, work: work, born: time.Now(), record: rec,
		atWork: make(map[int]int), free: make(chan struct{}, workerSlots),
	}
	w.idle = sync.NewCond(&w.mu)
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/grant", w.serveGrant)
	mux.HandleFunc("POST /-/release", w.serveRelease)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Hornbeamwinch-Instance-Id", w.id)
	})
	mux.HandleFunc("/", w.serveRequest)
	// A response that remains unread for some seconds is cut off.
	w.server = &http.Server{Handler: mux, WriteTimeout: 8 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// beatLoop writes the entry of the worker at each heartbeat.
func (w *worker) beatLoop(s *store, every time.Duration) {
	for at := time.Now(); ; at = at.Add(every) {
		time.Sleep(time.Until(at))
		if w.silent.Load() {
			return
		}
		if s.beat("servers/"+w.id, w.entry()) {
			w.mu.Lock()
			w.beats++
			w.mu.Unlock()
		}
	}
}

// stopBeats ends the heartbeats of a worker that leaves.
func (w *worker) stopBeats() {
	w.silent.Store(true)
}

// exit ends the worker with all of its connections.
func (w *worker) exit() {
	w.record.write("%s exits", w.id)
	_ = w.server.Close()
}

// allRuns returns what the worker has run.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// awaitBeat waits for the next heartbeat.
func (w *worker) awaitBeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := w.beats; w.beats == n; {
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
	}
}

// register writes the entry of the worker.
func (w *worker) register(s *store) {
	s.put("servers/"+w.id, w.entry())
}

// entry returns the entry of the worker.
func (w *worker) entry() []byte {
	data, _ := json.Marshal(map[string]any{
		"address": w.addr,
		"info":    map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status":  map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0},
		"born":    w.born.UnixMilli(),
	})
	return data
}

// misdirected answers 421 if a call expects another worker.
func (w *worker) misdirected(rw http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Hornbeamwinch-Expected-Instance")
	if expected == "" || expected == w.id {
		return false
	}
	rw.Header().Set("Hornbeamwinch-Instance-Id", w.id)
	rw.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

type order struct {
	From   int     `json:"from"`
	Target int     `json:"target"`
	Fence  uint64  `json:"fence"`
	HoldS  float64 `json:"hold_s"`
}

func (w *worker) serveGrant(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.Target >= keys || o.From > o.Target || o.HoldS <= 0 || o.HoldS > 10 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.misdirected(rw, r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if w.fences[key] > o.Fence {
			w.record.write("%s refuses the grant of keys %d to %d, fence %d", w.id, o.From, o.Target, o.Fence)
			rw.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := o.From; key <= o.Target; key++ {
		w.fences[key] = o.Fence
	}
	till := arrived.Add(time.Duration(o.HoldS * float64(time.Second)))
	for i := range w.holds {
		h := &w.holds[i]
		if h.from == o.From && h.to == o.Target && h.fence == o.Fence && !h.till.Before(arrived) {
			h.till = till
			return
		}
	}
	w.endHolds(o.From, o.Target, arrived)
	w.holds = append(w.holds, heldRange{worker: w.id, from: o.From, to: o.Target, fence: o.Fence, since: arrived, till: till})
	w.record.write("%s is granted keys %d to %d, fence %d, for %.1f s", w.id, o.From, o.Target, o.Fence, o.HoldS)
}

// endHolds ends what the worker holds of a range. The caller holds mu.
func (w *worker) endHolds(from, to int, at time.Time) {
	var parts []heldRange
	for i := range w.holds {
		h := &w.holds[i]
		if h.till.Before(at) || h.from > to || from > h.to {
			continue
		}
		if h.from < from {
			part := *h
			part.to, part.since = from-1, at
			parts = append(parts, part)
		}
		if h.to > to {
			part := *h
			part.from, part.since = to+1, at
			parts = append(parts, part)
		}
		h.till = at
	}
	w.holds = append(w.holds, parts...)
}

func (w *worker) serveRelease(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.Target >= keys || o.From > o.Target {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.misdirected(rw, r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := o.From; key <= o.Target; key++ {
		w.fences[key] = max(w.fences[key], o.Fence)
	}
	w.endHolds(o.From, o.Target, time.Now())
	w.record.write("%s releases keys %d to %d, fence %d", w.id, o.From, o.Target, o.Fence)
	for w.busy(o.From, o.Target) {
		w.idle.Wait()
	}
	rw.Header().Set("Hornbeamwinch-Handover", fmt.Sprintf("%s-%d", w.id, o.Fence))
}

// busy reports whether there is work on keys of a range. The caller holds mu.
func (w *worker) busy(from, to int) bool {
	for key, n := range w.atWork {
		if n > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// holdsKey reports whether the worker holds a key. The caller holds mu.
func (w *worker) holdsKey(key int, now time.Time) bool {
	for i := range w.holds {
		if h := &w.holds[i]; h.from <= key && key <= h.to && now.Before(h.till) {
			return true
		}
	}
	return false
}

func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	if w.misdirected(rw, r) {
		return
	}
	id := r.Header.Get("Hornbeamwinch-Request-Id")
	key, err := strconv.Atoi(r.Header.Get("Hornbeamwinch-Shard-Key"))
	rw.Header().Set("Hornbeamwinch-Request-Id", id)
	if !w.enter(r) {
		rw.Header().Set("Hornbeamwinch-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	if w.sharded && (err != nil || key < 0 || key >= keys || !w.holdsKey(key, time.Now())) {
		w.mu.Unlock()
		w.leave()
		rw.Header().Set("Hornbeamwinch-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.runs = append(w.runs, run{worker: w.id, id: id, key: key, at: time.Now()})
	w.atWork[key]++
	w.mu.Unlock()
	if !w.quiet {
		w.record.write("%s runs %s, key %d", w.id, id, key)
	}
	time.Sleep(w.work)
	w.mu.Lock()
	w.atWork[key]--
	w.idle.Broadcast()
	w.mu.Unlock()
	w.leave()
	rw.Header().Set("Hornbeamwinch-Server-Signature", w.id+"."+id)
	body := fmt.Sprintf("%s %s\n", w.id, id)
	if size, _ := strconv.Atoi(r.URL.Query().Get("size")); size > len(body) {
		body += strings.Repeat("x", size-len(body))
	}
	// A long body is sent in chunks.
	_, _ = io.WriteString(rw, body)
}

// queueLength is the number of requests that wait for a slot at most.
const queueLength = 24

// enter waits for a slot. It returns false if too many requests wait, or if the deadline of the
// request passes before.
func (w *worker) enter(r *http.Request) bool {
	left := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Hornbeamwinch-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	if w.waiting.Add(1) > queueLength {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.free <- struct{}{}:
		return true
	case <-time.After(left):
	case <-r.Context().Done():
	}
	return false
}

// leave gives the slot back.
func (w *worker) leave() {
	<-w.free
}

// allHolds returns what the worker has held until now.
func (w *worker) allHolds() []heldRange {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	held := make([]heldRange, 0, len(w.holds))
	for _, h := range w.holds {
		if h.till.After(now) {
			h.till = now
		}
		held = append(held, h)
	}
	return held
}

// doublyHeld returns the pairs of ranges that two workers have held at the same time for longer
// than a time.
func doublyHeld(workers []*worker, longer time.Duration) [][2]heldRange {
	var all []heldRange
	for _, w := range workers {
		all = append(all, w.allHolds()...)
	}
	var found [][2]heldRange
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.worker == b.worker || a.from > b.to || b.from > a.to {
				continue
			}
			since, till := a.since, a.till
			if b.since.After(since) {
				since = b.since
			}
			if b.till.Before(till) {
				till = b.till
			}
			if till.Sub(since) > longer {
				found = append(found, [2]heldRange{a, b})
			}
		}
	}
	return found
}
