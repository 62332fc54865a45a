package ledger

import (
	"errors"
	"fmt"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindNotFound marks a key or lease that does not exist.
	KindNotFound Kind = iota + 1
	// KindConflict marks a write whose expected revision was not current.
	KindConflict
	// KindUnavailable marks a call that certainly had no effect, because the
	// store could not be reached or rejected the call.
	KindUnavailable
	// KindUnknown marks a write that may or may not have taken effect.
	KindUnknown
	// KindTooLarge marks a value that exceeds [MaxValueBytes].
	KindTooLarge
	// KindProtocol marks a response that violates the protocol.
	KindProtocol
	// KindCompacted marks a watch from a revision whose history has been
	// compacted.
	KindCompacted
)

// String returns the name of k in metrics.
func (k Kind) String() string {
	switch k {
	case KindNotFound:
		return "not_found"
	case KindConflict:
		return "conflict"
	case KindUnavailable:
		return "unavailable"
	case KindUnknown:
		return "unknown"
	case KindTooLarge:
		return "too_large"
	case KindProtocol:
		return "protocol"
	case KindCompacted:
		return "compacted"
	default:
		return "failed"
	}
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Key  string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsKind reports whether err is an [Error] of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
