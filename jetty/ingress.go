package jetty

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// startupRetryAfter is the Retry-After of refusals before the host has a
	// configuration, which it usually receives within that time.
	startupRetryAfter = 500 * time.Millisecond
	// defaultRouteTimeout applies to routes without a timeout of their own.
	defaultRouteTimeout = 30 * time.Second
	// discardTime bounds the time in which the body of a request without a route is read after the response.
	discardTime = 3 * time.Second
)

// ingress is the HTTP handler for callers: it parses and checks a request, has
// it forwarded, and writes the result.
type ingress struct {
	headers      Headers
	activeConfig *fairway.ActiveConfig
	random       func() float64
	forwarder    *forwarder
	discards     *discards
	logs         *logs
	metrics      *metrics
	// closeConns makes the host close kept connections after their next
	// response, for the shutdown.
	closeConns atomic.Bool
}

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	if in.closeConns.Load() {
		w.Header().Set("Connection", "close")
	}
	r, res := in.handle(w, hr, arrived)
	// A server may still be sent the body while its response is passed on.
	defer r.body.release()
	defer r.answers.end()
	in.recordResult(r, res, time.Since(arrived))
	in.writeResult(w, hr, r, res)
	if r.bodyLeft {
		r.body.release()
		in.discardBody(w, hr, r)
	}
}

// discardBody reads what is left of a body after the response, for a caller that reads the
// response only once it has sent all: closing the connection would reset it and lose the response.
func (in *ingress) discardBody(w http.ResponseWriter, hr *http.Request, r *request) {
	if hr.Header.Get("Expect") != "" {
		// The caller sends its body only if it is told to.
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(r.deadline) != nil {
		return
	}
	setSlow(hr.Context(), true)
	in.discards.discard(hr, r.deadline)
}

// handle returns a request and its result.
func (in *ingress) handle(w http.ResponseWriter, hr *http.Request, arrived time.Time) (r *request, res result) {
	r = &request{id: hr.Header.Get(in.headers.RequestID), arrived: arrived, config: in.activeConfig.Current()}
	defer in.forwarder.recoverer.at(placeRequest, func() { res = gatewayError{status: http.StatusBadGateway, reason: reasonInternal} })
	if !beginRequest(hr) {
		in.forwarder.resetStalled()
		res = in.forwarder.refuseForMemory(r)
	} else if res = in.parseRequest(w, hr, r); res == nil {
		return r, in.forwarder.forward(hr.Context(), r)
	}
	if hr.ContentLength != 0 && hr.Body != nil && r.deadline.IsZero() {
		// Otherwise net/http would wait for the body before it responds.
		r.deadline = arrived.Add(discardTime)
		in.leaveBody(w, r)
	}
	return r, res
}

// recordResult logs and counts a completed request.
func (in *ingress) recordResult(r *request, res result, elapsed time.Duration) {
	in.logs.requestAnswered(r, res, elapsed)
	in.metrics.requestAnswered(r, res, elapsed)
}

// clientError is the response to an invalid request, or to one that matches no
// route.
type clientError struct {
	status int
	reason reason
}

func (clientError) result() {}

// parseRequest reads a request and finds its route. If the request cannot be
// forwarded, it returns the result for the caller.
func (in *ingress) parseRequest(w http.ResponseWriter, hr *http.Request, r *request) result {
	if host, _, err := net.SplitHostPort(hr.RemoteAddr); err == nil {
		r.callerHost = host
	}
	target := hr.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = hr.URL.RequestURI()
	}
	if res := findRoute(r, hr.Host, target); res != nil {
		return res
	}
	r.service = r.config.Services[r.route.Pick(in.random())]
	if res := in.readKey(r, hr); res != nil {
		return res
	}
	r.deadline = in.deadline(r, hr)
	r.outgoingRequest = outgoingRequest{Method: hr.Method, Target: target, Host: hr.Host, Header: endToEndHeaders(hr.Header)}
	return in.readBody(w, hr, r)
}

// findRoute sets the route of a request by its host and target. If there is none, it returns
// the result for the caller.
func findRoute(r *request, host, target string) result {
	if r.config == nil {
		return refusal{reason: reasonNoConfiguration, retryAfter: startupRetryAfter}
	}
	path, _, _ := strings.Cut(target, "?")
	route, err := r.config.Match(host, path)
	if err != nil {
		return clientError{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	r.route = route
	return nil
}

// readKey parses the key of a request to a divided service.
func (in *ingress) readKey(r *request, hr *http.Request) result {
	if !r.service.Divided {
		return nil
	}
	n, err := strconv.ParseUint(hr.Header.Get(in.headers.Key), 10, 16)
	if err != nil {
		return clientError{status: http.StatusBadRequest, reason: reasonNoKey}
	}
	key := mooring.Key(n)
	r.key = &key
	return nil
}

// deadline returns when the caller or the route times out, whichever is first.
func (in *ingress) deadline(r *request, hr *http.Request) time.Time {
	limit := r.route.Timeout
	if limit <= 0 {
		limit = defaultRouteTimeout
	}
	if text := hr.Header.Get(in.headers.TimeLeft); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			limit = min(limit, time.Duration(n)*time.Millisecond)
		}
	}
	return r.arrived.Add(limit)
}

// readBody reads the body of a request within the configured limits and the host's memory.
func (in *ingress) readBody(w http.ResponseWriter, hr *http.Request, r *request) result {
	limits := r.config.Limits
	if limits.HeaderBytes > 0 && headerBytes(hr) > limits.HeaderBytes {
		if hr.ContentLength != 0 {
			in.leaveBody(w, r)
		}
		return clientError{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge}
	}
	switch {
	case hr.ContentLength == 0:
		return nil
	case in.forwarder.drain.excludes(r.deadline):
		in.leaveBody(w, r)
		return in.forwarder.stopped(r)
	case limits.BodyBytes > 0 && hr.ContentLength > limits.BodyBytes:
		in.leaveBody(w, r)
		return clientError{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	}
	widenReceiveBufferFor(hr.Context(), hr.ContentLength)
	setSlow(hr.Context(), true)
	defer setSlow(hr.Context(), false)
	b := &bodyReader{reader: hr.Body, length: hr.ContentLength, budget: in.forwarder.bodies}
	if limits.BodyBytes > 0 {
		b.reader, b.limit = http.MaxBytesReader(w, hr.Body, limits.BodyBytes), limits.BodyBytes
	}
	// Errors mean that the connection is closed, which the read finds as well.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(r.deadline)
	// A request that the drain excludes is not forwarded, so an interrupt that comes too late
	// for the body harms nothing.
	stop := in.forwarder.drain.onExclusion(r.deadline, func() { _ = controller.SetReadDeadline(pastDeadline) })
	body, err := b.read()
	stop()
	if err == nil {
		// Otherwise net/http would wait for the rest of the body before it responds.
		_ = controller.SetReadDeadline(time.Time{})
	}
	r.body = b.reservation
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return clientError{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	case errors.Is(err, errNoRoom):
		in.forwarder.resetStalled()
		in.leaveBody(w, r)
		return in.forwarder.refuseForMemory(r)
	case errors.Is(err, os.ErrDeadlineExceeded) && in.forwarder.drain.excludes(r.deadline):
		in.leaveBody(w, r)
		return in.forwarder.stopped(r)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal{reason: reasonDeadline}
	case err != nil:
		return callerLeft{}
	}
	r.outgoingRequest.Body = body
	return nil
}

// leaveBody has the response sent before the rest of the body has come. The connection is
// closed then, since what is left of the body must not be taken for a request.
func (in *ingress) leaveBody(w http.ResponseWriter, r *request) {
	r.bodyLeft = true
	w.Header().Set("Connection", "close")
	// It fails for callers whose body net/http does not read before it responds.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// headerBytes returns the approximate size of a request up to its body.
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

// endToEndHeaders returns a copy of h without the headers that must not be
// forwarded: the hop-by-hop ones, Content-Length and Expect.
func endToEndHeaders(h http.Header) http.Header {
	kept := h.Clone()
	for _, listed := range h.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	kept.Del("Content-Length")
	kept.Del("Expect")
	return kept
}

// writeResult sends the response to the caller, or aborts the connection if the
// caller has left.
func (in *ingress) writeResult(w http.ResponseWriter, hr *http.Request, r *request, res result) {
	h := w.Header()
	switch v := res.(type) {
	case backendResponse:
		in.writeBackendResponse(w, hr, r, v)
		return
	case refusal:
		if v.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 3, 64))
		}
		in.writeStatus(w, r, http.StatusServiceUnavailable, v.reason)
	case gatewayError:
		in.writeStatus(w, r, v.status, v.reason)
	case clientError:
		in.writeStatus(w, r, v.status, v.reason)
	case callerLeft:
		panic(http.ErrAbortHandler)
	}
}

// writeStatus sends a response that this host generates itself.
func (in *ingress) writeStatus(w http.ResponseWriter, r *request, status int, reason reason) {
	h := w.Header()
	if r.id != "" {
		h.Set(in.headers.RequestID, r.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	// A failed write means that the caller has left. The result is logged
	// already, and there is no one to report the error to.
	_, _ = io.WriteString(w, string(reason)+"\n")
}

// writeBackendResponse sends a backend server's response. If the server breaks
// off, the caller's connection is aborted, so that the response cannot look
// complete.
func (in *ingress) writeBackendResponse(w http.ResponseWriter, hr *http.Request, r *request, resp backendResponse) {
	h := w.Header()
	for name, values := range endToEndHeaders(resp.header) {
		h[name] = values
	}
	if resp.remaining == nil && hr.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	} else if text := resp.header.Get("Content-Length"); text != "" {
		h.Set("Content-Length", text)
	}
	if h.Get("Content-Type") == "" {
		// A nil entry keeps net/http from guessing a type that the server
		// did not send.
		h["Content-Type"] = nil
	}
	w.WriteHeader(resp.status)
	if resp.remaining != nil {
		in.streamBody(w, hr, r, resp)
		return
	}
	// As in writeStatus, there is no one to report an error to.
	_, _ = w.Write(resp.body)
}

// streamBody sends a body that is not complete yet. It ends at the deadline of the
// request, or when the caller leaves.
func (in *ingress) streamBody(w http.ResponseWriter, hr *http.Request, r *request, resp backendResponse) {
	// HTTP/1.0 has no chunks, so a response without a length ends with its connection.
	if !hr.ProtoAtLeast(1, 1) && w.Header().Get("Content-Length") == "" {
		setResetOnClose(hr.Context(), true)
	}
	stop := context.AfterFunc(hr.Context(), resp.interrupt)
	controller := http.NewResponseController(w)
	err := controller.SetWriteDeadline(r.deadline)
	if err == nil {
		_, err = w.Write(resp.body)
	}
	if err == nil {
		_, err = io.Copy(w, resp.remaining)
	}
	if err == nil {
		// Reports what net/http has buffered and cannot send, which it ignores later.
		err = controller.Flush()
	}
	// An interrupt that comes later would meet the connection's next request.
	left := !stop()
	resp.finish(err == nil && !left)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	setResetOnClose(hr.Context(), false)
}
