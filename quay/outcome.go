package quay

import "time"

// Outcome is the final result of one request. The set of outcomes is closed.
type Outcome interface {
	outcome()
}

// Whole means that a complete response was passed to the caller.
type Whole struct {
	Status int
	Bytes  int64
}

// Refused means that the request did not run.
type Refused struct {
	Reason Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Unknown means that the request may have run, but no response was received.
type Unknown struct {
	Reason Reason
	// RetryAfter is the delay after which the caller should retry, if it may
	// repeat the request.
	RetryAfter time.Duration
}

// Truncated means that the response broke off after its header had been passed
// on.
type Truncated struct {
	Bytes int64
}

// Invalid means that the request itself is faulty, so that repeating it does not
// help. The request did not run.
type Invalid struct {
	Status int
	Reason Reason
}

func (Whole) outcome()     {}
func (Refused) outcome()   {}
func (Unknown) outcome()   {}
func (Truncated) outcome() {}
func (Invalid) outcome()   {}

// Reason is the reason for an outcome. It appears in logs, metrics and
// responses.
type Reason string

// Reasons in addition to those of package roster.
const (
	ReasonUnknownService       Reason = "unknown_service"
	ReasonNoIdempotencyKey     Reason = "idempotency_key_missing"
	ReasonIdempotencyKeyReused Reason = "idempotency_key_reused"
	ReasonInProgress           Reason = "same_idempotency_key_in_progress"
	ReasonBodyTooLarge         Reason = "body_too_large"
	ReasonResponseTooLarge     Reason = "answer_too_large"
	ReasonBodyUnreadable       Reason = "body_unreadable"
	ReasonOverload             Reason = "overload"
	ReasonDeadline             Reason = "deadline"
	ReasonNoServer             Reason = "no_server"
	ReasonNoEntryHost          Reason = "no_entry_host"
	ReasonConnectFailed        Reason = "connect_failed"
	ReasonServerRejected       Reason = "server_refused"
	ReasonStoreUnavailable     Reason = "store_unavailable"
	ReasonServerUnresponsive   Reason = "server_silent"
	ReasonConnectionLost       Reason = "connection_lost"
	ReasonMismatchedResponse   Reason = "answer_of_another_request"
	ReasonInvalidStatus        Reason = "invalid_status"
	ReasonAttemptsExceeded     Reason = "retry_budget_exhausted"
	ReasonForwardLost          Reason = "forward_lost"
	ReasonHostStopping         Reason = "host_stopping"
)
