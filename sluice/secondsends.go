package sluice

import (
	"maps"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// SecondSendsConfig holds the parameters of [SecondSends].
type SecondSendsConfig struct {
	// Share is the highest number of second sends as a part of the requests, from 0 (no
	// second sends) to [MaxSecondSendShare].
	Share float64
	// Controller admits the requests of the service, and Retries limits their retries.
	Controller *Controller
	Retries    *RetryBudget
}

// SecondSends decides on the second sends of one service on one host. While the share is 0,
// it keeps nothing.
type SecondSends struct {
	cfg    SecondSendsConfig
	budget *SecondSendBudget
	times  map[fairway.RouteName]*RouteTimes
}

// NewSecondSends returns a state without requests.
func NewSecondSends(cfg SecondSendsConfig) *SecondSends {
	return &SecondSends{cfg: cfg, budget: NewSecondSendBudget(cfg.Share), times: make(map[fairway.RouteName]*RouteTimes)}
}

// Enabled reports whether there are second sends at all.
func (s *SecondSends) Enabled() bool {
	return s.cfg.Share > 0
}

// RecordRequest counts a request of the service.
func (s *SecondSends) RecordRequest(now mooring.Instant) {
	if s.Enabled() {
		s.budget.RecordRequest(now)
	}
}

// RecordTime adds the time of a send that was not a second one; see [RouteTimes.Record].
// The times of second sends do not count: they would make the slow requests count twice.
func (s *SecondSends) RecordTime(now mooring.Instant, route fairway.RouteName, took time.Duration) {
	if !s.Enabled() {
		return
	}
	times := s.times[route]
	if times == nil {
		times = NewRouteTimes()
		s.times[route] = times
	}
	times.Record(now, took)
}

// RetainRoutes forgets the times of the routes that are not in names.
func (s *SecondSends) RetainRoutes(names map[fairway.RouteName]bool) {
	maps.DeleteFunc(s.times, func(name fairway.RouteName, _ *RouteTimes) bool { return !names[name] })
}

// Used returns the second sends of the last 10 s as a part of those that the limit allows.
func (s *SecondSends) Used(now mooring.Instant) float64 {
	return s.budget.Used(now)
}

// Plan decides on a second send of a request on a route, and changes nothing. It does not
// look for a server: [SecondSends.Send] may hold the request back all the same.
func (s *SecondSends) Plan(now mooring.Instant, route fairway.RouteName, r SecondSendRequest) SecondSendDecision {
	return DecideSecondSend(now, s.caseOf(now, route, r))
}

// Send decides on a second send, and takes it from both budgets if it is to take place now.
// Its server then counts one more request, as after [Controller.AdmitSecond].
func (s *SecondSends) Send(now mooring.Instant, route fairway.RouteName, r SecondSendRequest, req *Request) (fairway.Endpoint, SecondSendDecision) {
	c := s.caseOf(now, route, r)
	decision := DecideSecondSend(now, c)
	if _, ok := decision.(SecondSendNow); !ok {
		return fairway.Endpoint{}, decision
	}
	server, ok := s.cfg.Controller.AdmitSecond(now, req)
	if !ok {
		return fairway.Endpoint{}, c.HoldBack(now)
	}
	s.cfg.Retries.Allow(now)
	s.budget.RecordSend(now)
	return server, decision
}

func (s *SecondSends) caseOf(now mooring.Instant, route fairway.RouteName, r SecondSendRequest) SecondSendCase {
	return SecondSendCase{
		SecondSendRequest: r, Times: s.times[route], ShortOfRoom: s.cfg.Controller.ShortOfRoom(now),
		Budget: s.budget, Retries: s.cfg.Retries.Remaining(now),
	}
}
