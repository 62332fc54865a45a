package mooring

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindCorrupt marks a stored table that contradicts itself or cannot be
	// decoded.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
