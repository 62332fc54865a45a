package sluice

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// remoteCostBytes is the size of a response at which the cost of a server in
	// another failure domain doubles. Traffic between domains is paid by the
	// byte.
	remoteCostBytes = 20_000
	// coldStartFactor is how much slower a server is expected to be right after
	// its start.
	coldStartFactor = 2
	// errorCostFactor is the additional cost, as a multiple, of a server that
	// answers only with errors. Such a server is tried again as its errors age.
	errorCostFactor = 20.0
	// maxCandidates is the number of servers with free capacity among which the
	// one with the lowest cost is selected. If every host chose among all
	// servers, all hosts would select the same one and would keep connections
	// to every server.
	maxCandidates = 12
)

// rankServers sorts the servers by the preference of this host, which is
// determined by rendezvous hashing: each server is preferred by about as many
// hosts as any other, and a change to the set of servers changes few
// preferences. Servers of the own failure domain and of other domains alternate
// until either kind runs out.
func (c *Controller) rankServers() {
	slices.SortFunc(c.ranked, func(a, b *serverState) int { return cmp.Compare(b.weight, a.weight) })
	var near, far []*serverState
	for _, server := range c.ranked {
		if server.endpoint.Domain == c.cfg.Domain {
			near = append(near, server)
		} else {
			far = append(far, server)
		}
	}
	c.ranked = c.ranked[:0]
	for i := 0; i < max(len(near), len(far)); i++ {
		if i < len(near) {
			c.ranked = append(c.ranked, near[i])
		}
		if i < len(far) {
			c.ranked = append(c.ranked, far[i])
		}
	}
}

// weight returns the rendezvous hash of this host and a server. A host prefers
// servers with a higher weight.
func (c *Controller) weight(id fairway.ServerID) uint64 {
	return xxhash.Sum64String(c.cfg.Host + "/" + string(id))
}

// updateUseUnconfirmed decides whether unconfirmed servers get requests. If
// most servers have not been registered since a store outage, the registrations
// are still incomplete and they are used. If few are missing, this host was cut
// off and those servers have left.
func (c *Controller) updateUseUnconfirmed() {
	registered, unconfirmed := 0, 0
	for _, server := range c.ranked {
		switch {
		case server.leaving, server.endpoint.Evacuated:
		case server.unconfirmed:
			unconfirmed++
		default:
			registered++
		}
	}
	c.useUnconfirmed = unconfirmed > registered
}

// pick returns the server with the lowest cost among the preferred ones with
// free capacity. A request with a key can only go to the owner of the key.
func (c *Controller) pick(now mooring.Instant, r *Request) (*serverState, bool) {
	if r.Key != nil {
		server := c.ownerServer(now, *r.Key)
		return server, server != nil && c.hasRoomFor(now, server, r, false)
	}
	usable := c.usableAt(now)
	staying := func(s *serverState) bool { return usable(s) && !s.notice.LeavingElsewhere }
	if server, ok := c.cheapest(now, r, staying); ok {
		return server, true
	}
	return c.cheapest(now, r, usable)
}

// cheapest returns the server with the lowest cost among the preferred ones with free
// capacity for which usable returns true.
func (c *Controller) cheapest(now mooring.Instant, r *Request, usable func(*serverState) bool) (*serverState, bool) {
	if c.cfg.Coordinated {
		return c.soonest(now, r, usable)
	}
	var best *serverState
	bestCost := math.Inf(1)
	for _, server := range c.candidates(now, r, usable) {
		if cost := c.cost(now, server, r); cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best, best != nil
}

// candidates returns the preferred servers with free capacity for which usable returns true.
func (c *Controller) candidates(now mooring.Instant, r *Request, usable func(*serverState) bool) []*serverState {
	var found []*serverState
	for _, server := range c.ranked {
		if len(found) == maxCandidates {
			break
		}
		if !usable(server) || !server.hasRoom(now) || r.excludes(server.endpoint.ID) {
			continue
		}
		if found == nil {
			// Most calls for waiting requests find none, and need no memory.
			found = make([]*serverState, 0, maxCandidates)
		}
		found = append(found, server)
	}
	return found
}

// usableAt returns which servers may get requests that any server can answer. Those that say
// that they leave get some for leavingGrace if there are no others.
func (c *Controller) usableAt(now mooring.Instant) func(*serverState) bool {
	listed := func(s *serverState) bool { return c.isListed(s) && !s.endpoint.Evacuated }
	staying := func(s *serverState) bool { return listed(s) && s.notice.LeavingSince == 0 }
	if slices.ContainsFunc(c.ranked, staying) {
		return staying
	}
	return func(s *serverState) bool { return listed(s) && !s.notice.excludesArrival(now) }
}

// cost estimates the time until a server answers, and raises it for recent
// errors, for a server that has just started, and for responses that would be
// transferred between failure domains.
func (c *Controller) cost(now mooring.Instant, server *serverState, r *Request) float64 {
	return c.raisedCost(now, server, r, c.responseTime(now, server, r))
}

// raisedCost raises a cost as cost does.
func (c *Controller) raisedCost(now mooring.Instant, server *serverState, r *Request, cost float64) float64 {
	cost *= 1 + errorCostFactor*server.window.recentErrorRatio(now)
	domain := c.cfg.Domain
	if c.cfg.Coordinated {
		domain = r.Domain
	}
	if server.endpoint.Domain != domain {
		cost *= 1 + r.ResponseBytes/remoteCostBytes
	}
	if server.endpoint.WarmupRemaining > 0 && server.window.latency == 0 {
		cost *= coldStartFactor
	}
	return cost
}

// OpenOwner returns the server that owns a key, unless it is closed to this host.
func (c *Controller) OpenOwner(now mooring.Instant, key mooring.Key) (fairway.ServerID, bool) {
	server := c.ownerServer(now, key)
	if server == nil || server.notice.ClosedFor(now) > 0 {
		return "", false
	}
	return server.endpoint.ID, true
}

// ownerServer returns the state of the server that owns a key, or nil.
func (c *Controller) ownerServer(now mooring.Instant, key mooring.Key) *serverState {
	owner, _, ok := c.cfg.Owners.Owner(key)
	if !ok {
		return nil
	}
	server := c.servers[owner.Server]
	if server == nil || server.endpoint.Incarnation != owner.Incarnation || server.leaving && now.Sub(server.leavingSince) > ownerGrace ||
		server.notice.excludesArrival(now) || server.endpoint.Evacuated && (c.allEvacuated || c.evacuations.Excludes(now, server.endpoint.Domain, true)) {
		return nil
	}
	return server
}

// isListed reports whether a server may get requests as far as its registration goes.
func (c *Controller) isListed(s *serverState) bool {
	return !s.leaving && (!s.unconfirmed || c.useUnconfirmed)
}
