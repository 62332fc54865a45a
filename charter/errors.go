package charter

import (
	"fmt"
	"strings"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindRead marks a file that cannot be read.
	KindRead Kind = iota + 1
	// KindSyntax marks text that is not valid JSON or has an unknown field.
	KindSyntax
	// KindInvalid marks settings with values that are not allowed.
	KindInvalid
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     Kind
	File     string
	Problems []string
}

// Error implements the error interface. It returns one problem per line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s:\n  %s", e.Op, e.File, strings.Join(e.Problems, "\n  "))
}
