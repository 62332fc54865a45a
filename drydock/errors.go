package drydock

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindListen marks a failure to listen on an address or to find a free one.
	KindListen Kind = iota + 1
	// KindCall marks a failed HTTP call to a fake or an entry host, or a
	// condition that was not met in time.
	KindCall
	// KindViolation marks a violated guarantee of the router.
	KindViolation
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
