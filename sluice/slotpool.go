package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// minLimitRate is the rate at which a server is sent requests whose limit is lower.
	// Only a response can tell that the limit has gone.
	minLimitRate Rate = 0.4
	// limitBurst is the time whose requests may be sent to a server at once, besides one.
	limitBurst = 250 * time.Millisecond
	// maxSlotWait bounds how far ahead slots are given out.
	maxSlotWait = 500 * time.Millisecond
	// maxSlotSpacing bounds the time between two slots.
	maxSlotSpacing = time.Hour
	// maxSlots bounds the slots that are given out at a time.
	maxSlots = 256
)

// SlotPool gives out the requests that limited servers take, to all hosts that ask for
// them. It is not safe for concurrent use.
type SlotPool struct {
	// next is when the next slot of each server is free.
	next map[ServerInstance]mooring.Instant
}

// NewSlotPool returns a pool that has given out nothing. Each server's first slot is as
// far in the future as two slots are apart, since another pool may have given out
// slots before.
func NewSlotPool() *SlotPool {
	return &SlotPool{next: make(map[ServerInstance]mooring.Instant)}
}

// Slots is what a [SlotPool] gives out.
type Slots struct {
	// Waits has the time until each of the slots.
	Waits []time.Duration
	// Next is the time until the next slot, which was not given out.
	Next time.Duration
}

// Take gives out up to n slots of a server that takes a rate.
func (p *SlotPool) Take(now mooring.Instant, server ServerInstance, rate Rate, n int) Slots {
	return p.TakePart(now, server, max(rate, minLimitRate), n)
}

// TakePart is like Take for a pool that has a part of a server's rate only.
func (p *SlotPool) TakePart(now mooring.Instant, server ServerInstance, rate Rate, n int) Slots {
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
func (p *SlotPool) Prune(keep func(ServerInstance) bool) {
	for server := range p.next {
		if !keep(server) {
			delete(p.next, server)
		}
	}
}
