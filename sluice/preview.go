package sluice

import (
	"cmp"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// Candidate is a server that may answer a request, and the figures that decide on it.
type Candidate struct {
	Server fairway.ServerID
	Domain fairway.Domain
	// Room is set if the request may be sent to the server now. Of the servers with room,
	// the one with the lowest cost is selected.
	Room bool
	Cost time.Duration
	// InFlight is the number of this host's requests at the server, and Window how many
	// there may be.
	InFlight int
	Window   float64
	// Latency is the expected time of a response, and Errors the recent part of errors.
	Latency time.Duration
	Errors  float64
	// Suspected and Closed are how much longer the server gets nothing since it does not
	// respond, or since it wants nothing from this host.
	Suspected time.Duration
	Closed    time.Duration
	// Limited is set for a server that names a limit, and Overloaded for one that the
	// placer reports as such.
	Limited    bool
	Overloaded bool
	// Leaving is set for a server that drains, is not listed any more, or says that it leaves.
	Leaving bool
}

// Preview returns the decision that [Controller.Admit] would make on a request now. Nothing is
// counted and nothing waits afterwards.
func (c *Controller) Preview(now mooring.Instant, r *Request) Decision {
	_, decision := c.decide(now, r)
	return decision
}

// Candidates returns the servers that are considered for a request, at most 12: those with
// room first, by cost, and then others by the preference of this host. For a key, it is the
// owner, if there is one.
func (c *Controller) Candidates(now mooring.Instant, r *Request) []Candidate {
	if r.Key != nil {
		if server := c.ownerServer(now, *r.Key); server != nil {
			return []Candidate{c.candidate(now, server, r)}
		}
		return nil
	}
	usable := c.usableAt(now)
	staying := c.candidates(now, r, func(s *serverState) bool { return usable(s) && !s.notice.LeavingElsewhere })
	leaving := c.candidates(now, r, func(s *serverState) bool { return usable(s) && s.notice.LeavingElsewhere })
	byCost := func(a, b *serverState) int { return cmp.Compare(c.cost(now, a, r), c.cost(now, b, r)) }
	slices.SortStableFunc(staying, byCost)
	slices.SortStableFunc(leaving, byCost)
	servers := slices.Concat(staying, leaving)
	for _, s := range c.ranked {
		if usable(s) && !s.hasRoom(now) && !r.excludes(s.endpoint.ID) {
			servers = append(servers, s)
		}
	}
	var found []Candidate
	for _, s := range servers[:min(len(servers), maxCandidates)] {
		found = append(found, c.candidate(now, s, r))
	}
	return found
}

func (c *Controller) candidate(now mooring.Instant, s *serverState, r *Request) Candidate {
	suspected := time.Duration(0)
	if s.window.suspected(now) {
		suspected = max(s.window.suspectedUntil.Sub(now), 0)
	}
	return Candidate{
		Server: s.endpoint.ID, Domain: s.endpoint.Domain, Room: s.hasRoom(now), Cost: time.Duration(c.cost(now, s, r)),
		InFlight: s.window.inFlight, Window: s.window.size, Latency: s.window.expectedLatency(now, c.meanLatency),
		Errors: s.window.recentErrorRatio(now), Suspected: suspected, Closed: s.notice.ClosedFor(now),
		Limited: s.limit != nil, Overloaded: s.overloaded, Leaving: s.leaving || s.notice.Leaving(),
	}
}
