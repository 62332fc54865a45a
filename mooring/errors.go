package mooring

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindCorrupt marks a table that is inconsistent, or that cannot be encoded
	// or decoded.
	KindCorrupt Kind = iota + 1
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
