package sluice

import (
	"math"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// initialPart is the part of a full share with which a window starts.
	initialPart = 0.5
	// overcommit is the number of requests for each slot of a server that all
	// hosts together may have there. Servers queue a few for each slot.
	overcommit = 3.0
	// minShare lets a host that gets most of the traffic use a server when the
	// others do not.
	minShare = 2.0
	// growBelow and shrinkAbove compare the time of an answer with its
	// objective. Between them the window stays.
	growBelow   = 0.6
	shrinkAbove = 0.85
	// lateShrink and turnedAwayShrink are the factors by which a window
	// shrinks.
	lateShrink       = 0.9
	turnedAwayShrink = 0.5
	// latencyWeight is the weight of a new answer in the moving average.
	latencyWeight = 0.2
	// latencyMemory is the time after which an old average counts for a third,
	// so that a server which was slow is tried again.
	latencyMemory = 3 * time.Second
	// initialLatency stands for a server that has not answered yet.
	initialLatency = 50 * time.Millisecond
	// firstSuspicion is how long a server gets nothing after a failed
	// connection; it doubles with each further failure up to maxSuspicion.
	firstSuspicion = 250 * time.Millisecond
	maxSuspicion   = 4 * time.Second
)

// window bounds the requests of this host at one server.
type window struct {
	size  float64
	limit float64
	// inFlight counts the requests at the server.
	inFlight int
	latency  time.Duration
	measured mooring.Instant
	shrunk   mooring.Instant
	// failures counts failed connections and silence in a row.
	failures     int
	suspectUntil mooring.Instant
}

func newWindow(limit float64) *window {
	return &window{size: max(limit*initialPart, 1), limit: limit}
}

// setLimit bounds the window for a number of hosts that share the server.
func (w *window) setLimit(slots, hosts int) {
	w.limit = max(float64(slots)*overcommit/float64(max(hosts, 1)), minShare)
	w.size = min(w.size, w.limit)
}

// room reports whether one more request may go to the server.
func (w *window) room(now mooring.Instant) bool {
	if w.failures > 0 {
		// One request at a time finds out whether the server is back.
		return now >= w.suspectUntil && w.inFlight == 0
	}
	return float64(w.inFlight) < max(math.Round(w.size), 1)
}

// suspected reports whether the server gets nothing at the moment.
func (w *window) suspected(now mooring.Instant) bool {
	return w.failures > 0 && (now < w.suspectUntil || w.inFlight > 0)
}

// expected returns the time that an answer is likely to take. An old average
// gives way to usual, the service's mean.
func (w *window) expected(now mooring.Instant, usual time.Duration) time.Duration {
	if w.latency == 0 {
		return usual
	}
	weight := math.Exp(-float64(now.Sub(w.measured)) / float64(latencyMemory))
	return time.Duration(weight*float64(w.latency) + (1-weight)*float64(usual))
}

// answered takes a whole answer into account.
func (w *window) answered(now mooring.Instant, took, objective time.Duration) {
	w.failures = 0
	if w.latency == 0 {
		w.latency = took
	}
	w.latency += time.Duration(latencyWeight * float64(took-w.latency))
	w.measured = now
	ratio := float64(w.latency) / float64(max(objective, time.Millisecond))
	switch {
	case ratio < growBelow && float64(w.inFlight)+1 >= w.size:
		w.size = min(w.size+1/w.size, w.limit)
	case ratio > shrinkAbove:
		w.shrink(now, lateShrink)
	}
}

// turnedAway takes a refusal of the server into account.
func (w *window) turnedAway(now mooring.Instant) {
	w.failures = 0
	w.shrink(now, turnedAwayShrink)
}

// failed takes a failed connection or a server's silence into account.
func (w *window) failed(now mooring.Instant) {
	w.failures++
	pause := min(firstSuspicion<<min(w.failures-1, 8), maxSuspicion)
	w.suspectUntil = now.Add(pause)
	w.shrink(now, turnedAwayShrink)
}

// shrink reduces the window at most once for the requests that were under way
// together.
func (w *window) shrink(now mooring.Instant, factor float64) {
	if now.Sub(w.shrunk) < w.latency {
		return
	}
	w.shrunk = now
	w.size = max(w.size*factor, 1)
}
