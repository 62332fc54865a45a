package sluice

import (
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// meanLatencyWeight is the weight of a new response in the moving average of
	// the latency of the service.
	meanLatencyWeight = 0.05
	// ownerGrace is how long a leaving server still gets requests for the keys
	// that it owns. The next owner is published within a few round trips, and
	// leaving servers keep serving for at least 2 s.
	ownerGrace = 800 * time.Millisecond
)

// RequestID identifies a request on its host.
type RequestID uint64

// Request describes a request to a [Controller].
type Request struct {
	ID RequestID
	// Route is empty if it is not known.
	Route    fairway.RouteName
	Priority int
	// Key is set for services that are divided by key.
	Key *mooring.Key
	// Objective is the latency objective. A response is on time until
	// SoftDeadline.
	Objective    time.Duration
	SoftDeadline mooring.Instant
	Deadline     mooring.Instant
	// ResponseBytes is the expected size of the response.
	ResponseBytes float64
	// Tried lists the servers to which the request has already been sent.
	Tried []fairway.ServerID
	// Excluded lists servers that must not get the request now. A request with a key
	// goes to the owner all the same.
	Excluded []fairway.ServerID
	// From identifies the host that asks a coordinating controller, or is 0 if a failure that
	// the host sees is enough to suspect a server. Domain is that host's failure domain.
	From   uint64
	Domain fairway.Domain
	// estimate is that of the route.
	estimate *routeEstimate
}

// excludes reports whether the request must not be sent to a server.
func (r *Request) excludes(id fairway.ServerID) bool {
	return slices.Contains(r.Tried, id) || slices.Contains(r.Excluded, id)
}

// Reason is the reason for which a request is refused.
type Reason string

// Reasons of a [Refuse].
const (
	ReasonOverload  Reason = "overload"
	ReasonTooLate   Reason = "too_late"
	ReasonNoServer  Reason = "no_server"
	ReasonSuspected Reason = "servers_suspected"
	ReasonNoOwner   Reason = "key_without_owner"
	ReasonClosed    Reason = "servers_closed"
	ReasonEvacuated Reason = "servers_evacuated"
)

// Decision is the result of an admission decision. The set of decisions is
// closed: [Dispatch], [Wait] and [Refuse].
type Decision interface{ decision() }

// Dispatch sends the request to a server. The caller must call
// [Controller.Finish] afterwards.
type Dispatch struct {
	Server fairway.Endpoint
	// Slot is set if the request has used a slot of a server that is cold or names a limit.
	Slot bool
}

// Wait keeps the request in the queue.
type Wait struct{}

// Refuse ends the request. RetryAfter is the time after which the request is
// likely to be admitted.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
	// Ahead is the number of waiting requests that would have been served
	// first.
	Ahead int
	// Server is the owner of the key of the request, if there is one.
	Server fairway.ServerID
}

func (Dispatch) decision() {}
func (Wait) decision()     {}
func (Refuse) decision()   {}

// Resolution is the decision on a request that had to wait.
type Resolution struct {
	Request  RequestID
	Decision Decision
}

// Owners looks up the server that owns a key.
type Owners interface {
	// Owner returns the owner, or false and the time since which the key has
	// had no owner.
	Owner(key mooring.Key) (owner mooring.ServerInstance, since mooring.Instant, ok bool)
}

// ControllerConfig holds the parameters of a [Controller].
type ControllerConfig struct {
	Service fairway.ServiceName
	// Domain is the failure domain of this host.
	Domain fairway.Domain
	// Host identifies this host, so that hosts prefer different servers.
	Host string
	// Owners is set for services that are divided by key.
	Owners Owners
	// ReassignmentDelay is the time from the moment at which the owner of a key
	// is found unresponsive until the key has another owner: the time in which
	// its hold expires.
	ReassignmentDelay time.Duration
	// Coordinated is set for a controller that admits the requests of all hosts. The number
	// of hosts then counts as one, and requests end by [Controller.Settle] instead of
	// [Controller.Finish].
	Coordinated bool
	// PreferredRate, if set, returns the requests a second above which a coordinating
	// controller sends a server more only if no other one has room, or false for none.
	PreferredRate func(ServerInstance) (perSecond float64, ok bool)
}

// Controller is the admission controller of one service on one host.
type Controller struct {
	cfg     ControllerConfig
	servers map[fairway.ServerID]*serverState
	// ranked has the servers in the order of preference of this host.
	ranked  []*serverState
	waiting []*Request
	// limits has the limits that server instances name, and hosts is the number of
	// hosts that share the servers.
	limits map[ServerInstance]Rate
	hosts  int
	// cold has the server instances that are cold.
	cold map[ServerInstance]coldLimit
	// notices has what is known of server instances besides their registrations.
	notices map[ServerInstance]Notice
	// useUnconfirmed is set while unconfirmed servers get requests.
	useUnconfirmed bool
	// evacuations has the evacuated failure domains. allEvacuated is set while all servers
	// that could get requests are in them.
	evacuations  Evacuations
	allEvacuated bool
	// meanLatency is the moving average of the latency of whole responses.
	meanLatency time.Duration
	// permits has the requests in flight of a coordinating controller, and expired counts
	// those whose end was not reported. workTimes has the mean time of work by priority.
	permits    map[RequestID]*permit
	expired    int
	workTimes  map[int]time.Duration
	mostUrgent int
	expected   expectation
	// keptRoom is the room for requests that are not restricted, while keepRoom is set.
	keepRoom bool
	keptRoom *room
}

// serverState is the state of one server and the window of this host at it.
type serverState struct {
	endpoint fairway.Endpoint
	window   *window
	// limit is set while the server names a limit or is cold.
	limit  *serverLimit
	notice Notice
	told   toldLoad
	// sentSince is the number of requests sent since the server told its load.
	sentSince int
	speed     speedFactor
	// weight is the preference of this host for the server.
	weight uint64
	// unconfirmed is set for servers that have not been registered since a
	// store outage; see [fairway.Endpoint].
	unconfirmed bool
	// leaving servers get no new requests, except for ownerGrace those for keys
	// that they own. They are kept until their last request ends.
	leaving bool
	// leavingSince is when the server was first seen as leaving.
	leavingSince mooring.Instant
	// coordinated is set in a coordinating controller.
	coordinated *coordinated
	// overloaded is what the last report says.
	overloaded bool
	// losses counts the requests in a row that were canceled for second sends, the last of
	// them at lostAt.
	losses int
	lostAt mooring.Instant
}

// NewController returns a controller without servers.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{
		cfg: cfg, servers: make(map[fairway.ServerID]*serverState), limits: make(map[ServerInstance]Rate),
		cold: make(map[ServerInstance]coldLimit), notices: make(map[ServerInstance]Notice), meanLatency: initialLatency, expected: newExpectation(),
		permits: make(map[RequestID]*permit), workTimes: make(map[int]time.Duration),
	}
}

// SetServers sets the servers that may get requests, and the number of hosts
// that share them. A server that is no longer in endpoints is leaving.
func (c *Controller) SetServers(now mooring.Instant, endpoints []fairway.Endpoint, hosts int) {
	if c.cfg.Coordinated {
		hosts = 1
	}
	c.hosts = hosts
	listed := make(map[fairway.ServerID]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		server := c.servers[e.ID]
		if server == nil || server.endpoint.Incarnation != e.Incarnation || server.endpoint.Address != e.Address {
			server = c.newServer(now, e, hosts)
			c.servers[e.ID] = server
		}
		server.endpoint = e
		c.applyLimit(server)
		c.spreadFirstSlot(now, server)
		server.notice = c.notices[ServerInstanceOf(e)]
		server.unconfirmed = e.Unconfirmed
		server.setLeaving(now, e.Draining)
		server.window.setLimit(e.Slots, hosts)
	}
	for id, server := range c.servers {
		if !listed[id] {
			server.setLeaving(now, true)
			if server.window.inFlight == 0 && now.Sub(server.leavingSince) > ownerGrace {
				delete(c.servers, id)
			}
		}
	}
	c.ranked = c.ranked[:0]
	for _, server := range c.servers {
		c.ranked = append(c.ranked, server)
	}
	c.rankServers()
	c.updateUseUnconfirmed()
	c.expected.told = slices.ContainsFunc(c.ranked, func(s *serverState) bool { return s.told.known() })
	c.updateAllEvacuated()
}

// newServer returns the state of a server that has got no requests yet.
func (c *Controller) newServer(now mooring.Instant, e fairway.Endpoint, hosts int) *serverState {
	if c.cfg.Coordinated {
		return &serverState{window: newCoordinatedWindow(e.Slots), weight: c.weight(e.ID), coordinated: &coordinated{}}
	}
	return &serverState{window: newWindow(now, e.Slots, hosts), weight: c.weight(e.ID)}
}

// Restore ends the suspicion of all servers, since this host reaches them again after
// it had not. The ends are spread over restoreTime, and each server gets one request
// until it has answered.
func (c *Controller) Restore(now mooring.Instant) {
	for i, server := range c.ranked {
		until := now.Add(restoreTime * time.Duration(i) / time.Duration(len(c.ranked)))
		server.window.restore(until)
	}
}

// SetOverloaded sets which servers are overloaded according to the reports of
// all hosts. Servers that are not in the map are not overloaded.
func (c *Controller) SetOverloaded(now mooring.Instant, overloaded map[fairway.ServerID]bool) {
	for id, server := range c.servers {
		server.overloaded = overloaded[id]
		if server.overloaded {
			server.window.setOverload()
		} else {
			server.window.clearOverload(now)
		}
	}
}

func (s *serverState) setLeaving(now mooring.Instant, leaving bool) {
	if leaving && !s.leaving {
		s.leavingSince = now
	}
	s.leaving = leaving
}

// Admit decides on a new request.
func (c *Controller) Admit(now mooring.Instant, r *Request) Decision {
	c.endCold(now)
	if r.Route != "" {
		r.estimate = c.expected.routes.of(r.Route)
	}
	server, decision := c.decide(now, r)
	switch decision.(type) {
	case Dispatch:
		return c.dispatch(now, server, r)
	case Wait:
		c.insert(now, r)
	}
	return decision
}

// decide returns the decision on a new request, and the server of a [Dispatch].
func (c *Controller) decide(now mooring.Instant, r *Request) (*serverState, Decision) {
	if server, ok := c.pick(now, r); ok {
		return server, Dispatch{Server: server.endpoint}
	}
	if refusal, refused := c.refuseNew(now, r, c.ahead(now, r)); refused {
		return nil, refusal
	}
	return nil, Wait{}
}

// Cancel removes a request from the queue. It returns false if the request is
// no longer waiting.
func (c *Controller) Cancel(id RequestID) bool {
	for i, r := range c.waiting {
		if r.ID == id {
			c.waiting = slices.Delete(c.waiting, i, i+1)
			return true
		}
	}
	return false
}

// Outcome is the result of a dispatched request.
type Outcome int

const (
	// OutcomeAnswered is a whole response.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeServerError is a response that reports a failure of the server.
	OutcomeServerError
	// OutcomeRejected is a rejection by the server for lack of capacity.
	OutcomeRejected
	// OutcomeMisdirected is a rejection because the server does not hold the
	// key, or because another server has the address.
	OutcomeMisdirected
	// OutcomeReset is a connection that the server closed before the response.
	OutcomeReset
	// OutcomeUnreachable is a connection that could not be opened.
	OutcomeUnreachable
	// OutcomeTimeout is a request without a response in time. The server becomes
	// suspected only if it has not answered another request since this one was
	// sent.
	OutcomeTimeout
	// OutcomeInvalidResponse is a response that cannot be passed on.
	OutcomeInvalidResponse
	// OutcomeCanceled is a request that the caller gave up, or that this host
	// did not send.
	OutcomeCanceled
)

// ServerInstance identifies one instance of a server. A restarted server is
// another instance: it keeps its id and gets another incarnation.
type ServerInstance struct {
	Server      fairway.ServerID
	Incarnation fairway.Incarnation
}

// ServerInstanceOf returns the server instance that an endpoint describes.
func ServerInstanceOf(e fairway.Endpoint) ServerInstance {
	return ServerInstance{Server: e.ID, Incarnation: e.Incarnation}
}

// Finish records the result of a dispatched request and returns the decisions
// on waiting requests that follow from it. Results from an earlier instance of
// the server are ignored, since they say nothing about the current one.
func (c *Controller) Finish(now mooring.Instant, instance ServerInstance, outcome Outcome, elapsed, objective time.Duration) []Resolution {
	server := c.servers[instance.Server]
	if server == nil || server.endpoint.Incarnation != instance.Incarnation {
		return nil
	}
	w := server.window
	switch outcome {
	case OutcomeAnswered:
		w.recordResponse(now, elapsed, objective)
		c.meanLatency += time.Duration(meanLatencyWeight * float64(elapsed-c.meanLatency))
	case OutcomeServerError:
		w.recordServerError(now)
	case OutcomeRejected, OutcomeReset:
		w.recordRejection(now, objective)
	case OutcomeUnreachable:
		w.recordFailure(now)
	case OutcomeTimeout:
		if now.Sub(w.measuredAt) > elapsed {
			w.recordFailure(now)
		} else {
			w.shrink(now, lateShrink)
		}
	case OutcomeInvalidResponse:
		w.updateErrorRatio(now, 1)
	case OutcomeMisdirected, OutcomeCanceled:
	}
	w.recordEnd(now, c.meanLatency)
	return c.dispatchWaiting(now)
}

// RecordLate records the response to a request that was finished with
// OutcomeTimeout before.
func (c *Controller) RecordLate(now mooring.Instant, instance ServerInstance, latency, objective time.Duration) {
	server := c.servers[instance.Server]
	if server != nil && server.endpoint.Incarnation == instance.Incarnation {
		server.window.recordResponse(now, latency, objective)
	}
}

// Reevaluate decides again on the waiting requests. It must be called from time
// to time, and after a change of servers or owners.
func (c *Controller) Reevaluate(now mooring.Instant) []Resolution {
	c.endCold(now)
	resolved := append(c.expire(now), c.dispatchWaiting(now)...)
	if len(c.waiting) == 0 {
		return resolved
	}
	slices.SortStableFunc(c.waiting, func(a, b *Request) int { return c.compare(now, a, b) })
	kept := c.waiting[:0]
	aheadOf := make(map[fairway.ServerID]backlog)
	c.keepRoom = true
	defer func() { c.keepRoom, c.keptRoom = false, nil }()
	for _, r := range c.waiting {
		required := c.requiredServer(now, r)
		if refusal, refused := c.refuseWaiting(now, r, aheadOf[required]); refused {
			resolved = append(resolved, Resolution{Request: r.ID, Decision: refusal})
			continue
		}
		aheadOf[required] = c.plus(aheadOf[required], r)
		kept = append(kept, r)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return resolved
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	return len(c.waiting)
}

// Claim counts a request in flight at a server that another host has admitted. It returns
// false, and counts nothing, if the server must not get the request as far as this
// controller knows. The caller must call [Controller.Finish] otherwise.
func (c *Controller) Claim(now mooring.Instant, r *Request, granted Dispatch) (fairway.Endpoint, bool) {
	instance := ServerInstanceOf(granted.Server)
	server := c.servers[instance.Server]
	if server == nil || server.endpoint.Incarnation != instance.Incarnation || server.notice.ClosedFor(now) > 0 {
		return fairway.Endpoint{}, false
	}
	if server.limit != nil && !granted.Slot {
		// The coordinator does not know yet that the server is cold or names a limit.
		return fairway.Endpoint{}, false
	}
	if r.Key != nil && c.ownerServer(now, *r.Key) != server {
		return fairway.Endpoint{}, false
	}
	if r.Key == nil && (r.excludes(instance.Server) || !c.usableAt(now)(server)) {
		return fairway.Endpoint{}, false
	}
	server.window.inFlight++
	return server.endpoint, true
}

// Unusable returns up to n of the servers that must not get a request without a key at the
// moment, because of failures or of what their responses told.
func (c *Controller) Unusable(now mooring.Instant, n int) []fairway.ServerID {
	var unusable []fairway.ServerID
	for _, server := range c.ranked {
		if len(unusable) == n {
			break
		}
		if server.window.suspected(now) || server.notice.ClosedFor(now) > 0 || server.notice.LeavingSince != 0 {
			unusable = append(unusable, server.endpoint.ID)
		}
	}
	return unusable
}

// OwnerFails reports whether the owner of a key is suspected or closed to this host, or not
// known to it.
func (c *Controller) OwnerFails(now mooring.Instant, key mooring.Key) bool {
	server := c.ownerServer(now, key)
	return server == nil || server.window.suspected(now) || server.notice.ClosedFor(now) > 0
}

// Usage describes the load on a controller.
type Usage struct {
	// InFlight is the number of requests at the servers, WindowTotal the sum of
	// the windows at them.
	InFlight    int
	WindowTotal float64
	Waiting     int
}

// Usage returns the current load.
func (c *Controller) Usage() Usage {
	u := Usage{Waiting: len(c.waiting)}
	for _, server := range c.ranked {
		u.InFlight += server.window.inFlight
		u.WindowTotal += server.window.size
	}
	return u
}

// MeanLatency returns the moving average of the latency of whole responses.
func (c *Controller) MeanLatency() time.Duration {
	return c.meanLatency
}

// hasRoom reports whether one more request may be sent to the server.
func (s *serverState) hasRoom(now mooring.Instant) bool {
	return s.notice.ClosedFor(now) == 0 && s.window.hasRoom(now) && (s.limit == nil || s.limit.hasSlot(now))
}

// dispatch counts one more request at a server.
func (c *Controller) dispatch(now mooring.Instant, server *serverState, r *Request) Decision {
	server.window.inFlight++
	server.sentSince++
	if server.limit != nil {
		server.limit.useSlot()
	}
	if c.cfg.Coordinated {
		c.grant(now, server, r)
	}
	return Dispatch{Server: server.endpoint, Slot: server.limit != nil}
}

// dispatchWaiting dispatches the waiting requests for which there is capacity
// now.
func (c *Controller) dispatchWaiting(now mooring.Instant) []Resolution {
	if c.cfg.Coordinated {
		return c.grantWaiting(now)
	}
	var resolved []Resolution
	kept := c.waiting[:0]
	// Room only becomes less here, so once it lacks for a request that may go to any
	// server, it lacks for all others without a key.
	full := false
	for _, r := range c.waiting {
		if full && r.Key == nil {
			kept = append(kept, r)
			continue
		}
		if server, ok := c.pick(now, r); ok {
			resolved = append(resolved, Resolution{Request: r.ID, Decision: c.dispatch(now, server, r)})
			continue
		}
		full = full || r.Key == nil && !r.restricted()
		kept = append(kept, r)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return resolved
}
