package manifest

import (
	"fmt"
	"strings"
)

// MaxBytes is the size limit of a rules file. It leaves room for the record
// around the text in a store that holds values up to one megabyte.
const MaxBytes = 960 * 1024

// Fields of a rule line before its comment.
const (
	fieldVerb = iota
	fieldService
	fieldPattern
	fieldTo
	fieldDomain
	fieldCount
)

// Parse reads a rules file. The error is an [Errors] with every fault found;
// name is used in positions only.
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
	var faults Errors
	for i, line := range strings.Split(text, "\n") {
		p := lineParser{name: name, number: i + 1, line: strings.TrimRight(line, "\r")}
		rule, ok, fault := p.parse()
		if fault != nil {
			faults = append(faults, fault)
			continue
		}
		if !ok {
			continue
		}
		if earlier, exists := file.add(rule); exists {
			faults = append(faults, duplicateRule(rule, earlier))
		}
	}
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return file, nil
}

func duplicateRule(rule, earlier Rule) *Error {
	return &Error{
		Op:       "parse",
		Kind:     KindDuplicate,
		Position: rule.Position,
		Message: fmt.Sprintf("service %s already has a rule for %s at line %d",
			rule.Service, rule.Pattern, earlier.Position.Line),
	}
}

// field is one word of a line and the byte column where it starts.
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

// parse returns the rule on the line. The second result is false for a line
// that holds no rule.
func (p lineParser) parse() (Rule, bool, *Error) {
	body, comment, hasComment := cutComment(p.line)
	fields := splitFields(body)
	if len(fields) == 0 {
		return Rule{}, false, nil
	}
	if fault := p.checkShape(fields); fault != nil {
		return Rule{}, false, fault
	}
	comment = strings.TrimSpace(comment)
	if !hasComment || comment == "" {
		return Rule{}, false, p.fault(KindUnattributed, len(p.line)+1,
			"rule has no comment naming who asked for it; end the line with # NAME: REASON")
	}
	return Rule{
		Service:  ServiceID(fields[fieldService].text),
		Pattern:  Pattern(fields[fieldPattern].text),
		Domain:   DomainID(fields[fieldDomain].text),
		Comment:  comment,
		Position: Position{File: p.name, Line: p.number, Column: fields[fieldVerb].column},
	}, true, nil
}

// checkShape checks the words of a rule against its grammar.
func (p lineParser) checkShape(fields []field) *Error {
	if fields[fieldVerb].text != "route" {
		return p.fault(KindSyntax, fields[fieldVerb].column,
			fmt.Sprintf("expected %q, found %q", "route", fields[fieldVerb].text))
	}
	if len(fields) < fieldCount {
		return p.fault(KindSyntax, len(p.line)+1,
			"rule is incomplete; expected: route SERVICE PATTERN to DOMAIN # NAME: REASON")
	}
	if fields[fieldTo].text != "to" {
		return p.fault(KindSyntax, fields[fieldTo].column,
			fmt.Sprintf("expected %q, found %q", "to", fields[fieldTo].text))
	}
	if len(fields) > fieldCount {
		return p.fault(KindSyntax, fields[fieldCount].column,
			fmt.Sprintf("unexpected %q after the failure domain", fields[fieldCount].text))
	}
	return p.checkNames(fields)
}

// checkNames checks the characters of the names and the pattern.
func (p lineParser) checkNames(fields []field) *Error {
	for _, i := range []int{fieldService, fieldDomain} {
		if !isName(fields[i].text) {
			return p.fault(KindSyntax, fields[i].column,
				fmt.Sprintf("%q is not a name of a-z, 0-9 and underscore", fields[i].text))
		}
	}
	pattern := fields[fieldPattern]
	if at := strings.Index(pattern.text, wildcard); at >= 0 && at != len(pattern.text)-1 {
		return p.fault(KindSyntax, pattern.column+at,
			"an asterisk may stand only at the end of a pattern")
	}
	return nil
}

func (p lineParser) fault(kind Kind, column int, message string) *Error {
	return &Error{
		Op:       "parse",
		Kind:     kind,
		Position: Position{File: p.name, Line: p.number, Column: column},
		Message:  message,
	}
}

// cutComment splits a line at the first # that starts a word, so that a key
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

// splitFields splits s at spaces and tabs and keeps the columns.
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
