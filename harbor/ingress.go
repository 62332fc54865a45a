package harbor

import (
	"context"
	"encoding/hex"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/quay"
)

// maxCallerTimeout is the maximum timeout that a caller may request.
const maxCallerTimeout = time.Hour

// ingress serves the HTTP requests of callers. A request for a key of a service
// has the path /s/SERVICE/KEY, with an optional path and query after the key.
type ingress struct {
	d       *Daemon
	running atomic.Int64
}

func newIngress(d *Daemon) *ingress {
	return &ingress{d: d}
}

func (i *ingress) inFlight() int64 {
	return i.running.Load()
}

func (i *ingress) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Any("/s/:service/:key", i.serve)
	engine.Any("/s/:service/:key/*rest", i.serve)
	return engine
}

// serve routes one request and writes the response.
func (i *ingress) serve(c *gin.Context) {
	i.running.Add(1)
	defer i.running.Add(-1)
	start := time.Now()
	request, invalid := i.request(c)
	if invalid != nil {
		writeInvalid(c.Writer, request.ID, *invalid)
		return
	}
	ctx := c.Request.Context()
	if timeout, ok := callerTimeout(c.Request); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	outcome := i.d.route(ctx, request, &httpSink{w: c.Writer, requestID: request.ID})
	i.d.logs.requestAnswered(request, outcome, time.Since(start))
	i.d.metrics.requestLatency(request.Service, time.Since(start))
	writeOutcome(c.Writer, request.ID, outcome)
}

// request reads and validates the caller's request. The complete body is read
// before anything is sent to a backend server.
func (i *ingress) request(c *gin.Context) (*quay.Request, *quay.Invalid) {
	r := &quay.Request{
		ID:      c.GetHeader(quay.HeaderRequestID),
		Service: berth.ServiceID(c.Param("service")),
		Key:     c.Param("key"),
		Method:  c.Request.Method,
		Path:    strings.TrimSuffix(c.Param("rest"), "/"),
		Query:   c.Request.URL.RawQuery,
		Header:  quay.EndToEnd(c.Request.Header),
	}
	if r.ID == "" {
		r.ID = strconv.FormatUint(randomNonce(), 16)
	}
	limit := i.d.settings.Limits.MaxRequestBodyBytes
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, limit+1))
	if err != nil {
		return r, &quay.Invalid{Status: http.StatusBadRequest, Reason: quay.ReasonBodyUnreadable}
	}
	if int64(len(body)) > limit {
		return r, &quay.Invalid{Status: http.StatusRequestEntityTooLarge, Reason: quay.ReasonBodyTooLarge}
	}
	r.Body = body
	return r, nil
}

// callerTimeout returns the timeout that the caller has requested, if any.
func callerTimeout(r *http.Request) (time.Duration, bool) {
	millis, err := strconv.ParseInt(r.Header.Get(quay.HeaderTimeout), 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return min(time.Duration(millis)*time.Millisecond, maxCallerTimeout), true
}

// httpSink writes a response to the caller.
type httpSink struct {
	w         gin.ResponseWriter
	requestID string
}

// Head implements quay.Sink.
func (s *httpSink) Head(status int, header http.Header) error {
	target := s.w.Header()
	for name, values := range header {
		target[name] = values
	}
	target.Set(quay.HeaderRequestID, s.requestID)
	target.Set(quay.HeaderOutcome, quay.OutcomeWhole)
	s.w.WriteHeader(status)
	return nil
}

// Write implements quay.Sink.
func (s *httpSink) Write(data []byte) (int, error) {
	n, err := s.w.Write(data)
	if err == nil {
		s.w.Flush()
	}
	return n, err
}

// writeOutcome completes the response to the caller. For a truncated response
// it aborts the connection, so that the caller cannot mistake it for a whole
// one.
func writeOutcome(w gin.ResponseWriter, requestID string, outcome quay.Outcome) {
	switch o := outcome.(type) {
	case quay.Whole:
		w.WriteHeaderNow()
	case quay.Refused:
		writeErrorResponse(w, requestID, http.StatusServiceUnavailable, errorResponse{
			Outcome: quay.OutcomeNotRun, Reason: o.Reason, RetryAfter: o.RetryAfter,
		})
	case quay.Unknown:
		writeErrorResponse(w, requestID, unknownStatus(o.Reason), errorResponse{
			Outcome: quay.OutcomeUnknown, Reason: o.Reason, RetryAfter: o.RetryAfter,
		})
	case quay.Invalid:
		writeInvalid(w, requestID, o)
	case quay.Truncated:
		panic(http.ErrAbortHandler)
	}
}

func writeInvalid(w gin.ResponseWriter, requestID string, o quay.Invalid) {
	writeErrorResponse(w, requestID, o.Status, errorResponse{Outcome: quay.OutcomeNotRun, Reason: o.Reason})
}

func unknownStatus(reason quay.Reason) int {
	switch reason {
	case quay.ReasonInProgress:
		return http.StatusConflict
	case quay.ReasonDeadline, quay.ReasonServerUnresponsive:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// errorResponse describes a response that the entry host produces itself.
type errorResponse struct {
	Outcome    string
	Reason     quay.Reason
	RetryAfter time.Duration
}

func writeErrorResponse(w gin.ResponseWriter, requestID string, status int, p errorResponse) {
	header := w.Header()
	header.Set(quay.HeaderRequestID, requestID)
	header.Set(quay.HeaderOutcome, p.Outcome)
	header.Set(quay.HeaderReason, string(p.Reason))
	header.Set("Content-Type", "application/json")
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		header.Set(quay.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(status)
	body := `{"outcome":"` + p.Outcome + `","reason":"` + string(p.Reason) +
		`","request_id":"` + hexIfUnsafe(requestID) + "\"}\n"
	_, _ = io.WriteString(w, body)
}

// hexIfUnsafe returns id, or its hexadecimal encoding if id contains a
// character that is not valid unescaped in a JSON string, or is not printable
// ASCII.
func hexIfUnsafe(id string) string {
	for _, c := range id {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return hex.EncodeToString([]byte(id))
		}
	}
	return id
}
