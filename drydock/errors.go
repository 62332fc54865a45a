package drydock

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindListen marks an address that cannot be listened on.
	KindListen Kind = iota + 1
	// KindCall marks a failed call to a stand-in.
	KindCall
	// KindViolation marks a promise of the system that was found broken.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
