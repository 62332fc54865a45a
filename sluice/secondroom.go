package sluice

import (
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// shortFraction is the part of a service's servers without room above which the
	// service is short of room. Single slow servers are what second sends are for.
	shortFraction = 0.25
	// maxLosses is the number of sends in a row that a server may lose to second sends
	// without an answer. Then it is treated as one that does not respond.
	maxLosses = 3
)

// ShortOfRoom reports whether requests wait, or more than a quarter of the servers that may
// get requests are overloaded, suspected, or leave this host less than one request at a time.
func (c *Controller) ShortOfRoom(now mooring.Instant) bool {
	if len(c.waiting) > 0 {
		return true
	}
	servers, short := 0, 0
	for _, s := range c.ranked {
		if s.leaving || s.unconfirmed {
			continue
		}
		servers++
		if !s.hasSpareWindow() || s.notice.ClosedFor(now) > 0 {
			short++
		}
	}
	return float64(short) > shortFraction*float64(servers)
}

// AdmitSecond returns the server with the lowest cost of those with idle room for a second
// send of r, which must have no key, and counts it there. The caller must call
// [Controller.Finish] or [Controller.FinishLost] afterwards.
func (c *Controller) AdmitSecond(now mooring.Instant, r *Request) (fairway.Endpoint, bool) {
	server, ok := c.cheapest(now, r, func(s *serverState) bool {
		return s.idle(now) && !c.Evacuates(now, s.endpoint.Domain, false)
	})
	if !ok {
		return fairway.Endpoint{}, false
	}
	c.dispatch(now, server, r)
	return server.endpoint, true
}

// idle reports whether the server may get a second send: it is in ordinary service, and runs
// less than this host's part of its slots. Servers that start, that name a limit or that leave
// get none.
func (s *serverState) idle(now mooring.Instant) bool {
	if s.leaving || s.unconfirmed || s.notice.Leaving() || s.notice.ClosedFor(now) > 0 || s.limit != nil || s.endpoint.WarmupRemaining > 0 {
		return false
	}
	w := s.window
	return s.hasSpareWindow() && (w.inFlight == 0 || float64(w.inFlight+1) <= w.fairShare/overcommit)
}

// hasSpareWindow reports whether the server is neither overloaded nor suspected, and its
// window allows one request at any time.
func (s *serverState) hasSpareWindow() bool {
	return !s.overloaded && s.window.failures == 0 && s.window.size >= 1
}

// FinishLost records the end of a request that was canceled after elapsed, since a second
// send was answered first. The server would have taken at least as long. One that loses
// maxLosses requests without an answer in between is suspected, as after a timeout: otherwise
// a server that never answers would get requests until the limit is used up.
func (c *Controller) FinishLost(now mooring.Instant, instance ServerInstance, elapsed time.Duration) []Resolution {
	s := c.servers[instance.Server]
	if s == nil || s.endpoint.Incarnation != instance.Incarnation {
		return nil
	}
	w := s.window
	if w.measuredAt != s.lostAt {
		s.losses = 0
	}
	s.losses++
	if s.losses >= maxLosses {
		s.losses = 0
		w.recordFailure(now)
	}
	w.recordAtLeast(now, elapsed)
	s.lostAt = w.measuredAt
	c.meanLatency += time.Duration(meanLatencyWeight * float64(max(elapsed-c.meanLatency, 0)))
	w.recordEnd(now, c.meanLatency)
	return c.dispatchWaiting(now)
}

// recordAtLeast records that a response would have taken a time or more.
func (w *window) recordAtLeast(now mooring.Instant, elapsed time.Duration) {
	if w.latency == 0 {
		w.latency = elapsed
	}
	w.latency += time.Duration(latencyWeight * float64(max(elapsed-w.latency, 0)))
	w.measuredAt = now
}
