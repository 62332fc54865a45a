package sluice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

const (
	objective = 500 * time.Millisecond
	deadline  = 1200 * time.Millisecond
)

var start = mooring.Instant(time.Hour)

// owners is a fixed mapping of keys to owners.
type owners map[mooring.Key]mooring.ServerInstance

// Owner implements sluice.Owners.
func (o owners) Owner(key mooring.Key) (mooring.ServerInstance, mooring.Instant, bool) {
	owner, ok := o[key]
	return owner, start, ok
}

func endpoint(id fairway.ServerID, domain fairway.Domain) fairway.Endpoint {
	return fairway.Endpoint{ID: id, Service: "invoices", Address: "10.0.0.1:80", Domain: domain, Incarnation: 1, Slots: 4}
}

// firstInstance returns the first instance of a server.
func firstInstance(id fairway.ServerID) sluice.ServerInstance {
	return sluice.ServerInstanceOf(endpoint(id, ""))
}

func newController(servers ...fairway.Endpoint) *sluice.Controller {
	c := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: "a"})
	c.SetServers(start, servers, 4)
	return c
}

func newRequest(id sluice.RequestID, now mooring.Instant) *sluice.Request {
	return &sluice.Request{ID: id, Objective: objective, SoftDeadline: now.Add(objective), Deadline: now.Add(deadline)}
}

func expectDispatch(decision sluice.Decision) fairway.ServerID {
	GinkgoHelper()
	Expect(decision).To(BeAssignableToTypeOf(sluice.Dispatch{}))
	return decision.(sluice.Dispatch).Server.ID
}

func expectWait(decision sluice.Decision) {
	GinkgoHelper()
	Expect(decision).To(Equal(sluice.Wait{}))
}

func expectRefusal(decision sluice.Decision, reason sluice.Reason) sluice.Refuse {
	GinkgoHelper()
	Expect(decision).To(BeAssignableToTypeOf(sluice.Refuse{}))
	r := decision.(sluice.Refuse)
	Expect(r.Reason).To(Equal(reason))
	Expect(r.RetryAfter).To(BeNumerically(">", 0))
	return r
}

var _ = Describe("Controller", func() {
	It("refuses at once when no server is known", func() {
		expectRefusal(newController().Admit(start, newRequest(1, start)), sluice.ReasonNoServer)
	})

	It("never sends a request to a server twice", func() {
		c := newController(endpoint("s1", "a"), endpoint("s2", "a"))
		r := newRequest(1, start)
		r.Tried = []fairway.ServerID{"s1"}
		Expect(expectDispatch(c.Admit(start, r))).To(Equal(fairway.ServerID("s2")))
	})

	It("sends large responses within the own failure domain", func() {
		c := newController(endpoint("far", "b"), endpoint("near", "a"))
		r := newRequest(1, start)
		r.ResponseBytes = 90_000
		Expect(expectDispatch(c.Admit(start, r))).To(Equal(fairway.ServerID("near")))
	})

	It("sends nothing to a leaving server", func() {
		s := endpoint("s1", "a")
		s.Draining = true
		expectRefusal(newController(s).Admit(start, newRequest(1, start)), sluice.ReasonNoServer)
	})

	It("sends nothing to a server that is missing after an outage while most are listed", func() {
		listed, missing := endpoint("s1", "a"), endpoint("s2", "a")
		missing.Unconfirmed = true
		c := newController(listed, missing)
		for id := sluice.RequestID(1); id <= 3; id++ {
			if dispatch, ok := c.Admit(start, newRequest(id, start)).(sluice.Dispatch); ok {
				Expect(dispatch.Server.ID).To(Equal(listed.ID))
			}
		}
	})

	It("uses servers that are missing after an outage while most are missing", func() {
		a, b := endpoint("s1", "a"), endpoint("s2", "a")
		a.Unconfirmed, b.Unconfirmed = true, true
		c := newController(a, b)
		expectDispatch(c.Admit(start, newRequest(1, start)))
	})

	It("dispatches a waiting request when another ends", func() {
		c := newController(endpoint("s1", "a"))
		id := sluice.RequestID(1)
		for ; ; id++ {
			if _, ok := c.Admit(start, newRequest(id, start)).(sluice.Dispatch); !ok {
				break
			}
		}
		Expect(c.Waiting()).To(Equal(1))
		resolved := c.Finish(start.Add(50*time.Millisecond), firstInstance("s1"), sluice.OutcomeAnswered, 50*time.Millisecond, objective)
		Expect(resolved).To(HaveLen(1))
		Expect(resolved[0].Request).To(Equal(id))
		expectDispatch(resolved[0].Decision)
	})

	It("gives an unreachable server one request at a time until it answers", func() {
		c := newController(endpoint("s1", "a"))
		expectDispatch(c.Admit(start, newRequest(1, start)))
		c.Finish(start, firstInstance("s1"), sluice.OutcomeUnreachable, 0, objective)
		expectWait(c.Admit(start, newRequest(2, start)))
		later := start.Add(time.Second)
		resolved := c.Reevaluate(later)
		Expect(resolved).To(HaveLen(1))
		expectWait(c.Admit(later, newRequest(3, later)))
		resolved = c.Finish(later, firstInstance("s1"), sluice.OutcomeAnswered, 10*time.Millisecond, objective)
		Expect(resolved).To(HaveLen(1))
	})

	It("gives unreachable servers a request each soon after they are reached again", func() {
		c := newController(endpoint("s1", "a"), endpoint("s2", "a"))
		now := start
		for id := range sluice.RequestID(10) {
			now = now.Add(time.Minute)
			first, second := newRequest(2*id, now), newRequest(2*id+1, now)
			for _, server := range []fairway.ServerID{expectDispatch(c.Admit(now, first)), expectDispatch(c.Admit(now, second))} {
				c.Finish(now, firstInstance(server), sluice.OutcomeUnreachable, 0, objective)
			}
		}
		c.Restore(now)
		first := expectDispatch(c.Admit(now, newRequest(31, now)))
		later := now.Add(300 * time.Millisecond)
		Expect(expectDispatch(c.Admit(later, newRequest(32, later)))).NotTo(Equal(first))
		expectWait(c.Admit(later, newRequest(33, later)))
		Expect(c.Finish(later, firstInstance(first), sluice.OutcomeAnswered, 10*time.Millisecond, objective)).To(HaveLen(1))
	})

	It("ignores results of requests from an earlier run of a server", func() {
		c := newController(endpoint("s1", "a"))
		expectDispatch(c.Admit(start, newRequest(1, start)))
		restarted := endpoint("s1", "a")
		restarted.Incarnation++
		c.SetServers(start, []fairway.Endpoint{restarted}, 4)
		c.Finish(start, firstInstance("s1"), sluice.OutcomeReset, 0, objective)
		expectDispatch(c.Admit(start, newRequest(2, start)))
		c.Finish(start, sluice.ServerInstanceOf(restarted), sluice.OutcomeUnreachable, 0, objective)
		later := start.Add(10 * time.Second)
		expectDispatch(c.Admit(later, newRequest(3, later)))
	})

	It("does not suspect a server that answers other requests while one times out", func() {
		c := newController(endpoint("s1", "a"))
		expectDispatch(c.Admit(start, newRequest(1, start)))
		expectDispatch(c.Admit(start, newRequest(2, start)))
		c.Finish(start.Add(900*time.Millisecond), firstInstance("s1"), sluice.OutcomeAnswered, 100*time.Millisecond, objective)
		c.Finish(start.Add(time.Second), firstInstance("s1"), sluice.OutcomeTimeout, time.Second, objective)
		expectDispatch(c.Admit(start.Add(time.Second), newRequest(3, start.Add(time.Second))))
	})

	It("does not pause for a server that rejects requests although it is not busy", func() {
		c := newController(endpoint("s1", "a"))
		now := start
		for id := sluice.RequestID(1); id <= 20; id++ {
			now = now.Add(60 * time.Millisecond)
			expectDispatch(c.Admit(now, newRequest(id, now)))
			outcome, latency := sluice.OutcomeRejected, time.Millisecond
			if id%2 == 0 {
				outcome, latency = sluice.OutcomeAnswered, 50*time.Millisecond
			}
			c.Finish(now, firstInstance("s1"), outcome, latency, objective)
		}
	})

	// simulateErrors sends 50 requests a second to four servers, each of which takes
	// 120 ms, or answers with an error at once if erring returns true. It
	// returns the number of requests by server.
	simulateErrors := func(erring func(server fairway.ServerID, nth int) bool) map[fairway.ServerID]int {
		const total, pause, work = 1000, 20 * time.Millisecond, 120 * time.Millisecond
		c := newController(endpoint("s1", "a"), endpoint("s2", "a"), endpoint("s3", "a"), endpoint("s4", "a"))
		sent := map[fairway.ServerID]int{}
		var working []fairway.ServerID
		for n := 1; n <= total; n++ {
			now := start.Add(time.Duration(n) * pause)
			if len(working) == int(work/pause) {
				c.Finish(now, firstInstance(working[0]), sluice.OutcomeAnswered, work, objective)
				working = working[1:]
			}
			server := expectDispatch(c.Admit(now, newRequest(sluice.RequestID(n), now)))
			sent[server]++
			if erring(server, sent[server]) {
				c.Finish(now, firstInstance(server), sluice.OutcomeServerError, time.Millisecond, objective)
			} else {
				working = append(working, server)
			}
		}
		return sent
	}

	It("sends few requests to a server that answers with errors, however fast it is", func() {
		sent := simulateErrors(func(server fairway.ServerID, _ int) bool { return server == "s2" })
		Expect(sent["s2"]).To(BeNumerically("<=", 50))
		Expect(sent["s2"]).To(BeNumerically(">=", 3), "the server must still be tried in case it has recovered")
	})

	It("tolerates occasional errors of a server", func() {
		sent := simulateErrors(func(server fairway.ServerID, nth int) bool { return server == "s2" && nth%100 == 0 })
		Expect(sent["s2"]).To(BeNumerically(">=", 150))
	})

	It("dispatches requests of a higher priority first", func() {
		c := newController(endpoint("s1", "a"))
		var urgent sluice.RequestID
		for id := sluice.RequestID(1); c.Waiting() < 2; id++ {
			r := newRequest(id, start)
			r.Priority = 2
			if c.Waiting() == 1 {
				r.Priority, urgent = 1, id
			}
			c.Admit(start, r)
		}
		resolved := c.Finish(start, firstInstance("s1"), sluice.OutcomeAnswered, time.Millisecond, objective)
		Expect(resolved[0].Request).To(Equal(urgent))
	})

	It("removes a canceled request from the queue", func() {
		c := newController(endpoint("s1", "a"))
		id := sluice.RequestID(1)
		for ; c.Waiting() == 0; id++ {
			c.Admit(start, newRequest(id, start))
		}
		Expect(c.Cancel(id - 1)).To(BeTrue())
		Expect(c.Cancel(id - 1)).To(BeFalse())
		Expect(c.Waiting()).To(BeZero())
	})
})

var _ = Describe("Controller of a divided service", func() {
	key, orphan := mooring.Key(7), mooring.Key(8)
	newDividedController := func() *sluice.Controller {
		c := sluice.NewController(sluice.ControllerConfig{
			Service:           "readings",
			Owners:            owners{key: {Server: "s1", Incarnation: 1, Address: "10.0.0.1:80"}},
			ReassignmentDelay: 4 * time.Second,
		})
		c.SetServers(start, []fairway.Endpoint{endpoint("s1", "a"), endpoint("s2", "a")}, 4)
		return c
	}
	newKeyedRequest := func(id sluice.RequestID, now mooring.Instant, k mooring.Key) *sluice.Request {
		r := newRequest(id, now)
		r.Key = &k
		return r
	}

	It("sends a key to its owner only", func() {
		c := newDividedController()
		for id := sluice.RequestID(1); id <= 2; id++ {
			Expect(expectDispatch(c.Admit(start, newKeyedRequest(id, start, key)))).To(Equal(fairway.ServerID("s1")))
		}
	})

	It("waits briefly for a key without an owner, then refuses the request", func() {
		c := newDividedController()
		expectWait(c.Admit(start, newKeyedRequest(1, start, orphan)))
		later := start.Add(800 * time.Millisecond)
		resolved := c.Reevaluate(later)
		Expect(resolved).To(HaveLen(1))
		expectRefusal(resolved[0].Decision, sluice.ReasonNoOwner)
		expectRefusal(c.Admit(later, newKeyedRequest(2, later, orphan)), sluice.ReasonNoOwner)
	})

	It("returns the time until the hold of an unresponsive owner expires", func() {
		c := newDividedController()
		later := start.Add(1500 * time.Millisecond)
		refusal := expectRefusal(c.Admit(later, newKeyedRequest(1, later, orphan)), sluice.ReasonNoOwner)
		Expect(refusal.RetryAfter).To(BeNumerically(">=", 2500*time.Millisecond))
		Expect(refusal.RetryAfter).To(BeNumerically("<=", 3750*time.Millisecond))
	})

	It("sends requests to a leaving owner for a limited time", func() {
		c := newDividedController()
		leaving := endpoint("s1", "a")
		leaving.Draining = true
		c.SetServers(start, []fairway.Endpoint{leaving, endpoint("s2", "a")}, 4)
		expectDispatch(c.Admit(start, newKeyedRequest(1, start, key)))
		later := start.Add(time.Second)
		expectRefusal(c.Admit(later, newKeyedRequest(2, later, key)), sluice.ReasonNoOwner)
	})
})

// simulation sends requests that arrive evenly to a controller whose server
// takes a fixed time for each, and counts the results.
type simulation struct {
	controller *sluice.Controller
	rate       float64
	workTime   time.Duration
	duration   time.Duration

	total, onTime, late  int
	refused, refusedLate int
	requests             map[sluice.RequestID]*sluice.Request
	arrivals             map[sluice.RequestID]mooring.Instant
	inFlight             []runningRequest
}

// runningRequest is a request at the server.
type runningRequest struct {
	request *sluice.Request
	server  fairway.ServerID
	endsAt  mooring.Instant
}

// promptRefusalLimit is how long after its arrival a request may be refused without
// counting as refused late.
const promptRefusalLimit = objective / 8

func (sim *simulation) run() {
	const tick = 5 * time.Millisecond
	sim.requests = make(map[sluice.RequestID]*sluice.Request)
	sim.arrivals = make(map[sluice.RequestID]mooring.Instant)
	due := 0.0
	for now := start; now < start.Add(sim.duration); now = now.Add(tick) {
		sim.finishAnswered(now)
		for due += sim.rate * tick.Seconds(); due >= 1; due-- {
			sim.total++
			r := newRequest(sluice.RequestID(sim.total), now)
			sim.requests[r.ID], sim.arrivals[r.ID] = r, now
			sim.decide(now, r.ID, sim.controller.Admit(now, r))
		}
		sim.resolve(now, sim.controller.Reevaluate(now))
	}
}

// finishAnswered finishes the requests that the server has answered by now.
func (sim *simulation) finishAnswered(now mooring.Instant) {
	before := sim.inFlight
	sim.inFlight = nil
	for _, r := range before {
		if r.endsAt > now {
			sim.inFlight = append(sim.inFlight, r)
			continue
		}
		if now <= r.request.SoftDeadline {
			sim.onTime++
		} else {
			sim.late++
		}
		sim.resolve(now, sim.controller.Finish(now, firstInstance(r.server), sluice.OutcomeAnswered, sim.workTime, objective))
	}
}

func (sim *simulation) resolve(now mooring.Instant, resolved []sluice.Resolution) {
	for _, r := range resolved {
		sim.decide(now, r.Request, r.Decision)
	}
}

func (sim *simulation) decide(now mooring.Instant, id sluice.RequestID, decision sluice.Decision) {
	switch d := decision.(type) {
	case sluice.Dispatch:
		sim.inFlight = append(sim.inFlight, runningRequest{request: sim.requests[id], server: d.Server.ID, endsAt: now.Add(sim.workTime)})
	case sluice.Refuse:
		sim.refused++
		if now.Sub(sim.arrivals[id]) > promptRefusalLimit {
			sim.refusedLate++
		}
	}
}

var _ = Describe("Controller under load", func() {
	simulate := func(rate float64) *simulation {
		sim := &simulation{controller: newController(endpoint("s1", "a")), rate: rate, workTime: 100 * time.Millisecond, duration: 20 * time.Second}
		sim.run()
		return sim
	}

	It("answers all requests on time below the capacity", func() {
		sim := simulate(20)
		Expect(sim.refused).To(BeZero())
		Expect(sim.late).To(BeZero())
	})

	It("keeps responses on time at twice the capacity, and refuses the rest promptly", func() {
		sim := simulate(60)
		served := sim.onTime + sim.late
		// The window of one of four hosts at a server with 4 slots is 3
		// requests, each of which takes 0.1 s.
		Expect(served).To(BeNumerically(">=", 9*30*20/10))
		Expect(sim.late).To(BeNumerically("<=", served/20))
		Expect(sim.refusedLate).To(BeNumerically("<=", sim.refused/20))
	})
})

var _ = Describe("A request whose key is being handed over", func() {
	It("waits as long as the requests in flight may take", func() {
		owners := &handedOver{}
		c := sluice.NewController(sluice.ControllerConfig{Service: "readings", Owners: owners, ReassignmentDelay: 4 * time.Second})
		endpoint := fairway.Endpoint{ID: "a", Service: "readings", Slots: 6, Incarnation: 1}
		c.SetServers(0, []fairway.Endpoint{endpoint}, 1)
		now := mooring.Instant(0)
		for range 200 {
			now = now.Add(time.Second)
			c.Finish(now, sluice.ServerInstanceOf(endpoint), sluice.OutcomeAnswered, 800*time.Millisecond, 2500*time.Millisecond)
		}
		owners.since = now
		key := mooring.Key(7)
		admit := func(after time.Duration) sluice.Decision {
			at := now.Add(after)
			return c.Admit(at, &sluice.Request{ID: sluice.RequestID(after), Key: &key, Objective: 2500 * time.Millisecond, SoftDeadline: at.Add(2500 * time.Millisecond), Deadline: at.Add(6 * time.Second)})
		}
		Expect(admit(time.Second)).To(Equal(sluice.Wait{}))
		Expect(admit(2 * time.Second)).To(HaveField("Reason", sluice.ReasonNoOwner))
	})
})

// handedOver knows no owner of any key since an instant.
type handedOver struct {
	since mooring.Instant
}

// Owner implements sluice.Owners.
func (h *handedOver) Owner(mooring.Key) (mooring.ServerInstance, mooring.Instant, bool) {
	return mooring.ServerInstance{}, h.since, false
}
