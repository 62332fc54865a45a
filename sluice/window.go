package sluice

import (
	"math"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// initialPart is the part of its limit with which a window starts. With so
	// many hosts that their shares are below 1, it starts at initialShares of
	// them, but not below minInitial: most servers are not busy.
	initialPart   = 0.5
	initialShares = 2.0
	minInitial    = 0.25
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
	// minWindow is the smallest window. Below 1, a host has one request at a
	// time and pauses between two, since many hosts with one request each are
	// too many for a server.
	minWindow = 0.05
	// slowGrowth is what a window below 1 grows by with an answer on time.
	slowGrowth = 0.02
	// lateShrink and turnedAwayShrink are the factors by which a window
	// shrinks.
	lateShrink       = 0.9
	turnedAwayShrink = 0.5
	// The same for single answers while a host has at most one request at a
	// time there: many hosts react to the same queue, so each reacts early.
	rareGrowBelow   = 0.6
	rareShrinkAbove = 0.7
	rareShrink      = 0.75
	// relaxFor is how long the word that a server is not crowded counts. It comes
	// twice a second, and once may be missed.
	relaxFor = 1200 * time.Millisecond
	// relaxAfter is how long a host does not take it after it has met the server or
	// was turned away: until the other hosts' reports are in that word.
	relaxAfter = 1100 * time.Millisecond
	// latencyWeight is the weight of a new answer in the moving average.
	latencyWeight = 0.2
	// latencyMemory is the time after which an old average counts for a third,
	// so that a server which was slow is tried again.
	latencyMemory = 3 * time.Second
	// errorWeight is the weight of an answer in the share of errors, and
	// errorMemory the time after which old errors count for a third. Servers
	// answer one request in 250 with an error at any time.
	errorWeight = 0.25
	errorMemory = 3 * time.Second
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
	// share is the part of the server's room that this host has.
	share float64
	// inFlight counts the requests at the server.
	inFlight int
	// pausedUntil keeps a window below 1 closed after a request.
	pausedUntil mooring.Instant
	latency     time.Duration
	measured    mooring.Instant
	shrunk      mooring.Instant
	// relaxedUntil is until when the server counts as not crowded by the word of
	// all hosts. The window is not below 1 then.
	relaxedUntil mooring.Instant
	// relaxFrom is from when that word is taken.
	relaxFrom mooring.Instant
	// errors is the moving share of answers that were errors, at errorsAt.
	errors   float64
	errorsAt mooring.Instant
	// failures counts failed connections and silence in a row.
	failures     int
	suspectUntil mooring.Instant
}

// newWindow returns the window at a server that a number of hosts share.
func newWindow(now mooring.Instant, slots, hosts int) *window {
	w := &window{relaxFrom: now.Add(relaxAfter)}
	w.setLimit(slots, hosts)
	w.size = min(max(w.limit*initialPart, 1), w.small())
	return w
}

// small returns the size of a window at a server that may be crowded.
func (w *window) small() float64 {
	return max(w.share*initialShares, minInitial)
}

// share returns the part of a server's room that each host has.
func share(slots, hosts int) float64 {
	return float64(slots) * overcommit / float64(max(hosts, 1))
}

// setLimit bounds the window for a number of hosts that share the server.
func (w *window) setLimit(slots, hosts int) {
	w.share = share(slots, hosts)
	w.limit = max(w.share, minShare)
	w.size = min(w.size, w.limit)
}

// relax takes the word that the server is not crowded. It says nothing new to
// hosts so few that each sees enough of its own answers.
func (w *window) relax(now mooring.Instant) {
	if w.share >= 1 || now < w.relaxFrom {
		return
	}
	w.relaxedUntil = now.Add(relaxFor)
	if w.size < 1 {
		w.size = 1
		w.pausedUntil = now
	}
}

// tighten takes the word that the server is crowded, or finds out itself. A
// window that was relaxed starts small again.
func (w *window) tighten() {
	if w.relaxedUntil != 0 {
		w.size = min(w.size, w.small())
	}
	w.relaxedUntil = 0
}

// room reports whether one more request may go to the server.
func (w *window) room(now mooring.Instant) bool {
	if w.failures > 0 {
		// One request at a time finds out whether the server is back.
		return now >= w.suspectUntil && w.inFlight == 0
	}
	if w.size < 1 {
		return w.inFlight == 0 && now >= w.pausedUntil
	}
	return float64(w.inFlight) < math.Round(w.size)
}

// ended notes the end of a request. A window of a half is open for half of the
// time.
func (w *window) ended(now mooring.Instant, usual time.Duration) {
	w.inFlight--
	if w.size < 1 {
		w.pausedUntil = now.Add(time.Duration((1/w.size - 1) * float64(w.expected(now, usual))))
	}
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

// errorShare returns the share of recent answers that were errors.
func (w *window) errorShare(now mooring.Instant) float64 {
	if w.errors == 0 {
		return 0
	}
	return w.errors * math.Exp(-float64(now.Sub(w.errorsAt))/float64(errorMemory))
}

// noteError takes one more answer into the share of errors.
func (w *window) noteError(now mooring.Instant, erred float64) {
	share := w.errorShare(now)
	w.errors = share + errorWeight*(erred-share)
	w.errorsAt = now
}

// erred takes an answer into account that says the server failed. Its time says
// nothing: errors are often fast.
func (w *window) erred(now mooring.Instant) {
	w.failures = 0
	w.noteError(now, 1)
}

// answered takes a whole answer into account.
func (w *window) answered(now mooring.Instant, took, objective time.Duration) {
	w.failures = 0
	w.noteError(now, 0)
	if w.latency == 0 {
		w.latency = took
	}
	w.latency += time.Duration(latencyWeight * float64(took-w.latency))
	w.measured = now
	ratio := float64(w.latency) / float64(max(objective, time.Millisecond))
	if w.size <= 1 {
		// Answers are too rare for a mean.
		ratio = float64(took) / float64(max(objective, time.Millisecond))
	}
	switch {
	case w.size <= 1 && now < w.relaxedUntil:
		if ratio < growBelow {
			w.size = min(w.size+slowGrowth, w.limit)
		}
	case ratio > rareShrinkAbove && w.size <= 1:
		w.shrink(now, rareShrink)
	case ratio < rareGrowBelow && w.size < 1:
		w.size = min(w.size+slowGrowth, w.limit)
	case ratio < growBelow && float64(w.inFlight)+1 >= w.size:
		w.size = min(w.size+1/w.size, w.limit)
	case ratio > shrinkAbove:
		w.shrink(now, lateShrink)
	}
}

// turnedAway takes a refusal of the server into account. A server that refuses
// requests though its answers are quick is not crowded but faulty, and more
// pauses would not help.
func (w *window) turnedAway(now mooring.Instant, objective time.Duration) {
	w.failures = 0
	w.relaxFrom = now.Add(relaxAfter)
	w.tighten()
	least := 1.0
	if w.latency == 0 || float64(w.latency) > growBelow*float64(objective) {
		least = minWindow
	}
	if w.size > least {
		w.shrink(now, turnedAwayShrink)
		w.size = max(w.size, least)
	}
}

// failed takes a failed connection or a server's silence into account.
func (w *window) failed(now mooring.Instant) {
	w.failures++
	pause := min(firstSuspicion<<min(w.failures-1, 8), maxSuspicion)
	w.suspectUntil = now.Add(pause)
	w.size = min(w.size, 1)
}

// shrink reduces the window at most once for the requests that were under way
// together.
func (w *window) shrink(now mooring.Instant, factor float64) {
	if now.Sub(w.shrunk) < w.latency {
		return
	}
	w.shrunk = now
	w.size = max(w.size*factor, minWindow)
}
