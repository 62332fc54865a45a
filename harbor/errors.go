package harbor

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindListen marks an address that cannot be listened on.
	KindListen Kind = iota + 1
	// KindRules marks a rules file that was refused.
	KindRules
	// KindConflict marks rules that changed since the operator read them.
	KindConflict
	// KindStore marks a failed call of the platform's store.
	KindStore
	// KindPeer marks a failed call of another entry host.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// newError returns an error whose cause carries a stack trace for the log.
func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: merry.Wrap(err)}
}
