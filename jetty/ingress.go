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
	// startupRetryAfter is when a host that knows no configuration yet is likely
	// to know one.
	startupRetryAfter = 500 * time.Millisecond
	// defaultRouteTimeout is for routes without a timeout.
	defaultRouteTimeout = 30 * time.Second
)

// ingress serves callers.
type ingress struct {
	headers      Headers
	activeConfig *fairway.ActiveConfig
	random       func() float64
	forwarder    *forwarder
	logs         *logs
	metrics      *metrics
	// closeConns says that kept connections are to be closed after their answer.
	closeConns atomic.Bool
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServeHTTP implements http.Handler.
func (f *ingress) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	if f.closeConns.Load() {
		w.Header().Set("Connection", "close")
	}
	r, answer := f.parseRequest(w, hr, arrived)
	if answer == nil {
		answer = f.forwarder.forward(hr.Context(), r)
	}
	f.recordResult(r, answer, time.Since(arrived))
	f.writeResult(w, hr, r, answer)
}

// recordResult logs and counts the end of a request.
func (f *ingress) recordResult(r *request, answer result, took time.Duration) {
	f.logs.requestAnswered(r, answer, took)
	f.metrics.requestAnswered(r, answer, took)
}

// clientError is an answer to a request that is at fault, or that no route matches.
type clientError struct {
	status int
	reason reason
}

func (clientError) result() {}

// parseRequest reads a request and finds its route, or returns the answer to one that
// goes no further.
func (f *ingress) parseRequest(w http.ResponseWriter, hr *http.Request, arrived time.Time) (*request, result) {
	r := &request{id: hr.Header.Get(f.headers.RequestID), arrived: arrived, config: f.activeConfig.Current()}
	if r.config == nil {
		return r, refusal{reason: reasonNoConfiguration, retryAfter: startupRetryAfter}
	}
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = hr.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route, err := r.config.Match(hr.Host, path)
	if err != nil {
		return r, clientError{status: http.StatusNotFound, reason: reasonNoRoute}
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
	r.outgoingRequest = outgoingRequest{Method: hr.Method, Target: target, Host: hr.Host, Header: endToEndHeaders(hr.Header), Body: body}
	return r, nil
}

func (f *ingress) readKey(r *request, hr *http.Request) result {
	if !r.service.Divided {
		return nil
	}
	n, err := strconv.ParseUint(hr.Header.Get(f.headers.Key), 10, 16)
	if err != nil {
		return clientError{status: http.StatusBadRequest, reason: reasonNoKey}
	}
	key := mooring.Key(n)
	r.key = &key
	return nil
}

// deadline returns when the caller or the route gives up, whichever is first.
func (f *ingress) deadline(r *request, hr *http.Request) time.Time {
	limit := r.route.Timeout
	if limit <= 0 {
		limit = defaultRouteTimeout
	}
	if text := hr.Header.Get(f.headers.TimeLeft); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			limit = min(limit, time.Duration(n)*time.Millisecond)
		}
	}
	return r.arrived.Add(limit)
}

func (f *ingress) readBody(w http.ResponseWriter, hr *http.Request, limits fairway.Limits) ([]byte, result) {
	if limits.HeaderBytes > 0 && headerBytes(hr) > limits.HeaderBytes {
		return nil, clientError{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge}
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
		return nil, clientError{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	case err != nil:
		return nil, callerLeft{}
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

// endToEndHeaders returns the headers that are passed on.
func endToEndHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, listed := range h.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	passed.Del("Content-Length")
	passed.Del("Expect")
	return passed
}

// writeResult sends the answer to the caller.
func (f *ingress) writeResult(w http.ResponseWriter, hr *http.Request, r *request, answer result) {
	h := w.Header()
	switch a := answer.(type) {
	case backendResponse:
		f.writeBackendResponse(w, hr, a)
		return
	case refusal:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		f.writeStatus(w, r, http.StatusServiceUnavailable, a.reason)
	case gatewayError:
		f.writeStatus(w, r, a.status, a.reason)
	case clientError:
		f.writeStatus(w, r, a.status, a.reason)
	case callerLeft:
		panic(http.ErrAbortHandler)
	}
}

// writeStatus sends an answer that no backend server made.
func (f *ingress) writeStatus(w http.ResponseWriter, r *request, status int, reason reason) {
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

// writeBackendResponse sends a backend server's answer. One that breaks off is cut, so
// that it cannot look complete.
func (f *ingress) writeBackendResponse(w http.ResponseWriter, hr *http.Request, a backendResponse) {
	h := w.Header()
	for name, values := range endToEndHeaders(a.header) {
		h[name] = values
	}
	if a.remaining == nil && hr.Method != http.MethodHead {
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
	if a.remaining == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, a.remaining)
	}
	a.finish(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
