package mooring

import (
	"time"

	"hornbeamwinch.example/fairway"
)

// Instant is a reading of a clock that keeps running while the host is
// suspended. With a clock that stops, a hold could outlast its time unnoticed.
type Instant time.Duration

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-u.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// StoreRevision is the store's revision of a recorded table, or 0 if there is
// none.
type StoreRevision uint64

// Event is an input of [Assigner.Step]. The set of events is closed.
type Event interface{ event() }

// Tick lets the assigner act on elapsed time.
type Tick struct{}

// TableLoaded is the result of a [LoadTable]. Table is nil if none is recorded.
type TableLoaded struct {
	Table    *Table
	Revision StoreRevision
}

// TableRecalled carries a table of an earlier era that another host knows. It counts like
// [Recovery].KnownTable if it arrives before the table of the era is written.
type TableRecalled struct {
	Table *Table
}

// ServersRecalled carries the servers that another host knew at the end of an earlier era. They
// count like [Recovery].KnownServers.
type ServersRecalled struct {
	Servers []ServerInstance
}

// WriteSucceeded reports that the last [WriteTable] took effect.
type WriteSucceeded struct {
	Revision StoreRevision
}

// WriteFailed reports that the last [WriteTable] did not take effect, or that
// its outcome is unknown.
type WriteFailed struct{}

// CatalogUpdated carries the registered backend servers.
type CatalogUpdated struct {
	Catalog *fairway.Catalog
}

// OrderCompleted is the result of a [SendOrder].
type OrderCompleted struct {
	Order Order
	// Result is what is known about the execution of the order.
	Result Result
	// Session is the session in which a grant was sent.
	Session SessionID
	// Handover is the data that the server returned for an accepted release.
	Handover string
	// Began and Ended delimit the time in which the order may have arrived.
	Began Instant
	Ended Instant
}

// LoadReported carries what the entry hosts measured since the previous report.
type LoadReported struct {
	// Requests counts the requests by key.
	Requests map[Key]int
	// Interval is the time in which the requests were counted.
	Interval time.Duration
	// Responsive has the servers that answered requests in that time.
	Responsive map[fairway.ServerID]bool
	// Speeds are the speeds of the servers relative to the mean of the service.
	Speeds map[fairway.ServerID]float64
	// Limits are the requests a second that servers take, of those that name a limit.
	Limits map[fairway.ServerID]float64
}

// WritesAllowed reports whether the store accepts writes of this placer. While
// it does not, the assigner continues with the orders that follow from the
// recorded table.
type WritesAllowed struct {
	Allowed bool
}

// PredecessorEnded reports that no earlier placer has sent an order since At.
type PredecessorEnded struct {
	At Instant
}

// PathLost reports whether the placer cannot reach the servers as a whole, or none of
// them answers. While that is so, failed orders indicate nothing about a single server.
type PathLost struct {
	Lost bool
}

func (Tick) event()             {}
func (TableLoaded) event()      {}
func (TableRecalled) event()    {}
func (ServersRecalled) event()  {}
func (WriteSucceeded) event()   {}
func (WriteFailed) event()      {}
func (CatalogUpdated) event()   {}
func (OrderCompleted) event()   {}
func (LoadReported) event()     {}
func (WritesAllowed) event()    {}
func (PredecessorEnded) event() {}
func (PathLost) event()         {}

// Result is the outcome of an order.
type Result int

const (
	// ResultAccepted means that the server executed the order.
	ResultAccepted Result = iota + 1
	// ResultNoResponse means that the server may have received the order at any
	// time until the connection was closed.
	ResultNoResponse
	// ResultNotSent means that the server could not be reached and no byte of
	// the order was sent.
	ResultNotSent
	// ResultNotTried means that this host could not send the order for reasons
	// of its own, which indicates nothing about the server.
	ResultNotTried
	// ResultSuperseded means that the server has seen a higher token.
	ResultSuperseded
	// ResultMisdirected means that the address belongs to another server, or to
	// another instance of the server.
	ResultMisdirected
	// ResultInvalid means that the server could not interpret the order.
	ResultInvalid
	// ResultSessionEnded means that nothing was sent, since the session that the
	// order requires has ended.
	ResultSessionEnded
)

// String implements fmt.Stringer.
func (r Result) String() string {
	switch r {
	case ResultAccepted:
		return "accepted"
	case ResultNoResponse:
		return "no_answer"
	case ResultNotSent:
		return "not_sent"
	case ResultNotTried:
		return "not_tried"
	case ResultSuperseded:
		return "superseded"
	case ResultMisdirected:
		return "elsewhere"
	case ResultSessionEnded:
		return "session_ended"
	default:
		return "rejected"
	}
}

// SessionID identifies a time in which all grants of this placer to a server
// provably went to the same process, since they went over the same connection. Zero
// means none.
type SessionID uint64

// Order is a grant or a release that is sent to a backend server.
type Order struct {
	KeyRange KeyRange
	Token    Token
	To       ServerInstance
	// Release marks an order to stop serving the keys. Other orders are grants.
	Release bool
	// Hold and Handover are set for grants only: how long the server may hold
	// the keys, and the data that the former owner returned.
	Hold     time.Duration
	Handover string
	// Session, if it is not zero, is the session in which a grant has to be sent.
	Session SessionID
}

// precedes reports whether the order concerns keys of an assignment under an earlier
// token.
func (o Order) precedes(r *Assignment) bool {
	return o.Token < r.Token && o.KeyRange.overlaps(r.KeyRange)
}

// Action is an output of [Assigner.Step], which the caller has to execute. The
// set of actions is closed.
type Action interface{ action() }

// LoadTable reads the recorded table. Its result is a [TableLoaded] event.
type LoadTable struct{}

// WriteTable writes a table if the recorded one is still at Revision. Its result
// is a [WriteSucceeded] or [WriteFailed] event.
type WriteTable struct {
	Table    *Table
	Revision StoreRevision
	// Moves describes the changes for logs and metrics.
	Moves []Move
}

// SendOrder sends an order to a backend server. Its result is an
// [OrderCompleted] event.
type SendOrder struct {
	Order Order
}

func (LoadTable) action()  {}
func (WriteTable) action() {}
func (SendOrder) action()  {}

// Reason is why an assignment was changed.
type Reason string

// Reasons of a [Move].
const (
	ReasonFirstOwner         Reason = "first_owner"
	ReasonOwnerDraining      Reason = "owner_draining"
	ReasonOwnerEvacuated     Reason = "owner_evacuated"
	ReasonOwnerRemoved       Reason = "owner_gone"
	ReasonOwnerUnresponsive  Reason = "owner_silent"
	ReasonOwnerRestarted     Reason = "owner_restarted"
	ReasonLoadBalancing      Reason = "load"
	ReasonFormerOwnerCleared Reason = "former_owner_cleared"
	ReasonTokenSuperseded    Reason = "token_superseded"
	ReasonSessionEnded       Reason = "session_ended"
	ReasonStoreRestored      Reason = "store_restored"
)

// Proof is why a former owner cannot hold any keys of an assignment.
type Proof string

// Proofs of a [Move].
const (
	// ProofReleased means that the server answered a release.
	ProofReleased Proof = "released"
	// ProofMisdirected means that a release reached another server at the address.
	ProofMisdirected Proof = "misdirected"
	// ProofHoldExpired means that the last grant has expired.
	ProofHoldExpired Proof = "hold_expired"
	// ProofRestarted means that a later incarnation is registered under the id, at
	// another address.
	ProofRestarted Proof = "restarted"
	// ProofAddressTaken means that a server that started later is registered
	// under the address.
	ProofAddressTaken Proof = "address_taken"
)

// Move describes one change of an assignment.
type Move struct {
	KeyRange KeyRange
	From     fairway.ServerID
	To       fairway.ServerID
	Token    Token
	// FormerToken is the highest one that a key of the range had before.
	FormerToken Token
	Reason      Reason
	// Proof is set for ReasonFormerOwnerCleared.
	Proof Proof
}
