package manifest

import "strings"

// ServiceID identifies a service.
type ServiceID string

// DomainID identifies a failure domain.
type DomainID string

// Revision is the number of an accepted rules file, starting at one. Zero means
// that no file has been accepted.
type Revision uint64

// AnyDomain is the target of a rule whose requests may be served in any
// failure domain. Only services that are not divided by key may use it.
const AnyDomain DomainID = "any"

const wildcard = "*"

// Pattern selects keys. It is a complete key, a prefix followed by an asterisk, or
// a single asterisk, which matches all keys.
type Pattern string

// prefix returns the pattern without its final asterisk, and whether it has one.
func (p Pattern) prefix() (string, bool) {
	return strings.CutSuffix(string(p), wildcard)
}

// Rule routes the keys of one service that match a pattern to a failure
// domain.
type Rule struct {
	Service ServiceID
	Pattern Pattern
	Domain  DomainID
	// Comment names who requested the rule, and usually why.
	Comment  string
	Position Position
}

// ruleID identifies a rule within a file.
type ruleID struct {
	service ServiceID
	pattern Pattern
}

func (r Rule) id() ruleID {
	return ruleID{service: r.Service, pattern: r.Pattern}
}

// equal reports whether r and other have the same text apart from whitespace.
func (r Rule) equal(other Rule) bool {
	return r.id() == other.id() && r.Domain == other.Domain && r.Comment == other.Comment
}

// String formats r as a line of a rules file.
func (r Rule) String() string {
	return "route " + string(r.Service) + " " + string(r.Pattern) +
		" to " + string(r.Domain) + "  # " + r.Comment
}
