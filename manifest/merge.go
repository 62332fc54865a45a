package manifest

import (
	"sort"
	"strings"
)

// Change is the change of one rule between two files. Before is nil for an added
// rule, and After is nil for a removed one.
type Change struct {
	Before *Rule
	After  *Rule
}

// String formats c like a unified diff.
func (c Change) String() string {
	var lines []string
	if c.Before != nil {
		lines = append(lines, "- "+c.Before.String())
	}
	if c.After != nil {
		lines = append(lines, "+ "+c.After.String())
	}
	return strings.Join(lines, "\n")
}

// Conflict is a rule that two edits of a common base changed differently. A nil
// rule means that the file has no such rule.
type Conflict struct {
	Base   *Rule
	Mine   *Rule
	Theirs *Rule
}

// String formats c as a three-way diff.
func (c Conflict) String() string {
	return "base:   " + ruleText(c.Base) +
		"\nmine:   " + ruleText(c.Mine) +
		"\ntheirs: " + ruleText(c.Theirs)
}

func ruleText(r *Rule) string {
	if r == nil {
		return "(no rule)"
	}
	return r.String()
}

// Diff returns the rules that differ between before and after, ordered by service
// and pattern.
func Diff(before, after *File) []Change {
	older, newer := before.byID(), after.byID()
	var changes []Change
	for _, id := range sortedIDs(older, newer) {
		b, a := older[id], newer[id]
		if sameRule(b, a) {
			continue
		}
		changes = append(changes, Change{Before: b, After: a})
	}
	return changes
}

// Merge applies the changes from base to mine onto theirs. It returns the merged
// text, or the conflicts if both edits changed a rule differently. Lines without
// a rule are taken from theirs.
func Merge(base, mine, theirs *File) (string, []Conflict) {
	theirRules := theirs.byID()
	var conflicts []Conflict
	replace := make(map[ruleID]*Rule)
	for _, change := range Diff(base, mine) {
		id := change.id()
		theirRule := theirRules[id]
		switch {
		case sameRule(theirRule, change.After):
		case sameRule(theirRule, change.Before):
			replace[id] = change.After
		default:
			conflicts = append(conflicts, Conflict{Base: change.Before, Mine: change.After, Theirs: theirRule})
		}
	}
	if len(conflicts) > 0 {
		return "", conflicts
	}
	return theirs.rewrite(replace), nil
}

func (c Change) id() ruleID {
	if c.Before != nil {
		return c.Before.id()
	}
	return c.After.id()
}

// rewrite returns the text of f with the given rules replaced. A nil rule removes
// the line; a rule that f does not have is appended.
func (f *File) rewrite(replace map[ruleID]*Rule) string {
	byLine := make(map[int]Rule, len(f.rules))
	for _, rule := range f.rules {
		byLine[rule.Position.Line] = rule
	}
	var lines []string
	for i, line := range strings.Split(strings.TrimRight(f.text, "\n"), "\n") {
		rule, isRule := byLine[i+1]
		after, replaced := replace[rule.id()]
		switch {
		case !isRule || !replaced:
			lines = append(lines, line)
		case after != nil:
			lines = append(lines, after.String())
		}
	}
	existing := f.byID()
	for _, id := range sortedIDs(replace) {
		if _, exists := existing[id]; !exists && replace[id] != nil {
			lines = append(lines, replace[id].String())
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// DomainsLosingKeys returns the failure domains that may lose keys when after
// replaces before, in order. A domain is listed if one of its rules was removed
// or now names another domain, or if a new rule of another domain covers keys
// that one of its prefix rules covered. [AnyDomain] is never listed.
func DomainsLosingKeys(before, after *File) []DomainID {
	set := make(map[DomainID]bool)
	for _, change := range Diff(before, after) {
		for _, domain := range before.servingDomains(change) {
			if change.After == nil || change.After.Domain != domain {
				set[domain] = true
			}
		}
	}
	delete(set, AnyDomain)
	domains := make([]DomainID, 0, len(set))
	for domain := range set {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	return domains
}

// servingDomains returns the domains that serve the keys of a changed rule under
// f.
func (f *File) servingDomains(change Change) []DomainID {
	if change.Before != nil {
		return []DomainID{change.Before.Domain}
	}
	rule, ok := f.enclosing(*change.After)
	if !ok {
		return nil
	}
	return []DomainID{rule.Domain}
}

func (f *File) byID() map[ruleID]*Rule {
	rules := make(map[ruleID]*Rule, len(f.rules))
	for i := range f.rules {
		rules[f.rules[i].id()] = &f.rules[i]
	}
	return rules
}

func sameRule(a, b *Rule) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.equal(*b)
}

// sortedIDs returns the keys of all given maps without duplicates, ordered by
// service and pattern.
func sortedIDs(groups ...map[ruleID]*Rule) []ruleID {
	seen := make(map[ruleID]bool)
	var ids []ruleID
	for _, group := range groups {
		for id := range group {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].service != ids[j].service {
			return ids[i].service < ids[j].service
		}
		return ids[i].pattern < ids[j].pattern
	})
	return ids
}
