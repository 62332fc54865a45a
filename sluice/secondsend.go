package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// expectedUse is the part of the limit that second sends are expected to take. The
	// other half is for times at which more requests than usual are slow.
	expectedUse = 0.5
	// minSecondDelay is the shortest time from a send to the second one. Below it, the
	// work of setting up a send is no longer small against the work of the request.
	minSecondDelay = 20 * time.Millisecond
	// A second send that is held back is looked at again after this part of its delay.
	secondRecheckFraction = 0.25
)

// SecondSendReason is the reason for which no second send takes place, or not yet.
type SecondSendReason string

// The reasons of a [SecondSendLater] and a [SecondSendNever].
const (
	// SecondSendNotDue is for a response that is not later than usual.
	SecondSendNotDue SecondSendReason = "not_due"
	// SecondSendNotAllowed is for a request that must not be sent twice.
	SecondSendNotAllowed SecondSendReason = "not_allowed"
	// SecondSendSuspected is for a request that may crash servers.
	SecondSendSuspected SecondSendReason = "suspected"
	// SecondSendAttempts is for a request without attempts left.
	SecondSendAttempts SecondSendReason = "max_attempts"
	// SecondSendTooLate is for a request with less time left than half of the sends take.
	SecondSendTooLate SecondSendReason = "too_late"
	// SecondSendFewTimes is for a route with too few recent times.
	SecondSendFewTimes SecondSendReason = "few_times"
	// SecondSendNoRoom is for a service short of room.
	SecondSendNoRoom SecondSendReason = "short_of_room"
	// SecondSendNoIdleServer is for a service without a server that has idle room.
	SecondSendNoIdleServer SecondSendReason = "no_idle_server"
	// SecondSendLimit is for a limit that is used up, SecondSendRetryBudget for the
	// budget of retries.
	SecondSendLimit       SecondSendReason = "limit"
	SecondSendRetryBudget SecondSendReason = "retry_budget"
)

// SecondSendRequest describes a request with one send in progress.
type SecondSendRequest struct {
	// Repeatable is set for a request that may run twice, Keyed for one that only the
	// owner of its key may answer, and Suspected for one that may crash servers.
	Repeatable bool
	Keyed      bool
	Suspected  bool
	// Sends is the number of sends so far, of MaxAttempts.
	Sends       int
	MaxAttempts int
	// SentAt is when the send in progress began.
	SentAt   mooring.Instant
	Deadline mooring.Instant
}

// SecondSendCase is what a decision on a second send depends on.
type SecondSendCase struct {
	SecondSendRequest
	// Times has the times of the route; nil means none.
	Times *RouteTimes
	// ShortOfRoom is the result of [Controller.ShortOfRoom].
	ShortOfRoom bool
	// Budget is the limit of second sends, and Retries what remains of the budget of
	// retries.
	Budget  *SecondSendBudget
	Retries float64
}

// SecondSendDecision is the decision on a second send. The set of decisions is closed:
// [SecondSendNow], [SecondSendLater] and [SecondSendNever].
type SecondSendDecision interface{ secondSendDecision() }

// SecondSendNow allows a second send now, to a server of [Controller.AdmitSecond].
type SecondSendNow struct{}

// SecondSendLater asks for another decision at an instant.
type SecondSendLater struct {
	At     mooring.Instant
	Reason SecondSendReason
}

// SecondSendNever rules out a second send beside the send in progress.
type SecondSendNever struct {
	Reason SecondSendReason
}

func (SecondSendNow) secondSendDecision()   {}
func (SecondSendLater) secondSendDecision() {}
func (SecondSendNever) secondSendDecision() {}

// DecideSecondSend decides whether a request is sent to a second server beside the one that
// has it. The delay is the quantile of the route's times beyond which
// expectedUse of the limit of sends are. It changes nothing.
func DecideSecondSend(now mooring.Instant, c SecondSendCase) SecondSendDecision {
	switch {
	case !c.Repeatable || c.Keyed || c.Budget.share <= 0:
		return SecondSendNever{Reason: SecondSendNotAllowed}
	case c.Suspected:
		return SecondSendNever{Reason: SecondSendSuspected}
	case c.Sends >= c.MaxAttempts:
		return SecondSendNever{Reason: SecondSendAttempts}
	}
	delay, median, ok := c.delay(now)
	due := c.SentAt.Add(delay)
	switch {
	case !ok:
		return SecondSendNever{Reason: SecondSendFewTimes}
	case max(now, due).Add(median) > c.Deadline:
		return SecondSendNever{Reason: SecondSendTooLate}
	case now < due:
		return SecondSendLater{At: due, Reason: SecondSendNotDue}
	case c.ShortOfRoom:
		return c.heldBack(now, delay, SecondSendNoRoom)
	case !c.Budget.Allows(now):
		return c.heldBack(now, delay, SecondSendLimit)
	case c.Retries < 1:
		return c.heldBack(now, delay, SecondSendRetryBudget)
	default:
		return SecondSendNow{}
	}
}

// HoldBack returns the decision on a second send for which no server has idle room.
func (c SecondSendCase) HoldBack(now mooring.Instant) SecondSendDecision {
	delay, _, _ := c.delay(now)
	return c.heldBack(now, delay, SecondSendNoIdleServer)
}

func (c SecondSendCase) heldBack(now mooring.Instant, delay time.Duration, reason SecondSendReason) SecondSendDecision {
	recheck := max(time.Duration(secondRecheckFraction*float64(delay)), minSecondDelay)
	return SecondSendLater{At: now.Add(recheck), Reason: reason}
}

// delay returns the time from a send to the second one, and the median time of sends. It
// returns false if there are too few times to tell.
func (c SecondSendCase) delay(now mooring.Instant) (delay, median time.Duration, ok bool) {
	if c.Times == nil {
		return 0, 0, false
	}
	delay, ok = c.Times.Quantile(now, 1-expectedUse*c.Budget.share)
	median, _ = c.Times.Quantile(now, 0.5)
	return max(delay, minSecondDelay), median, ok
}
