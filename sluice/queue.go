package sluice

import (
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// keyPatience is how long a request may wait for the owner of its key to
	// change. A planned move takes as long as the work under way.
	keyPatience = 700 * time.Millisecond
	// ownerReturn is when a key whose owner has left is asked for again, if the
	// next owner has not been named in time.
	ownerReturn = time.Second
	// serverReturn is when a service without a server is asked for again.
	serverReturn = time.Second
	// minRetryAfter keeps those who are refused from coming back before
	// anything has changed.
	minRetryAfter = 50 * time.Millisecond
)

// lane names the server that a waiting request depends on, if it is only one.
func (d *Controller) lane(now mooring.Instant, t *Request) fairway.ServerID {
	if t.Key == nil {
		return ""
	}
	if at := d.ownerSeat(now, *t.Key); at != nil {
		return at.sighting.ID
	}
	return "none"
}

// ahead counts the waiting requests that are served before t.
func (d *Controller) ahead(now mooring.Instant, t *Request) int {
	lane, n := d.lane(now, t), 0
	for _, other := range d.waiting {
		if d.lane(now, other) == lane && d.compare(now, other, t) <= 0 {
			n++
		}
	}
	return n
}

// compare orders the queue: by priority, then those that can still be on time,
// then by the time that is left.
func (d *Controller) compare(now mooring.Instant, a, b *Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	lateA, lateB := d.late(now, a), d.late(now, b)
	switch {
	case lateA && !lateB:
		return 1
	case lateB && !lateA:
		return -1
	case a.SoftDeadline < b.SoftDeadline:
		return -1
	case a.SoftDeadline > b.SoftDeadline:
		return 1
	default:
		return 0
	}
}

// late reports whether an answer to t would not be on time even if t were sent
// now.
func (d *Controller) late(now mooring.Instant, t *Request) bool {
	return now.Add(d.usual) > t.SoftDeadline
}

func (d *Controller) insert(now mooring.Instant, t *Request) {
	i, _ := slices.BinarySearchFunc(d.waiting, t, func(a, b *Request) int {
		if d.compare(now, a, b) <= 0 {
			return -1
		}
		return 1
	})
	d.waiting = slices.Insert(d.waiting, i, t)
}

// hopeless decides whether a new request is refused: if it would miss the time
// until which an answer has its full worth, or, if that has passed already, its
// deadline.
func (d *Controller) hopeless(now mooring.Instant, t *Request, ahead int) (Refuse, bool) {
	limit := t.SoftDeadline
	if d.late(now, t) {
		limit = t.Deadline
	}
	return d.refusal(now, t, ahead, limit)
}

// hopelessWaiting decides whether a waiting request is refused. It stays as
// long as it can be answered at all.
func (d *Controller) hopelessWaiting(now mooring.Instant, t *Request, ahead int) (Refuse, bool) {
	return d.refusal(now, t, ahead, t.Deadline)
}

func (d *Controller) refusal(now mooring.Instant, t *Request, ahead int, limit mooring.Instant) (Refuse, bool) {
	wait, reason := d.expectedWait(now, t, ahead)
	end := now.Add(wait + d.usual)
	if end <= limit {
		return Refuse{}, false
	}
	if reason == ReasonOverload && now.Add(d.usual) > t.Deadline {
		reason = ReasonTooLate
	}
	back := max(end.Sub(limit), minRetryAfter)
	if reason == ReasonNoOwner {
		// What it waits for does not depend on its own deadline.
		back = wait
	}
	refusal := Refuse{Reason: reason, RetryAfter: spread(back, t.ID), Ahead: ahead}
	if t.Key != nil {
		if at := d.ownerSeat(now, *t.Key); at != nil {
			refusal.Server = at.sighting.ID
		}
	}
	return refusal, true
}

// expectedWait returns how long t is likely to wait for a server.
func (d *Controller) expectedWait(now mooring.Instant, t *Request, ahead int) (time.Duration, Reason) {
	if t.Key != nil {
		return d.expectedOwnerWait(now, *t.Key, ahead)
	}
	rate := 0.0
	soonest := time.Duration(0)
	reason := ReasonNoServer
	for _, at := range d.order {
		if !d.usable(at) || slices.Contains(t.Tried, at.sighting.ID) {
			continue
		}
		if at.window.suspected(now) {
			pause := max(at.window.suspectUntil.Sub(now), d.usual)
			if soonest == 0 || pause < soonest {
				soonest = pause
			}
			reason = ReasonSuspected
			continue
		}
		rate += at.rate(now, d.usual)
	}
	switch {
	case rate > 0:
		return time.Duration(float64(ahead+1) / rate * float64(time.Second)), ReasonOverload
	case soonest > 0:
		return soonest, reason
	default:
		return serverReturn, reason
	}
}

func (d *Controller) expectedOwnerWait(now mooring.Instant, key mooring.Key, ahead int) (time.Duration, Reason) {
	at := d.ownerSeat(now, key)
	if at == nil {
		_, since, ok := d.cfg.Owners.Owner(key)
		switch {
		case ok:
			return ownerReturn, ReasonNoOwner
		case now.Sub(since) < keyPatience:
			return 0, ReasonNoOwner
		default:
			return max(since.Add(d.cfg.ReassignmentDelay).Sub(now), keyPatience), ReasonNoOwner
		}
	}
	wait := time.Duration(float64(ahead+1) / at.rate(now, d.usual) * float64(time.Second))
	if at.window.suspected(now) {
		return wait + max(at.window.suspectUntil.Sub(now), 0), ReasonSuspected
	}
	return wait, ReasonOverload
}

// rate returns how many requests a second this host can have answered by the
// server.
func (s *seat) rate(now mooring.Instant, usual time.Duration) float64 {
	return s.window.size / max(s.window.expected(now, usual).Seconds(), time.Millisecond.Seconds())
}

// spread lengthens a wait by up to a half, differently for each request, so
// that those who were refused together do not come back together.
func spread(wait time.Duration, id RequestID) time.Duration {
	const steps = 64
	return wait + wait/2*time.Duration(uint64(id)*2654435761%steps)/steps
}
