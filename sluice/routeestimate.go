package sluice

import (
	"math"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// routeWeight is the weight of a new response in the averages of a route. The first
	// ones weigh more: the mean of the service, with which a route begins, counts as one
	// response.
	routeWeight = 0.05
	// p90Deviations is the number of standard deviations from the mean of a normal
	// distribution to its 90th percentile.
	p90Deviations = 1.2816
	// quartileDeviations is the same for the 75th percentile, and below the mean for the 25th.
	quartileDeviations = 0.6745
)

// RouteEstimate is what is known of the response time of a route at a server of mean speed.
type RouteEstimate struct {
	// Response is the mean response time, which contains the wait at the server. P90 is
	// the time within which nine of ten responses come.
	Response time.Duration
	P90      time.Duration
	// Work is the mean response time without the wait at servers that tell their load, and
	// the mean response time where none does.
	Work time.Duration
	// Responses is the number of responses from which the times come. They are 0 before
	// the first one.
	Responses int
}

// RouteEstimates keeps mean and spread of the response times of the routes of a service.
type RouteEstimates struct {
	routes map[fairway.RouteName]*routeEstimate
}

// NewRouteEstimates returns estimates of no route.
func NewRouteEstimates() *RouteEstimates {
	return &RouteEstimates{routes: make(map[fairway.RouteName]*routeEstimate)}
}

// routeEstimate has the moving averages of a route, in nanoseconds.
type routeEstimate struct {
	response  float64
	variance  float64
	work      float64
	responses int
}

// of returns the averages of a route, which it adds if it is new.
func (e *RouteEstimates) of(route fairway.RouteName) *routeEstimate {
	r := e.routes[route]
	if r == nil {
		r = &routeEstimate{}
		e.routes[route] = r
	}
	return r
}

// Record adds a response on a route. Response and work are the times of [RouteEstimate],
// divided by the speed factor of the server. A new route begins with mean, the mean
// response time of its service.
func (e *RouteEstimates) Record(route fairway.RouteName, mean, response, work time.Duration) {
	e.of(route).record(mean, response, work)
}

func (r *routeEstimate) record(mean, response, work time.Duration) {
	if r.responses == 0 {
		r.response, r.work = float64(mean), float64(mean)
	}
	weight := max(routeWeight, 1/float64(r.responses+2))
	r.responses++
	deviation := float64(response) - r.response
	r.response += weight * deviation
	r.variance = (1 - weight) * (r.variance + weight*deviation*deviation)
	r.work += weight * (float64(work) - r.work)
}

// percentile returns a percentile of a lognormal distribution with the mean and the variance
// of the route, as a number of standard deviations of the logarithm. Response times are
// skewed: a normal distribution would give a high percentile that is too low for routes with
// a large spread.
func (r *routeEstimate) percentile(deviations float64) time.Duration {
	if r.response <= 0 {
		return 0
	}
	logVariance := math.Log(1 + r.variance/(r.response*r.response))
	return time.Duration(r.response * math.Exp(deviations*math.Sqrt(logVariance)-logVariance/2))
}

// Get returns the estimate of a route. It reports false if no response has come on it.
func (e *RouteEstimates) Get(route fairway.RouteName) (RouteEstimate, bool) {
	r := e.routes[route]
	if r == nil || r.responses == 0 {
		return RouteEstimate{}, false
	}
	return RouteEstimate{
		Response: time.Duration(r.response), P90: r.percentile(p90Deviations), Work: time.Duration(r.work), Responses: r.responses,
	}, true
}

// Retain forgets the routes that are not in names.
func (e *RouteEstimates) Retain(names map[fairway.RouteName]bool) {
	for route := range e.routes {
		if !names[route] {
			delete(e.routes, route)
		}
	}
}

// slowest returns the longest mean response time of a route, or 0 if none is known.
func (e *RouteEstimates) slowest() time.Duration {
	slowest := 0.0
	for _, r := range e.routes {
		slowest = max(slowest, r.response)
	}
	return time.Duration(slowest)
}
