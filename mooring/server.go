package mooring

import (
	"slices"
	"sort"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// clockDrift is the fraction by which a server's clock may run slow.
	clockDrift = 0.02
	// suspectAfterFailures is the number of consecutive failed orders after which
	// a server is suspected to have failed. A single one may be lost by chance.
	suspectAfterFailures = 2
	// unresponsiveAfter is how long a server may be suspected before its keys are
	// reassigned. By then the entry hosts would have reported any responses.
	unresponsiveAfter = 1600 * time.Millisecond
	// maxReportDelay is the time from a response until an entry host reports it.
	maxReportDelay = 600 * time.Millisecond
	// orderRetryDelay is the delay before a failed order is retried, a few round
	// trips.
	orderRetryDelay = 100 * time.Millisecond
	// lostPathRetryDelay is the same while the path to the servers is lost.
	lostPathRetryDelay = 250 * time.Millisecond
	// maxOrdersPerServer bounds the orders in flight to one server, each of which
	// uses a connection. A release takes until the server's work on the keys is
	// finished.
	maxOrdersPerServer = 3
	// avoidTime is how long an unreachable server gets no new keys. It grows
	// with the number of failures.
	avoidTime = 3 * time.Second
	// maxAvoidTime bounds that time for a server that fails repeatedly.
	maxAvoidTime = 15 * time.Second
)

// server is the state of a server instance as seen by the assigner.
type server struct {
	// lastGrant is the latest time at which a grant of this placer may have
	// arrived.
	lastGrant Instant
	// inFlight counts the orders in flight, and grants has the grants among them.
	inFlight int
	grants   []Order
	// failures counts consecutive failed orders. It reached suspectAfterFailures
	// at suspectedAt. If unanswered is set, the last one may have arrived.
	failures    int
	suspectedAt Instant
	unanswered  bool
	// retryAt is when the next order may be sent after a failed one.
	retryAt Instant
	// avoidUntil is until when the server gets no new keys after failures.
	avoidUntil Instant
}

// isGranting reports whether a grant that is older than an assignment is in flight for
// any of its keys.
func (s *server) isGranting(r *Assignment) bool {
	return slices.ContainsFunc(s.grants, func(o Order) bool { return o.precedes(r) })
}

// canSend reports whether another order may be sent to the server.
func (s *server) canSend(now Instant) bool {
	return s.inFlight < maxOrdersPerServer && now >= s.retryAt
}

// suspected reports whether the server is suspected to have failed.
func (s *server) suspected() bool {
	return s.failures >= suspectAfterFailures
}

// canGrant reports whether a grant may be sent. An unanswered grant extends the
// time until the server's keys can be reassigned. Hence a suspected server that
// did not answer gets none until it has answered a request or avoidUntil has
// passed.
func (s *server) canGrant(now Instant) bool {
	return s.canSend(now) && (!s.suspected() || !s.unanswered || now >= s.avoidUntil)
}

// proofOf returns the proof that a former owner holds no keys of an assignment,
// or an empty one if it may hold some.
func (a *Assigner) proofOf(r *Assignment, instance ServerInstance) Proof {
	if proof := a.stateOf(r).cleared[instance]; proof != "" {
		return proof
	}
	if proof := a.proofOfEnd(instance); proof != "" {
		return proof
	}
	if s := a.server(instance); len(s.grants) == 0 && a.now.Sub(a.lastGrant(s)) > a.maxHold() {
		return ProofHoldExpired
	}
	return ""
}

// maxHold returns the longest time that a server can hold keys after a grant.
func (a *Assigner) maxHold() time.Duration {
	return time.Duration(float64(a.cfg.Timing.Hold)/(1-clockDrift)) + a.cfg.Timing.HoldMargin
}

// proofOfEnd returns the proof that nothing at an instance's address can hold what
// the instance was granted: a later incarnation is registered at another address,
// or another server that started later at the same one. A later incarnation at the
// same address is no proof, since orders do not name the incarnation, and it may have
// executed those that were meant for the earlier one.
func (a *Assigner) proofOfEnd(instance ServerInstance) Proof {
	if e, ok := a.catalog.Get(instance.Server); ok && e.Incarnation > instance.Incarnation && e.Address != instance.Address {
		return ProofRestarted
	}
	for _, e := range a.catalog.All() {
		if e.Address == instance.Address && e.ID != instance.Server && e.Incarnation > instance.Incarnation {
			return ProofAddressTaken
		}
	}
	return ""
}

// ineligibleReason returns why a server instance must not own keys, or an empty
// reason.
func (a *Assigner) ineligibleReason(instance ServerInstance) Reason {
	e, ok := a.catalog.Get(instance.Server)
	switch {
	case !ok || e.Service != a.cfg.Service:
		return ReasonOwnerRemoved
	case e.Incarnation != instance.Incarnation || e.Address != instance.Address:
		return ReasonOwnerRestarted
	case e.Draining:
		return ReasonOwnerDraining
	case a.unresponsive(a.server(instance)):
		return ReasonOwnerUnresponsive
	case e.Evacuated:
		return ReasonOwnerEvacuated
	default:
		return ""
	}
}

// keepsKeys reports whether the grants of an owner are renewed. Those of an evacuated one
// are until its keys are assigned to another server, which is not possible while the store
// is out or every server is evacuated.
func (a *Assigner) keepsKeys(owner ServerInstance) bool {
	reason := a.ineligibleReason(owner)
	return reason == "" || reason == ReasonOwnerEvacuated
}

// unresponsive reports whether a server has been suspected for too long. It is
// eligible again after avoidUntil.
func (a *Assigner) unresponsive(s *server) bool {
	return s.suspected() && a.now.Sub(s.suspectedAt) > unresponsiveAfter && a.now < s.avoidUntil
}

// clearSuspicion resets suspected servers that have answered requests since
// they became suspected, unless they are unresponsive already. The responses in
// a report are at most its interval and maxReportDelay old.
func (a *Assigner) clearSuspicion(e LoadReported) {
	for instance, s := range a.servers {
		if s.suspected() && e.Responsive[instance.Server] && a.now.Sub(s.suspectedAt) > e.Interval+maxReportDelay && !a.unresponsive(s) {
			s.failures = 0
		}
	}
}

// clearFailures forgets all failed orders.
func (a *Assigner) clearFailures() {
	for _, s := range a.servers {
		s.failures, s.unanswered, s.avoidUntil = 0, false, 0
	}
}

// candidates returns the servers that may get new keys, ordered by id.
func (a *Assigner) candidates() []fairway.Endpoint {
	var found []fairway.Endpoint
	for _, e := range a.catalog.ByService(a.cfg.Service) {
		instance := instanceOf(e)
		if a.ineligibleReason(instance) == "" && a.now >= a.server(instance).avoidUntil {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

func instanceOf(e fairway.Endpoint) ServerInstance {
	return ServerInstance{Server: e.ID, Incarnation: e.Incarnation, Address: e.Address}
}

// pruneServers deletes the state of servers that are no longer referred to.
func (a *Assigner) pruneServers() {
	if len(a.servers) < 2*(len(a.catalog.ByService(a.cfg.Service))+len(a.recorded.Assignments)+1) {
		return
	}
	used := make(map[ServerInstance]bool)
	for _, t := range []*Table{a.recorded, a.pending} {
		if t == nil {
			continue
		}
		for i := range t.Assignments {
			used[t.Assignments[i].Owner] = true
			for _, instance := range t.Assignments[i].FormerOwners {
				used[instance] = true
			}
		}
	}
	for _, e := range a.catalog.ByService(a.cfg.Service) {
		used[instanceOf(e)] = true
	}
	for instance, s := range a.servers {
		// An instance that was granted keys may be listed again while it still
		// holds them, so its last grant is kept until the hold has expired.
		if !used[instance] && s.inFlight == 0 && a.now.Sub(a.lastGrant(s)) > a.maxHold() {
			delete(a.servers, instance)
		}
	}
}
