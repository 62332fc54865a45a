package berth

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindInvalid marks a value that cannot be encoded or decoded.
	KindInvalid Kind = iota + 1
	// KindTooLarge marks a table whose stored form exceeds [MaxTableBytes].
	KindTooLarge
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
