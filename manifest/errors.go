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
	// KindUnattributed marks a rule without a comment naming who asked.
	KindUnattributed
	// KindDuplicate marks a second rule for the same service and pattern.
	KindDuplicate
	// KindUnknown marks a service or failure domain that is not configured.
	KindUnknown
	// KindDomainRequired marks a service divided by key whose rule names no one
	// failure domain.
	KindDomainRequired
	// KindTooLarge marks a file over [MaxBytes].
	KindTooLarge
)

// Position is a place in a rules file. Line and Column count from one; Column
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

// Error is one fault in a rules file.
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

// Errors lists every fault found in one file, in file order.
type Errors []*Error

// Error implements the error interface with one fault a line.
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
