package sluice_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// BenchmarkCoordinatedDecision ends a request and admits another one at a coordinator of all
// servers of the largest fleet, all of which are busy while a thousand requests wait.
func BenchmarkCoordinatedDecision(b *testing.B) {
	const servers, waiting = 540, 1000
	for _, divided := range []bool{false, true} {
		b.Run(fmt.Sprintf("divided=%v", divided), func(b *testing.B) {
			cfg := sluice.ControllerConfig{Service: "readings", Domain: "a", Host: "host0", Coordinated: true}
			var endpoints []fairway.Endpoint
			owned := make(owners)
			for i := range servers {
				e := endpoint(serverName(i), "a")
				e.Slots = 2
				endpoints = append(endpoints, e)
				owned[mooring.Key(i)] = mooring.ServerInstance{Server: e.ID, Incarnation: e.Incarnation, Address: e.Address}
			}
			if divided {
				cfg.Owners = owned
			}
			c := sluice.NewController(cfg)
			c.SetServers(start, endpoints, 1)
			now, next, held := start, sluice.RequestID(0), []sluice.RequestID(nil)
			admit := func() {
				next++
				r := &sluice.Request{
					ID: next, Priority: int(next % 2), Objective: time.Hour, SoftDeadline: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour), From: 1, Domain: "a",
				}
				if divided {
					key := mooring.Key(uint64(next) * 31 % servers)
					r.Key = &key
				}
				if _, ok := c.Admit(now, r).(sluice.Dispatch); ok {
					held = append(held, next)
				}
			}
			for c.Waiting() < waiting {
				admit()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				id := held[0]
				held = held[1:]
				for _, r := range c.Settle(now, id, sluice.OutcomeAnswered, 96*time.Millisecond) {
					held = append(held, r.Request)
				}
				for c.Waiting() < waiting {
					admit()
				}
			}
		})
	}
}
