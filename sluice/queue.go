package sluice

import (
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// maxOwnerWait is how long a request may wait for its key to get a new
	// owner, at least. A planned handover takes as long as the requests in flight, which
	// is ownerWaitLatencies times the mean latency.
	maxOwnerWait       = 700 * time.Millisecond
	ownerWaitLatencies = 2
	// noOwnerRetryAfter is the retry delay for a key whose owner has left and
	// whose next owner has not been published within ownerGrace.
	noOwnerRetryAfter = time.Second
	// noServerRetryAfter is the retry delay for a service without a server.
	noServerRetryAfter = time.Second
	// minRetryAfter prevents callers from retrying before anything has changed.
	minRetryAfter = 50 * time.Millisecond
)

// requiredServer returns the only server that can answer a request, "none" for
// a key without an owner, or the empty id if any server can answer.
func (c *Controller) requiredServer(now mooring.Instant, r *Request) fairway.ServerID {
	if r.Key == nil {
		return ""
	}
	if server := c.ownerServer(now, *r.Key); server != nil {
		return server.endpoint.ID
	}
	return "none"
}

// ahead returns the waiting requests that are served before r.
func (c *Controller) ahead(now mooring.Instant, r *Request) backlog {
	required, before := c.requiredServer(now, r), backlog{}
	for _, other := range c.waiting {
		if c.requiredServer(now, other) == required && c.compare(now, other, r) <= 0 {
			before = c.plus(before, other)
		}
	}
	return before
}

// compare orders the queue by priority, then requests that can still be
// answered on time before the others, then by soft deadline.
func (c *Controller) compare(now mooring.Instant, a, b *Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	lateA, lateB := c.late(now, a), c.late(now, b)
	switch {
	case lateA && !lateB:
		return 1
	case lateB && !lateA:
		return -1
	case a.SoftDeadline < b.SoftDeadline:
		return -1
	case a.SoftDeadline > b.SoftDeadline:
		return 1
	default:
		return 0
	}
}

// late reports whether a response to r would miss the soft deadline even if r
// were sent now.
func (c *Controller) late(now mooring.Instant, r *Request) bool {
	return now.Add(c.quick(r)) > r.SoftDeadline
}

func (c *Controller) insert(now mooring.Instant, r *Request) {
	i, _ := slices.BinarySearchFunc(c.waiting, r, func(a, b *Request) int {
		if c.compare(now, a, b) <= 0 {
			return -1
		}
		return 1
	})
	c.waiting = slices.Insert(c.waiting, i, r)
}

// refuseNew decides whether a new request is refused: if it is expected to miss
// its soft deadline or, if that cannot be met anyway, its deadline.
func (c *Controller) refuseNew(now mooring.Instant, r *Request, ahead backlog) (Refuse, bool) {
	limit := r.SoftDeadline
	if c.late(now, r) {
		limit = r.Deadline
	}
	return c.refusal(now, r, ahead, limit)
}

// refuseWaiting decides whether a waiting request is refused: only if it is
// expected to miss its deadline.
func (c *Controller) refuseWaiting(now mooring.Instant, r *Request, ahead backlog) (Refuse, bool) {
	return c.refusal(now, r, ahead, r.Deadline)
}

// refusal returns the refusal of r if its response is expected after limit.
func (c *Controller) refusal(now mooring.Instant, r *Request, ahead backlog, limit mooring.Instant) (Refuse, bool) {
	if c.allEvacuated {
		return Refuse{Reason: ReasonEvacuated, RetryAfter: jitter(noServerRetryAfter, r.ID), Ahead: ahead.requests}, true
	}
	wait, reason := c.expectedWait(now, r, ahead)
	limit, took := c.relevantLimit(r, wait, limit)
	end := now.Add(wait + took)
	if end <= limit {
		return Refuse{}, false
	}
	if reason == ReasonOverload && now.Add(c.mean(r)) > r.Deadline {
		reason = ReasonTooLate
	}
	retryAfter := max(end.Sub(limit), minRetryAfter)
	if reason == ReasonNoOwner {
		// The wait for an owner does not depend on the deadline of the request.
		retryAfter = wait
	}
	retryAfter = jitter(max(retryAfter, c.slotWait(now, r)), r.ID)
	if reason == ReasonClosed {
		retryAfter = spreadClosed(max(wait, minRetryAfter), r.ID)
	}
	refusal := Refuse{Reason: reason, RetryAfter: retryAfter, Ahead: ahead.requests}
	if r.Key != nil {
		if server := c.ownerServer(now, *r.Key); server != nil {
			refusal.Server = server.endpoint.ID
		}
	}
	return refusal, true
}

// slotWait returns the time until a slot is free that nobody has, if r can only go to a
// server with a limit.
func (c *Controller) slotWait(now mooring.Instant, r *Request) time.Duration {
	if r.Key == nil {
		return 0
	}
	server := c.ownerServer(now, *r.Key)
	if server == nil || server.limit == nil {
		return 0
	}
	return server.limit.next.Sub(now)
}

// expectedWait estimates how long r waits for a server. The reason is the one
// for a refusal if that is too long.
func (c *Controller) expectedWait(now mooring.Instant, r *Request, ahead backlog) (time.Duration, Reason) {
	if r.Key != nil {
		return c.expectedOwnerWait(now, *r.Key, ahead)
	}
	servers := c.roomFor(now, r)
	switch {
	case servers.rate > 0:
		return time.Duration((ahead.weighted + 1) / servers.rate * float64(time.Second)), ReasonOverload
	case servers.suspected:
		return max(servers.resumes, c.mean(r)), ReasonSuspected
	case servers.opens > 0:
		return closedWait(servers.opens, ahead.weighted, servers.closedRate), ReasonClosed
	default:
		return noServerRetryAfter, ReasonNoServer
	}
}

func (c *Controller) expectedOwnerWait(now mooring.Instant, key mooring.Key, ahead backlog) (time.Duration, Reason) {
	server := c.ownerServer(now, key)
	if server == nil {
		_, since, ok := c.cfg.Owners.Owner(key)
		switch {
		case ok:
			return noOwnerRetryAfter, ReasonNoOwner
		case now.Sub(since) < c.ownerWait():
			return 0, ReasonNoOwner
		default:
			return max(since.Add(c.cfg.ReassignmentDelay).Sub(now), maxOwnerWait), ReasonNoOwner
		}
	}
	wait := time.Duration((ahead.weighted + 1) / c.windowRate(now, server) * float64(time.Second))
	if server.limit != nil {
		wait = max(wait, server.limit.wait(now, ahead.requests))
	}
	closed := server.notice.ClosedFor(now)
	switch {
	case closed > 0:
		return wait + max(closed, server.window.suspectedUntil.Sub(now)), ReasonClosed
	case server.window.suspected(now):
		return wait + max(server.window.suspectedUntil.Sub(now), 0), ReasonSuspected
	default:
		return wait, ReasonOverload
	}
}

// ownerWait returns how long a handover of keys may take. The requests in flight at the
// former owner are of any route, so the slowest one counts.
func (c *Controller) ownerWait() time.Duration {
	mean := c.meanLatency
	if c.expected.byRoute() {
		mean = max(mean, c.expected.routes.slowest())
	}
	return max(maxOwnerWait, ownerWaitLatencies*mean)
}

// rate returns the number of requests per second from this host that a server is
// expected to answer, of its limit the part of one host.
func (c *Controller) rate(now mooring.Instant, server *serverState) float64 {
	rate := c.windowRate(now, server)
	if server.limit != nil {
		rate = min(rate, float64(max(server.limit.rate, minLimitRate))/float64(max(c.hosts, 1)))
	}
	return rate
}

// windowRate returns the number of requests per second from this host that the window of a
// server allows.
func (c *Controller) windowRate(now mooring.Instant, server *serverState) float64 {
	if server.coordinated != nil {
		// What exceeds the slots waits at the server.
		return min(server.window.size, float64(server.slots())) / max(server.coordinated.paceAt(now, server.told)*c.meanLatency.Seconds(), time.Millisecond.Seconds())
	}
	return server.window.size / max(c.latencyAt(now, server).Seconds(), time.Millisecond.Seconds())
}

// jitter lengthens a delay by up to a half, depending on a hash of the request
// id, so that callers that were refused together do not retry together.
func jitter(wait time.Duration, id RequestID) time.Duration {
	const steps = 64
	return wait + wait/2*time.Duration(uint64(id)*2654435761%steps)/steps
}
