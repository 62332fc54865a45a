package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// leavingGrace is how long after a response has said that its server leaves this host
	// sends it requests for the keys that it owns. The platform allows 2 s. The placer
	// learns of it within a report, and then moves the keys.
	leavingGrace = 1700 * time.Millisecond
	// closureMargin is added to the time for which a server is closed, for clocks that
	// run at different rates.
	closureMargin = 20 * time.Millisecond
	// maxClosedSpread bounds the time over which callers come back that were refused
	// because of closed servers.
	maxClosedSpread = 2 * time.Second
)

// Notice is what a host knows of a server instance besides its registration, from the
// responses of the instance. The zero value stands for nothing.
type Notice struct {
	// LeavingSince is when a response that this host passes on first said that the
	// instance leaves, or 0.
	LeavingSince mooring.Instant
	// LeavingElsewhere is set if another host has said so. Such an instance gets requests
	// if no other has room.
	LeavingElsewhere bool
	// ClosedUntil is until when the instance takes no requests from this host.
	ClosedUntil mooring.Instant
}

// Left returns the notice after a response that says that the instance leaves.
func (n Notice) Left(at mooring.Instant) Notice {
	if n.LeavingSince == 0 {
		n.LeavingSince = at
	}
	return n
}

// Closed returns the notice after a response that closes the instance until an instant. A
// later response with less time does not shorten what an earlier one has named.
func (n Notice) Closed(until mooring.Instant) Notice {
	n.ClosedUntil = max(n.ClosedUntil, until.Add(closureMargin))
	return n
}

// Leaving reports whether any host has been told that the instance leaves.
func (n Notice) Leaving() bool {
	return n.LeavingSince != 0 || n.LeavingElsewhere
}

// ClosedFor returns how long the instance takes no requests.
func (n Notice) ClosedFor(now mooring.Instant) time.Duration {
	return max(n.ClosedUntil.Sub(now), 0)
}

// Excludes reports whether a request that arrived at an instant must not be sent to the
// instance now.
func (n Notice) Excludes(now, arrived mooring.Instant) bool {
	return n.ClosedFor(now) > 0 || n.excludesArrival(arrived)
}

func (n Notice) excludesArrival(arrived mooring.Instant) bool {
	return n.LeavingSince != 0 && arrived.Sub(n.LeavingSince) > leavingGrace
}

// SetNotice sets what is known of a server instance.
func (c *Controller) SetNotice(server ServerInstance, n Notice) {
	if n == (Notice{}) {
		delete(c.notices, server)
	} else {
		c.notices[server] = n
	}
	if s := c.servers[server.Server]; s != nil && ServerInstanceOf(s.endpoint) == server {
		s.notice = n
	}
}

// closedWait estimates how long a request waits whose servers are all closed. They open
// after a time, and then answer at a rate.
func closedWait(opens time.Duration, ahead, rate float64) time.Duration {
	return opens + time.Duration(ahead/rate*float64(time.Second))
}

// spreadClosed lengthens a delay so that callers who were refused together come back one
// after the other.
func spreadClosed(wait time.Duration, id RequestID) time.Duration {
	spread := 2 * min(wait/2, maxClosedSpread)
	return wait + jitter(spread, id) - spread
}
