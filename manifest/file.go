package manifest

import "strings"

// File is a parsed rules file. It is immutable and safe for concurrent use.
type File struct {
	name  string
	text  string
	rules []Rule
	index map[ServiceID]*serviceRules
}

// serviceRules indexes the rules of one service by specificity.
type serviceRules struct {
	exact    map[string]Rule
	prefixes map[string]Rule
	// lengths holds the distinct prefix lengths, longest first.
	lengths []int
}

// Empty returns a file without rules.
func Empty() *File {
	return &File{index: make(map[ServiceID]*serviceRules)}
}

// Text returns the text from which f was parsed.
func (f *File) Text() string {
	return f.text
}

// Rules returns the rules in file order. The caller must not modify them.
func (f *File) Rules() []Rule {
	return f.rules
}

// Match returns the most specific rule that matches key, and false if none does.
func (f *File) Match(service ServiceID, key string) (Rule, bool) {
	rules, ok := f.index[service]
	if !ok {
		return Rule{}, false
	}
	if rule, found := rules.exact[key]; found {
		return rule, true
	}
	return rules.longestPrefix(key)
}

// enclosing returns the rule of f with the longest prefix that covers all keys of
// rule.
func (f *File) enclosing(rule Rule) (Rule, bool) {
	rules, ok := f.index[rule.Service]
	if !ok {
		return Rule{}, false
	}
	prefix, _ := rule.Pattern.prefix()
	return rules.longestPrefix(prefix)
}

// longestPrefix returns the prefix rule that matches key with the longest prefix.
func (s *serviceRules) longestPrefix(key string) (Rule, bool) {
	for _, n := range s.lengths {
		if n > len(key) {
			continue
		}
		if rule, found := s.prefixes[key[:n]]; found {
			return rule, true
		}
	}
	return Rule{}, false
}

// Home returns the failure domain that serves key, and false if no rule matches
// key.
func (f *File) Home(service ServiceID, key string) (DomainID, bool) {
	rule, ok := f.Match(service, key)
	return rule.Domain, ok
}

// add adds rule to f. If f already has a rule for the same service and pattern,
// add returns that rule and true, and leaves f unchanged.
func (f *File) add(rule Rule) (Rule, bool) {
	rules, ok := f.index[rule.Service]
	if !ok {
		rules = &serviceRules{exact: make(map[string]Rule), prefixes: make(map[string]Rule)}
		f.index[rule.Service] = rules
	}
	group, name := rules.exact, string(rule.Pattern)
	prefix, isPrefix := rule.Pattern.prefix()
	if isPrefix {
		group, name = rules.prefixes, prefix
	}
	if earlier, exists := group[name]; exists {
		return earlier, true
	}
	group[name] = rule
	if isPrefix {
		rules.addLength(len(prefix))
	}
	f.rules = append(f.rules, rule)
	return Rule{}, false
}

// addLength inserts n into the descending list of prefix lengths.
func (s *serviceRules) addLength(n int) {
	i := 0
	for i < len(s.lengths) && s.lengths[i] > n {
		i++
	}
	if i < len(s.lengths) && s.lengths[i] == n {
		return
	}
	s.lengths = append(s.lengths, 0)
	copy(s.lengths[i+1:], s.lengths[i:])
	s.lengths[i] = n
}

// Format returns text with the columns of its rules aligned. It removes trailing
// space from other lines. Text that does not parse is returned unchanged.
func Format(text string) string {
	file, err := Parse("", text)
	if err != nil {
		return text
	}
	widths := file.columnWidths()
	byLine := make(map[int]Rule, len(file.rules))
	for _, rule := range file.rules {
		byLine[rule.Position.Line] = rule
	}
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		rule, ok := byLine[i+1]
		if !ok {
			lines[i] = strings.TrimRight(line, " \t\r")
			continue
		}
		lines[i] = widths.format(rule)
	}
	return strings.Join(lines, "\n")
}

// columnWidths holds the width of each aligned column, in bytes.
type columnWidths struct {
	service int
	pattern int
	domain  int
}

func (f *File) columnWidths() columnWidths {
	var widths columnWidths
	for _, rule := range f.rules {
		widths.service = max(widths.service, len(rule.Service))
		widths.pattern = max(widths.pattern, len(rule.Pattern))
		widths.domain = max(widths.domain, len(rule.Domain))
	}
	return widths
}

func (c columnWidths) format(rule Rule) string {
	return "route " + pad(string(rule.Service), c.service) +
		" " + pad(string(rule.Pattern), c.pattern) +
		" to " + pad(string(rule.Domain), c.domain) +
		"  # " + rule.Comment
}

func pad(s string, width int) string {
	return s + strings.Repeat(" ", width-len(s))
}
