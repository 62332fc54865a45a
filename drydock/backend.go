package drydock

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/quay"
)

// BackendConfig holds the parameters of a [Backend].
type BackendConfig struct {
	ID      string
	Service berth.ServiceID
	// Slots is the number of requests run at the same time, Connections the
	// number of connections accepted.
	Slots       int
	Connections int
	// WorkTime is how long a request takes.
	WorkTime time.Duration
	// ColdStart is how long the server is not ready after it was started.
	ColdStart    time.Duration
	ChecksGrants bool
	// Content is the body of answers to GET requests whose path ends in
	// /file, for downloads, or in /stream, for answers of unknown length.
	Content []byte
}

// BackendControl switches faults of a backend server.
type BackendControl struct {
	// Draining makes the server refuse new work and finish what it has.
	Draining bool `json:"draining"`
	// AlwaysReady makes the server call itself ready whatever its state.
	AlwaysReady bool `json:"health_lies"`
	// CutAfterBytes breaks answers off after that many bytes; zero does not.
	CutAfterBytes int `json:"cut_after_bytes"`
	// WorkTimeMS replaces the work time if it is positive.
	WorkTimeMS int64 `json:"work_time_ms"`
	// WrongRequestID answers with the id of another request.
	WrongRequestID bool `json:"wrong_echo"`
}

// Execution is the record of one request that a backend server ran.
type Execution struct {
	Server         string          `json:"server"`
	Service        berth.ServiceID `json:"service"`
	RequestID      string          `json:"request_id"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Method         string          `json:"method"`
	Key            string          `json:"key"`
	Token          string          `json:"token,omitempty"`
	BeganNS        int64           `json:"began_ns"`
	EndedNS        int64           `json:"ended_ns"`
	// DeadlineNS is when the server stops working on the request by itself,
	// or zero. A server that was frozen in between notices it only later.
	DeadlineNS int64 `json:"deadline_ns,omitempty"`
	// Finished is false if the caller gave up, or the deadline passed, before
	// the end. The server then did nothing for the request after the deadline.
	Finished bool `json:"finished"`
}

// BackendRecords is everything that a backend server has recorded.
type BackendRecords struct {
	Server        string      `json:"server"`
	Executions    []Execution `json:"executions"`
	MaxConcurrent int         `json:"max_concurrent"`
	// MaxOffered is the largest number of requests that were at the server at
	// once, counting those that it refused.
	MaxOffered     int `json:"max_offered"`
	MaxConnections int `json:"max_connections"`
	// Running is the number of requests that run now.
	Running          int `json:"running"`
	RejectedOverload int `json:"shed_overload"`
	RejectedGrant    int `json:"refused_grant"`
	RejectedDraining int `json:"refused_drain"`
}

// Paths by which a test program controls a backend stand-in.
const (
	PathRecords = "/control/records"
)

// Backend is a stand-in for a backend server. It is an http.Handler; Serve
// adds the counting of connections.
type Backend struct {
	cfg      BackendConfig
	instance string
	began    time.Time

	mu          sync.Mutex
	control     BackendControl
	grants      grantSet
	running     int
	offered     int
	connections int
	records     BackendRecords
}

var _ http.Handler = (*Backend)(nil)

// NewBackend returns a backend server that has just started.
func NewBackend(cfg BackendConfig) *Backend {
	now := time.Now()
	return &Backend{
		cfg:      cfg,
		instance: strconv.FormatInt(now.UnixNano(), 36),
		began:    now,
		grants:   grantSet{highest: make(map[berth.ShardID]berth.Token)},
		records:  BackendRecords{Server: cfg.ID},
	}
}

// Server returns an HTTP server for b that counts connections.
func (b *Backend) Server() *http.Server {
	return &http.Server{
		Handler:           b,
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         b.connState,
	}
}

func (b *Backend) connState(_ net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.connections++
		b.records.MaxConnections = max(b.records.MaxConnections, b.connections)
	case http.StateClosed, http.StateHijacked:
		b.connections--
	}
}

// SetControl switches faults.
func (b *Backend) SetControl(c BackendControl) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.control = c
}

// Records returns a copy of what was recorded.
func (b *Backend) Records() BackendRecords {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := b.records
	records.Running = b.running
	records.Executions = append([]Execution{}, b.records.Executions...)
	return records
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		writeJSON(w, b.status())
	case r.URL.Path == "/grants":
		b.grant(w, r)
	case r.URL.Path == PathControl:
		var c BackendControl
		readControl(w, r, &c, func() { b.SetControl(c) })
	case r.URL.Path == PathRecords:
		writeJSON(w, b.Records())
	case strings.HasPrefix(r.URL.Path, "/s/"):
		b.work(w, r)
	default:
		http.NotFound(w, r)
	}
}

// clock returns the server's monotonic clock in milliseconds.
func (b *Backend) clock() int64 {
	return time.Since(b.began).Milliseconds()
}

func (b *Backend) status() harbor.ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := harbor.ServerStatus{Instance: b.instance, ClockMS: b.clock(), State: harbor.ServerStateReady}
	if b.control.AlwaysReady {
		return s
	}
	if time.Since(b.began) < b.cfg.ColdStart {
		s.State = harbor.ServerStateStarting
	}
	if b.control.Draining {
		s.State = harbor.ServerStateDraining
	}
	return s
}

// work runs one request if the server has room and the right to.
func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
	b.arrive()
	control, refusal := b.admit(r)
	if refusal != "" {
		b.leave()
		refuseWork(w, refusal)
		return
	}
	began := time.Now()
	finished := b.perform(r, control)
	b.record(r, began, finished)
	if !finished {
		// Returning here would send an empty answer that looks complete.
		panic(http.ErrAbortHandler)
	}
	b.answer(w, r, control)
}

func (b *Backend) arrive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offered++
	b.records.MaxOffered = max(b.records.MaxOffered, b.offered)
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offered--
}

// Reasons of refusals.
const (
	refusedDraining = "draining"
	refusedOverload = "overload"
	refusedNoGrant  = "no_grant"
	refusedStale    = "stale_token"
	refusedCold     = "starting"
)

func refuseWork(w http.ResponseWriter, reason string) {
	w.Header().Set(quay.HeaderNotRun, "true")
	w.Header().Set(quay.HeaderReason, reason)
	if reason == refusedDraining {
		w.Header().Set(quay.HeaderDraining, "true")
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// admit takes a slot, or returns why the request is refused.
func (b *Backend) admit(r *http.Request) (BackendControl, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.control.Draining {
		b.records.RejectedDraining++
		return b.control, refusedDraining
	}
	if time.Since(b.began) < b.cfg.ColdStart {
		return b.control, refusedCold
	}
	if reason := b.checkGrant(r); reason != "" {
		b.records.RejectedGrant++
		return b.control, reason
	}
	if b.running >= b.cfg.Slots {
		b.records.RejectedOverload++
		return b.control, refusedOverload
	}
	b.running++
	b.records.MaxConcurrent = max(b.records.MaxConcurrent, b.running)
	return b.control, ""
}

// perform takes the work time. It returns false if the caller gave up or the
// deadline passed.
func (b *Backend) perform(r *http.Request, control BackendControl) bool {
	ctx := r.Context()
	deadline, hasDeadline := deadlineOf(r, time.Now())
	if hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	work := b.cfg.WorkTime
	if control.WorkTimeMS > 0 {
		work = time.Duration(control.WorkTimeMS) * time.Millisecond
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		// The clock decides, not the context: after the process was frozen,
		// this timer may be served before the one of the deadline.
		late := hasDeadline && !time.Now().Before(deadline)
		return !late && ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// deadlineOf returns when a request that began at the given time ends at the
// latest.
func deadlineOf(r *http.Request, began time.Time) (time.Time, bool) {
	millis, err := strconv.ParseInt(r.Header.Get(quay.HeaderTimeout), 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return began.Add(time.Duration(millis) * time.Millisecond), true
}

func (b *Backend) record(r *http.Request, began time.Time, finished bool) {
	key, _ := url.QueryUnescape(r.Header.Get(quay.HeaderKey))
	deadlineNS := int64(0)
	if deadline, ok := deadlineOf(r, began); ok {
		deadlineNS = deadline.UnixNano()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.offered--
	b.records.Executions = append(b.records.Executions, Execution{
		Server:         b.cfg.ID,
		Service:        b.cfg.Service,
		RequestID:      r.Header.Get(quay.HeaderRequestID),
		IdempotencyKey: r.Header.Get(quay.HeaderIdempotencyKey),
		Method:         r.Method,
		Key:            key,
		Token:          r.Header.Get(quay.HeaderToken),
		BeganNS:        began.UnixNano(),
		EndedNS:        time.Now().UnixNano(),
		DeadlineNS:     deadlineNS,
		Finished:       finished,
	})
}

// Answer is the body of an ordinary answer.
type Answer struct {
	Server    string `json:"server"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, control BackendControl) {
	id := r.Header.Get(quay.HeaderRequestID)
	if control.WrongRequestID {
		id = "another-request"
	}
	w.Header().Set(quay.HeaderRequestID, id)
	w.Header().Set("X-Server", b.cfg.ID)
	if control.CutAfterBytes > 0 {
		w = &cuttingWriter{ResponseWriter: w, left: control.CutAfterBytes}
	}
	if strings.HasSuffix(r.URL.Path, "/file") {
		w.Header().Set("ETag", fmt.Sprintf("%q", "content-"+strconv.Itoa(len(b.cfg.Content))))
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(w, r, "file", time.Time{}, bytes.NewReader(b.cfg.Content))
		return
	}
	if strings.HasSuffix(r.URL.Path, "/stream") {
		b.stream(w)
		return
	}
	key, _ := url.QueryUnescape(r.Header.Get(quay.HeaderKey))
	body, _ := json.Marshal(Answer{Server: b.cfg.ID, Key: key, RequestID: id})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// stream sends the content in parts, without saying how long it is.
func (b *Backend) stream(w http.ResponseWriter) {
	const part = 16 << 10
	for rest := b.cfg.Content; len(rest) > 0; rest = rest[min(part, len(rest)):] {
		if _, err := w.Write(rest[:min(part, len(rest))]); err != nil {
			return
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
}

// cuttingWriter breaks the connection after a number of body bytes.
type cuttingWriter struct {
	http.ResponseWriter
	left int
}

// Write implements http.ResponseWriter.
func (c *cuttingWriter) Write(data []byte) (int, error) {
	if len(data) < c.left {
		c.left -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.left])
	if flusher, ok := c.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
