package sluice

import (
	"maps"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// coldWindowSlots is how many seconds' worth of slots of one pool may be used within a
	// second: those of the second itself, of limitBurst, and of slotTTL before it.
	coldWindowSlots = 1 + 0.25 + 0.3
	// coldHandoverSlots is the same for the slots of a second pool, while the placer changes:
	// the former one has given out slots up to maxSlotWait ahead, for slotTTL longer.
	coldHandoverSlots = 0.5 + 0.3
	// coldOwnSlots is the same for the slots that hosts use without a placer, of coldOwnShare
	// of the rate.
	coldOwnSlots = coldOwnShare * coldWindowSlots
	// coldOwnShare is the part of the rate of a cold server that all hosts together use while
	// they have no placer to ask.
	coldOwnShare = 0.1
	// coldMargin is how much longer than told a server counts as cold. The requests that have
	// waited are sent at once then, and must not reach it in its last cold moment.
	coldMargin = 200 * time.Millisecond
	// minColdBoundPart is the least part of the bound that is used as the rate.
	minColdBoundPart = 0.2
)

// coldLimit is the rate of slots for a cold server.
type coldLimit struct {
	rate  Rate
	until mooring.Instant
}

// ColdSlotRate returns the rate at which slots of a cold server are given out, so that all
// hosts together send it at most bound requests within any second. That includes slots that
// are used late, and a change of the placer, who does not know what the former one gave out.
func ColdSlotRate(bound float64) Rate {
	const firstSlots = 2
	rate := (bound - firstSlots) / (coldWindowSlots + coldHandoverSlots + coldOwnSlots)
	return Rate(max(rate, minColdBoundPart*bound))
}

// OwnColdRate returns the part of the rate of a cold server that one of a number of hosts may
// use while it has no placer to ask. A host that does not know the number, which is 0 then,
// has none.
func OwnColdRate(rate Rate, hosts int) Rate {
	if hosts <= 0 {
		return 0
	}
	return coldOwnShare * rate / Rate(hosts)
}

// SetCold limits a server instance to a rate until an instant, unless it is limited for longer
// already. Requests to it need slots as if it named a limit.
func (c *Controller) SetCold(now mooring.Instant, server ServerInstance, rate Rate, until mooring.Instant) {
	if until <= now {
		return
	}
	if until = until.Add(coldMargin); until <= c.cold[server].until {
		return
	}
	c.cold[server] = coldLimit{rate: rate, until: until}
	if s := c.servers[server.Server]; s != nil && ServerInstanceOf(s.endpoint) == server {
		c.applyLimit(s)
		c.spreadFirstSlot(now, s)
	}
}

// endCold ends the limits of servers that are warm.
func (c *Controller) endCold(now mooring.Instant) {
	if len(c.cold) == 0 {
		return
	}
	maps.DeleteFunc(c.cold, func(server ServerInstance, l coldLimit) bool {
		if now < l.until {
			return false
		}
		delete(c.cold, server)
		if s := c.servers[server.Server]; s != nil && ServerInstanceOf(s.endpoint) == server {
			c.applyLimit(s)
		}
		return true
	})
}

// spreadFirstSlot counts a part of the time between two slots of a cold server as elapsed, so
// that the hosts do not all ask for their first slot at once.
func (c *Controller) spreadFirstSlot(now mooring.Instant, s *serverState) {
	if s.limit == nil || s.limit.givenAt != 0 || c.cold[ServerInstanceOf(s.endpoint)].rate == 0 {
		return
	}
	elapsed := float64(s.weight>>11) / (1 << 53)
	s.limit.givenAt = now.Add(-time.Duration(elapsed * float64(c.slotInterval(s.limit))))
}
