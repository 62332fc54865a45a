package quay

import (
	"net/http"
	"time"

	"hornbeamwinch.example/berth"
)

// Headers of the protocols with callers and with backend servers; see
// docs/PROTOCOLS.md.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotent-Replayed"
	HeaderTimeout        = "X-Timeout-Ms"
	HeaderOutcome        = "X-Outcome"
	HeaderReason         = "X-Reason"
	HeaderNotRun         = "X-Not-Run"
	HeaderDraining       = "X-Draining"
	HeaderShard          = "X-Shard"
	HeaderToken          = "X-Fencing-Token"
	HeaderService        = "X-Service"
	HeaderKey            = "X-Key"
	HeaderRetryAfter     = "Retry-After"
)

// Values of [HeaderOutcome].
const (
	OutcomeWhole   = "whole"
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// RepeatPolicy determines whether a request of a service may be executed more
// than once.
type RepeatPolicy string

const (
	// RepeatSafe marks requests that may be executed any number of times.
	RepeatSafe RepeatPolicy = "safe"
	// RepeatNever marks requests that may be executed at most once.
	RepeatNever RepeatPolicy = "never"
)

// ServiceConfig holds the routing parameters of one service.
type ServiceConfig struct {
	ID berth.ServiceID
	// Divided is set if the service is divided by key: each key is owned by
	// exactly one backend server.
	Divided bool
	Repeat  RepeatPolicy
	// Timeout bounds a request whose caller sets no shorter one.
	Timeout time.Duration
	// ResponseHeaderTimeout bounds the wait of a repeatable request for the
	// response header on a reused connection. After that, the request is also
	// sent on a new connection, if possible, and the first response counts.
	ResponseHeaderTimeout time.Duration
	// ProgressTimeout bounds each read of a response body.
	ProgressTimeout time.Duration
	// Resumable allows a truncated response to a GET to be resumed on another
	// server by a byte range request.
	Resumable bool
	// QueueLimit is the maximum number of requests that may wait for a slot of
	// one server.
	QueueLimit int
}

// Request is one request of a caller.
type Request struct {
	ID      string
	Service berth.ServiceID
	Key     string
	Method  string
	// Path is the part of the URL path after the key; it is empty or starts with
	// a slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Hops counts the entry hosts that have forwarded the request.
	Hops int
}

// IdempotencyKey returns the idempotency key that the caller set, or the empty
// string.
func (r *Request) IdempotencyKey() string {
	return r.Header.Get(HeaderIdempotencyKey)
}

// Sink receives the response to one request. Head is called at most once, and
// before any call of Write.
type Sink interface {
	Head(status int, header http.Header) error
	Write(data []byte) (int, error)
}

// hopByHopHeaders are not passed on, because they apply to one connection or are
// set again on each hop.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
	HeaderShard, HeaderToken, HeaderService, HeaderKey, HeaderTimeout,
	HeaderNotRun, HeaderOutcome, HeaderReason, "Content-Length",
}

// EndToEnd returns a copy of h without the headers that apply to one hop only.
func EndToEnd(h http.Header) http.Header {
	c := h.Clone()
	for _, name := range hopByHopHeaders {
		c.Del(name)
	}
	return c
}
