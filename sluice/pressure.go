package sluice

import (
	"math"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// pressedAbove is the part of its objective from which an answer counts as
	// pressed. Few answers of a server that is not crowded take as long.
	pressedAbove = 0.6
	// crowdedAbove is the part of pressed requests from which a server counts
	// as crowded, and easedBelow the one below which it does not any more.
	crowdedAbove = 0.3
	easedBelow   = 0.15
	// pressureMemory is the time after which old requests count for a third.
	pressureMemory = time.Second
	// leastRequests is the number of requests that say something.
	leastRequests = 3.0
)

// IsOverloadSample reports whether an answer that took so long suggests that its server
// is crowded.
func IsOverloadSample(took, objective time.Duration) bool {
	return float64(took) > pressedAbove*float64(objective)
}

// OverloadDetector tells which servers are crowded, from the requests of all hosts. One
// host has too few at each server to know.
type OverloadDetector struct {
	servers map[fairway.ServerID]*pressure
}

// pressure counts the recent requests at one server.
type pressure struct {
	requests float64
	// pressed counts those that were turned away or answered after a long time.
	pressed float64
	at      mooring.Instant
	crowded bool
}

// NewOverloadDetector returns a Pressure that knows nothing.
func NewOverloadDetector() *OverloadDetector {
	return &OverloadDetector{servers: make(map[fairway.ServerID]*pressure)}
}

// Add takes requests of one host at a server into account, and how many of them
// were pressed.
func (p *OverloadDetector) Add(now mooring.Instant, id fairway.ServerID, requests, pressed int) {
	s := p.servers[id]
	if s == nil {
		s = &pressure{at: now}
		p.servers[id] = s
	}
	s.age(now)
	s.requests += float64(requests)
	s.pressed += float64(pressed)
}

func (s *pressure) age(now mooring.Instant) {
	memory := math.Exp(-float64(now.Sub(s.at)) / float64(pressureMemory))
	s.requests *= memory
	s.pressed *= memory
	s.at = now
}

// Overloaded returns the servers that are crowded, by id.
func (p *OverloadDetector) Overloaded(now mooring.Instant) []fairway.ServerID {
	const forgotten = 0.01
	var crowded []fairway.ServerID
	for id, s := range p.servers {
		s.age(now)
		part := s.pressed / max(s.requests, forgotten)
		switch {
		case s.requests < forgotten:
			delete(p.servers, id)
			continue
		case part > crowdedAbove && s.requests >= leastRequests:
			s.crowded = true
		case part < easedBelow:
			s.crowded = false
		}
		if s.crowded {
			crowded = append(crowded, id)
		}
	}
	slices.Sort(crowded)
	return crowded
}
