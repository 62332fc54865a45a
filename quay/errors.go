package quay

import (
	"errors"
	"fmt"
)

// ErrHostStopping is the cause with which the context of a request is canceled when
// this host stops before the request has ended.
var ErrHostStopping = errors.New("the host is stopping")

// Kind classifies an [Error].
type Kind int

const (
	// KindNotRun marks a failure before any byte reached a backend server, or
	// one for which the server certified that the request did not run.
	KindNotRun Kind = iota + 1
	// KindMayHaveRun marks a failure after part of the request was written.
	KindMayHaveRun
	// KindTruncated marks a response that broke off.
	KindTruncated
	// KindQueueFull marks a request for which there is no slot and no room in
	// the queue.
	KindQueueFull
	// KindTooLate marks a request that cannot finish before its deadline, or was
	// canceled while it waited for a slot.
	KindTooLate
	// KindStoreFailed marks a claim that could not be read or written in the
	// store.
	KindStoreFailed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v", e.Op, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

// kindOf returns the kind of err, or zero.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
