package manifest

import "strings"

// ServiceID names a service.
type ServiceID string

// DomainID names a failure domain.
type DomainID string

// Revision numbers the accepted rules files, counting from one. Zero means
// that no file has been accepted.
type Revision uint64

// AnyDomain is the target of a rule whose requests may be served in any
// failure domain. Only services that are not divided by key may use it.
const AnyDomain DomainID = "any"

const wildcard = "*"

// Pattern selects keys: a whole key, a prefix followed by an asterisk, or a
// lone asterisk.
type Pattern string

// prefix returns the fixed part of a prefix pattern.
func (p Pattern) prefix() (string, bool) {
	return strings.CutSuffix(string(p), wildcard)
}

// Rule routes the keys of one service that match a pattern to a failure
// domain.
type Rule struct {
	Service ServiceID
	Pattern Pattern
	Domain  DomainID
	// Comment names who asked for the rule, and usually why.
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

// sameEffect reports whether r and other have the same text apart from space.
func (r Rule) sameEffect(other Rule) bool {
	return r.id() == other.id() && r.Domain == other.Domain && r.Comment == other.Comment
}

// String formats r as a line of a rules file.
func (r Rule) String() string {
	return "route " + string(r.Service) + " " + string(r.Pattern) +
		" to " + string(r.Domain) + "  # " + r.Comment
}
