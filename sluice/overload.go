package sluice

import (
	"math"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// sampleAbove is the part of its objective above which the latency of a
	// response is an overload sample. Few responses of a server that is not
	// overloaded take as long.
	sampleAbove = 0.6
	// A server becomes overloaded when the ratio of overload samples to
	// requests is above overloadedAbove, and recovers when it is below
	// recoveredBelow.
	overloadedAbove = 0.3
	recoveredBelow  = 0.15
	// sampleDecay is the time in which the weight of old requests decays to
	// 1/e, about a third.
	sampleDecay = time.Second
	// minRequests is the decayed number of requests below which a server does
	// not become overloaded.
	minRequests = 3.0
)

// IsOverloadSample reports whether the latency of a response suggests that its
// server is overloaded.
func IsOverloadSample(latency, objective time.Duration) bool {
	return float64(latency) > sampleAbove*float64(objective)
}

// OverloadDetector detects overloaded servers from the requests of all hosts. A
// single host may send too few requests to a server to detect it.
type OverloadDetector struct {
	servers map[fairway.ServerID]*sampleCounts
}

// sampleCounts counts the recent requests at one server, with exponential decay.
type sampleCounts struct {
	requests float64
	// overloadSamples counts the requests that were rejected, or answered with
	// a high latency.
	overloadSamples float64
	updatedAt       mooring.Instant
	overloaded      bool
}

// NewOverloadDetector returns a detector without samples.
func NewOverloadDetector() *OverloadDetector {
	return &OverloadDetector{servers: make(map[fairway.ServerID]*sampleCounts)}
}

// Add records the requests of one host at a server, and how many of them are
// overload samples.
func (d *OverloadDetector) Add(now mooring.Instant, id fairway.ServerID, requests, samples int) {
	s := d.servers[id]
	if s == nil {
		s = &sampleCounts{updatedAt: now}
		d.servers[id] = s
	}
	s.decay(now)
	s.requests += float64(requests)
	s.overloadSamples += float64(samples)
}

func (s *sampleCounts) decay(now mooring.Instant) {
	factor := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(sampleDecay))
	s.requests *= factor
	s.overloadSamples *= factor
	s.updatedAt = now
}

// Overloaded returns the overloaded servers, sorted by id.
func (d *OverloadDetector) Overloaded(now mooring.Instant) []fairway.ServerID {
	const negligible = 0.01
	var overloaded []fairway.ServerID
	for id, s := range d.servers {
		s.decay(now)
		ratio := s.overloadSamples / max(s.requests, negligible)
		switch {
		case s.requests < negligible:
			delete(d.servers, id)
			continue
		case ratio > overloadedAbove && s.requests >= minRequests:
			s.overloaded = true
		case ratio < recoveredBelow:
			s.overloaded = false
		}
		if s.overloaded {
			overloaded = append(overloaded, id)
		}
	}
	slices.Sort(overloaded)
	return overloaded
}
