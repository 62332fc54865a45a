package fairway

import (
	"errors"
	"fmt"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindNoRoute marks a request that no route matches.
	KindNoRoute Kind = iota + 1
	// KindInvalid marks an inconsistent configuration.
	KindInvalid
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

var errNoRoute = &Error{Op: "match", Kind: KindNoRoute, Err: errors.New("no route matches")}
