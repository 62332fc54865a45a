package jetty

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// startingRetry is when a host that knows no configuration yet is likely
	// to know one.
	startingRetry = 500 * time.Millisecond
	// defaultTimeout is for routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// front serves callers.
type front struct {
	headers   Headers
	book      *fairway.Book
	random    func() float64
	forwarder *forwarder
	logs      *logs
	metrics   *metrics
	// closing says that kept connections are to be closed after their answer.
	closing atomic.Bool
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	r, answer := f.admit(w, hr, arrived)
	if answer == nil {
		answer = f.forwarder.run(hr.Context(), r)
	}
	f.note(r, answer, time.Since(arrived))
	f.write(w, hr, r, answer)
}

// note logs and counts the end of a request.
func (f *front) note(r *request, answer reply, took time.Duration) {
	f.logs.answered(r, answer, took)
	f.metrics.answered(r, answer, took)
}

// reject is an answer to a request that is at fault, or that no route matches.
type reject struct {
	status int
	reason reason
}

func (reject) reply() {}

// admit reads a request and finds its route, or returns the answer to one that
// goes no further.
func (f *front) admit(w http.ResponseWriter, hr *http.Request, arrived time.Time) (*request, reply) {
	r := &request{id: hr.Header.Get(f.headers.RequestID), arrived: arrived, config: f.book.Current()}
	if r.config == nil {
		return r, refuse{reason: reasonNoConfiguration, retryAfter: startingRetry}
	}
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = hr.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route, err := r.config.Match(hr.Host, path)
	if err != nil {
		return r, reject{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	r.route = route
	r.service = r.config.Services[route.Pick(f.random())]
	if answer := f.readKey(r, hr); answer != nil {
		return r, answer
	}
	r.deadline = f.deadline(r, hr)
	body, answer := f.readBody(w, hr, r.config.Limits)
	if answer != nil {
		return r, answer
	}
	r.message = message{Method: hr.Method, Target: target, Host: hr.Host, Header: endToEnd(hr.Header), Body: body}
	return r, nil
}

func (f *front) readKey(r *request, hr *http.Request) reply {
	if !r.service.Divided {
		return nil
	}
	n, err := strconv.ParseUint(hr.Header.Get(f.headers.Key), 10, 16)
	if err != nil {
		return reject{status: http.StatusBadRequest, reason: reasonNoKey}
	}
	key := mooring.Key(n)
	r.key = &key
	return nil
}

// deadline returns when the caller or the route gives up, whichever is first.
func (f *front) deadline(r *request, hr *http.Request) time.Time {
	limit := r.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if text := hr.Header.Get(f.headers.TimeLeft); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			limit = min(limit, time.Duration(n)*time.Millisecond)
		}
	}
	return r.arrived.Add(limit)
}

func (f *front) readBody(w http.ResponseWriter, hr *http.Request, limits fairway.Limits) ([]byte, reply) {
	if limits.HeaderBytes > 0 && headerBytes(hr) > limits.HeaderBytes {
		return nil, reject{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge}
	}
	if hr.ContentLength == 0 {
		return nil, nil
	}
	reader := hr.Body
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(w, hr.Body, limits.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, reject{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	case err != nil:
		return nil, gone{}
	}
	return body, nil
}

func headerBytes(hr *http.Request) int {
	const separators = 4
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host)
	for name, values := range hr.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	passed := h.Clone()
	for _, listed := range h.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	passed.Del("Content-Length")
	passed.Del("Expect")
	return passed
}

// write sends the answer to the caller.
func (f *front) write(w http.ResponseWriter, hr *http.Request, r *request, answer reply) {
	h := w.Header()
	switch a := answer.(type) {
	case passOn:
		f.writePassOn(w, hr, a)
		return
	case refuse:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		f.writeOwn(w, r, http.StatusServiceUnavailable, a.reason)
	case fail:
		f.writeOwn(w, r, a.status, a.reason)
	case reject:
		f.writeOwn(w, r, a.status, a.reason)
	case gone:
		panic(http.ErrAbortHandler)
	}
}

// writeOwn sends an answer that no backend server made.
func (f *front) writeOwn(w http.ResponseWriter, r *request, status int, reason reason) {
	h := w.Header()
	if r.id != "" {
		h.Set(f.headers.RequestID, r.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	// A caller that has left cannot be told.
	_, _ = io.WriteString(w, string(reason)+"\n")
}

// writePassOn sends a backend server's answer. One that breaks off is cut, so
// that it cannot look complete.
func (f *front) writePassOn(w http.ResponseWriter, hr *http.Request, a passOn) {
	h := w.Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	if a.rest == nil && hr.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if text := a.header.Get("Content-Length"); text != "" {
		h.Set("Content-Length", text)
	}
	if h.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type that the server did not send.
		h["Content-Type"] = nil
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if a.rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	a.done(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
