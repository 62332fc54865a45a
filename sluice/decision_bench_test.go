package sluice_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// busyController returns a controller without room at its 540 servers, at which 1,000
// requests of two routes wait.
func busyController(mixed bool) (*sluice.Controller, []fairway.Endpoint) {
	const servers, waiting = 540, 1000
	c := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: "a"})
	c.SetRoutes(map[fairway.RouteName]bool{"short": true, "long": true}, mixed)
	var endpoints []fairway.Endpoint
	for i := range servers {
		endpoints = append(endpoints, endpoint(fairway.ServerID(fmt.Sprintf("s%d", i)), "a"))
	}
	c.SetServers(start, endpoints, 4)
	for id := sluice.RequestID(1); c.Waiting() < waiting; id++ {
		c.Admit(start, benchRequest(id))
	}
	return c, endpoints
}

func benchRequest(id sluice.RequestID) *sluice.Request {
	k := shortAndLong[id%2]
	return &sluice.Request{
		ID: id, Route: k.name, Priority: k.priority, Objective: k.objective, SoftDeadline: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour),
	}
}

// The host decides for every request under the lock of its service, so a decision that takes
// milliseconds at the largest deployment bounds the request rate.
func BenchmarkDecision(b *testing.B) {
	for _, mixed := range []bool{false, true} {
		b.Run(fmt.Sprintf("admit_by_route=%v", mixed), func(b *testing.B) {
			c, _ := busyController(mixed)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := sluice.RequestID(1<<20 + i)
				c.Admit(start, benchRequest(id))
				c.Cancel(id)
			}
		})
		b.Run(fmt.Sprintf("finish_by_route=%v", mixed), func(b *testing.B) {
			c, endpoints := busyController(mixed)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := sluice.RequestID(1<<20 + i)
				instance := sluice.ServerInstanceOf(endpoints[i%len(endpoints)])
				c.FinishRoute(start, instance, "short", sluice.OutcomeAnswered, 100*time.Millisecond, 400*time.Millisecond)
				c.Admit(start, benchRequest(id))
			}
		})
		b.Run(fmt.Sprintf("reevaluate_by_route=%v", mixed), func(b *testing.B) {
			c, _ := busyController(mixed)
			b.ReportAllocs()
			for b.Loop() {
				c.Reevaluate(start)
			}
		})
	}
}
