package harbor

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindListen marks a failure to listen on a configured address.
	KindListen Kind = iota + 1
	// KindRules marks a rules file that is invalid or cannot be encoded.
	KindRules
	// KindConflict marks a change based on rules that are not the accepted ones
	// any more.
	KindConflict
	// KindStore marks a failed call to the platform's store, or an invalid record
	// in it.
	KindStore
	// KindPeer marks a failed call to another entry host, or an invalid message
	// from it.
	KindPeer
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

// newError wraps err, to which it attaches a stack trace for the log.
func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: merry.Wrap(err)}
}
