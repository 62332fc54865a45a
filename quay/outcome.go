package quay

import "time"

// Outcome is the final result of one request. The set of outcomes is closed.
type Outcome interface {
	outcome()
}

// Whole says that a complete answer was passed to the caller.
type Whole struct {
	Status int
	Bytes  int64
}

// Refused says that the request did not run.
type Refused struct {
	Reason Reason
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Unknown says that the request may have run and no answer was obtained.
type Unknown struct {
	Reason Reason
	// RetryAfter is when a caller that may repeat the request should do so.
	RetryAfter time.Duration
}

// Truncated says that an answer broke off after its head had been passed on.
type Truncated struct {
	Bytes int64
}

// Invalid says that the request itself is faulty, so that repeating it does
// not help. It did not run.
type Invalid struct {
	Status int
	Reason Reason
}

func (Whole) outcome()     {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}
func (Truncated) outcome() {}
func (Invalid) outcome()   {}

// Reason says why a request had its outcome. It appears in logs, metrics and
// answers.
type Reason string

// Reasons beyond those of package roster.
const (
	ReasonUnknownService       Reason = "unknown_service"
	ReasonNoIdempotencyKey     Reason = "idempotency_key_missing"
	ReasonIdempotencyKeyReused Reason = "idempotency_key_reused"
	ReasonInProgress           Reason = "same_idempotency_key_in_progress"
	ReasonBodyTooLarge         Reason = "body_too_large"
	ReasonAnswerTooLarge       Reason = "answer_too_large"
	ReasonBodyUnreadable       Reason = "body_unreadable"
	ReasonOverload             Reason = "overload"
	ReasonDeadline             Reason = "deadline"
	ReasonNoServer             Reason = "no_server"
	ReasonNoEntryHost          Reason = "no_entry_host"
	ReasonConnectFailed        Reason = "connect_failed"
	ReasonServerRefused        Reason = "server_refused"
	ReasonStoreUnavailable     Reason = "store_unavailable"
	ReasonServerUnresponsive   Reason = "server_silent"
	ReasonConnectionLost       Reason = "connection_lost"
	ReasonMismatchedResponse   Reason = "answer_of_another_request"
	ReasonRetriesExceeded      Reason = "retry_budget_exhausted"
	ReasonForwardLost          Reason = "forward_lost"
)
