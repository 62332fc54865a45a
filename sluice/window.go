package sluice

import (
	"math"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// initialFraction is the initial size of a window as a part of its limit.
	// If there are so many hosts that the fair share of each is below 1, the
	// initial size is at most initialShares fair shares, but at least
	// minInitial: most servers are not busy.
	initialFraction = 0.5
	initialShares   = 2.0
	minInitial      = 0.25
	// overcommit is the number of requests per slot of a server that all hosts
	// together may have there. Servers queue a few requests for each slot.
	overcommit = 3.0
	// minLimit is the smallest limit of a window. It lets a host that gets most
	// of the traffic use a server that the others do not use.
	minLimit = 2.0
	// A window grows when the ratio of latency to objective is below growBelow,
	// and shrinks when it is above shrinkAbove.
	growBelow   = 0.6
	shrinkAbove = 0.85
	// minWindow is the smallest window. A host with a window below 1 has one
	// request in flight at a time and pauses between two, since one request of
	// each of many hosts is too many for a server.
	minWindow = 0.05
	// slowGrowth is the increment of a window below 1 after a response on time.
	slowGrowth = 0.02
	// lateShrink and rejectedShrink are the factors by which a window shrinks
	// after a late response and after a rejection.
	lateShrink     = 0.9
	rejectedShrink = 0.5
	// The same thresholds and factor for windows up to 1, compared with single
	// responses: many hosts see the same queue of the server, so each reacts
	// early.
	singleGrowBelow   = 0.6
	singleShrinkAbove = 0.7
	singleShrink      = 0.75
	// reportTTL is how long the report that a server is not overloaded is
	// valid. Reports arrive twice a second, and one may be lost.
	reportTTL = 1200 * time.Millisecond
	// reportHoldoff is how long such reports are ignored after this host first
	// used the server or was rejected by it: until the reports include what the
	// other hosts saw meanwhile.
	reportHoldoff = 1100 * time.Millisecond
	// latencyWeight is the weight of a new response in the moving average of the
	// latency.
	latencyWeight = 0.2
	// latencyDecay is the time in which the weight of an old average decays to
	// 1/e, about a third, so that a server that was slow is tried again.
	latencyDecay = 3 * time.Second
	// errorWeight is the weight of a response in the error ratio, and errorDecay
	// the time in which the ratio decays to 1/e, about a third. Servers
	// normally answer one request in 250 with an error.
	errorWeight = 0.25
	errorDecay  = 3 * time.Second
	// initialLatency is the assumed latency of a server that has not answered
	// yet.
	initialLatency = 50 * time.Millisecond
	// initialBackoff is how long a server gets no requests after a failed
	// connection. The time doubles with each further failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// restoreTime is the time over which the suspicion of all servers ends when
	// this host reaches them again.
	restoreTime = 300 * time.Millisecond
)

// window limits the requests of this host in flight at one server.
type window struct {
	// size is the number of requests that may be in flight. A size below 1 is
	// the part of the time in which one request may be.
	size  float64
	limit float64
	// fairShare is the part of the capacity of the server for each host, in
	// requests.
	fairShare float64
	// inFlight is the number of requests at the server.
	inFlight int
	// coordinated is set if no other host sends to the server.
	coordinated bool
	// pausedUntil is when a window below 1 may admit the next request.
	pausedUntil mooring.Instant
	// latency is the moving average of the latency of whole responses, the last of
	// which came at measuredAt. It is 0 before the first one.
	latency    time.Duration
	measuredAt mooring.Instant
	shrunkAt   mooring.Instant
	// notOverloadedUntil is when the last report that the server is not
	// overloaded expires. Until then, the window is not below 1.
	notOverloadedUntil mooring.Instant
	// ignoreReportsUntil is until when such reports are ignored.
	ignoreReportsUntil mooring.Instant
	// errorRatio is the moving average of the part of responses that are errors,
	// as of errorRatioAt.
	errorRatio   float64
	errorRatioAt mooring.Instant
	// failures counts consecutive failed connections and timeouts.
	failures       int
	suspectedUntil mooring.Instant
}

// newWindow returns the window at a server that is shared by a number of hosts.
func newWindow(now mooring.Instant, slots, hosts int) *window {
	w := &window{ignoreReportsUntil: now.Add(reportHoldoff)}
	w.setLimit(slots, hosts)
	w.size = w.initialSize()
	return w
}

// newCoordinatedWindow returns the window at a server to which no other host sends. Its limit is
// what the server runs, and one more that waits there.
func newCoordinatedWindow(slots int) *window {
	w := &window{coordinated: true}
	w.setLimit(slots, 1)
	return w
}

// setCoordinatedLimit is setLimit for such a window.
func (w *window) setCoordinatedLimit(slots int) {
	if slots == 0 {
		slots = minLimit
	}
	if limit := float64(slots + 1); limit != w.limit {
		w.fairShare, w.limit, w.size = limit, limit, limit
	}
}

// reducedSize returns the size of a window at a server that may be overloaded.
func (w *window) reducedSize() float64 {
	return max(w.fairShare*initialShares, minInitial)
}

// fairShare returns the part of the capacity of a server for each host, in
// requests.
func fairShare(slots, hosts int) float64 {
	return float64(slots) * overcommit / float64(max(hosts, 1))
}

// setLimit sets the limit of the window for a number of hosts that share the
// server.
func (w *window) setLimit(slots, hosts int) {
	if w.coordinated {
		w.setCoordinatedLimit(slots)
		return
	}
	former := w.fairShare
	w.fairShare = fairShare(slots, hosts)
	w.limit = max(w.fairShare, minLimit)
	w.size = min(w.size, w.limit)
	if former > 0 && w.fairShare > former {
		// The part of the hosts that do not send to the server any more is free.
		w.size = max(w.size, min(w.size*w.fairShare/former, w.initialSize()))
	}
}

// initialSize returns the size of the window at a server that has not been used.
func (w *window) initialSize() float64 {
	return min(max(w.limit*initialFraction, 1), w.reducedSize())
}

// clearOverload records a report that the server is not overloaded. Hosts with
// a fair share of 1 or more ignore it, since they get enough responses
// themselves.
func (w *window) clearOverload(now mooring.Instant) {
	if w.fairShare >= 1 || now < w.ignoreReportsUntil {
		return
	}
	w.notOverloadedUntil = now.Add(reportTTL)
	if w.size < 1 {
		w.size = 1
		w.pausedUntil = now
	}
}

// setOverload records that the server is overloaded, according to a report or a
// rejection. A window that was kept at 1 or above by earlier reports is reduced
// to reducedSize if it is larger.
func (w *window) setOverload() {
	if w.notOverloadedUntil != 0 {
		w.size = min(w.size, w.reducedSize())
	}
	w.notOverloadedUntil = 0
}

// hasRoom reports whether one more request may be sent to the server.
func (w *window) hasRoom(now mooring.Instant) bool {
	if w.failures > 0 {
		// One request at a time tests whether the server is available again.
		return now >= w.suspectedUntil && w.inFlight == 0
	}
	if w.size < 1 {
		return w.inFlight == 0 && now >= w.pausedUntil
	}
	return float64(w.inFlight) < math.Round(w.size)
}

// recordEnd records the end of a request. A window of 0.5 admits requests for
// half of the time.
func (w *window) recordEnd(now mooring.Instant, mean time.Duration) {
	w.inFlight--
	if w.size < 1 {
		w.pausedUntil = now.Add(time.Duration((1/w.size - 1) * float64(w.expectedLatency(now, mean))))
	}
}

// suspected reports whether the server gets no requests at the moment because
// of failures.
func (w *window) suspected(now mooring.Instant) bool {
	return w.failures > 0 && (now < w.suspectedUntil || w.inFlight > 0)
}

// expectedLatency returns the expected latency of a response. An average
// converges to mean, the average of the service, as it ages.
func (w *window) expectedLatency(now mooring.Instant, mean time.Duration) time.Duration {
	if w.latency == 0 {
		return mean
	}
	weight := math.Exp(-float64(now.Sub(w.measuredAt)) / float64(latencyDecay))
	return time.Duration(weight*float64(w.latency) + (1-weight)*float64(mean))
}

// recentErrorRatio returns the error ratio with its decay up to now.
func (w *window) recentErrorRatio(now mooring.Instant) float64 {
	if w.errorRatio == 0 {
		return 0
	}
	return w.errorRatio * math.Exp(-float64(now.Sub(w.errorRatioAt))/float64(errorDecay))
}

// updateErrorRatio adds a response to the error ratio; isError is 1 for an error
// and 0 otherwise.
func (w *window) updateErrorRatio(now mooring.Instant, isError float64) {
	ratio := w.recentErrorRatio(now)
	w.errorRatio = ratio + errorWeight*(isError-ratio)
	w.errorRatioAt = now
}

// recordServerError records a response that reports a failure of the server. Its
// latency is ignored, since errors are often fast.
func (w *window) recordServerError(now mooring.Instant) {
	w.failures = 0
	w.updateErrorRatio(now, 1)
}

// recordResponse records a whole response.
func (w *window) recordResponse(now mooring.Instant, latency, objective time.Duration) {
	w.failures = 0
	w.updateErrorRatio(now, 0)
	if w.latency == 0 {
		w.latency = latency
	}
	w.latency += time.Duration(latencyWeight * float64(latency-w.latency))
	w.measuredAt = now
	if w.coordinated {
		// The server has no queue, so a late response tells of its pace.
		w.size = min(w.size+1/w.size, w.limit)
		return
	}
	ratio := float64(w.latency) / float64(max(objective, time.Millisecond))
	if w.size <= 1 {
		// Responses are too rare for an average.
		ratio = float64(latency) / float64(max(objective, time.Millisecond))
	}
	switch {
	case w.size <= 1 && now < w.notOverloadedUntil:
		if ratio < growBelow {
			w.size = min(w.size+slowGrowth, w.limit)
		}
	case ratio > singleShrinkAbove && w.size <= 1:
		w.shrink(now, singleShrink)
	case ratio < singleGrowBelow && w.size < 1:
		w.size = min(w.size+slowGrowth, w.limit)
	case ratio < growBelow && float64(w.inFlight)+1 >= w.size:
		w.size = min(w.size+1/w.size, w.limit)
	case ratio > shrinkAbove:
		w.shrink(now, lateShrink)
	}
}

// recordRejection records a rejection by the server. A server that rejects
// requests although its responses are fast is faulty rather than overloaded, and
// longer pauses would not help.
func (w *window) recordRejection(now mooring.Instant, objective time.Duration) {
	w.failures = 0
	w.ignoreReportsUntil = now.Add(reportHoldoff)
	w.setOverload()
	smallest := 1.0
	fast := w.latency != 0 && float64(w.latency) <= growBelow*float64(objective)
	if w.coordinated && fast {
		// No other host fills the server. A faulty one still runs as many requests as before.
		smallest = w.limit - 1
	}
	if !w.coordinated && (w.latency == 0 || float64(w.latency) > growBelow*float64(objective)) {
		smallest = minWindow
	}
	if w.size > smallest {
		w.shrink(now, rejectedShrink)
		w.size = max(w.size, smallest)
	}
}

// recordFailure records a failed connection or a timeout.
func (w *window) recordFailure(now mooring.Instant) {
	w.failures++
	backoff := min(initialBackoff<<min(w.failures-1, 8), maxBackoff)
	w.suspectedUntil = now.Add(backoff)
	w.size = min(w.size, 1)
}

// restore ends the suspicion of the server at an instant, unless it ends earlier.
func (w *window) restore(until mooring.Instant) {
	w.failures = min(w.failures, 1)
	w.suspectedUntil = min(w.suspectedUntil, until)
}

// shrink reduces the window at most once for requests that were in flight
// together.
func (w *window) shrink(now mooring.Instant, factor float64) {
	if now.Sub(w.shrunkAt) < w.latency {
		return
	}
	w.shrunkAt = now
	w.size = max(w.size*factor, minWindow)
}
