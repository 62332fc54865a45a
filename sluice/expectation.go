package sluice

import (
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// occupancyWeight is the weight of a told load in the mean occupancy of the servers.
const occupancyWeight = 0.05

// expectation has what a controller expects of routes and servers. Without routes of
// different priorities and without told loads, the controller decides by the mean latency
// of the service and the mean latency of each server alone.
type expectation struct {
	routes *RouteEstimates
	// mixed is set while the routes of the service have different priorities, and alike while
	// its requests do not; see [PriorityMix].
	mixed bool
	alike bool
	// told is set while a listed server tells its load.
	told bool
	// meanRatio is the mean of the speed factors, and occupancy that of the told requests
	// for each slot.
	meanRatio float64
	occupancy float64
}

func newExpectation() expectation {
	return expectation{routes: NewRouteEstimates(), meanRatio: 1}
}

// byRoute reports whether decisions use estimates by route.
func (e *expectation) byRoute() bool {
	return e.mixed && !e.alike || e.told
}

// SetRoutes sets the routes of the service in the active configuration, and whether they
// have different priorities. The estimates of other routes are forgotten.
func (c *Controller) SetRoutes(names map[fairway.RouteName]bool, mixed bool) {
	c.expected.routes.Retain(names)
	c.expected.mixed = mixed
}

// SetAlike sets whether the requests of the service have one priority, although its routes may
// have several.
func (c *Controller) SetAlike(alike bool) {
	c.expected.alike = alike
}

// TellsLoad reports whether a listed server tells its load.
func (c *Controller) TellsLoad() bool {
	return c.expected.told
}

// FinishRoute is like [Controller.Finish], for a request of a known route.
func (c *Controller) FinishRoute(
	now mooring.Instant, instance ServerInstance, route fairway.RouteName, outcome Outcome, elapsed, objective time.Duration,
) []Resolution {
	server := c.servers[instance.Server]
	if outcome == OutcomeAnswered && server != nil && server.endpoint.Incarnation == instance.Incarnation {
		c.expected.record(now, server, c.meanLatency, c.expected.routes.of(route), elapsed)
	}
	return c.Finish(now, instance, outcome, elapsed, objective)
}

// record adds a whole response of a server to the estimates of its route and server.
func (e *expectation) record(now mooring.Instant, server *serverState, mean time.Duration, route *routeEstimate, elapsed time.Duration) {
	work := elapsed
	if server.told.known() && server.told.age(now) <= elapsed {
		work = time.Duration(float64(server.told.WithoutWait(elapsed)) * float64(UsualPace) / float64(server.told.Pace))
	}
	factor := server.speed.relativeTo(e.meanRatio, now)
	route.record(mean, time.Duration(float64(elapsed)/factor), time.Duration(float64(work)/factor))
	server.speed.record(now, float64(work)/max(route.work, 1))
	e.meanRatio += meanSpeedWeight * (server.speed.ratio - e.meanRatio)
}

// recordLoad adds a told load to the mean occupancy.
func (e *expectation) recordLoad(told toldLoad) {
	if !e.told {
		e.told, e.occupancy = true, told.perSlot()
	}
	e.occupancy += occupancyWeight * (told.perSlot() - e.occupancy)
}

// Estimate returns the estimate of a route. It reports false if none is known.
func (c *Controller) Estimate(route fairway.RouteName) (RouteEstimate, bool) {
	return c.expected.routes.Get(route)
}

// MeanLatencyOf returns the mean latency of whole responses on a route, or that of the
// service if decisions are not made by route.
func (c *Controller) MeanLatencyOf(route fairway.RouteName) time.Duration {
	if r := c.expected.routes.routes[route]; r != nil {
		return c.mean(&Request{estimate: r})
	}
	return c.meanLatency
}

// mean returns the expected response time of a request at a server of mean speed.
func (c *Controller) mean(r *Request) time.Duration {
	if c.cfg.Coordinated {
		return c.workTime(r)
	}
	if !c.expected.byRoute() || r.estimate == nil || r.estimate.responses == 0 {
		return c.meanLatency
	}
	return time.Duration(r.estimate.response)
}

// quick returns the time within which a quarter of the responses on the route of a request
// come. A request with a smaller chance to be answered on time counts as late.
func (c *Controller) quick(r *Request) time.Duration {
	if c.cfg.Coordinated {
		return c.workTime(r)
	}
	if !c.expected.byRoute() || r.estimate == nil || r.estimate.responses == 0 {
		return c.meanLatency
	}
	return r.estimate.percentile(-quartileDeviations)
}

// relevantLimit returns by when a response to r has to be expected so that r is not refused,
// and the response time to expect. By route, a request is refused for its soft deadline only
// if it would wait here for longer than its response takes: where most of the time passes at
// the servers, refusals for an estimate that is close to the objective would alternate with
// none, and would refuse requests of which many are answered on time.
func (c *Controller) relevantLimit(r *Request, wait time.Duration, limit mooring.Instant) (mooring.Instant, time.Duration) {
	if !c.expected.byRoute() || limit != r.SoftDeadline {
		return limit, c.mean(r)
	}
	if quick := c.quick(r); wait >= quick {
		return limit, quick
	}
	return r.Deadline, c.mean(r)
}

// work returns the expected time of work of a request at a server of mean speed.
func (c *Controller) work(r *Request) time.Duration {
	if r.estimate == nil || r.estimate.responses == 0 {
		return c.meanLatency
	}
	return time.Duration(r.estimate.work)
}

// latencyAt returns the mean latency of the service's requests at a server.
func (c *Controller) latencyAt(now mooring.Instant, server *serverState) time.Duration {
	if !c.expected.byRoute() {
		return server.window.expectedLatency(now, c.meanLatency)
	}
	return time.Duration(float64(c.meanLatency) * c.slownessAt(now, server))
}

// slownessAt returns how much longer than at a server of mean speed a response takes now.
func (c *Controller) slownessAt(now mooring.Instant, server *serverState) float64 {
	return server.speed.relativeTo(c.expected.meanRatio, now) * server.told.pace(now)
}

// responseTime returns the cost of a server without regard to errors and domains: the
// expected time until it answers a request, given what is there already.
func (c *Controller) responseTime(now mooring.Instant, server *serverState, r *Request) float64 {
	ownFirst := float64(server.window.inFlight + 1)
	switch {
	case !c.expected.byRoute():
		return float64(server.window.expectedLatency(now, c.meanLatency)) * ownFirst
	case !server.told.known():
		return float64(c.mean(r)) * ownFirst * c.slownessAt(now, server)
	default:
		slots := float64(server.told.Slots)
		present := server.told.occupied(now, c.meanLatency, c.expected.occupancy)*slots + float64(min(server.sentSince, server.window.inFlight))
		ahead := max(present+1-slots, 0) / slots * float64(c.meanWork())
		return (ahead + float64(c.work(r))) * c.slownessAt(now, server)
	}
}

// meanWork returns the mean time of work of the requests at a server: the part of the mean
// latency that is not spent waiting, of the routes that have estimates.
func (c *Controller) meanWork() time.Duration {
	response, work := 0.0, 0.0
	for _, r := range c.expected.routes.routes {
		response += r.response
		work += r.work
	}
	if response == 0 {
		return c.meanLatency
	}
	return time.Duration(float64(c.meanLatency) * work / response)
}

// backlog is the work of waiting requests: their number, and the same weighted by the
// response time of each relative to the mean of the service.
type backlog struct {
	requests int
	weighted float64
}

// plus returns the backlog with one more request.
func (c *Controller) plus(b backlog, r *Request) backlog {
	b.requests++
	if c.expected.byRoute() || c.cfg.Coordinated {
		b.weighted += float64(c.mean(r)) / float64(max(c.meanLatency, 1))
	} else {
		b.weighted++
	}
	return b
}
