package sluice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("A controller that admits the requests of all hosts", func() {
	var (
		c    *sluice.Controller
		next sluice.RequestID
		held []sluice.RequestID
		cfg  sluice.ControllerConfig
	)
	BeforeEach(func() {
		cfg = sluice.ControllerConfig{Service: "readings", Domain: "a", Host: "host0", Coordinated: true}
		next, held = 0, nil
	})
	begin := func(servers ...fairway.ServerID) {
		c = sluice.NewController(cfg)
		var endpoints []fairway.Endpoint
		for _, id := range servers {
			e := endpoint(id, "a")
			e.Slots = 2
			endpoints = append(endpoints, e)
		}
		c.SetServers(start, endpoints, 1)
	}
	admit := func(now mooring.Instant, priority int, from uint64) sluice.Decision {
		next++
		r := newRequest(next, now)
		r.Priority, r.From, r.Domain = priority, from, "a"
		r.SoftDeadline, r.Deadline = now.Add(time.Hour), now.Add(time.Hour)
		d := c.Admit(now, r)
		if _, ok := d.(sluice.Dispatch); ok {
			held = append(held, r.ID)
		}
		return d
	}
	dispatched := BeAssignableToTypeOf(sluice.Dispatch{})
	waits := Equal(sluice.Wait{})

	It("keeps less urgent requests within the slots, and one more of the urgent ones", func() {
		begin("s1")
		Expect(admit(start, 2, 1)).To(dispatched)
		Expect(admit(start, 2, 1)).To(dispatched)
		Expect(admit(start, 2, 1)).To(waits)
		Expect(admit(start, 0, 1)).To(dispatched)
		Expect(admit(start, 0, 1)).To(waits)
	})

	// Without a share, urgent requests that never end keep the others from all servers.
	It("gives the least urgent requests one grant in four while both wait", func() {
		begin("s1")
		urgent := make(map[sluice.RequestID]bool)
		for range 3 {
			admit(start, 0, 1)
		}
		for range 40 {
			admit(start, 2, 1)
		}
		for range 200 {
			Expect(admit(start, 0, 1)).To(waits)
			urgent[next] = true
		}
		less := 0
		for i := range 40 {
			granted := c.Settle(start.Add(time.Duration(i)*time.Millisecond), held[0], sluice.OutcomeAnswered, 50*time.Millisecond)
			held = held[1:]
			Expect(granted).To(HaveLen(1))
			held = append(held, granted[0].Request)
			if !urgent[granted[0].Request] {
				less++
			}
		}
		Expect(less).To(Equal(10))
	})

	It("sends a server more than its preferred rate only if no other has room", func() {
		cfg.PreferredRate = func(s sluice.ServerInstance) (float64, bool) { return 5, s.Server == "s1" }
		begin("s1", "s2")
		var sent []mooring.Instant
		now := start
		for ; now < start.Add(10*time.Second); now = now.Add(10 * time.Millisecond) {
			if d, ok := admit(now, 0, 1).(sluice.Dispatch); ok && d.Server.ID == "s1" {
				sent = append(sent, now)
			}
			c.Settle(now, held[len(held)-1], sluice.OutcomeAnswered, time.Millisecond)
		}
		Expect(len(sent)).To(BeNumerically(">", 40))
		for i := 5; i < len(sent); i++ {
			Expect(sent[i].Sub(sent[i-5])).To(BeNumerically(">", time.Second))
		}
		for range 6 {
			Expect(admit(now, 0, 1)).To(dispatched)
		}
		Expect(admit(now, 0, 1)).NotTo(dispatched)
	})

	// Otherwise each host has connections to all servers, most of which close them unused.
	It("has a host use few servers while they have room, and others once they do not", func() {
		var names []fairway.ServerID
		for i := range 30 {
			names = append(names, serverName(i))
		}
		begin(names...)
		used := make(map[fairway.ServerID]bool)
		for range 200 {
			d, ok := admit(start, 0, 7).(sluice.Dispatch)
			Expect(ok).To(BeTrue())
			used[d.Server.ID] = true
			c.Settle(start, next, sluice.OutcomeAnswered, 50*time.Millisecond)
		}
		Expect(len(used)).To(BeNumerically("<=", 18))
		for range 30 {
			Expect(admit(start, 0, 7)).To(dispatched)
		}
		for range 30 {
			Expect(admit(start, 0, 7)).To(dispatched)
		}
	})

	It("uses all slots of a server that rejects requests although it answers fast", func() {
		begin("s1")
		for range 20 {
			admit(start, 0, 1)
			c.Settle(start, next, sluice.OutcomeAnswered, 10*time.Millisecond)
			admit(start, 0, 1)
			c.Settle(start, next, sluice.OutcomeRejected, 0)
		}
		Expect(c.Usage().WindowTotal).To(BeNumerically(">=", 2))
	})

	// The path of one host may have failed. Without this, that host takes the server from all.
	It("does not suspect a server for the failures that one host sees", func() {
		begin("s1")
		for range 5 {
			Expect(admit(start, 0, 1)).To(dispatched)
			c.Settle(start, next, sluice.OutcomeUnreachable, 0)
		}
		Expect(admit(start, 0, 2)).To(dispatched)
		c.Settle(start, next, sluice.OutcomeUnreachable, 0)
		Expect(admit(start, 0, 2)).NotTo(dispatched)
	})

	It("sends less to a server that rejects requests, since others send there too", func() {
		begin("s1")
		admit(start, 0, 1)
		Expect(c.Usage().WindowTotal).To(Equal(3.0))
		c.Settle(start, next, sluice.OutcomeRejected, 0)
		Expect(c.Usage().WindowTotal).To(Equal(1.5))
	})

	It("gives room to others once a permit has expired, and ignores its end then", func() {
		begin("s1")
		for range 3 {
			Expect(admit(start, 0, 1)).To(dispatched)
		}
		Expect(admit(start, 0, 1)).To(waits)
		later := start.Add(time.Hour)
		Expect(c.Reevaluate(later)).NotTo(BeEmpty())
		c.Settle(later, held[0], sluice.OutcomeAnswered, time.Second)
		Expect(c.Usage().InFlight).To(BeNumerically("<=", 1))
	})

	// A machine that is shared is slow for 0.4 s: the choice has to follow within a few responses.
	It("prefers the server at which a request ends first", func() {
		begin("s1", "s2")
		for i := range 20 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			d := admit(now, 0, 1).(sluice.Dispatch)
			took := 100 * time.Millisecond
			if d.Server.ID == "s1" {
				took *= 3
			}
			c.Settle(now, next, sluice.OutcomeAnswered, took)
		}
		d := admit(start.Add(210*time.Millisecond), 0, 1).(sluice.Dispatch)
		Expect(d.Server.ID).To(Equal(fairway.ServerID("s2")))
	})
})

var _ = Describe("The coordinators of a fleet", func() {
	fleet := func(n int, capacity uint32) []sluice.Carrier {
		var hosts []sluice.Carrier
		for i := range n {
			hosts = append(hosts, sluice.Carrier{Host: string(rune('a' + i)), Capacity: capacity})
		}
		return hosts
	}

	DescribeTable("are as many as the rate needs", func(hosts int, capacity uint32, rate float64, present, want int) {
		Expect(sluice.ChooseCoordinators(fleet(hosts, capacity), rate, present)).To(HaveLen(want))
	},
		Entry("at least three", 84, uint32(80), 100.0, 0, 3),
		Entry("all hosts, if there are fewer", 2, uint32(80), 100.0, 0, 2),
		Entry("for 300 requests a second and 0.8 cores each", 84, uint32(80), 2000.0, 0, 7),
		Entry("more of small hosts", 84, uint32(16), 2000.0, 0, 34),
		Entry("as many as there are while the rate is a little lower", 84, uint32(80), 1500.0, 7, 7),
		Entry("fewer once it is far lower", 84, uint32(80), 300.0, 7, 3),
	)

	It("are the largest hosts", func() {
		hosts := append(fleet(20, 12), sluice.Carrier{Host: "x", Capacity: 80}, sluice.Carrier{Host: "y", Capacity: 80}, sluice.Carrier{Host: "z", Capacity: 80})
		Expect(sluice.ChooseCoordinators(hosts, 500, 0)).To(ConsistOf(hosts[20:]))
	})

	It("have whole groups of servers of which any can answer", func() {
		hosts := fleet(7, 80)
		used := make(map[string]bool)
		for i := range 12 {
			first, ok := sluice.CoordinatorOf("readings", serverName(i), sluice.ServerGroups(12*2), hosts)
			Expect(ok).To(BeTrue())
			used[first.Host] = true
		}
		Expect(len(used)).To(BeNumerically("<=", 2))
	})
})
