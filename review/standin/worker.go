package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerConfig holds the parameters of a [worker].
type workerConfig struct {
	Store   *store
	Record  *record
	ID      string
	Service string
	Zone    string
	Slots   int
	Sharded bool
	// Work is how long a request takes.
	Work time.Duration
	// ImportWork is how long the work on the first piece of a body takes, for requests
	// below importPath.
	ImportWork time.Duration
	// Queue is how many requests may wait for a slot.
	Queue int
	// LateCopies returns the share of the answers of which the worker at most sends a second
	// copy late, where the answer to the next request on the connection is expected, and the
	// number of the present span of this disruption. The share is 0 between two spans. Nil
	// means none.
	LateCopies func() (share float64, span int)
	Seed       uint64
}

// keyRange is a range of keys that a worker holds until its time has run out.
type keyRange struct {
	from, to  int
	expiresAt time.Time
}

// worker is a stand-in of a worker. It serves one request at a time on a connection, and
// as many at a time as it has slots. When it is full it rejects requests.
type worker struct {
	cfg      workerConfig
	born     time.Time
	listener net.Listener

	slots chan struct{}

	mu sync.Mutex
	// span is the one that answers and copies are counted in.
	span, answers, copies int
	rng                   *rand.Rand
	present               int
	held                  []keyRange
	// fences has the highest fencing token that was seen for each key.
	fences   map[int]uint64
	sequence int
	// runs counts how often each request has run.
	runs map[string]int
	// ended has when a request has last stopped running.
	ended map[string]time.Time
}

func startWorker(cfg workerConfig) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		cfg: cfg, born: time.Now(), listener: l, fences: make(map[int]uint64), runs: make(map[string]int), ended: make(map[string]time.Time),
		slots: make(chan struct{}, cfg.Slots), rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	go w.acceptLoop()
	go w.heartbeatLoop()
	return w, nil
}

// heartbeat is the time between two writes of a worker's entry.
const heartbeat = 870 * time.Millisecond

func (w *worker) heartbeatLoop() {
	for ; ; time.Sleep(heartbeat) {
		w.mu.Lock()
		w.sequence++
		n := w.sequence
		w.mu.Unlock()
		w.cfg.Store.set("servers/"+w.cfg.ID, map[string]any{
			"address": w.listener.Addr().String(),
			"info":    map[string]any{"service": w.cfg.Service, "version": "v1", "zone": w.cfg.Zone, "slots": w.cfg.Slots},
			"status":  map[string]any{"state": "ready", "sequence": n, "cold_remaining_s": 0},
			"born":    w.born.UnixMilli(),
		})
	}
}

func (w *worker) acceptLoop() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// idleTimeoutS is how long a worker keeps an unused connection, in seconds.
const idleTimeoutS = 10

// serve answers the requests on one connection.
func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	copyOfLast, copySpan := "", 0
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeoutS * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if strings.HasPrefix(r.URL.Path, importPath) {
			answer, err := w.run(r, func() ([]byte, error) { return w.readInPieces(r.Body) })
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
			continue
		}
		if strings.HasPrefix(r.URL.Path, exportPath) {
			if err := w.export(c, r); err != nil {
				return
			}
			continue
		}
		if strings.HasPrefix(r.URL.Path, reportPath) {
			w.report(c, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/-/grant" || r.URL.Path == "/-/release" {
			if _, err := io.WriteString(c, w.order(r, body)); err != nil {
				return
			}
			continue
		}
		if share, span := w.lateCopies(); copyOfLast != "" && share > 0 && span == copySpan {
			w.cfg.Record.add("worker %s sends a second copy of the answer before, as an answer is expected to %s: %s",
				w.cfg.ID, r.Header.Get("Hornbeamwinch-Request-Id"), strings.ReplaceAll(copyOfLast, "\r\n", " | "))
			if _, err := io.WriteString(c, copyOfLast); err != nil {
				return
			}
		}
		answer, err := w.run(r, func() ([]byte, error) {
			time.Sleep(w.cfg.Work)
			return body, nil
		})
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		copyOfLast = ""
		if _, span := w.lateCopies(); w.copiesLate() {
			copyOfLast, copySpan = answer, span
		}
	}
}

// copiesLate decides whether an answer may get a second copy. It keeps to the share in each
// span: a copy that has been decided on counts, whether it is sent or not.
func (w *worker) copiesLate() bool {
	share, span := w.lateCopies()
	w.mu.Lock()
	defer w.mu.Unlock()
	if span != w.span {
		w.span, w.answers, w.copies = span, 0, 0
	}
	w.answers++
	if share == 0 || w.rng.Float64() >= 2*share || float64(w.copies+1) > share*float64(w.answers) {
		return false
	}
	w.copies++
	return true
}

// lateCopies returns the present share and span of late copies.
func (w *worker) lateCopies() (share float64, span int) {
	if w.cfg.LateCopies == nil {
		return 0, 0
	}
	return w.cfg.LateCopies()
}

// importPath begins the paths of requests whose bodies a worker reads while it runs them:
// the first piece, on which it works for a while, and then the rest.
const importPath = "/import/"

const firstPieceBytes = 64 << 10

// readInPieces reads a body as the work on it goes on.
func (w *worker) readInPieces(body io.Reader) ([]byte, error) {
	first := make([]byte, firstPieceBytes)
	n, err := io.ReadFull(body, first)
	if err != nil {
		return first[:n], err
	}
	time.Sleep(w.cfg.ImportWork)
	rest, err := io.ReadAll(body)
	return append(first, rest...), err
}

// exportPath begins the paths of downloads, whose answers have exportBytes.
const (
	exportPath  = "/export/"
	exportBytes = 540_000
)

// export runs a download and writes its answer with a length.
func (w *worker) export(c net.Conn, r *http.Request) error {
	answer, err := w.run(r, func() ([]byte, error) {
		time.Sleep(w.cfg.Work)
		return nil, nil
	})
	if err != nil {
		return err
	}
	if !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
		_, err = io.WriteString(c, answer)
		return err
	}
	id := r.Header.Get("Hornbeamwinch-Request-Id")
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHornbeamwinch-Request-Id: %s\r\nHornbeamwinch-Server-Signature: signed-by-%s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s",
		id, w.cfg.ID, idleTimeoutS, exportBytes, strings.Repeat("x", exportBytes))
	w.mu.Lock()
	w.ended[id] = time.Now()
	w.mu.Unlock()
	w.cfg.Record.add("worker %s has written its whole answer to %s: %v", w.cfg.ID, id, err == nil)
	return err
}

// reportPath begins the paths of requests that a worker answers as the work goes on, with a
// body that has no length and ends with the connection.
const reportPath = "/report/"

// Pieces of such an answer.
const (
	reportPieces = 10
	reportPause  = 150 * time.Millisecond
)

// report runs a request and writes its answer as the work goes on.
func (w *worker) report(c net.Conn, r *http.Request) {
	id := r.Header.Get("Hornbeamwinch-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	w.cfg.Record.add("worker %s runs %s (%s %s, a body of %d bytes), run %d of it here", w.cfg.ID, id, r.Method, r.URL.Path, len(body), n)
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHornbeamwinch-Request-Id: %s\r\nHornbeamwinch-Server-Signature: signed-by-%s\r\nConnection: close\r\n\r\n", id, w.cfg.ID)
	for piece := 0; piece < reportPieces && err == nil; piece++ {
		time.Sleep(reportPause)
		_, err = fmt.Fprintf(c, "piece %d of %s\n", piece, id)
	}
	w.mu.Lock()
	w.ended[id] = time.Now()
	w.mu.Unlock()
	if err != nil {
		w.cfg.Record.add("worker %s is at work on %s, when the connection ends: %v", w.cfg.ID, id, err)
		return
	}
	w.cfg.Record.add("worker %s has run %s and ends its answer", w.cfg.ID, id)
}

// run runs a request, or rejects it, and returns the answer. The function work does the work
// and returns the body.
func (w *worker) run(r *http.Request, work func() ([]byte, error)) (string, error) {
	id := r.Header.Get("Hornbeamwinch-Request-Id")
	reject := func(status int, reason string) (string, error) {
		w.cfg.Record.add("worker %s rejects %s with %d as not run: %s", w.cfg.ID, id, status, reason)
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nHornbeamwinch-Request-Id: %s\r\nHornbeamwinch-Not-Executed: 1\r\nKeep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n",
			status, http.StatusText(status), id, idleTimeoutS), nil
	}
	if expected := r.Header.Get("Hornbeamwinch-Expected-Instance"); expected != "" && expected != w.cfg.ID {
		return reject(http.StatusMisdirectedRequest, "another worker is expected")
	}
	w.mu.Lock()
	switch key, err := strconv.Atoi(r.Header.Get("Hornbeamwinch-Shard-Key")); {
	case w.cfg.Sharded && (err != nil || !w.holds(key)):
		w.mu.Unlock()
		return reject(http.StatusMisdirectedRequest, "the key is not held")
	case w.present >= w.cfg.Slots+w.cfg.Queue:
		w.mu.Unlock()
		return reject(http.StatusServiceUnavailable, "full")
	}
	w.present++
	w.mu.Unlock()
	w.slots <- struct{}{}
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	w.cfg.Record.add("worker %s runs %s (%s %s, a body of %d bytes), run %d of it here", w.cfg.ID, id, r.Method, r.URL.Path, r.ContentLength, n)
	body, err := work()
	<-w.slots
	w.mu.Lock()
	w.present--
	w.ended[id] = time.Now()
	w.mu.Unlock()
	if err != nil {
		w.cfg.Record.add("worker %s is at work on %s and has %d bytes of its body, when the connection ends: %v", w.cfg.ID, id, len(body), err)
		return "", err
	}
	w.cfg.Record.add("worker %s has run %s, answers 200", w.cfg.ID, id)
	text := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHornbeamwinch-Request-Id: %s\r\nHornbeamwinch-Server-Signature: signed-by-%s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s",
		id, w.cfg.ID, idleTimeoutS, len(text), text), nil
}

func (w *worker) holds(key int) bool {
	for _, g := range w.held {
		if g.from <= key && key <= g.to && time.Now().Before(g.expiresAt) {
			return true
		}
	}
	return false
}

// order carries out a grant or a release and returns the answer.
func (w *worker) order(r *http.Request, body []byte) string {
	status, header := http.StatusOK, ""
	var o struct {
		From  int     `json:"from"`
		To    int     `json:"target"`
		Fence uint64  `json:"fence"`
		HoldS float64 `json:"hold_s"`
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	expected := r.Header.Get("Hornbeamwinch-Expected-Instance")
	switch {
	case expected != "" && expected != w.cfg.ID:
		status = http.StatusMisdirectedRequest
	case json.Unmarshal(body, &o) != nil:
		status = http.StatusBadRequest
	case r.URL.Path == "/-/grant" && w.newerFence(o.From, o.To, o.Fence):
		status = http.StatusConflict
	default:
		w.take(o.From, o.To, o.Fence)
		if r.URL.Path == "/-/grant" {
			w.held = append(w.held, keyRange{from: o.From, to: o.To, expiresAt: time.Now().Add(time.Duration(o.HoldS * float64(time.Second)))})
		} else {
			header = "Hornbeamwinch-Handover: of-" + w.cfg.ID + "\r\n"
		}
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), header)
}

func (w *worker) newerFence(from, to int, fence uint64) bool {
	for key := from; key <= to; key++ {
		if w.fences[key] > fence {
			return true
		}
	}
	return false
}

// take records a fence for keys and removes them from what is held.
func (w *worker) take(from, to int, fence uint64) {
	for key := from; key <= to; key++ {
		w.fences[key] = max(w.fences[key], fence)
	}
	var kept []keyRange
	for _, g := range w.held {
		if g.to < from || g.from > to {
			kept = append(kept, g)
			continue
		}
		if g.from < from {
			kept = append(kept, keyRange{from: g.from, to: from - 1, expiresAt: g.expiresAt})
		}
		if g.to > to {
			kept = append(kept, keyRange{from: to + 1, to: g.to, expiresAt: g.expiresAt})
		}
	}
	w.held = kept
}

// endedAt returns when a request stopped running, if it ran at this worker.
func (w *worker) endedAt(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.ended[id]
	return at, ok
}

// countRuns returns how often a request has run at this worker.
func (w *worker) countRuns(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
