package sluice

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// farBytes is the size of an answer for which a server in another failure
	// domain counts as twice as slow. Traffic between domains is paid by the
	// byte.
	farBytes = 20_000
	// coldFactor is how much slower a server is right after its start.
	coldFactor = 2
	// errorCost is how many times as slow a server counts that only answers with
	// errors. It is tried again as its errors are forgotten.
	errorCost = 20.0
	// choices is the number of servers with room among which a request goes to
	// the one that is likely to answer first. Hosts that chose among all would
	// all choose the same one, and would keep connections to every server.
	choices = 12
)

// rank brings the servers into this host's order of preference, by rendezvous
// hashing: every server is preferred by as many hosts, and a change of the
// servers changes little. Every second one is of the own failure domain, as
// long as there are such.
func (d *Controller) rank() {
	slices.SortFunc(d.order, func(a, b *seat) int { return cmp.Compare(b.weight, a.weight) })
	var near, far []*seat
	for _, at := range d.order {
		if at.sighting.Domain == d.cfg.Domain {
			near = append(near, at)
		} else {
			far = append(far, at)
		}
	}
	d.order = d.order[:0]
	for i := 0; i < max(len(near), len(far)); i++ {
		if i < len(near) {
			d.order = append(d.order, near[i])
		}
		if i < len(far) {
			d.order = append(d.order, far[i])
		}
	}
}

// weight returns this host's preference for a server.
func (d *Controller) weight(id fairway.ServerID) uint64 {
	return xxhash.Sum64String(d.cfg.Host + "/" + string(id))
}

// judgeDoubtful decides whether servers that are missing from the list since an
// outage get requests. If most are missing, the list itself is not complete yet.
// If few are, this host was cut off and they have left.
func (d *Controller) judgeDoubtful() {
	listed, doubtful := 0, 0
	for _, at := range d.order {
		switch {
		case at.leaving:
		case at.doubtful:
			doubtful++
		default:
			listed++
		}
	}
	d.useDoubtful = doubtful > listed
}

// pick returns the server that is likely to answer first among the preferred
// ones with room.
func (d *Controller) pick(now mooring.Instant, t *Request) (*seat, bool) {
	if t.Key != nil {
		at := d.ownerSeat(now, *t.Key)
		return at, at != nil && at.window.room(now)
	}
	var best *seat
	bestCost := math.Inf(1)
	found := 0
	for _, at := range d.order {
		if found == choices {
			break
		}
		if !d.usable(at) || !at.window.room(now) || slices.Contains(t.Tried, at.sighting.ID) {
			continue
		}
		found++
		if cost := d.cost(now, at, t); cost < bestCost {
			best, bestCost = at, cost
		}
	}
	return best, best != nil
}

// usable reports whether a server may be given requests that any server may
// answer.
func (d *Controller) usable(at *seat) bool {
	return !at.leaving && (!at.doubtful || d.useDoubtful)
}

// cost estimates how long an answer takes, weighted by the price of passing it
// between failure domains.
func (d *Controller) cost(now mooring.Instant, at *seat, t *Request) float64 {
	cost := float64(at.window.expected(now, d.usual)) * float64(at.window.inFlight+1)
	cost *= 1 + errorCost*at.window.errorShare(now)
	if at.sighting.Domain != d.cfg.Domain {
		cost *= 1 + t.ResponseBytes/farBytes
	}
	if at.sighting.WarmupRemaining > 0 && at.window.latency == 0 {
		cost *= coldFactor
	}
	return cost
}

// ownerSeat returns the seat of a key's owner, or nil.
func (d *Controller) ownerSeat(now mooring.Instant, key mooring.Key) *seat {
	owner, _, ok := d.cfg.Owners.Owner(key)
	if !ok {
		return nil
	}
	at := d.seats[owner.Server]
	if at == nil || at.sighting.Incarnation != owner.Incarnation || at.leaving && now.Sub(at.leftAt) > ownerGrace {
		return nil
	}
	return at
}
