package jetty

import (
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// pathSilence is how long a placer that reaches the servers is without an accepted
	// order at most, somewhat more than the time between two grants.
	pathSilence = 800 * time.Millisecond
	// recentAcceptance is the time in which a server that accepted an order is sent the
	// next one, and that order fails if the path is lost.
	recentAcceptance = grantRenewInterval + grantTimeout + 150*time.Millisecond
	// pathFailures is the number of failed orders at one server that count.
	pathFailures = 2
	// minFailedServers is the number of servers that have to fail. A single one may
	// have ended.
	minFailedServers = 2
	// minTermLength is how long after its claim a placer does not resign.
	minTermLength = 2 * time.Second
	// minResignInterval is the least time between two resignations of a host. It
	// doubles with each until maxResignInterval, and is reset when the host has not
	// resigned for that long.
	minResignInterval = 5 * time.Second
	maxResignInterval = 2 * time.Minute
	// cutClaimDelay is how much later than others a host claims a term that does not
	// reach the servers.
	cutClaimDelay = 1500 * time.Millisecond
)

// pathEvidence decides by a placer's orders whether it has lost the path to the
// servers. A server that has ended fails alone. It is not safe for concurrent use.
type pathEvidence struct {
	began mooring.Instant
	// acceptedAt is when the last accepted order ended.
	acceptedAt mooring.Instant
	servers    map[fairway.ServerID]*orderEvidence
	isLost     bool
}

// orderEvidence is what the orders to one server have shown.
type orderEvidence struct {
	// acceptedAt is when the server last accepted an order, or zero.
	acceptedAt mooring.Instant
	// failures counts the failed orders since any server accepted one, and failedAt is
	// when the first of them ended.
	failures int
	failedAt mooring.Instant
	// missed counts the failed orders since this server answered one, and missedAt is
	// when the first of them ended.
	missed   int
	missedAt mooring.Instant
}

func newPathEvidence(began mooring.Instant) *pathEvidence {
	return &pathEvidence{began: began, acceptedAt: began, servers: make(map[fairway.ServerID]*orderEvidence)}
}

// record records the outcome of an order.
func (p *pathEvidence) record(e mooring.OrderCompleted) {
	s := p.servers[e.Order.To.Server]
	if s == nil {
		s = &orderEvidence{}
		p.servers[e.Order.To.Server] = s
	}
	switch e.Result {
	case mooring.ResultNotTried, mooring.ResultSessionEnded:
	case mooring.ResultNoResponse, mooring.ResultNotSent:
		s.failures++
		if s.failures == 1 {
			s.failedAt = e.Ended
		}
		s.missed++
		if s.missed == 1 {
			s.missedAt = e.Ended
		}
	default:
		// Any answer shows that the path is there.
		p.isLost = false
		p.acceptedAt = e.Ended
		s.acceptedAt, s.missed = e.Ended, 0
		for _, other := range p.servers {
			other.failures = 0
		}
	}
}

// lost reports whether the orders show at an instant that the path to the listed
// servers is lost. Once it is, it remains so until an order is answered.
func (p *pathEvidence) lost(now mooring.Instant, catalog *fairway.Catalog) bool {
	if p.isLost || now.Sub(p.acceptedAt) < pathSilence {
		return p.isLost
	}
	failed, ordered := 0, 0
	for id, s := range p.servers {
		if _, listed := catalog.Get(id); !listed {
			continue
		}
		ordered++
		switch {
		case s.failures >= pathFailures:
			failed++
		case s.failures == 0 && s.acceptedAt != 0 && now.Sub(s.acceptedAt) < recentAcceptance:
			return false
		}
	}
	p.isLost = failed >= minFailedServers && 2*failed >= ordered
	return p.isLost
}

// failedSince returns, for each server whose orders have failed repeatedly, when the
// first of them had failed.
func (p *pathEvidence) failedSince() map[fairway.ServerID]mooring.Instant {
	failed := make(map[fairway.ServerID]mooring.Instant)
	for id, s := range p.servers {
		if s.failures >= pathFailures {
			failed[id] = s.failedAt
		}
	}
	return failed
}

// mostFailing returns, for the servers whose orders have failed repeatedly, when the
// first of them had failed, if that is at least half of the listed servers that were
// sent orders. Other servers may answer: servers that have started since may be on
// another path.
func (p *pathEvidence) mostFailing(catalog *fairway.Catalog) map[fairway.ServerID]mooring.Instant {
	failing := make(map[fairway.ServerID]mooring.Instant)
	ordered := 0
	for id, s := range p.servers {
		if _, listed := catalog.Get(id); !listed {
			continue
		}
		ordered++
		if s.missed >= pathFailures {
			failing[id] = s.missedAt
		}
	}
	if len(failing) < minFailedServers || 2*len(failing) < ordered {
		return nil
	}
	return failing
}

// resignation decides when a placer that has lost the path to the servers resigns,
// and how long this host leaves the next claim to others. It is not safe for
// concurrent use.
type resignation struct {
	// resignedAt is when this host last resigned, or zero.
	resignedAt mooring.Instant
	interval   time.Duration
	// vacantSince is when this host first saw that there is no placer, or zero.
	vacantSince mooring.Instant
}

// due reports whether a placer whose term began at an instant must resign. Servers
// that answer other hosts show that the path is lost and not the servers.
func (r *resignation) due(now, began mooring.Instant, ordersFail, answersOthers bool) bool {
	if !ordersFail || !answersOthers || now.Sub(began) < minTermLength {
		return false
	}
	return r.resignedAt == 0 || now.Sub(r.resignedAt) >= r.interval
}

// resigned records a resignation.
func (r *resignation) resigned(now mooring.Instant) {
	if r.resignedAt == 0 || now.Sub(r.resignedAt) >= maxResignInterval {
		r.interval = minResignInterval
	} else {
		r.interval = min(2*r.interval, maxResignInterval)
	}
	r.resignedAt = now
}

// claimDelay returns how long this host still waits for others to claim the term. A
// host that has resigned lately waits like one that reaches few servers.
func (r *resignation) claimDelay(now mooring.Instant, vacant, reachesFew bool) time.Duration {
	if !vacant {
		r.vacantSince = 0
		return 0
	}
	if r.vacantSince == 0 {
		r.vacantSince = now
	}
	if !reachesFew && (r.resignedAt == 0 || now.Sub(r.resignedAt) >= minResignInterval) {
		return 0
	}
	return max(0, cutClaimDelay-now.Sub(r.vacantSince))
}
