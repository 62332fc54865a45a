package manifest

import (
	"fmt"
	"strings"
)

// Kind classifies an [Error].
type Kind int

const (
	// KindSyntax marks a line that is not a rule.
	KindSyntax Kind = iota + 1
	// KindUnattributed marks a rule without a comment that names who requested it.
	KindUnattributed
	// KindDuplicate marks a second rule for the same service and pattern.
	KindDuplicate
	// KindUnknown marks a service or failure domain that is not configured.
	KindUnknown
	// KindDomainRequired marks a rule that names no failure domain although its
	// service is divided by key.
	KindDomainRequired
	// KindTooLarge marks a file that exceeds [MaxBytes].
	KindTooLarge
)

// Position is a position in a rules file. Line and Column start at one; Column
// counts bytes.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats p as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error is one error in a rules file.
type Error struct {
	Op       string
	Kind     Kind
	Position Position
	Message  string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Message)
}

// Errors holds all errors found in one file, in file order.
type Errors []*Error

// Error implements the error interface. It returns one error per line.
func (es Errors) Error() string {
	lines := make([]string, 0, len(es))
	for _, e := range es {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// orNil returns es as an error, or nil when it is empty.
func (es Errors) orNil() error {
	if len(es) == 0 {
		return nil
	}
	return es
}
