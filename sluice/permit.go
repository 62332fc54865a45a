package sluice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// workWeight is the weight of a new response in the moving averages of the time of work.
	workWeight = 0.05
	// paceWeight is the weight of a new response in the pace of a server, and paceDecay the time
	// in which an old pace has decayed to 1/e of its difference from the usual one: servers
	// that share a machine change theirs within 0.4 s.
	paceWeight = 0.5
	paceDecay  = time.Second
	// toldPaceWeight is the weight of a new response in the speed of a server that tells its pace:
	// what is left of the time of work without the told pace hardly changes.
	toldPaceWeight = 0.15
	// minPace and maxPace bound the pace of a server, so that one outlier does not decide.
	minPace = 0.3
	maxPace = 5.0
	// failureMemory is how long the failure that one host has seen at a server counts towards
	// its suspicion. The path of one host may have failed rather than the server.
	failureMemory = 5 * time.Second
	// rateWindow is the time for which the sends to a server with a preferred rate are
	// counted.
	rateWindow = time.Second
)

// permit is a request in flight that a coordinating controller has admitted.
type permit struct {
	id       RequestID
	server   *serverState
	request  *Request
	expected time.Duration
	began    mooring.Instant
	// startedAt is when the server began with the request as far as is known, or 0 while the
	// request waits there for the end of another one.
	startedAt mooring.Instant
}

// coordinated is what a controller that admits the requests of all hosts knows of a server.
type coordinated struct {
	permits []*permit
	// pace is the moving average of the times of work relative to the usual ones, as of pacedAt.
	pace    float64
	pacedAt mooring.Instant
	// speed is the moving average of the times of work relative to the usual ones and to the
	// pace that the server told, or 0 if it tells none.
	speed float64
	// passed counts the grants in a row to more urgent requests than one that waited.
	passed int
	// grantedAt is when the last request was admitted.
	grantedAt mooring.Instant
	// sent has the sends within rateWindow, if there is a preferred rate.
	sent []mooring.Instant
	// failedFor is the host that has seen the last failure, at failedAt.
	failedFor uint64
	failedAt  mooring.Instant
}

// paceAt returns the pace of the server, given the load that it told. Where it tells none, a
// request that has run for longer than expected counts like a response.
func (s *coordinated) paceAt(now mooring.Instant, told toldLoad) float64 {
	pace := 1.0
	switch {
	case told.known() && s.speed != 0:
		pace = s.speed * told.pace(now)
	case s.pace != 0:
		pace += (s.pace - 1) * math.Exp(-float64(now.Sub(s.pacedAt))/float64(paceDecay))
	}
	if told.known() {
		return min(pace, maxPace)
	}
	for _, p := range s.permits {
		if p.startedAt != 0 {
			pace = max(pace, float64(now.Sub(p.startedAt))/float64(p.expected))
		}
	}
	return min(pace, maxPace)
}

func (s *coordinated) updatePace(now mooring.Instant, told toldLoad, took, expected time.Duration) {
	pace := s.paceAt(now, toldLoad{})
	measured := min(max(float64(took)/float64(expected), minPace), maxPace)
	s.pace, s.pacedAt = pace+paceWeight*(measured-pace), now
	if !told.known() {
		return
	}
	if s.speed == 0 {
		s.speed = 1
	}
	s.speed += toldPaceWeight * (measured/told.pace(now) - s.speed)
	s.speed = min(max(s.speed, minPace), maxPace)
}

// backlog returns the time for which the requests in flight occupy one of the slots.
func (s *coordinated) backlog(now mooring.Instant, slots int, pace float64) time.Duration {
	sum := time.Duration(0)
	for _, p := range s.permits {
		left := time.Duration(pace * float64(p.expected))
		if p.startedAt != 0 {
			left = max(left-now.Sub(p.startedAt), 0)
		}
		sum += left
	}
	return sum / time.Duration(max(slots, 1))
}

// remove ends a permit. The first one that waits at the server starts then.
func (s *coordinated) remove(now mooring.Instant, ended *permit) {
	kept := s.permits[:0]
	for _, p := range s.permits {
		if p != ended {
			kept = append(kept, p)
		}
	}
	s.permits[len(s.permits)-1] = nil
	s.permits = kept
	if ended.startedAt == 0 {
		return
	}
	for _, p := range s.permits {
		if p.startedAt == 0 {
			p.startedAt = now
			return
		}
	}
}

// withinRate reports whether a send now keeps the sends within a second at most at a rate.
func (s *coordinated) withinRate(now mooring.Instant, perSecond float64) bool {
	for len(s.sent) > 0 && now.Sub(s.sent[0]) > max(rateWindow, spacing(perSecond)) {
		s.sent = s.sent[1:]
	}
	return len(s.sent) < max(int(perSecond), 1)
}

// spacing returns the time between two requests at a rate.
func spacing(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxSlotSpacing
	}
	return time.Duration(min(float64(time.Second)/perSecond, float64(maxSlotSpacing)))
}

// grant counts one more request at a server.
func (c *Controller) grant(now mooring.Instant, server *serverState, r *Request) {
	s := server.coordinated
	p := &permit{id: r.ID, server: server, request: r, expected: c.workTime(r), began: now}
	if len(s.permits) < server.slots() {
		p.startedAt = now
	}
	s.permits = append(s.permits, p)
	s.grantedAt = now
	if c.cfg.PreferredRate != nil {
		s.sent = append(s.sent, now)
	}
	if c.waitsLessUrgent(now, server, r) {
		s.passed++
	} else {
		s.passed = 0
	}
	c.permits[r.ID] = p
}

// workTime returns the mean time of work of requests like r.
func (c *Controller) workTime(r *Request) time.Duration {
	if mean := c.workTimes[r.Priority]; mean != 0 {
		return mean
	}
	return c.meanLatency
}

// Settle records the end of a request that a coordinating controller has admitted, and
// returns the decisions on waiting requests that follow. Elapsed is the time from the send
// to the response. Requests that it does not know, such as those that have expired, are
// ignored.
func (c *Controller) Settle(now mooring.Instant, id RequestID, outcome Outcome, elapsed time.Duration) []Resolution {
	p := c.permits[id]
	if p == nil {
		return nil
	}
	w := p.server.window
	switch outcome {
	case OutcomeAnswered:
		c.recordWork(now, p, elapsed)
	case OutcomeServerError:
		w.recordServerError(now)
	case OutcomeRejected, OutcomeReset:
		w.recordRejection(now, p.request.Objective)
	case OutcomeUnreachable:
		c.recordFailureOf(now, p)
	case OutcomeTimeout:
		if p.began > w.measuredAt {
			c.recordFailureOf(now, p)
		}
	case OutcomeInvalidResponse:
		w.updateErrorRatio(now, 1)
	case OutcomeMisdirected, OutcomeCanceled:
	}
	return c.end(now, p)
}

// ServerOf returns the server to which a request in flight was admitted.
func (c *Controller) ServerOf(id RequestID) (ServerInstance, bool) {
	p := c.permits[id]
	if p == nil {
		return ServerInstance{}, false
	}
	return ServerInstanceOf(p.server.endpoint), true
}

// Overdue records that the response to a request is late. If the server has answered
// nothing since the request was admitted, it counts as failed and the permit ends.
func (c *Controller) Overdue(now mooring.Instant, id RequestID) []Resolution {
	p := c.permits[id]
	if p == nil || p.began <= p.server.window.measuredAt {
		return nil
	}
	return c.Settle(now, id, OutcomeTimeout, now.Sub(p.began))
}

// end ends a permit.
func (c *Controller) end(now mooring.Instant, p *permit) []Resolution {
	delete(c.permits, p.id)
	p.server.window.inFlight--
	p.server.coordinated.remove(now, p)
	return c.grantAt(now, p.server)
}

// expire ends the permits whose deadline has passed.
func (c *Controller) expire(now mooring.Instant) []Resolution {
	var ended []*permit
	for _, p := range c.permits {
		if p.request.Deadline <= now {
			ended = append(ended, p)
		}
	}
	// Decisions must not depend on the order of a map.
	slices.SortFunc(ended, func(a, b *permit) int { return cmp.Compare(a.id, b.id) })
	c.expired += len(ended)
	var resolved []Resolution
	for _, p := range ended {
		resolved = append(resolved, c.end(now, p)...)
	}
	return resolved
}

// recordWork records a whole response. The time for which the request waited at the server
// for the end of another one is not work.
func (c *Controller) recordWork(now mooring.Instant, p *permit, elapsed time.Duration) {
	work := elapsed
	if p.startedAt != 0 {
		work = max(elapsed-p.startedAt.Sub(p.began), time.Millisecond)
	}
	s := p.server.coordinated
	s.failedFor = 0
	s.updatePace(now, p.server.told, work, p.expected)
	p.server.window.recordResponse(now, work, p.request.Objective)
	c.meanLatency += time.Duration(meanLatencyWeight * float64(work-c.meanLatency))
	mean, known := c.workTimes[p.request.Priority]
	if !known {
		mean = work
	}
	c.workTimes[p.request.Priority] = mean + time.Duration(workWeight*float64(work-mean))
}

// recordFailureOf records a failed connection or a request without a response. A server that
// is not suspected becomes so once two hosts have seen a failure.
func (c *Controller) recordFailureOf(now mooring.Instant, p *permit) {
	s, w := p.server.coordinated, p.server.window
	alone := s.failedFor == 0 || s.failedFor == p.request.From || now.Sub(s.failedAt) > failureMemory
	s.failedFor, s.failedAt = p.request.From, now
	if alone && w.failures == 0 && p.request.From != 0 {
		w.updateErrorRatio(now, 1)
		return
	}
	w.recordFailure(now)
}

// Permits returns the number of permits that have not ended, and that of those that have
// expired since the last call.
func (c *Controller) Permits() (held, expired int) {
	expired, c.expired = c.expired, 0
	return len(c.permits), expired
}
