package roster

import "fmt"

// Kind classifies an [Error].
type Kind int

const (
	// KindNoTable marks a request that came before the host had received a
	// table.
	KindNoTable Kind = iota + 1
	// KindNotMember marks a host that the table does not list as active, or
	// that is shutting down.
	KindNotMember
	// KindLeaseExpired marks a host whose route lease has expired: its table
	// has not been confirmed as current recently enough.
	KindLeaseExpired
	// KindMisdirected marks a key whose home is another failure domain.
	KindMisdirected
	// KindNoRule marks a key that no routing rule covers.
	KindNoRule
	// KindMoving marks a key that is between two owners or failure domains.
	KindMoving
	// KindNoOwner marks a key whose owner is not live and has not been replaced
	// yet, or a selected server that is not live.
	KindNoOwner
)

// String returns the reason code used in logs and in responses to callers.
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

// Error is the error type of this package. It always means that the request
// was not run.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Op, e.Kind)
}
