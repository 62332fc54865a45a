package sluice_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// routeTimes returns 100 times, of which 96 are 100 ms and 4 are 700 ms.
func routeTimes() *sluice.RouteTimes {
	t := sluice.NewRouteTimes()
	for n := range 100 {
		took := 100 * time.Millisecond
		if n < 4 {
			took = 700 * time.Millisecond
		}
		t.Record(start, took)
	}
	return t
}

// secondCase returns a request whose second send is due now, at a service with room.
func secondCase() sluice.SecondSendCase {
	budget := sluice.NewSecondSendBudget(0.1)
	for n := range 100 {
		budget.RecordRequest(start.Add(-time.Duration(100-n) * 50 * time.Millisecond))
	}
	return sluice.SecondSendCase{
		SecondSendRequest: sluice.SecondSendRequest{Repeatable: true, Sends: 1, MaxAttempts: 2, SentAt: start.Add(-150 * time.Millisecond), Deadline: start.Add(time.Second)},
		Times:             routeTimes(), Budget: budget, Retries: 1,
	}
}

var _ = Describe("A decision on a second send", func() {
	It("allows one that is due, at a service with room", func() {
		Expect(sluice.DecideSecondSend(start, secondCase())).To(Equal(sluice.SecondSendNow{}))
	})

	// Failure: a request runs twice that must not, or a second send loads a service that is short of room, or goes beyond a limit.
	DescribeTable("holds one back or rules it out", func(change func(c *sluice.SecondSendCase), reason sluice.SecondSendReason, again bool) {
		c := secondCase()
		change(&c)
		d := sluice.DecideSecondSend(start, c)
		if !again {
			Expect(d).To(Equal(sluice.SecondSendNever{Reason: reason}))
			return
		}
		Expect(d).To(BeAssignableToTypeOf(sluice.SecondSendLater{}))
		Expect(d.(sluice.SecondSendLater).Reason).To(Equal(reason))
		Expect(d.(sluice.SecondSendLater).At).To(BeNumerically(">=", start.Add(20*time.Millisecond)))
	},
		Entry("for a request that must not be repeated", func(c *sluice.SecondSendCase) { c.Repeatable = false }, sluice.SecondSendNotAllowed, false),
		Entry("for a key, which has one owner", func(c *sluice.SecondSendCase) { c.Keyed = true }, sluice.SecondSendNotAllowed, false),
		Entry("without a limit", func(c *sluice.SecondSendCase) { c.Budget = sluice.NewSecondSendBudget(0) }, sluice.SecondSendNotAllowed, false),
		Entry("for a request that may crash servers", func(c *sluice.SecondSendCase) { c.Suspected = true }, sluice.SecondSendSuspected, false),
		Entry("without attempts left", func(c *sluice.SecondSendCase) { c.MaxAttempts = 1 }, sluice.SecondSendAttempts, false),
		Entry("without time for a response", func(c *sluice.SecondSendCase) { c.Deadline = start.Add(50 * time.Millisecond) }, sluice.SecondSendTooLate, false),
		Entry("on a route that is not known well", func(c *sluice.SecondSendCase) { c.Times = sluice.NewRouteTimes() }, sluice.SecondSendFewTimes, false),
		Entry("before the response is late", func(c *sluice.SecondSendCase) { c.SentAt = start.Add(-50 * time.Millisecond) }, sluice.SecondSendNotDue, true),
		Entry("while the service is short of room", func(c *sluice.SecondSendCase) { c.ShortOfRoom = true }, sluice.SecondSendNoRoom, true),
		Entry("while the limit is used up", func(c *sluice.SecondSendCase) {
			for c.Budget.Allows(start) {
				c.Budget.RecordSend(start)
			}
		}, sluice.SecondSendLimit, true),
		Entry("while the budget of retries is used up", func(c *sluice.SecondSendCase) { c.Retries = 0.9 }, sluice.SecondSendRetryBudget, true),
	)

	// Failure: the times of routes that are gone use up the memory of a host.
	It("forgets the times of routes that are gone", func() {
		s := sluice.NewSecondSends(sluice.SecondSendsConfig{Share: 0.1, Controller: newController(), Retries: sluice.NewRetryBudget(sluice.RetryBudgetConfig{})})
		for range 40 {
			s.RecordTime(start, "list", time.Millisecond)
		}
		r := secondCase().SecondSendRequest
		Expect(s.Plan(start, "list", r)).To(BeAssignableToTypeOf(sluice.SecondSendLater{}))
		s.RetainRoutes(map[fairway.RouteName]bool{"other": true})
		Expect(s.Plan(start, "list", r)).To(Equal(sluice.SecondSendNever{Reason: sluice.SecondSendFewTimes}))
	})

	It("forgets the times of a minute ago", func() {
		t := routeTimes()
		_, ok := t.Quantile(start.Add(30*time.Second), 0.95)
		Expect(ok).To(BeTrue())
		_, ok = t.Quantile(start.Add(time.Minute), 0.95)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("The server of a second send", func() {
	// Failure: a second send goes to a server that has no idle room, starts, leaves, is closed or names a limit.
	DescribeTable("is never one that", func(change func(c *sluice.Controller, e *fairway.Endpoint)) {
		e := endpoint("t", "a")
		c := newController(e)
		change(c, &e)
		c.SetServers(start, []fairway.Endpoint{e}, 4)
		_, ok := c.AdmitSecond(start, newRequest(2, start))
		Expect(ok).To(BeFalse())
	},
		Entry("drains", func(_ *sluice.Controller, e *fairway.Endpoint) { e.Draining = true }),
		Entry("starts", func(_ *sluice.Controller, e *fairway.Endpoint) { e.WarmupRemaining = time.Second }),
		Entry("is unconfirmed", func(_ *sluice.Controller, e *fairway.Endpoint) { e.Unconfirmed = true }),
		Entry("leaves", func(c *sluice.Controller, e *fairway.Endpoint) {
			c.SetNotice(sluice.ServerInstanceOf(*e), sluice.Notice{LeavingElsewhere: true})
		}),
		Entry("is closed", func(c *sluice.Controller, e *fairway.Endpoint) {
			c.SetNotice(sluice.ServerInstanceOf(*e), sluice.Notice{ClosedUntil: start.Add(time.Second)})
		}),
		Entry("names a limit", func(c *sluice.Controller, e *fairway.Endpoint) { c.SetLimit(sluice.ServerInstanceOf(*e), 50, true) }),
		Entry("is overloaded", func(c *sluice.Controller, e *fairway.Endpoint) {
			c.SetOverloaded(start, map[fairway.ServerID]bool{e.ID: true})
		}),
		Entry("does not respond", func(c *sluice.Controller, e *fairway.Endpoint) {
			for range 3 {
				expectDispatch(c.Admit(start, newRequest(1, start)))
				c.FinishLost(start, sluice.ServerInstanceOf(*e), time.Second)
			}
		}),
		Entry("has this host's part of its slots in use", func(c *sluice.Controller, _ *fairway.Endpoint) { expectDispatch(c.Admit(start, newRequest(1, start))) }),
	)
})

var _ = Describe("The limit of second sends", func() {
	// Failure: a host sends all of 10 s at once before its requests end, and the windows after that are far over the limit.
	It("is not used up by a host at once", func() {
		c, n := secondCase(), 0
		for ; c.Budget.Allows(start); n++ {
			c.Budget.RecordSend(start)
		}
		Expect(n).To(Equal(5), "second sends at once, of 10")
	})

	for _, hosts := range []int{3, 84, 300} {
		// Failure: hosts that use all of their limit exceed it together, also while requests move from some hosts to others.
		It(fmt.Sprintf("holds in every window when each host uses all of its own (%d hosts)", hosts), func() {
			random := rand.New(rand.NewPCG(3, uint64(hosts)))
			budgets := make([]*sluice.SecondSendBudget, hosts)
			for n := range budgets {
				budgets[n] = sluice.NewSecondSendBudget(0.1)
			}
			var sent, arrived []mooring.Instant
			for now := start; now < start.Add(45*time.Second); now = now.Add(time.Second / 1500) {
				// All save up for 12 s. From 30 s on, a third of the hosts get nothing.
				n := random.IntN(hosts)
				for now.Sub(start) > 30*time.Second && n%3 == 0 {
					n = random.IntN(hosts)
				}
				budgets[n].RecordRequest(now)
				arrived = append(arrived, now)
				if b := budgets[random.IntN(hosts)]; now.Sub(start) > 12*time.Second && b.Allows(now) {
					b.RecordSend(now)
					sent = append(sent, now)
				}
			}
			Expect(len(sent)).To(BeNumerically(">", len(arrived)/20))
			expectLimit(0.1, sent, arrived)
		})
	}
})
