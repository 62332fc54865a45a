package manifest

import "fmt"

// Catalogue holds the names of services and failure domains that a rules file may
// use.
type Catalogue struct {
	// Divided maps every configured service to whether it is divided by key, so
	// that each key is owned by exactly one backend server.
	Divided map[ServiceID]bool
	// Domains holds the configured failure domains.
	Domains map[DomainID]bool
}

// Check returns an error for every rule of f that uses a name not in c, or that
// names no failure domain although its service is divided by key. The error is an
// [Errors].
func (c Catalogue) Check(f *File) error {
	var errs Errors
	for _, rule := range f.rules {
		if e := c.checkRule(rule); e != nil {
			errs = append(errs, e)
		}
	}
	return errs.orNil()
}

func (c Catalogue) checkRule(rule Rule) *Error {
	divided, known := c.Divided[rule.Service]
	if !known {
		return newCheckError(rule, KindUnknown, fmt.Sprintf("service %s is not configured", rule.Service))
	}
	if rule.Domain == AnyDomain {
		if divided {
			return newCheckError(rule, KindDomainRequired, fmt.Sprintf(
				"service %s is divided by key, so its rules must name one failure domain", rule.Service))
		}
		return nil
	}
	if !c.Domains[rule.Domain] {
		return newCheckError(rule, KindUnknown, fmt.Sprintf("failure domain %s is not configured", rule.Domain))
	}
	return nil
}

func newCheckError(rule Rule, kind Kind, message string) *Error {
	return &Error{Op: "check", Kind: kind, Position: rule.Position, Message: message}
}
