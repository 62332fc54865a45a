package sluice

import (
	"math"

	"hornbeamwinch.example/mooring"
)

// maxPassed is the number of grants in a row at a server that more urgent requests get while
// a less urgent one waits: the least urgent ones get one in four.
const maxPassed = 3

const (
	// usualPart is the part of the servers, one in so many, to which a host usually sends, and
	// unusualFactor the cost of another one: it is chosen if the usual ones are busy. With 88
	// hosts and 118 servers a host has a request for each server in 20 s, and servers close
	// unused connections after 10 s.
	usualPart     = 3
	unusualFactor = 1.5
	// minUsualOf is the least number of servers of which a host has usual ones: of fewer, some
	// would be usual for no host.
	minUsualOf = 12
)

// SetMostUrgent sets the priority of the most urgent requests of the service. A coordinating
// controller keeps one more of them in flight at a server than the server has slots.
func (c *Controller) SetMostUrgent(priority int) {
	c.mostUrgent = priority
}

// slots returns the number of requests that the server runs at a time.
func (s *serverState) slots() int {
	if s.endpoint.Slots == 0 {
		return minLimit
	}
	return s.endpoint.Slots
}

// hasRoomFor reports whether a request may be sent to a server. If it is the turn of the
// less urgent requests there, theirs is as good as an urgent one.
func (c *Controller) hasRoomFor(now mooring.Instant, server *serverState, r *Request, turn bool) bool {
	if !server.hasRoom(now) {
		return false
	}
	if !c.cfg.Coordinated {
		return true
	}
	return turn || r.Priority <= c.mostUrgent || server.window.inFlight < server.slots()
}

// exceedsPreferred reports whether one more request takes a server over its preferred rate.
func (c *Controller) exceedsPreferred(now mooring.Instant, server *serverState) bool {
	if c.cfg.PreferredRate == nil {
		return false
	}
	perSecond, preferred := c.cfg.PreferredRate(ServerInstanceOf(server.endpoint))
	return preferred && !server.coordinated.withinRate(now, perSecond)
}

// soonest returns the server with room at which a request is expected to end first. Servers
// over their preferred rate come after all others.
func (c *Controller) soonest(now mooring.Instant, r *Request, usable func(*serverState) bool) (*serverState, bool) {
	var best *serverState
	bestCost, bestExceeds := math.Inf(1), true
	for _, server := range c.ranked {
		if !usable(server) || r.excludes(server.endpoint.ID) || !c.hasRoomFor(now, server, r, false) {
			continue
		}
		exceeds := c.exceedsPreferred(now, server)
		if exceeds && !bestExceeds {
			continue
		}
		cost := c.endCost(now, server, r)
		if bestExceeds && !exceeds {
			best, bestCost, bestExceeds = server, cost, false
			continue
		}
		if cost < bestCost || cost == bestCost && server.coordinated.grantedAt < best.coordinated.grantedAt {
			best, bestCost = server, cost
		}
	}
	return best, best != nil
}

// endCost estimates the time until the end of a request, with the same additions as cost.
func (c *Controller) endCost(now mooring.Instant, server *serverState, r *Request) float64 {
	s := server.coordinated
	pace := s.paceAt(now, server.told)
	cost := float64(s.backlog(now, server.slots(), pace)) + pace*float64(c.workTime(r))
	if r.Key == nil && len(c.ranked) >= minUsualOf && !server.usualFor(r.From) {
		cost *= unusualFactor
	}
	return c.raisedCost(now, server, r, cost)
}

// usualFor reports whether a server is one of those that a host usually sends to: one in
// usualPart of all, which differ from host to host.
func (s *serverState) usualFor(host uint64) bool {
	const golden = 0x9E3779B97F4A7C15
	return host == 0 || (host^s.weight)*golden>>32%usualPart == 0
}

// grantAt admits the waiting requests for which a server has room.
func (c *Controller) grantAt(now mooring.Instant, server *serverState) []Resolution {
	var resolved []Resolution
	for len(c.waiting) > 0 && server.hasRoom(now) {
		i := c.nextAt(now, server)
		if i < 0 {
			break
		}
		r := c.waiting[i]
		c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
		resolved = append(resolved, Resolution{Request: r.ID, Decision: c.dispatch(now, server, r)})
	}
	return resolved
}

// grantWaiting admits the waiting requests for which any server has room.
func (c *Controller) grantWaiting(now mooring.Instant) []Resolution {
	var resolved []Resolution
	for _, server := range c.awaited(now) {
		resolved = append(resolved, c.grantAt(now, server)...)
	}
	return resolved
}

// awaited returns the servers that waiting requests may go to.
func (c *Controller) awaited(now mooring.Instant) []*serverState {
	if c.cfg.Owners == nil || len(c.waiting) == 0 {
		return c.ranked
	}
	var servers []*serverState
	seen := make(map[*serverState]bool)
	for _, r := range c.waiting {
		if server := c.ownerServer(now, *r.Key); server != nil && !seen[server] {
			seen[server] = true
			servers = append(servers, server)
		}
	}
	return servers
}

// nextAt returns the index of the waiting request that a server gets next, or -1.
func (c *Controller) nextAt(now mooring.Instant, server *serverState) int {
	usable := c.usableAt(now)
	if server.coordinated.passed >= maxPassed {
		if i := c.leastUrgentAt(now, server, usable); i >= 0 {
			return i
		}
	}
	if c.cfg.Owners == nil && !usable(server) {
		return -1
	}
	full := server.window.failures == 0 && server.window.inFlight >= server.slots()
	for i, r := range c.waiting {
		if full && r.Priority > c.mostUrgent {
			// So are the requests behind it.
			break
		}
		if c.mayGo(now, server, r, usable) && c.hasRoomFor(now, server, r, false) {
			return i
		}
	}
	return -1
}

// leastUrgentAt returns the index of the first of the least urgent waiting requests that may
// go to a server, if they are less urgent than others.
func (c *Controller) leastUrgentAt(now mooring.Instant, server *serverState, usable func(*serverState) bool) int {
	found := -1
	for i := len(c.waiting) - 1; i >= 0; i-- {
		r := c.waiting[i]
		if found >= 0 && r.Priority != c.waiting[found].Priority {
			break
		}
		if c.mayGo(now, server, r, usable) && c.hasRoomFor(now, server, r, true) {
			found = i
		}
	}
	return found
}

// mayGo reports whether a request may be sent to a server once that has room.
func (c *Controller) mayGo(now mooring.Instant, server *serverState, r *Request, usable func(*serverState) bool) bool {
	if r.Key != nil {
		return c.ownerServer(now, *r.Key) == server
	}
	return usable(server) && !r.excludes(server.endpoint.ID)
}

// waitsLessUrgent reports whether a less urgent request than r waits that may go to a server.
func (c *Controller) waitsLessUrgent(now mooring.Instant, server *serverState, r *Request) bool {
	for i := len(c.waiting) - 1; i >= 0 && c.waiting[i].Priority > r.Priority; i-- {
		if other := c.waiting[i]; other.Key == nil || c.ownerServer(now, *other.Key) == server {
			return true
		}
	}
	return false
}
