package sluice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// A load that counted for too long, or for ever, would keep requests from a server that has
// room; one that did not count would send them to a busy one.
var _ = Describe("A told load", func() {
	const later = 100 * time.Millisecond
	var c *sluice.Controller
	idle := sluice.ServerLoad{Slots: 4, Pace: sluice.UsualPace}
	// send sends a request to any server but one.
	send := func(at mooring.Instant, excluded fairway.ServerID) fairway.ServerID {
		GinkgoHelper()
		r := newRequest(1, at)
		r.Route = "r"
		r.Excluded = []fairway.ServerID{excluded}
		return expectDispatch(c.Admit(at, r))
	}
	BeforeEach(func() {
		c = newController(endpoint("s1", "a"), endpoint("s2", "a"))
		for _, other := range []fairway.ServerID{"s1", "s2"} {
			for i := range 50 {
				at := start.Add(time.Duration(i) * time.Millisecond)
				id := send(at, other)
				c.FinishRoute(at, firstInstance(id), "r", sluice.OutcomeAnswered, later, objective)
				c.SetLoad(at, firstInstance(id), idle)
			}
		}
	})
	// chosen returns the server that most requests go to, one at a time.
	chosen := func(at mooring.Instant) fairway.ServerID {
		counts := make(map[fairway.ServerID]int)
		for range 10 {
			server := send(at, "")
			counts[server]++
			c.Finish(at, firstInstance(server), sluice.OutcomeCanceled, 0, 0)
		}
		if counts["s1"] > counts["s2"] {
			return "s1"
		}
		return "s2"
	}

	DescribeTable("has other servers chosen while it is recent",
		func(load sluice.ServerLoad) {
			at := start.Add(later)
			for _, busy := range []fairway.ServerID{"s1", "s2"} {
				other := fairway.ServerID("s2")
				if busy == "s2" {
					other = "s1"
				}
				c.SetLoad(at, firstInstance(busy), load)
				c.SetLoad(at, firstInstance(other), idle)
				Expect(chosen(at)).To(Equal(other))
				at = at.Add(time.Second)
			}
		},
		Entry("of requests that wait", sluice.ServerLoad{Running: 4, Waiting: 8, Slots: 4, Pace: sluice.UsualPace}),
		Entry("of a pace", sluice.ServerLoad{Slots: 4, Pace: 300}),
	)

	It("counts no more once it is old", func() {
		at := start.Add(later)
		c.SetLoad(at, firstInstance("s1"), sluice.ServerLoad{Running: 4, Waiting: 8, Slots: 4, Pace: 300})
		c.SetLoad(at.Add(5*time.Second), firstInstance("s2"), sluice.ServerLoad{Running: 4, Waiting: 4, Slots: 4, Pace: 150})
		Expect(chosen(at.Add(5 * time.Second))).To(Equal(fairway.ServerID("s1")))
	})

	It("that is not told any more does not keep requests from its server", func() {
		at := start.Add(later)
		for range 200 {
			c.Finish(at, firstInstance(send(at, "s2")), sluice.OutcomeCanceled, 0, 0)
		}
		c.SetLoad(at.Add(time.Second), firstInstance("s2"), sluice.ServerLoad{Running: 4, Waiting: 4, Slots: 4, Pace: sluice.UsualPace})
		Expect(chosen(at.Add(time.Second))).To(Equal(fairway.ServerID("s1")))
	})

	It("of another incarnation, or older than the known one, is ignored", func() {
		full := sluice.ServerLoad{Running: 4, Waiting: 8, Slots: 4, Pace: 300}
		other := firstInstance("s1")
		other.Incarnation++
		c.SetLoad(start.Add(later), other, full)
		c.SetLoad(start, firstInstance("s1"), full)
		for _, s := range c.ServerStatuses(start.Add(later)) {
			Expect(s.Load).To(HaveValue(Equal(idle)))
		}
	})
})
