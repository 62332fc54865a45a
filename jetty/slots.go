package jetty

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// slotInterval is the time between two checks whether slots are needed, besides
	// those when a request begins to wait.
	slotInterval = 50 * time.Millisecond
	// noLimitInterval is the same while no limit is known. The first one wakes the loop.
	noLimitInterval = time.Second
	// takeSlotsTimeout bounds a call for slots. Until it has failed, the host has none.
	takeSlotsTimeout = 200 * time.Millisecond
	// ownSlotsShare is the part of a limit that all hosts together use while they have
	// no placer to ask.
	ownSlotsShare = 0.5
)

// run asks for slots until ctx is done.
func (l *limits) run(ctx context.Context) {
	defer l.closeConn()
	timer := time.NewTimer(noLimitInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
		next := noLimitInterval
		if l.any() || l.cold.any(monotonicNow()) {
			l.askForSlots(ctx)
			next = slotInterval
		}
		timer.Reset(next)
	}
}

// any reports whether any limit is known.
func (l *limits) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) > 0
}

// slotDemand is the slots that the admission of a service needs.
type slotDemand struct {
	adm     *admission
	request sluice.SlotRequest
}

// askForSlots gets slots for the requests that wait, all with one call.
func (l *limits) askForSlots(ctx context.Context) {
	l.refresh(monotonicNow())
	var demands []slotDemand
	for _, adm := range l.demanding() {
		for _, r := range adm.slotRequests() {
			demands = append(demands, slotDemand{adm: adm, request: r})
		}
	}
	if len(demands) == 0 {
		return
	}
	given, err := l.takeSlots(ctx, demands)
	if err != nil {
		given = l.ownSlots(demands)
	} else {
		l.dropOwn()
	}
	for i, d := range demands {
		d.adm.addSlots(d.request, given[i])
	}
}

// demanding returns the admissions that may need slots. The requests of a service that has
// coordinators need slots of this host's own admission only if they wait there; slots that it
// took ahead would be missing at the coordinator.
func (l *limits) demanding() []*admission {
	var found []*admission
	for service, adm := range l.admissions.all() {
		if l.coordinated == nil || !l.coordinated(service) || adm.usage().Waiting > 0 {
			found = append(found, adm)
		}
	}
	if l.admissions.coordinated != nil {
		found = append(found, l.admissions.coordinated.every()...)
	}
	return found
}

// takeSlots takes slots from the placer.
func (l *limits) takeSlots(ctx context.Context, demands []slotDemand) ([]sluice.Slots, error) {
	request := &signal.TakeSlotsRequest{}
	now := monotonicNow()
	l.mu.Lock()
	for _, d := range demands {
		// A placer of an earlier build takes the rate of a cold server for a limit that the
		// server names, until a response without one.
		e := sluice.LimitEvidence{Limit: d.request.Limit, NamedAt: now}
		if r := l.records[d.request.Server]; r != nil {
			e = r.evidence
		}
		request.Requests = append(request.Requests, &signal.SlotRequest{
			Limit: encodeLimit(d.request.Server, e, now), Slots: uint32(d.request.Slots), ColdRate: float64(d.request.Cold),
		})
	}
	l.mu.Unlock()
	reply, err := l.call(ctx, request)
	if err != nil {
		return nil, err
	}
	if len(reply.Slots) != len(demands) {
		return nil, status.Error(codes.Internal, "reply does not match the request")
	}
	given := make([]sluice.Slots, len(demands))
	for i, s := range reply.Slots {
		given[i].Next = time.Duration(s.GetNextMicros()) * time.Microsecond
		for _, wait := range s.GetWaitMicros() {
			given[i].Waits = append(given[i].Waits, time.Duration(wait)*time.Microsecond)
		}
	}
	return given, nil
}

// call calls the placer, which may be this host.
func (l *limits) call(ctx context.Context, r *signal.TakeSlotsRequest) (*signal.TakeSlotsReply, error) {
	placer := l.clusterState.currentPlacer().address
	switch {
	case placer == "":
		return nil, status.Error(codes.Unavailable, "there is no placer")
	case placer == l.address:
		return l.TakeSlots(ctx, r)
	}
	if l.conn == nil || l.connAddress != placer {
		l.closeConn()
		conn, err := dialPeer(placer)
		if err != nil {
			return nil, err
		}
		l.conn, l.connAddress = conn, placer
	}
	ctx, cancel := context.WithTimeout(ctx, takeSlotsTimeout)
	defer cancel()
	reply, err := signal.NewLimitsClient(l.conn).TakeSlots(ctx, r)
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		l.closeConn()
	}
	return reply, err
}

func (l *limits) closeConn() {
	if l.conn != nil {
		// Close fails only if the connection is closed already.
		_ = l.conn.Close()
		l.conn = nil
	}
}

// TakeSlots implements signal.LimitsServer.
func (l *limits) TakeSlots(_ context.Context, r *signal.TakeSlotsRequest) (*signal.TakeSlotsReply, error) {
	if !l.mayGive() {
		l.mu.Lock()
		l.pool = nil
		l.mu.Unlock()
		return nil, status.Error(codes.FailedPrecondition, "this host is not the placer")
	}
	now := monotonicNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pool == nil {
		l.pool = sluice.NewSlotPool()
	}
	reply := &signal.TakeSlotsReply{}
	for _, request := range r.GetRequests() {
		s := &signal.Slots{}
		reply.Slots = append(reply.Slots, s)
		instance, rate, ok := l.rateFor(request, now)
		if !ok {
			s.NextMicros = uint64(slotInterval.Microseconds())
			continue
		}
		given := l.pool.Take(now, instance, rate, int(request.GetSlots()))
		s.NextMicros = uint64(given.Next.Microseconds())
		for _, wait := range given.Waits {
			s.WaitMicros = append(s.WaitMicros, uint64(wait.Microseconds()))
		}
	}
	return reply, nil
}

// rateFor returns the server for which slots are asked and the rate at which they are given
// out, or false if the server is not registered or not limited.
func (l *limits) rateFor(request *signal.SlotRequest, now mooring.Instant) (sluice.ServerInstance, sluice.Rate, bool) {
	cold := request.GetColdRate()
	if cold <= 0 {
		instance, ok := l.mergeOne(request.GetLimit(), now)
		if !ok {
			return instance, 0, false
		}
		return instance, l.records[instance].evidence.Limit, true
	}
	report := request.GetLimit()
	instance := sluice.ServerInstance{Server: fairway.ServerID(report.GetServer()), Incarnation: fairway.Incarnation(report.GetIncarnation())}
	e, listed := l.clusterState.catalog().Get(instance.Server)
	if !listed || sluice.ServerInstanceOf(e) != instance {
		return instance, 0, false
	}
	rate := sluice.Rate(cold)
	if report.GetNamedBy() != "" {
		l.mergeOne(report, now)
	}
	if r := l.records[instance]; r != nil && r.evidence.Limited() {
		rate = min(rate, r.evidence.Limit)
	}
	return instance, rate, true
}

// ownSlots returns slots of this host's part of each limit, while the placer cannot be
// asked.
func (l *limits) ownSlots(demands []slotDemand) []sluice.Slots {
	now, hosts, known := monotonicNow(), l.clusterState.hostCount(), l.clusterState.knownHostCount()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil {
		l.own = sluice.NewSlotPool()
	}
	given := make([]sluice.Slots, len(demands))
	for i, d := range demands {
		rate := ownSlotsShare * d.request.Limit / sluice.Rate(hosts)
		if d.request.Cold > 0 {
			rate = min(rate, sluice.OwnColdRate(d.request.Cold, known))
		}
		given[i] = l.own.TakePart(now, d.request.Server, rate, d.request.Slots)
	}
	return given
}

func (l *limits) dropOwn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = nil
}

// wakeUp has the loop look for servers that need slots.
func (l *limits) wakeUp() {
	signalOnce(l.wake)
}

// startWaiting is called when a request begins to wait at an admission.
func (l *limits) startWaiting() {
	signalOnce(l.wake)
}
