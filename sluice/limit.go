package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// minLimitRate is the rate at which a server is sent requests whose limit is lower.
	// Only a response can tell that the limit has gone.
	minLimitRate Rate = 0.4
	// limitBurst is the time whose requests may be sent to a server at once, besides one.
	limitBurst = 250 * time.Millisecond
	// maxSlotWait bounds how far ahead slots are given out, and slotTTL how long one may
	// be used.
	maxSlotWait = 500 * time.Millisecond
	slotTTL     = 300 * time.Millisecond
	// maxSlotSpacing bounds the time between two slots.
	maxSlotSpacing = time.Hour
	// maxSlots bounds the slots that are given out at a time.
	maxSlots = 256
)

// LimitEvidence is what responses of a server instance tell of the limit that it names.
// A response counts only if its request was sent after the last one that tells otherwise,
// since responses over several connections may arrive in another order. The zero value
// stands for a server that has named none.
type LimitEvidence struct {
	// Limit is the one that was last named, at NamedAt.
	Limit   Rate
	NamedAt mooring.Instant
	// FreeAt is when a response named none.
	FreeAt mooring.Instant
}

// Limited reports whether the server names a limit.
func (e LimitEvidence) Limited() bool {
	return e.NamedAt > e.FreeAt
}

// Named returns the evidence after a response that names a limit.
func (e LimitEvidence) Named(sentAt, receivedAt mooring.Instant, limit Rate) LimitEvidence {
	if sentAt < e.FreeAt || e.Limited() && limit > e.Limit && sentAt < e.NamedAt {
		return e
	}
	e.Limit, e.NamedAt = limit, max(e.NamedAt, receivedAt)
	return e
}

// Free returns the evidence after a response that names no limit.
func (e LimitEvidence) Free(sentAt, receivedAt mooring.Instant) LimitEvidence {
	if e.Limited() && sentAt >= e.NamedAt {
		e.FreeAt = receivedAt
	}
	return e
}

// Merge returns the evidence of two hosts together.
func (e LimitEvidence) Merge(other LimitEvidence) LimitEvidence {
	if other.NamedAt > e.NamedAt {
		e.Limit, e.NamedAt = other.Limit, other.NamedAt
	}
	e.FreeAt = max(e.FreeAt, other.FreeAt)
	return e
}

// LimitPool gives out the requests that limited servers take, to all hosts that ask for
// them. It is not safe for concurrent use.
type LimitPool struct {
	// next is when the next slot of each server is free.
	next map[ServerInstance]mooring.Instant
}

// NewLimitPool returns a pool that has given out nothing. Each server's first slot is as
// far in the future as two slots are apart, since another pool may have given out
// slots before.
func NewLimitPool() *LimitPool {
	return &LimitPool{next: make(map[ServerInstance]mooring.Instant)}
}

// Slots is what a [LimitPool] gives out.
type Slots struct {
	// Waits has the time until each of the slots.
	Waits []time.Duration
	// Next is the time until the next slot, which was not given out.
	Next time.Duration
}

// Take gives out up to n slots of a server that takes a rate.
func (p *LimitPool) Take(now mooring.Instant, server ServerInstance, rate Rate, n int) Slots {
	return p.TakePart(now, server, max(rate, minLimitRate), n)
}

// TakePart is like Take for a pool that has a part of a server's rate only.
func (p *LimitPool) TakePart(now mooring.Instant, server ServerInstance, rate Rate, n int) Slots {
	if rate <= 0 {
		return Slots{Next: maxSlotSpacing}
	}
	spacing := time.Duration(min(max(float64(time.Second)/float64(rate), 1), float64(maxSlotSpacing)))
	next, known := p.next[server]
	if !known {
		next = now.Add(spacing)
	}
	next = max(next, now.Add(-limitBurst))
	// A limit that has risen since must not leave the next slot far away.
	next = min(next, now.Add(maxSlotWait+spacing))
	var slots Slots
	for range min(n, maxSlots) {
		wait := max(next.Sub(now), 0)
		if wait > maxSlotWait {
			break
		}
		slots.Waits = append(slots.Waits, wait)
		next = next.Add(spacing)
	}
	p.next[server] = next
	slots.Next = max(next.Sub(now), 0)
	return slots
}

// Prune drops the servers for which keep returns false.
func (p *LimitPool) Prune(keep func(ServerInstance) bool) {
	for server := range p.next {
		if !keep(server) {
			delete(p.next, server)
		}
	}
}

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
	Limit  Rate
	Slots  int
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
	switch {
	case !limited:
		s.limit = nil
	case s.limit == nil:
		s.limit = &serverLimit{rate: limit}
	default:
		s.limit.rate = limit
	}
}

// Limited reports whether any server has a limit.
func (c *Controller) Limited() bool {
	return len(c.limits) > 0
}

// SlotRequests returns the slots to ask for now: one for each request that waits for a
// limited server, and now and then one for a server that no request requires.
func (c *Controller) SlotRequests(now mooring.Instant) []SlotRequest {
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
		if l == nil || server.leaving && waiting[server] == 0 {
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
		requests = append(requests, SlotRequest{Server: ServerInstanceOf(server.endpoint), Limit: l.rate, Slots: n})
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
