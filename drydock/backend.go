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
	// Slots is the number of requests that run concurrently.
	Slots int
	// Connections is the stated connection limit. The server only counts its
	// connections and does not enforce the limit.
	Connections int
	// WorkTime is how long a request takes.
	WorkTime time.Duration
	// ColdStart is how long after its start the server is not ready.
	ColdStart    time.Duration
	ChecksGrants bool
	// Content is the response body for paths that end in /file (a download)
	// or in /stream (a response without a Content-Length).
	Content []byte
}

// BackendControl selects the faults that a [Backend] injects.
type BackendControl struct {
	// Draining makes the server reject new requests and finish running ones.
	Draining bool `json:"draining"`
	// AlwaysReady makes /health report ready whatever the server's state.
	AlwaysReady bool `json:"health_lies"`
	// TruncateAfterBytes closes the connection after that many bytes of the
	// response body. Zero disables the fault.
	TruncateAfterBytes int `json:"cut_after_bytes"`
	// WorkTimeMS overrides BackendConfig.WorkTime if it is positive.
	WorkTimeMS int64 `json:"work_time_ms"`
	// WrongRequestID makes responses carry the id of another request.
	WrongRequestID bool `json:"wrong_echo"`
}

// Execution is the record of one request that a backend server executed.
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
	// DeadlineNS is when the server stops working on the request of its own
	// accord, or zero if the request has no deadline. A process that was
	// suspended in the meantime detects the deadline only after it resumes.
	DeadlineNS int64 `json:"deadline_ns,omitempty"`
	// Finished is false if the caller canceled the request, or its deadline
	// passed, before the end. The server then did no work for the request after
	// the deadline.
	Finished bool `json:"finished"`
}

// BackendRecords holds everything that a [Backend] has recorded.
type BackendRecords struct {
	Server        string      `json:"server"`
	Executions    []Execution `json:"executions"`
	MaxConcurrent int         `json:"max_concurrent"`
	// MaxOffered is the largest number of requests present at the server at
	// once, including those that it rejected.
	MaxOffered     int `json:"max_offered"`
	MaxConnections int `json:"max_connections"`
	// Running is the number of requests that are running now.
	Running          int `json:"running"`
	RejectedOverload int `json:"shed_overload"`
	RejectedGrant    int `json:"refused_grant"`
	RejectedDraining int `json:"refused_drain"`
}

// Control paths of a [Backend], beside [PathControl].
const (
	PathRecords = "/control/records"
)

// Backend is a fake backend server. It is an http.Handler; the server that
// [Backend.Server] returns also counts connections.
type Backend struct {
	cfg       BackendConfig
	instance  string
	startedAt time.Time

	mu          sync.Mutex
	control     BackendControl
	grants      grantSet
	running     int
	offered     int
	connections int
	records     BackendRecords
}

var _ http.Handler = (*Backend)(nil)

// NewBackend returns a backend server whose run starts now.
func NewBackend(cfg BackendConfig) *Backend {
	now := time.Now()
	return &Backend{
		cfg:       cfg,
		instance:  strconv.FormatInt(now.UnixNano(), 36),
		startedAt: now,
		grants:    grantSet{highest: make(map[berth.ShardID]berth.Token)},
		records:   BackendRecords{Server: cfg.ID},
	}
}

// Server returns an HTTP server that serves b and counts connections.
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

// SetControl replaces the set of injected faults.
func (b *Backend) SetControl(c BackendControl) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.control = c
}

// Records returns a copy of the records so far.
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
		b.handleGrant(w, r)
	case r.URL.Path == PathControl:
		var c BackendControl
		readControl(w, r, &c, func() { b.SetControl(c) })
	case r.URL.Path == PathRecords:
		writeJSON(w, b.Records())
	case strings.HasPrefix(r.URL.Path, "/s/"):
		b.handleRequest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// clockMillis returns the time since the start, read from the monotonic
// clock, in milliseconds.
func (b *Backend) clockMillis() int64 {
	return time.Since(b.startedAt).Milliseconds()
}

func (b *Backend) status() harbor.ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := harbor.ServerStatus{Instance: b.instance, ClockMS: b.clockMillis(), State: harbor.ServerStateReady}
	if b.control.AlwaysReady {
		return s
	}
	if time.Since(b.startedAt) < b.cfg.ColdStart {
		s.State = harbor.ServerStateStarting
	}
	if b.control.Draining {
		s.State = harbor.ServerStateDraining
	}
	return s
}

// handleRequest executes one request if the server has a free slot and the
// required grant.
func (b *Backend) handleRequest(w http.ResponseWriter, r *http.Request) {
	b.addOffered()
	control, rejection := b.admit(r)
	if rejection != "" {
		b.removeOffered()
		rejectRequest(w, rejection)
		return
	}
	began := time.Now()
	finished := b.execute(r, control)
	b.recordExecution(r, began, finished)
	if !finished {
		// Returning here would send an empty response that looks complete.
		panic(http.ErrAbortHandler)
	}
	b.respond(w, r, control)
}

func (b *Backend) addOffered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offered++
	b.records.MaxOffered = max(b.records.MaxOffered, b.offered)
}

func (b *Backend) removeOffered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offered--
}

// Reasons for rejecting a request, sent in the response.
const (
	rejectionDraining   = "draining"
	rejectionOverload   = "overload"
	rejectionNoGrant    = "no_grant"
	rejectionStaleToken = "stale_token"
	rejectionStarting   = "starting"
)

func rejectRequest(w http.ResponseWriter, reason string) {
	w.Header().Set(quay.HeaderNotRun, "true")
	w.Header().Set(quay.HeaderReason, reason)
	if reason == rejectionDraining {
		w.Header().Set(quay.HeaderDraining, "true")
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// admit takes a slot, or returns the reason why the request is rejected.
func (b *Backend) admit(r *http.Request) (BackendControl, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.control.Draining {
		b.records.RejectedDraining++
		return b.control, rejectionDraining
	}
	if time.Since(b.startedAt) < b.cfg.ColdStart {
		return b.control, rejectionStarting
	}
	if reason := b.checkGrant(r); reason != "" {
		b.records.RejectedGrant++
		return b.control, reason
	}
	if b.running >= b.cfg.Slots {
		b.records.RejectedOverload++
		return b.control, rejectionOverload
	}
	b.running++
	b.records.MaxConcurrent = max(b.records.MaxConcurrent, b.running)
	return b.control, ""
}

// execute waits for the work time. It returns false if the caller canceled the
// request or its deadline passed.
func (b *Backend) execute(r *http.Request, control BackendControl) bool {
	ctx := r.Context()
	deadline, hasDeadline := requestDeadline(r, time.Now())
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
		// Compare with the clock, not only with the context: after the process
		// was suspended, this timer may fire before the one of the deadline.
		late := hasDeadline && !time.Now().Before(deadline)
		return !late && ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// requestDeadline returns the deadline of a request that began at the given
// time, and whether it has one.
func requestDeadline(r *http.Request, began time.Time) (time.Time, bool) {
	millis, err := strconv.ParseInt(r.Header.Get(quay.HeaderTimeout), 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return began.Add(time.Duration(millis) * time.Millisecond), true
}

func (b *Backend) recordExecution(r *http.Request, began time.Time, finished bool) {
	key, _ := url.QueryUnescape(r.Header.Get(quay.HeaderKey))
	deadlineNS := int64(0)
	if deadline, ok := requestDeadline(r, began); ok {
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

// ResponseBody is the JSON body of a response, except for /file and /stream.
type ResponseBody struct {
	Server    string `json:"server"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
}

func (b *Backend) respond(w http.ResponseWriter, r *http.Request, control BackendControl) {
	id := r.Header.Get(quay.HeaderRequestID)
	if control.WrongRequestID {
		id = "another-request"
	}
	w.Header().Set(quay.HeaderRequestID, id)
	w.Header().Set("X-Server", b.cfg.ID)
	if control.TruncateAfterBytes > 0 {
		w = &truncatingWriter{ResponseWriter: w, remaining: control.TruncateAfterBytes}
	}
	if strings.HasSuffix(r.URL.Path, "/file") {
		w.Header().Set("ETag", fmt.Sprintf("%q", "content-"+strconv.Itoa(len(b.cfg.Content))))
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(w, r, "file", time.Time{}, bytes.NewReader(b.cfg.Content))
		return
	}
	if strings.HasSuffix(r.URL.Path, "/stream") {
		b.writeStream(w)
		return
	}
	key, _ := url.QueryUnescape(r.Header.Get(quay.HeaderKey))
	body, _ := json.Marshal(ResponseBody{Server: b.cfg.ID, Key: key, RequestID: id})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// writeStream sends the content in chunks and without a Content-Length.
func (b *Backend) writeStream(w http.ResponseWriter) {
	const chunkBytes = 16 << 10
	for rest := b.cfg.Content; len(rest) > 0; rest = rest[min(chunkBytes, len(rest)):] {
		if _, err := w.Write(rest[:min(chunkBytes, len(rest))]); err != nil {
			return
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
}

// truncatingWriter aborts the connection after a number of body bytes.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

// Write implements http.ResponseWriter.
func (w *truncatingWriter) Write(data []byte) (int, error) {
	if len(data) < w.remaining {
		w.remaining -= len(data)
		return w.ResponseWriter.Write(data)
	}
	_, _ = w.ResponseWriter.Write(data[:w.remaining])
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
