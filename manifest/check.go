package manifest

import "fmt"

// Catalogue tells which names a rules file may use.
type Catalogue struct {
	// Divided holds every configured service and whether it is divided by
	// key, so that each key has one owner.
	Divided map[ServiceID]bool
	Domains map[DomainID]bool
}

// Check reports every rule of f that names something not in c, as [Errors].
func (c Catalogue) Check(f *File) error {
	var faults Errors
	for _, rule := range f.rules {
		if fault := c.checkRule(rule); fault != nil {
			faults = append(faults, fault)
		}
	}
	return faults.orNil()
}

func (c Catalogue) checkRule(rule Rule) *Error {
	divided, known := c.Divided[rule.Service]
	if !known {
		return checkFault(rule, KindUnknown, fmt.Sprintf("service %s is not configured", rule.Service))
	}
	if rule.Domain == AnyDomain {
		if divided {
			return checkFault(rule, KindDomainRequired, fmt.Sprintf(
				"service %s is divided by key, so its rules name one failure domain", rule.Service))
		}
		return nil
	}
	if !c.Domains[rule.Domain] {
		return checkFault(rule, KindUnknown, fmt.Sprintf("failure domain %s is not configured", rule.Domain))
	}
	return nil
}

func checkFault(rule Rule, kind Kind, message string) *Error {
	return &Error{Op: "check", Kind: kind, Position: rule.Position, Message: message}
}
