package jetty

import (
	"context"
	"maps"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// admission serializes the calls to one [sluice.Controller] and its retry
// budget, and delivers decisions to the requests that wait for them.
type admission struct {
	mu          sync.Mutex
	controller  *sluice.Controller
	retryBudget *sluice.RetryBudget
	secondSends *sluice.SecondSends
	owners      *ownerTable
	waiting     map[sluice.RequestID]chan sluice.Decision
	nextID      sluice.RequestID
	// mix has the priorities of the requests; nil means that those of the routes count.
	mix *sluice.PriorityMix
	// byPriority is set if the service counts as one with different priorities while they do.
	byPriority bool
	// requestsByKey counts the requests of each key since the last report.
	requestsByKey map[mooring.Key]int
	// routeMeans has the means of each route's responses.
	routeMeans map[fairway.RouteName]*routeMeans
	// stats has the measurements of each server since the last report.
	stats map[fairway.ServerID]*serverStats
	// coordinated is set if the controller admits the requests of all hosts.
	coordinated bool
	// extraWork is the time that servers have spent on second sends and on first ones that
	// lost to them, without an answer that counts.
	extraWork time.Duration
	// onWait, if set, is called when a request begins to wait while a server has a limit.
	onWait func()
	// onQueued, if set, is called when a request begins to wait.
	onQueued func()
}

// routeMeans are moving averages over the responses on a route.
type routeMeans struct {
	bytes   float64
	latency time.Duration
}

// serverStats is what this host has measured of a server since its last report.
// For each response, slowness adds its latency divided by the mean latency of
// its route, both without the wait at servers that tell their load.
type serverStats struct {
	responses int
	slowness  float64
	// requests and overloadSamples are the counts that
	// [sluice.OverloadDetector] takes.
	requests        int
	overloadSamples int
}

// ewmaWeight is the weight of a new response in the moving averages of a route.
const ewmaWeight = 0.05

// acquire waits until req is admitted or refused. It returns nil if ctx is done
// before that.
func (a *admission) acquire(ctx context.Context, req *sluice.Request) sluice.Decision {
	decision, decided := a.offer(req)
	if decision != nil {
		return decision
	}
	select {
	case decision = <-decided:
		return decision
	case <-ctx.Done():
	}
	if a.leave(req.ID) {
		return nil
	}
	// The decision was made just before ctx was done.
	return <-decided
}

// offer decides on req, or queues it and returns where its decision will come.
func (a *admission) offer(req *sluice.Request) (sluice.Decision, <-chan sluice.Decision) {
	a.mu.Lock()
	a.nextID++
	req.ID = a.nextID
	decision := a.controller.Admit(monotonicNow(), req)
	if _, ok := decision.(sluice.Wait); !ok {
		a.recordRefusal(decision)
		a.mu.Unlock()
		return decision, nil
	}
	decided := make(chan sluice.Decision, 1)
	a.waiting[req.ID] = decided
	limited := a.controller.Limited()
	a.mu.Unlock()
	if a.onQueued != nil {
		a.onQueued()
	}
	if limited && a.onWait != nil {
		a.onWait()
	}
	return nil, decided
}

// leave takes a request out of the queue, and reports false if it has been decided on.
func (a *admission) leave(id sluice.RequestID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.controller.Cancel(id) {
		return false
	}
	delete(a.waiting, id)
	return true
}

// openOwner returns the server that owns a key, if it may get requests for it as far as
// this host knows.
func (a *admission) openOwner(key mooring.Key) (fairway.ServerID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.OpenOwner(monotonicNow(), key)
}

// owns reports whether this host knows a server as the owner of a key.
func (a *admission) owns(server fairway.ServerID, key mooring.Key) bool {
	owner, _, ok := a.owners.Owner(key)
	return ok && owner.Server == server
}

// finish records the end of a dispatched request on a route.
func (a *admission) finish(instance sluice.ServerInstance, route fairway.RouteName, outcome sluice.Outcome, latency, objective time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch outcome {
	case sluice.OutcomeAnswered:
		a.recordSample(instance.Server, sluice.IsOverloadSample(latency, objective))
	case sluice.OutcomeRejected, sluice.OutcomeReset:
		a.recordSample(instance.Server, true)
	default:
	}
	a.deliver(a.controller.FinishRoute(monotonicNow(), instance, route, outcome, latency, objective))
}

// recordLate records the response to a request that was finished as overdue.
func (a *admission) recordLate(instance sluice.ServerInstance, latency, objective time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.RecordLate(monotonicNow(), instance, latency, objective)
}

// recordRefusal counts a refusal for lack of room at one server as an overload
// sample.
func (a *admission) recordRefusal(decision sluice.Decision) {
	if r, ok := decision.(sluice.Refuse); ok && r.Reason == sluice.ReasonOverload && r.Server != "" {
		a.recordSample(r.Server, true)
	}
}

// recordSample counts a request to a server, and whether it suggests that the
// server is overloaded.
func (a *admission) recordSample(id fairway.ServerID, overloaded bool) {
	st := a.statsOf(id)
	st.requests++
	if overloaded {
		st.overloadSamples++
	}
}

func (a *admission) statsOf(id fairway.ServerID) *serverStats {
	st := a.stats[id]
	if st == nil {
		st = &serverStats{}
		a.stats[id] = st
	}
	return st
}

// setOverloaded sets which servers are overloaded.
func (a *admission) setOverloaded(overloaded map[fairway.ServerID]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetOverloaded(monotonicNow(), overloaded)
}

// reevaluate decides again on the waiting requests, and reports whether any still wait.
func (a *admission) reevaluate() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller.Waiting() > 0 || a.coordinated {
		a.deliver(a.controller.Reevaluate(monotonicNow()))
	}
	return a.controller.Waiting() > 0
}

// deliver passes decisions on to the requests that wait for them.
func (a *admission) deliver(resolved []sluice.Resolution) {
	for _, r := range resolved {
		a.recordRefusal(r.Decision)
		a.waiting[r.Request] <- r.Decision
		delete(a.waiting, r.Request)
	}
}

// setServers replaces the list of servers, the evacuated failure domains, the number of entry hosts, 0 if it is not
// known, and that of those which reach the servers. The latter share the servers.
func (a *admission) setServers(servers []fairway.Endpoint, evacuations sluice.Evacuations, hosts, reaching int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonicNow()
	a.controller.SetEvacuations(evacuations)
	a.controller.SetServers(now, servers, reaching)
	a.retryBudget.SetHosts(now, hosts)
	a.deliver(a.controller.Reevaluate(now))
}

// setLimit sets what is known of the limit of a server.
func (a *admission) setLimit(instance sluice.ServerInstance, e sluice.LimitEvidence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetLimit(instance, e.Limit, e.Limited())
	a.deliver(a.controller.Reevaluate(monotonicNow()))
}

// setCold limits a server to a rate until an instant.
func (a *admission) setCold(instance sluice.ServerInstance, rate sluice.Rate, until mooring.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetCold(monotonicNow(), instance, rate, until)
}

// setNotice sets what is known of a server besides its registration.
func (a *admission) setNotice(instance sluice.ServerInstance, n sluice.Notice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.coordinated {
		// A closure holds for this host only. The others tell theirs when they ask.
		n.ClosedUntil = 0
	}
	a.controller.SetNotice(instance, n)
	a.deliver(a.controller.Reevaluate(monotonicNow()))
}

// setLoad sets the load that a server told at an instant.
func (a *admission) setLoad(at mooring.Instant, instance sluice.ServerInstance, load sluice.ServerLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetLoad(at, instance, load)
}

// serverStatuses returns the state of the servers, for operators.
func (a *admission) serverStatuses() []sluice.ServerStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ServerStatuses(monotonicNow())
}

// slotRequests returns the slots of limited servers to ask for.
func (a *admission) slotRequests() []sluice.SlotRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.controller.Limited() {
		return nil
	}
	return a.controller.SlotRequests(monotonicNow())
}

// addSlots adds the slots that were given out for a request.
func (a *admission) addSlots(r sluice.SlotRequest, slots sluice.Slots) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.AddSlots(monotonicNow(), r, slots))
}

// setMostUrgent sets the priority of the most urgent requests.
func (a *admission) setMostUrgent(priority int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetMostUrgent(priority)
}

// claim counts a request that a coordinator has admitted to a server, or returns false if it
// must not be sent there as far as this host knows.
func (a *admission) claim(req *sluice.Request, granted sluice.Dispatch) (fairway.Endpoint, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Claim(monotonicNow(), req, granted)
}

// ownerFails reports whether the owner of a key does not answer this host, or is not known.
func (a *admission) ownerFails(key mooring.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.OwnerFails(monotonicNow(), key)
}

// unusable returns up to n of the servers that must not get a request without a key from
// this host.
func (a *admission) unusable(n int) []fairway.ServerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Unusable(monotonicNow(), n)
}

// refusedElsewhere records the refusal of a request by a coordinator.
func (a *admission) refusedElsewhere(decision sluice.Refuse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordRefusal(decision)
}

// settle records the end of a request that a coordinating admission has admitted.
func (a *admission) settle(id sluice.RequestID, outcome sluice.Outcome, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Settle(monotonicNow(), id, outcome, took))
}

// withController calls a function with the controller while nobody else uses it.
func (a *admission) withController(use func(*sluice.Controller)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	use(a.controller)
}

// overdue records that the response to such a request is late.
func (a *admission) overdue(id sluice.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Overdue(monotonicNow(), id))
}

// permits returns the number of such requests in flight, and that of those whose permits
// have expired since the last call.
func (a *admission) permits() (held, expired int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Permits()
}

// restore ends the suspicion of all servers within a short time.
func (a *admission) restore() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonicNow()
	a.controller.Restore(now)
	a.deliver(a.controller.Reevaluate(now))
}

// recordPriority counts a request with its priority.
func (a *admission) recordPriority(priority int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mix == nil {
		return
	}
	a.mix.Record(monotonicNow(), priority)
	a.controller.SetAlike(!a.byPriority || !a.mix.Mixed())
}

// mixed reports whether the requests have different priorities.
func (a *admission) mixed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byPriority && a.mix.Mixed()
}

// mostUrgent returns the priority of the most urgent requests, or false if there are none.
func (a *admission) mostUrgent() (priority int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mix == nil {
		return 0, false
	}
	return a.mix.MostUrgent()
}

// tellsLoad reports whether servers of the service tell their load.
func (a *admission) tellsLoad() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.TellsLoad()
}

// recordArrival counts a request and returns the expected size of its response.
func (a *admission) recordArrival(route fairway.RouteName, key *mooring.Key) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonicNow()
	a.retryBudget.RecordRequest(now)
	a.secondSends.RecordRequest(now)
	if key != nil {
		a.requestsByKey[*key]++
	}
	return a.expectedBytes(route)
}

// expectedBytes returns the expected size of a response on a route.
func (a *admission) expectedBytes(route fairway.RouteName) float64 {
	if means := a.routeMeans[route]; means != nil {
		return means.bytes
	}
	return 0
}

// recordResponse updates the averages with a response that is passed on.
func (a *admission) recordResponse(route fairway.RouteName, server fairway.ServerID, n int, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	means := a.routeMeans[route]
	if means == nil {
		means = &routeMeans{bytes: float64(n), latency: latency}
		a.routeMeans[route] = means
	}
	latency = a.controller.WithoutWait(monotonicNow(), server, latency)
	means.bytes += ewmaWeight * (float64(n) - means.bytes)
	means.latency += time.Duration(ewmaWeight * float64(latency-means.latency))
	st := a.statsOf(server)
	st.responses++
	st.slowness += float64(latency) / float64(max(means.latency, time.Microsecond))
}

// setRoutes sets the routes of a configuration and those of the service among them. It
// forgets what is known of others.
func (a *admission) setRoutes(names map[fairway.RouteName]bool, own serviceRoutes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetRoutes(own.names, own.mixed)
	maps.DeleteFunc(a.routeMeans, func(name fairway.RouteName, _ *routeMeans) bool { return !names[name] })
	a.secondSends.RetainRoutes(names)
}

// meanLatency returns the mean latency of the responses on a route, or of the service if its
// routes are not told apart.
func (a *admission) meanLatency(route fairway.RouteName) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.MeanLatencyOf(route)
}

// allowRetry takes one retry from the budget, or reports false if none is left.
func (a *admission) allowRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryBudget.Allow(monotonicNow())
}

// admissionUsage is a snapshot of an admission's use, for the metrics.
type admissionUsage struct {
	sluice.Usage
	budgetLeft float64
	// secondLimitUsed and extraWork are set if there are second sends.
	secondSends     bool
	secondLimitUsed float64
	extraWork       time.Duration
}

func (a *admission) usage() admissionUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonicNow()
	return admissionUsage{
		Usage: a.controller.Usage(), budgetLeft: a.retryBudget.Remaining(now),
		secondSends: a.secondSends.Enabled(), secondLimitUsed: a.secondSends.Used(now), extraWork: a.extraWork,
	}
}

// takeLoad returns the measurements since the last call and resets them.
func (a *admission) takeLoad() (map[mooring.Key]int, map[fairway.ServerID]*serverStats) {
	a.mu.Lock()
	defer a.mu.Unlock()
	requests, stats := a.requestsByKey, a.stats
	a.requestsByKey = make(map[mooring.Key]int)
	a.stats = make(map[fairway.ServerID]*serverStats)
	return requests, stats
}
