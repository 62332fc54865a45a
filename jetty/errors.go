package jetty

import (
	"errors"
	"fmt"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindNotSent marks a request of which no byte was sent.
	KindNotSent Kind = iota + 1
	// KindReset marks a connection that the server closed before its response
	// was complete.
	KindReset
	// KindServerEnded is like KindReset for a server that has ended since.
	KindServerEnded
	// KindTimeout marks a request without a complete response in time.
	KindTimeout
	// KindInvalidResponse marks received data that is not a valid response to
	// the request.
	KindInvalidResponse
	// KindCanceled marks a request that the caller canceled.
	KindCanceled
	// KindListen marks an address that cannot be listened on.
	KindListen
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

// kindOf returns the kind of err, or zero if err is not an [Error].
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// ErrRemoved is the error of a [ServerRecord] whose registration was removed.
var ErrRemoved = errors.New("registration was removed")
