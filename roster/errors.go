package roster

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindNoTable marks a request before the host knows a table.
	KindNoTable Kind = iota + 1
	// KindNotMember marks a host that may not dispatch under the table.
	KindNotMember
	// KindLeaseExpired marks a host whose table is not known to be current.
	KindLeaseExpired
	// KindMisdirected marks a key whose home is another failure domain.
	KindMisdirected
	// KindNoRule marks a key without a rule.
	KindNoRule
	// KindMoving marks a key that is between two owners or failure domains.
	KindMoving
	// KindNoOwner marks a key whose owner is lost and not replaced yet.
	KindNoOwner
)

// String returns the reason used in logs and refusals.
func (k Kind) String() string {
	switch k {
	case KindNoTable:
		return "no_table"
	case KindNotMember:
		return "not_member"
	case KindLeaseExpired:
		return "route_lease_expired"
	case KindMisdirected:
		return "home_elsewhere"
	case KindNoRule:
		return "no_rule"
	case KindMoving:
		return "key_moving"
	case KindNoOwner:
		return "no_owner"
	default:
		return "unknown"
	}
}

// Error is the error type of this package. Every error of it means that the
// request was not run.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Op, e.Kind)
}
