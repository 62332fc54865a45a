package quay

import (
	"net/http"
	"time"

	"hornbeamwinch.example/berth"
)

// Headers of the protocols towards callers and backend servers. They are
// described in docs/PROTOCOLS.md.
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

// RepeatPolicy says whether requests of a service may run more than once.
type RepeatPolicy string

const (
	// RepeatSafe marks requests that may run any number of times.
	RepeatSafe RepeatPolicy = "safe"
	// RepeatNever marks requests that may run at most once.
	RepeatNever RepeatPolicy = "never"
)

// ServiceConfig holds the routing parameters of one service.
type ServiceConfig struct {
	ID      berth.ServiceID
	Divided bool
	Repeat  RepeatPolicy
	// Timeout bounds a request whose caller sets no shorter one.
	Timeout time.Duration
	// ResponseHeaderTimeout is how long a repeatable request waits for the head of an
	// answer on a used connection before it moves to a new one.
	ResponseHeaderTimeout time.Duration
	// ProgressTimeout bounds the wait for each part of an answer's body.
	ProgressTimeout time.Duration
	// Resumable lets a broken GET continue on another server by byte range.
	Resumable bool
	// QueueLimit is the number of requests that may wait for each server.
	QueueLimit int
}

// Request is one request of a caller.
type Request struct {
	ID      string
	Service berth.ServiceID
	Key     string
	Method  string
	// Path follows the key; it is empty or starts with a slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Hops counts the entry hosts that have forwarded the request.
	Hops int
}

// IdempotencyKey returns the caller's key, or the empty string.
func (r *Request) IdempotencyKey() string {
	return r.Header.Get(HeaderIdempotencyKey)
}

// Sink receives the answer to one request. Head is called at most once and
// before any Write.
type Sink interface {
	Head(status int, header http.Header) error
	Write(data []byte) (int, error)
}

// hopHeaders are not passed on, because they concern one connection or are
// set anew on each hop.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
	HeaderShard, HeaderToken, HeaderService, HeaderKey, HeaderTimeout,
	HeaderNotRun, HeaderOutcome, HeaderReason, "Content-Length",
}

// EndToEnd returns a copy of h without headers that concern one hop.
func EndToEnd(h http.Header) http.Header {
	c := h.Clone()
	for _, name := range hopHeaders {
		c.Del(name)
	}
	return c
}
