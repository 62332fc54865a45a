package mooring

import (
	"time"

	"hornbeamwinch.example/fairway"
)

// Instant is a reading of a clock that goes on while the machine is suspended,
// so that a hold cannot outlive its time unnoticed.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from u to i.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// StoreRevision is the store's number for a recorded table, 0 for none.
type StoreRevision uint64

// Event is something that happened to a [Assigner].
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// TableLoaded brings the recorded table. Table is nil if there is none.
type TableLoaded struct {
	Table    *Table
	Revision StoreRevision
}

// WriteSucceeded says that the last write took effect.
type WriteSucceeded struct {
	Revision StoreRevision
}

// WriteFailed says that the last write did not take effect, or that this is
// not known.
type WriteFailed struct{}

// CatalogUpdated brings the servers that may be given work.
type CatalogUpdated struct {
	Catalog *fairway.Catalog
}

// OrderCompleted brings the result of an order.
type OrderCompleted struct {
	Order Order
	// Result is what is known of the order.
	Result Result
	// Handover comes with an accepted release.
	Handover string
	// Began and Ended span the time in which the order may have arrived.
	Began Instant
	Ended Instant
}

// LoadReported brings what the entry hosts measured since the last one.
type LoadReported struct {
	// Requests counts the requests by key.
	Requests map[Key]int
	// Interval is the time in which they were counted.
	Interval time.Duration
	// Answered has the servers that answered requests in that time.
	Answered map[fairway.ServerID]bool
	// Speeds are the speeds of the servers relative to the mean of the service.
	Speeds map[fairway.ServerID]float64
}

// WritesAllowed says whether the store takes writes of this placer. While it
// does not, the keeper goes on with the orders that the record calls for.
type WritesAllowed struct {
	Allowed bool
}

// PredecessorEnded says that no order of an earlier placer has been sent since
// At.
type PredecessorEnded struct {
	At Instant
}

func (Tick) event()             {}
func (TableLoaded) event()      {}
func (WriteSucceeded) event()   {}
func (WriteFailed) event()      {}
func (CatalogUpdated) event()   {}
func (OrderCompleted) event()   {}
func (LoadReported) event()     {}
func (WritesAllowed) event()    {}
func (PredecessorEnded) event() {}

// Result is what became of an order.
type Result int

const (
	// ResultAccepted means that the server carried the order out.
	ResultAccepted Result = iota + 1
	// ResultNoAnswer means that the order may have arrived, until its
	// connection was closed.
	ResultNoAnswer
	// ResultNotSent means that the server could not be reached, so that no byte
	// of the order left.
	ResultNotSent
	// ResultNotTried means that this host could not send the order, which says
	// nothing of the server.
	ResultNotTried
	// ResultSuperseded means that the server has seen a higher token.
	ResultSuperseded
	// ResultMisdirected means that another run or server has the address.
	ResultMisdirected
	// ResultRejected means that the server did not understand the order.
	ResultRejected
)

// String implements fmt.Stringer.
func (r Result) String() string {
	switch r {
	case ResultAccepted:
		return "accepted"
	case ResultNoAnswer:
		return "no_answer"
	case ResultNotSent:
		return "not_sent"
	case ResultNotTried:
		return "not_tried"
	case ResultSuperseded:
		return "superseded"
	case ResultMisdirected:
		return "elsewhere"
	default:
		return "rejected"
	}
}

// Order is a grant or a release.
type Order struct {
	KeyRange KeyRange
	Token    Token
	To       ServerInstance
	// Release says that the order takes keys back.
	Release bool
	// Hold and Handover belong to a grant.
	Hold     time.Duration
	Handover string
}

// Action is something that the surrounding program has to do.
type Action interface{ action() }

// LoadTable asks for the recorded table. Answer: [TableLoaded].
type LoadTable struct{}

// WriteTable asks for a write that takes effect only if the record is at Revision.
// Answer: [WriteSucceeded] or [WriteFailed].
type WriteTable struct {
	Table    *Table
	Revision StoreRevision
	// Moves explains the changes.
	Moves []Move
}

// SendOrder asks for an order to a backend server. Answer: [OrderCompleted].
type SendOrder struct {
	Order Order
}

func (LoadTable) action()  {}
func (WriteTable) action() {}
func (SendOrder) action()  {}

// Reason says why a range changes its owner.
type Reason string

// Reasons of a [Move].
const (
	ReasonFirstOwner         Reason = "first_owner"
	ReasonOwnerDraining      Reason = "owner_draining"
	ReasonOwnerRemoved       Reason = "owner_gone"
	ReasonOwnerUnresponsive  Reason = "owner_silent"
	ReasonOwnerRestarted     Reason = "owner_restarted"
	ReasonLoadBalancing      Reason = "load"
	ReasonFormerOwnerCleared Reason = "former_owner_cleared"
	ReasonTokenSuperseded    Reason = "token_superseded"
)

// Move explains one change of a table.
type Move struct {
	KeyRange KeyRange
	From     fairway.ServerID
	To       fairway.ServerID
	Token    Token
	Reason   Reason
}
