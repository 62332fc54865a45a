package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

// slotTTL is how long after its time a slot may be used.
const slotTTL = 300 * time.Millisecond

// serverLimit is the limit of a server, and the slots that this host may use.
type serverLimit struct {
	rate Rate
	// slots has when each slot may be used, in this order.
	slots []mooring.Instant
	// asked is the number of slots that have been asked for without an answer yet.
	asked int
	// next is when the next slot is free that nobody has, as far as it is known.
	next mooring.Instant
	// givenAt is when slots were last given out to this host.
	givenAt mooring.Instant
}

// hasSlot reports whether a request may be sent now. Slots that are too old are dropped.
func (l *serverLimit) hasSlot(now mooring.Instant) bool {
	for len(l.slots) > 0 && now.Sub(l.slots[0]) > slotTTL {
		l.slots = l.slots[1:]
	}
	return len(l.slots) > 0 && l.slots[0] <= now
}

func (l *serverLimit) useSlot() {
	l.slots = l.slots[1:]
}

// wait returns the expected time until a request may be sent for which some others
// wait, too.
func (l *serverLimit) wait(now mooring.Instant, ahead int) time.Duration {
	if l.hasSlot(now); ahead < len(l.slots) {
		return max(l.slots[ahead].Sub(now), 0)
	}
	spacing := float64(time.Second) / float64(max(l.rate, minLimitRate))
	return max(l.next.Sub(now), 0) + time.Duration(float64(ahead-len(l.slots))*spacing)
}

// SlotRequest asks for slots of a server.
type SlotRequest struct {
	Server ServerInstance
	// Limit is the lowest rate that holds for the server.
	Limit Rate
	// Cold is the rate for a cold server, or 0 if the server is not cold.
	Cold  Rate
	Slots int
}

// SetLimit sets the limit of a server instance, or none if limited is false.
func (c *Controller) SetLimit(server ServerInstance, limit Rate, limited bool) {
	if !limited {
		delete(c.limits, server)
	} else {
		c.limits[server] = limit
	}
	if s := c.servers[server.Server]; s != nil && ServerInstanceOf(s.endpoint) == server {
		c.applyLimit(s)
	}
}

// applyLimit sets the known limit of a server's instance.
func (c *Controller) applyLimit(s *serverState) {
	limit, limited := c.limits[ServerInstanceOf(s.endpoint)]
	cold, isCold := c.cold[ServerInstanceOf(s.endpoint)]
	if isCold && (!limited || cold.rate < limit) {
		limit = cold.rate
	}
	switch {
	case !limited && !isCold:
		s.limit = nil
	case s.limit != nil:
		s.limit.rate = limit
	default:
		s.limit = &serverLimit{rate: limit}
	}
}

// Limited reports whether any server has a limit.
func (c *Controller) Limited() bool {
	return len(c.limits) > 0 || len(c.cold) > 0
}

// SlotRequests returns the slots to ask for now: one for each request that waits for a
// limited server, and now and then one for a server that no request requires.
func (c *Controller) SlotRequests(now mooring.Instant) []SlotRequest {
	c.endCold(now)
	waiting := make(map[*serverState]int)
	for _, r := range c.waiting {
		if r.Key == nil {
			continue
		}
		if server := c.ownerServer(now, *r.Key); server != nil && server.limit != nil {
			waiting[server]++
		}
	}
	var requests []SlotRequest
	for _, server := range c.ranked {
		l := server.limit
		if l == nil || server.notice.ClosedFor(now) > 0 || server.leaving && waiting[server] == 0 {
			continue
		}
		l.hasSlot(now)
		n := waiting[server] - len(l.slots) - l.asked
		if c.cfg.Owners == nil && l.asked == 0 && len(l.slots) == 0 && now.Sub(l.givenAt) >= c.slotInterval(l) {
			n = 1
		}
		if n <= 0 || l.next.Sub(now) > maxSlotWait {
			continue
		}
		l.asked += n
		instance := ServerInstanceOf(server.endpoint)
		requests = append(requests, SlotRequest{Server: instance, Limit: l.rate, Cold: c.cold[instance].rate, Slots: n})
	}
	return requests
}

// slotInterval returns the time between two slots of a server that any request may use,
// for this host's part.
func (c *Controller) slotInterval(l *serverLimit) time.Duration {
	return time.Duration(float64(max(c.hosts, 1)) / float64(max(l.rate, minLimitRate)) * float64(time.Second))
}

// AddSlots adds the slots that were given out for a request, and returns the decisions on
// waiting requests that follow.
func (c *Controller) AddSlots(now mooring.Instant, r SlotRequest, slots Slots) []Resolution {
	server := c.servers[r.Server.Server]
	if server == nil || server.limit == nil || ServerInstanceOf(server.endpoint) != r.Server {
		return nil
	}
	l := server.limit
	l.asked = max(l.asked-r.Slots, 0)
	if len(slots.Waits) > 0 {
		l.givenAt = now
	}
	for _, wait := range slots.Waits {
		l.slots = append(l.slots, now.Add(wait))
	}
	l.next = now.Add(slots.Next)
	return c.dispatchWaiting(now)
}
