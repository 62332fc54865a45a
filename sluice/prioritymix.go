package sluice

import (
	"math"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// mixDecay is the time in which the weight of old requests decays to 1/e.
	mixDecay = 5 * time.Second
	// mixedAbove is the part of the requests that are not of the most frequent priority above
	// which a service has requests of different priorities, and unmixedBelow the one below which
	// it no longer has. Operators' probes and routes without callers stay below.
	mixedAbove   = 0.05
	unmixedBelow = 0.02
	// minMixRequests is the number of recent requests below which nothing changes.
	minMixRequests = 10.0
)

// PriorityMix tells whether the requests of a service have different priorities. Routes in the
// configuration that nobody calls do not count.
type PriorityMix struct {
	counts map[int]float64
	at     mooring.Instant
	mixed  bool
}

// NewPriorityMix returns a mix without requests.
func NewPriorityMix() *PriorityMix {
	return &PriorityMix{counts: make(map[int]float64)}
}

// Record adds a request.
func (m *PriorityMix) Record(now mooring.Instant, priority int) {
	m.decay(now)
	m.counts[priority]++
	total, most := m.totals()
	if total < minMixRequests {
		return
	}
	switch others := (total - most) / total; {
	case others > mixedAbove:
		m.mixed = true
	case others < unmixedBelow:
		m.mixed = false
	}
}

// Mixed reports whether the recent requests have different priorities.
func (m *PriorityMix) Mixed() bool {
	return m.mixed
}

// MostUrgent returns the lowest priority number of which there are as many requests as make a
// service mixed, or false if it has had none.
func (m *PriorityMix) MostUrgent() (priority int, ok bool) {
	total, _ := m.totals()
	for p, n := range m.counts {
		if n > unmixedBelow*total && (!ok || p < priority) {
			priority, ok = p, true
		}
	}
	return priority, ok
}

func (m *PriorityMix) decay(now mooring.Instant) {
	factor := math.Exp(-float64(now.Sub(m.at)) / float64(mixDecay))
	m.at = now
	for p := range m.counts {
		m.counts[p] *= factor
	}
}

func (m *PriorityMix) totals() (total, most float64) {
	for _, n := range m.counts {
		total += n
		most = max(most, n)
	}
	return total, most
}
