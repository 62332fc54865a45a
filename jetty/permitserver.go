package jetty

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// abandonedAfter is the time without a call after which a request that waits for a permit, or
// has got one that was not fetched, is taken to be given up. Its host calls again at once.
const abandonedAfter = 500 * time.Millisecond

var errNotCoordinator = status.Error(codes.FailedPrecondition, "this host does not coordinate the service")

// permitID identifies a request for a permit.
type permitID struct {
	session uint64
	id      uint64
}

// permitPlace is a request that waits for a permit or has one.
type permitPlace struct {
	adm     *admission
	service fairway.ServiceName
	req     *sluice.Request
	// decided receives the decision on a request that waits.
	decided <-chan sluice.Decision

	// calls is the number of calls that wait for the decision, and calledAt when the last
	// one has ended. fetched is set once the permit has been told.
	calls    int
	calledAt time.Time
	fetched  bool
}

// permitServer admits the requests of all hosts to the servers that this host coordinates. It
// implements signal.PermitsServer.
type permitServer struct {
	signal.UnimplementedPermitsServer

	admissions   *admissionSet
	clusterState *clusterState
	coordination *coordination
	coordinators *coordinators
	stopping     func() bool
	metrics      *metrics
	// onLoad, if set, is called with what a response says of the load of its server, before the
	// permit ends; see [sluice.Controller.ServerOf].
	onLoad func(c *sluice.Controller, now mooring.Instant, id sluice.RequestID, load *signal.PermitServerLoad)

	mu     sync.Mutex
	places map[permitID]*permitPlace
}

func newPermitServer(s *permitServer) *permitServer {
	s.places = make(map[permitID]*permitPlace)
	return s
}

// enter decides on a request, or queues it: then the decision is nil. It fails if this host
// does not coordinate.
func (s *permitServer) enter(name fairway.ServiceName, req *sluice.Request) (*permitPlace, sluice.Decision, error) {
	config := s.clusterState.activeConfig.Current()
	if s.stopping() || config == nil || !s.coordinators.isNamed() || !s.coordination.wanted(name) {
		return nil, nil, errNotCoordinator
	}
	service := config.Services[name]
	if service == nil || service.Divided != (req.Key != nil) {
		return nil, nil, errNotCoordinator
	}
	catalog := s.clusterState.catalog()
	adm := s.admissions.get(service, catalog)
	place := &permitPlace{adm: adm, service: name, req: req}
	var decision sluice.Decision
	decision, place.decided = adm.offer(req)
	s.count(name, decision)
	return place, decision, nil
}

// count counts a decision. A request that waits is counted once it is decided on.
func (s *permitServer) count(service fairway.ServiceName, decision sluice.Decision) {
	switch decision := decision.(type) {
	case sluice.Dispatch:
		s.metrics.permitDecided(service, "granted", "")
	case sluice.Refuse:
		s.metrics.permitDecided(service, "refused", reason(decision.Reason))
	}
}

// abandon gives up a request that waits, or a permit that nobody has fetched.
func (s *permitServer) abandon(place *permitPlace) {
	if place.decided != nil && place.adm.leave(place.req.ID) {
		return
	}
	place.adm.settle(place.req.ID, sluice.OutcomeCanceled, 0)
}

// settlePlace ends a permit. The load may be nil.
func (s *permitServer) settlePlace(place *permitPlace, outcome sluice.Outcome, took time.Duration, load *signal.PermitServerLoad) {
	if load != nil && s.onLoad != nil {
		place.adm.withController(func(c *sluice.Controller) { s.onLoad(c, monotonicNow(), place.req.ID, load) })
	}
	if outcome == sluice.OutcomeCanceled {
		s.abandon(place)
		return
	}
	place.adm.settle(place.req.ID, outcome, took)
}

// Acquire implements signal.PermitsServer.
func (s *permitServer) Acquire(ctx context.Context, m *signal.PermitRequest) (*signal.PermitReply, error) {
	s.release(m.GetSession(), m.GetReleased())
	id := permitID{session: m.GetSession(), id: m.GetId()}
	if s.stopping() {
		s.drop(id)
		return nil, errNotCoordinator
	}
	place := s.resume(id)
	if place == nil {
		var decision sluice.Decision
		var err error
		place, decision, err = s.enter(fairway.ServiceName(m.GetService()), decodePermitRequest(m, monotonicNow()))
		if err != nil {
			return nil, err
		}
		switch decision.(type) {
		case sluice.Refuse:
			return encodeDecision(decision), nil
		case sluice.Dispatch:
			place.fetched = true
			s.keep(id, place)
			return encodeDecision(decision), nil
		}
		place.calls = 1
		s.keep(id, place)
	}
	return s.await(ctx, id, place, decodeMicros(m.GetWaitMicros()))
}

// await waits for the decision on a request for a time.
func (s *permitServer) await(ctx context.Context, id permitID, place *permitPlace, wait time.Duration) (*signal.PermitReply, error) {
	timer := time.NewTimer(min(wait, maxPermitWait))
	defer timer.Stop()
	select {
	case decision := <-place.decided:
		s.count(place.service, decision)
		s.mu.Lock()
		defer s.mu.Unlock()
		place.calls--
		place.fetched = true
		if _, granted := decision.(sluice.Dispatch); !granted {
			delete(s.places, id)
		}
		return encodeDecision(decision), nil
	case <-ctx.Done():
		s.drop(id)
		return nil, ctx.Err()
	case <-timer.C:
		s.mu.Lock()
		defer s.mu.Unlock()
		place.calls--
		place.calledAt = time.Now()
		return encodeDecision(nil), nil
	}
}

// keep keeps the place of a request.
func (s *permitServer) keep(id permitID, place *permitPlace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places[id] = place
}

// resume returns the place of a request that waits, or nil.
func (s *permitServer) resume(id permitID) *permitPlace {
	s.mu.Lock()
	defer s.mu.Unlock()
	place := s.places[id]
	if place == nil || place.fetched {
		return nil
	}
	place.calls++
	return place
}

// drop gives up a request.
func (s *permitServer) drop(id permitID) {
	s.mu.Lock()
	place := s.places[id]
	delete(s.places, id)
	s.mu.Unlock()
	if place != nil {
		s.abandon(place)
	}
}

// Release implements signal.PermitsServer.
func (s *permitServer) Release(_ context.Context, m *signal.PermitReleases) (*signal.PermitReleasesReply, error) {
	s.release(m.GetSession(), m.GetReleased())
	return &signal.PermitReleasesReply{}, nil
}

func (s *permitServer) release(session uint64, released []*signal.ReleasedPermit) {
	for _, r := range released {
		id := permitID{session: session, id: r.GetId()}
		overdue := r.GetOutcome() == signal.PermitOutcome_PERMIT_OUTCOME_OVERDUE
		s.mu.Lock()
		place := s.places[id]
		if !overdue {
			delete(s.places, id)
		}
		s.mu.Unlock()
		switch {
		case place == nil:
		case overdue:
			place.adm.overdue(place.req.ID)
		default:
			s.settlePlace(place, decodeOutcome(r.GetOutcome()), decodeMicros(r.GetTookMicros()), r.GetLoad())
		}
	}
}

// sweep decides again on the waiting requests, ends the permits that have expired or are
// abandoned, and reports whether any request waits.
func (s *permitServer) sweep() bool {
	waits := false
	for service, adm := range s.admissions.all() {
		adm.setMostUrgent(s.coordination.mostUrgent(service))
		waits = adm.reevaluate() || waits
	}
	now, instant := time.Now(), monotonicNow()
	var abandoned []*permitPlace
	s.mu.Lock()
	for id, place := range s.places {
		given := !place.fetched && place.calls == 0 && now.Sub(place.calledAt) > abandonedAfter
		if given || place.fetched && place.req.Deadline <= instant {
			delete(s.places, id)
		}
		if given {
			abandoned = append(abandoned, place)
		}
	}
	s.mu.Unlock()
	for _, place := range abandoned {
		s.abandon(place)
	}
	return waits
}
