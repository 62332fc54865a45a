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

// ahead counts the waiting requests that are served before r.
func (c *Controller) ahead(now mooring.Instant, r *Request) int {
	required, n := c.requiredServer(now, r), 0
	for _, other := range c.waiting {
		if c.requiredServer(now, other) == required && c.compare(now, other, r) <= 0 {
			n++
		}
	}
	return n
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
	return now.Add(c.meanLatency) > r.SoftDeadline
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
func (c *Controller) refuseNew(now mooring.Instant, r *Request, ahead int) (Refuse, bool) {
	limit := r.SoftDeadline
	if c.late(now, r) {
		limit = r.Deadline
	}
	return c.refusal(now, r, ahead, limit)
}

// refuseWaiting decides whether a waiting request is refused: only if it is
// expected to miss its deadline.
func (c *Controller) refuseWaiting(now mooring.Instant, r *Request, ahead int) (Refuse, bool) {
	return c.refusal(now, r, ahead, r.Deadline)
}

// refusal returns the refusal of r if its response is expected after limit.
func (c *Controller) refusal(now mooring.Instant, r *Request, ahead int, limit mooring.Instant) (Refuse, bool) {
	if c.allEvacuated {
		return Refuse{Reason: ReasonEvacuated, RetryAfter: jitter(noServerRetryAfter, r.ID), Ahead: ahead}, true
	}
	wait, reason := c.expectedWait(now, r, ahead)
	end := now.Add(wait + c.meanLatency)
	if end <= limit {
		return Refuse{}, false
	}
	if reason == ReasonOverload && now.Add(c.meanLatency) > r.Deadline {
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
	refusal := Refuse{Reason: reason, RetryAfter: retryAfter, Ahead: ahead}
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
func (c *Controller) expectedWait(now mooring.Instant, r *Request, ahead int) (time.Duration, Reason) {
	if r.Key != nil {
		return c.expectedOwnerWait(now, *r.Key, ahead)
	}
	rate, closedRate := 0.0, 0.0
	soonest, opens := time.Duration(0), time.Duration(0)
	reason := ReasonNoServer
	usable := c.usableAt(now)
	for _, server := range c.ranked {
		if !usable(server) || r.excludes(server.endpoint.ID) {
			continue
		}
		if server.window.suspected(now) {
			pause := max(server.window.suspectedUntil.Sub(now), c.meanLatency, server.notice.ClosedFor(now))
			if soonest == 0 || pause < soonest {
				soonest = pause
			}
			reason = ReasonSuspected
			continue
		}
		if closed := server.notice.ClosedFor(now); closed > 0 {
			if opens == 0 || closed < opens {
				opens = closed
			}
			closedRate += c.rate(now, server)
			continue
		}
		rate += c.rate(now, server)
	}
	switch {
	case rate > 0:
		return time.Duration(float64(ahead+1) / rate * float64(time.Second)), ReasonOverload
	case soonest > 0:
		return soonest, reason
	case opens > 0:
		return closedWait(opens, ahead, closedRate), ReasonClosed
	default:
		return noServerRetryAfter, reason
	}
}

func (c *Controller) expectedOwnerWait(now mooring.Instant, key mooring.Key, ahead int) (time.Duration, Reason) {
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
	wait := time.Duration(float64(ahead+1) / server.rate(now, c.meanLatency) * float64(time.Second))
	if server.limit != nil {
		wait = max(wait, server.limit.wait(now, ahead))
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

// ownerWait returns how long a handover of keys may take.
func (c *Controller) ownerWait() time.Duration {
	return max(maxOwnerWait, ownerWaitLatencies*c.meanLatency)
}

// rate returns the number of requests per second from this host that a server is
// expected to answer, of its limit the part of one host.
func (c *Controller) rate(now mooring.Instant, server *serverState) float64 {
	rate := server.rate(now, c.meanLatency)
	if server.limit != nil {
		rate = min(rate, float64(max(server.limit.rate, minLimitRate))/float64(max(c.hosts, 1)))
	}
	return rate
}

// rate returns the number of requests per second from this host that the window of a
// server allows.
func (s *serverState) rate(now mooring.Instant, mean time.Duration) float64 {
	return s.window.size / max(s.window.expectedLatency(now, mean).Seconds(), time.Millisecond.Seconds())
}

// jitter lengthens a delay by up to a half, depending on a hash of the request
// id, so that callers that were refused together do not retry together.
func jitter(wait time.Duration, id RequestID) time.Duration {
	const steps = 64
	return wait + wait/2*time.Duration(uint64(id)*2654435761%steps)/steps
}
