package mooring

import (
	"sort"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// clockDrift is the part by which a server's clock may run slow.
	clockDrift = 0.02
	// unreachableAfter is the number of failed orders in a row after which a
	// server is in doubt. One may be lost by chance.
	unreachableAfter = 2
	// silentAfter is how long a server may be in doubt before it is replaced:
	// until the hosts would have reported answers of it.
	silentAfter = 1600 * time.Millisecond
	// reportLag is the time from an answer to its report by a host.
	reportLag = 600 * time.Millisecond
	// retryOrder is the pause before a failed order is sent again. It is a few
	// round trips.
	retryOrder = 100 * time.Millisecond
	// ordersPerServer bounds the orders under way to one server, each of which
	// takes a connection. Releases wait for the work under way.
	ordersPerServer = 3
	// returnGrace is how long a server that could not be reached is given no
	// new keys.
	returnGrace = 3 * time.Second
	// maxAvoid bounds that time for a server that fails again and again.
	maxAvoid = 15 * time.Second
)

// server is what the keeper knows of one run of a backend server.
type server struct {
	// lastGrant is the latest moment at which a grant of this placer may have
	// arrived.
	lastGrant Instant
	// inFlight counts orders without an answer, grants those among them that
	// are grants.
	inFlight int
	grants   int
	// failures counts orders without success in a row, since doubtedAt enough of
	// them for a doubt. The last may have arrived if unanswered is set.
	failures   int
	doubtedAt  Instant
	unanswered bool
	retryAt    Instant
	// avoidUntil keeps new keys away after failures.
	avoidUntil Instant
}

// free reports whether another order may be sent to the server.
func (s *server) free(now Instant) bool {
	return s.inFlight < ordersPerServer && now >= s.retryAt
}

// doubted reports whether orders to the server fail.
func (s *server) doubted() bool {
	return s.failures >= unreachableAfter
}

// grantable reports whether a grant may be sent. A grant that gets no answer
// lengthens the wait for the server's keys, so a server in doubt gets none until
// it has been heard of or enough time has passed.
func (s *server) grantable(now Instant) bool {
	return s.free(now) && (!s.doubted() || !s.unanswered || now >= s.avoidUntil)
}

// clear reports whether a former owner certainly holds nothing of a row.
func (k *Assigner) clear(r *Assignment, h ServerInstance) bool {
	state := k.row(r)
	if state.cleared[h] || k.ended(h) {
		return true
	}
	s := k.server(h)
	return s.grants == 0 && k.now.Sub(k.lastGrant(s)) > k.holdBound()
}

// holdBound is the longest time that a server holds keys after a grant.
func (k *Assigner) holdBound() time.Duration {
	return time.Duration(float64(k.cfg.Timing.Hold)/(1-clockDrift)) + k.cfg.Timing.HoldMargin
}

// ended reports whether a sighting proves that the run has ended: a later run
// has its id, or a server that started later has its address.
func (k *Assigner) ended(h ServerInstance) bool {
	if s, ok := k.catalog.Get(h.Server); ok && s.Incarnation > h.Incarnation {
		return true
	}
	for _, s := range k.catalog.All() {
		if s.Address == h.Address && s.ID != h.Server && s.Incarnation > h.Incarnation {
			return true
		}
	}
	return false
}

// fit returns why h must not own keys, or an empty reason.
func (k *Assigner) fit(h ServerInstance) Reason {
	s, ok := k.catalog.Get(h.Server)
	switch {
	case !ok || s.Service != k.cfg.Service:
		return ReasonOwnerRemoved
	case s.Incarnation != h.Incarnation || s.Address != h.Address:
		return ReasonOwnerRestarted
	case s.Draining:
		return ReasonOwnerDraining
	case k.silent(k.server(h)):
		return ReasonOwnerUnresponsive
	default:
		return ""
	}
}

// silent reports whether a server has been in doubt for too long. It is tried
// again after a while.
func (k *Assigner) silent(s *server) bool {
	return s.doubted() && k.now.Sub(s.doubtedAt) > silentAfter && k.now < s.avoidUntil
}

// heard ends the doubt about servers that have answered requests since.
func (k *Assigner) heard(e LoadReported) {
	for h, s := range k.servers {
		if s.doubted() && e.Answered[h.Server] && k.now.Sub(s.doubtedAt) > e.Interval+reportLag && !k.silent(s) {
			s.failures = 0
		}
	}
}

// candidates returns the servers that may be given keys, by id.
func (k *Assigner) candidates() []fairway.Endpoint {
	var found []fairway.Endpoint
	for _, s := range k.catalog.ByService(k.cfg.Service) {
		h := holderOf(s)
		if k.fit(h) == "" && k.now >= k.server(h).avoidUntil {
			found = append(found, s)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

func holderOf(s fairway.Endpoint) ServerInstance {
	return ServerInstance{Server: s.ID, Incarnation: s.Incarnation, Address: s.Address}
}

// forget drops the state of servers that nothing refers to any more.
func (k *Assigner) forget() {
	if len(k.servers) < 2*(len(k.catalog.ByService(k.cfg.Service))+len(k.recorded.Assignments)+1) {
		return
	}
	used := make(map[ServerInstance]bool)
	for _, t := range []*Table{k.recorded, k.pending} {
		if t == nil {
			continue
		}
		for i := range t.Assignments {
			used[t.Assignments[i].Owner] = true
			for _, h := range t.Assignments[i].FormerOwners {
				used[h] = true
			}
		}
	}
	for _, s := range k.catalog.ByService(k.cfg.Service) {
		used[holderOf(s)] = true
	}
	for h, s := range k.servers {
		// A run that was granted keys may come up again while it still holds
		// them, so its last grant is kept for that long.
		if !used[h] && s.inFlight == 0 && k.now.Sub(k.lastGrant(s)) > k.holdBound() {
			delete(k.servers, h)
		}
	}
}
