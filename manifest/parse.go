package manifest

import (
	"fmt"
	"strings"
)

// MaxBytes is the size limit of a rules file. It leaves room for the metadata that
// is stored with the text in a store whose values are at most one megabyte.
const MaxBytes = 960 * 1024

// Indexes of the fields of a rule before its comment.
const (
	fieldKeyword = iota
	fieldService
	fieldPattern
	fieldTo
	fieldDomain
	fieldCount
)

// Parse parses a rules file. The error is an [Errors] that holds every error
// found; name is used only in positions.
func Parse(name, text string) (*File, error) {
	file := Empty()
	file.name = name
	file.text = text
	if len(text) > MaxBytes {
		return nil, Errors{{
			Op:       "parse",
			Kind:     KindTooLarge,
			Position: Position{File: name, Line: 1, Column: 1},
			Message:  fmt.Sprintf("file has %d bytes, limit is %d bytes", len(text), MaxBytes),
		}}
	}
	var errs Errors
	for i, line := range strings.Split(text, "\n") {
		p := lineParser{name: name, number: i + 1, line: strings.TrimRight(line, "\r")}
		rule, ok, e := p.parse()
		if e != nil {
			errs = append(errs, e)
			continue
		}
		if !ok {
			continue
		}
		if earlier, exists := file.add(rule); exists {
			errs = append(errs, newDuplicateError(rule, earlier))
		}
	}
	if err := errs.orNil(); err != nil {
		return nil, err
	}
	return file, nil
}

func newDuplicateError(rule, earlier Rule) *Error {
	return &Error{
		Op:       "parse",
		Kind:     KindDuplicate,
		Position: rule.Position,
		Message: fmt.Sprintf("service %s already has a rule for %s at line %d",
			rule.Service, rule.Pattern, earlier.Position.Line),
	}
}

// field is one word of a line and the column in bytes at which it starts.
type field struct {
	text   string
	column int
}

// lineParser parses one line.
type lineParser struct {
	name   string
	number int
	line   string
}

// parse returns the rule on the line. The second result is false if the line has
// no rule.
func (p lineParser) parse() (Rule, bool, *Error) {
	body, comment, hasComment := cutComment(p.line)
	fields := splitFields(body)
	if len(fields) == 0 {
		return Rule{}, false, nil
	}
	if e := p.checkGrammar(fields); e != nil {
		return Rule{}, false, e
	}
	comment = strings.TrimSpace(comment)
	if !hasComment || comment == "" {
		return Rule{}, false, p.newError(KindUnattributed, len(p.line)+1,
			"rule has no comment naming who asked for it; end the line with # NAME: REASON")
	}
	return Rule{
		Service:  ServiceID(fields[fieldService].text),
		Pattern:  Pattern(fields[fieldPattern].text),
		Domain:   DomainID(fields[fieldDomain].text),
		Comment:  comment,
		Position: Position{File: p.name, Line: p.number, Column: fields[fieldKeyword].column},
	}, true, nil
}

// checkGrammar checks the fields of a rule against the grammar.
func (p lineParser) checkGrammar(fields []field) *Error {
	if fields[fieldKeyword].text != "route" {
		return p.newError(KindSyntax, fields[fieldKeyword].column,
			fmt.Sprintf("expected %q, found %q", "route", fields[fieldKeyword].text))
	}
	if len(fields) < fieldCount {
		return p.newError(KindSyntax, len(p.line)+1,
			"rule is incomplete; expected: route SERVICE PATTERN to DOMAIN # NAME: REASON")
	}
	if fields[fieldTo].text != "to" {
		return p.newError(KindSyntax, fields[fieldTo].column,
			fmt.Sprintf("expected %q, found %q", "to", fields[fieldTo].text))
	}
	if len(fields) > fieldCount {
		return p.newError(KindSyntax, fields[fieldCount].column,
			fmt.Sprintf("unexpected %q after the failure domain", fields[fieldCount].text))
	}
	return p.checkNames(fields)
}

// checkNames checks the syntax of the names and of the pattern.
func (p lineParser) checkNames(fields []field) *Error {
	for _, i := range []int{fieldService, fieldDomain} {
		if !isName(fields[i].text) {
			return p.newError(KindSyntax, fields[i].column,
				fmt.Sprintf("%q is not a name of a-z, 0-9 and underscore", fields[i].text))
		}
	}
	pattern := fields[fieldPattern]
	if at := strings.Index(pattern.text, wildcard); at >= 0 && at != len(pattern.text)-1 {
		return p.newError(KindSyntax, pattern.column+at,
			"an asterisk may stand only at the end of a pattern")
	}
	return nil
}

func (p lineParser) newError(kind Kind, column int, message string) *Error {
	return &Error{
		Op:       "parse",
		Kind:     kind,
		Position: Position{File: p.name, Line: p.number, Column: column},
		Message:  message,
	}
}

// cutComment splits a line at the first # at the start of a word, so that keys
// may contain the character.
func cutComment(line string) (body, comment string, found bool) {
	for i := range len(line) {
		if line[i] != '#' {
			continue
		}
		if i == 0 || line[i-1] == ' ' || line[i-1] == '\t' {
			return line[:i], line[i+1:], true
		}
	}
	return line, "", false
}

// splitFields splits s at spaces and tabs, and records the column of each field.
func splitFields(s string) []field {
	var fields []field
	start := -1
	for i := 0; i <= len(s); i++ {
		isSpace := i == len(s) || s[i] == ' ' || s[i] == '\t'
		switch {
		case !isSpace && start < 0:
			start = i
		case isSpace && start >= 0:
			fields = append(fields, field{text: s[start:i], column: start + 1})
			start = -1
		}
	}
	return fields
}

func isName(s string) bool {
	for _, c := range s {
		isLetter := c >= 'a' && c <= 'z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '_' {
			return false
		}
	}
	return s != ""
}
