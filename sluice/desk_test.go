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

// owners is a fixed assignment.
type owners map[mooring.Key]mooring.ServerInstance

// Owner implements sluice.Owners.
func (o owners) Owner(key mooring.Key) (mooring.ServerInstance, mooring.Instant, bool) {
	h, ok := o[key]
	return h, start, ok
}

func sighting(id fairway.ServerID, domain fairway.Domain) fairway.Endpoint {
	return fairway.Endpoint{ID: id, Service: "invoices", Address: "10.0.0.1:80", Domain: domain, Incarnation: 1, Slots: 4}
}

// run returns the first run of a server.
func run(id fairway.ServerID) sluice.ServerRun {
	return sluice.ServerRunOf(sighting(id, ""))
}

func newDesk(servers ...fairway.Endpoint) *sluice.Controller {
	d := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: "a"})
	d.SetServers(start, servers, 4)
	return d
}

func ticket(id sluice.RequestID, now mooring.Instant) *sluice.Request {
	return &sluice.Request{ID: id, Objective: objective, SoftDeadline: now.Add(objective), Deadline: now.Add(deadline)}
}

func expectDispatch(d sluice.Decision) fairway.ServerID {
	GinkgoHelper()
	Expect(d).To(BeAssignableToTypeOf(sluice.Dispatch{}))
	return d.(sluice.Dispatch).Server.ID
}

func expectWait(d sluice.Decision) {
	GinkgoHelper()
	Expect(d).To(Equal(sluice.Wait{}))
}

func expectRefusal(d sluice.Decision, reason sluice.Reason) sluice.Refuse {
	GinkgoHelper()
	Expect(d).To(BeAssignableToTypeOf(sluice.Refuse{}))
	r := d.(sluice.Refuse)
	Expect(r.Reason).To(Equal(reason))
	Expect(r.RetryAfter).To(BeNumerically(">", 0))
	return r
}

var _ = Describe("Desk", func() {
	It("refuses at once when no server is known", func() {
		expectRefusal(newDesk().Admit(start, ticket(1, start)), sluice.ReasonNoServer)
	})

	It("never sends a request to a server twice", func() {
		d := newDesk(sighting("s1", "a"), sighting("s2", "a"))
		t := ticket(1, start)
		t.Tried = []fairway.ServerID{"s1"}
		Expect(expectDispatch(d.Admit(start, t))).To(Equal(fairway.ServerID("s2")))
	})

	It("sends large answers within the own failure domain", func() {
		d := newDesk(sighting("far", "b"), sighting("near", "a"))
		t := ticket(1, start)
		t.ResponseBytes = 90_000
		Expect(expectDispatch(d.Admit(start, t))).To(Equal(fairway.ServerID("near")))
	})

	It("sends nothing to a server that leaves", func() {
		s := sighting("s1", "a")
		s.Draining = true
		expectRefusal(newDesk(s).Admit(start, ticket(1, start)), sluice.ReasonNoServer)
	})

	It("sends nothing to a server that is missing after an outage while most are listed", func() {
		listed, missing := sighting("s1", "a"), sighting("s2", "a")
		missing.Unconfirmed = true
		d := newDesk(listed, missing)
		for id := sluice.RequestID(1); id <= 3; id++ {
			if dispatch, ok := d.Admit(start, ticket(id, start)).(sluice.Dispatch); ok {
				Expect(dispatch.Server.ID).To(Equal(listed.ID))
			}
		}
	})

	It("uses servers that are missing after an outage while most are missing", func() {
		a, b := sighting("s1", "a"), sighting("s2", "a")
		a.Unconfirmed, b.Unconfirmed = true, true
		d := newDesk(a, b)
		expectDispatch(d.Admit(start, ticket(1, start)))
	})

	It("dispatches a waiting request when another ends", func() {
		d := newDesk(sighting("s1", "a"))
		id := sluice.RequestID(1)
		for ; ; id++ {
			if _, ok := d.Admit(start, ticket(id, start)).(sluice.Dispatch); !ok {
				break
			}
		}
		Expect(d.Waiting()).To(Equal(1))
		resolved := d.Finish(start.Add(50*time.Millisecond), run("s1"), sluice.OutcomeAnswered, 50*time.Millisecond, objective)
		Expect(resolved).To(HaveLen(1))
		Expect(resolved[0].Request).To(Equal(id))
		expectDispatch(resolved[0].Decision)
	})

	It("gives an unreachable server one request at a time until it answers", func() {
		d := newDesk(sighting("s1", "a"))
		expectDispatch(d.Admit(start, ticket(1, start)))
		d.Finish(start, run("s1"), sluice.OutcomeUnreachable, 0, objective)
		expectWait(d.Admit(start, ticket(2, start)))
		later := start.Add(time.Second)
		resolved := d.Reevaluate(later)
		Expect(resolved).To(HaveLen(1))
		expectWait(d.Admit(later, ticket(3, later)))
		resolved = d.Finish(later, run("s1"), sluice.OutcomeAnswered, 10*time.Millisecond, objective)
		Expect(resolved).To(HaveLen(1))
	})

	It("is not blocked by requests that end at a server's former run", func() {
		d := newDesk(sighting("s1", "a"))
		expectDispatch(d.Admit(start, ticket(1, start)))
		again := sighting("s1", "a")
		again.Incarnation++
		d.SetServers(start, []fairway.Endpoint{again}, 4)
		d.Finish(start, run("s1"), sluice.OutcomeReset, 0, objective)
		expectDispatch(d.Admit(start, ticket(2, start)))
		d.Finish(start, sluice.ServerRunOf(again), sluice.OutcomeUnreachable, 0, objective)
		later := start.Add(10 * time.Second)
		expectDispatch(d.Admit(later, ticket(3, later)))
	})

	It("does not suspect a server that answers others while one request is silent", func() {
		d := newDesk(sighting("s1", "a"))
		expectDispatch(d.Admit(start, ticket(1, start)))
		expectDispatch(d.Admit(start, ticket(2, start)))
		d.Finish(start.Add(900*time.Millisecond), run("s1"), sluice.OutcomeAnswered, 100*time.Millisecond, objective)
		d.Finish(start.Add(time.Second), run("s1"), sluice.OutcomeTimeout, time.Second, objective)
		expectDispatch(d.Admit(start.Add(time.Second), ticket(3, start.Add(time.Second))))
	})

	It("does not pause for a server that refuses requests though it is not busy", func() {
		d := newDesk(sighting("s1", "a"))
		now := start
		for id := sluice.RequestID(1); id <= 20; id++ {
			now = now.Add(60 * time.Millisecond)
			expectDispatch(d.Admit(now, ticket(id, now)))
			outcome, took := sluice.OutcomeRejected, time.Millisecond
			if id%2 == 0 {
				outcome, took = sluice.OutcomeAnswered, 50*time.Millisecond
			}
			d.Finish(now, run("s1"), outcome, took, objective)
		}
	})

	// errorLoad sends 50 requests a second to four servers, each of which takes
	// 120 ms but answers with an error at once if erring returns true. It returns
	// the number of requests by server.
	errorLoad := func(erring func(server fairway.ServerID, nth int) bool) map[fairway.ServerID]int {
		const asked, pause, work = 1000, 20 * time.Millisecond, 120 * time.Millisecond
		d := newDesk(sighting("s1", "a"), sighting("s2", "a"), sighting("s3", "a"), sighting("s4", "a"))
		sent := map[fairway.ServerID]int{}
		var working []fairway.ServerID
		for n := 1; n <= asked; n++ {
			now := start.Add(time.Duration(n) * pause)
			if len(working) == int(work/pause) {
				d.Finish(now, run(working[0]), sluice.OutcomeAnswered, work, objective)
				working = working[1:]
			}
			server := expectDispatch(d.Admit(now, ticket(sluice.RequestID(n), now)))
			sent[server]++
			if erring(server, sent[server]) {
				d.Finish(now, run(server), sluice.OutcomeServerError, time.Millisecond, objective)
			} else {
				working = append(working, server)
			}
		}
		return sent
	}

	It("gives a server that answers with errors little, however fast it is", func() {
		sent := errorLoad(func(server fairway.ServerID, _ int) bool { return server == "s2" })
		Expect(sent["s2"]).To(BeNumerically("<=", 50))
		Expect(sent["s2"]).To(BeNumerically(">=", 3), "it may have recovered")
	})

	It("does not mind an error now and then", func() {
		sent := errorLoad(func(server fairway.ServerID, nth int) bool { return server == "s2" && nth%100 == 0 })
		Expect(sent["s2"]).To(BeNumerically(">=", 150))
	})

	It("puts urgent requests first", func() {
		d := newDesk(sighting("s1", "a"))
		var urgent sluice.RequestID
		for id := sluice.RequestID(1); d.Waiting() < 2; id++ {
			t := ticket(id, start)
			t.Priority = 2
			if d.Waiting() == 1 {
				t.Priority, urgent = 1, id
			}
			d.Admit(start, t)
		}
		resolved := d.Finish(start, run("s1"), sluice.OutcomeAnswered, time.Millisecond, objective)
		Expect(resolved[0].Request).To(Equal(urgent))
	})

	It("takes a request that is given up out of the queue", func() {
		d := newDesk(sighting("s1", "a"))
		id := sluice.RequestID(1)
		for ; d.Waiting() == 0; id++ {
			d.Admit(start, ticket(id, start))
		}
		Expect(d.Cancel(id - 1)).To(BeTrue())
		Expect(d.Cancel(id - 1)).To(BeFalse())
		Expect(d.Waiting()).To(BeZero())
	})
})

var _ = Describe("Desk of a divided service", func() {
	key, orphan := mooring.Key(7), mooring.Key(8)
	newDivided := func() *sluice.Controller {
		d := sluice.NewController(sluice.ControllerConfig{
			Service:           "readings",
			Owners:            owners{key: {Server: "s1", Incarnation: 1, Address: "10.0.0.1:80"}},
			ReassignmentDelay: 4 * time.Second,
		})
		d.SetServers(start, []fairway.Endpoint{sighting("s1", "a"), sighting("s2", "a")}, 4)
		return d
	}
	keyed := func(id sluice.RequestID, now mooring.Instant, k mooring.Key) *sluice.Request {
		t := ticket(id, now)
		t.Key = &k
		return t
	}

	It("sends a key to its owner only", func() {
		d := newDivided()
		for id := sluice.RequestID(1); id <= 2; id++ {
			Expect(expectDispatch(d.Admit(start, keyed(id, start, key)))).To(Equal(fairway.ServerID("s1")))
		}
	})

	It("waits a little for a key that changes its owner, then refuses", func() {
		d := newDivided()
		expectWait(d.Admit(start, keyed(1, start, orphan)))
		later := start.Add(800 * time.Millisecond)
		resolved := d.Reevaluate(later)
		Expect(resolved).To(HaveLen(1))
		expectRefusal(resolved[0].Decision, sluice.ReasonNoOwner)
		expectRefusal(d.Admit(later, keyed(2, later, orphan)), sluice.ReasonNoOwner)
	})

	It("tells when the hold of a silent owner will have run out", func() {
		d := newDivided()
		later := start.Add(1500 * time.Millisecond)
		r := expectRefusal(d.Admit(later, keyed(1, later, orphan)), sluice.ReasonNoOwner)
		Expect(r.RetryAfter).To(BeNumerically(">=", 2500*time.Millisecond))
		Expect(r.RetryAfter).To(BeNumerically("<=", 3750*time.Millisecond))
	})

	It("lets a leaving owner serve on until the next one is named", func() {
		d := newDivided()
		leaving := sighting("s1", "a")
		leaving.Draining = true
		d.SetServers(start, []fairway.Endpoint{leaving, sighting("s2", "a")}, 4)
		expectDispatch(d.Admit(start, keyed(1, start, key)))
		later := start.Add(time.Second)
		expectRefusal(d.Admit(later, keyed(2, later, key)), sluice.ReasonNoOwner)
	})
})

// load plays requests that arrive evenly at a desk whose server takes a fixed
// time for each, and counts how they end.
type load struct {
	desk    *sluice.Controller
	perS    float64
	service time.Duration
	lasts   time.Duration

	asked, onTime, late  int
	refused, refusedLate int
	tickets              map[sluice.RequestID]*sluice.Request
	arrived              map[sluice.RequestID]mooring.Instant
	atWork               []running
}

// running is a request at a server.
type running struct {
	ticket *sluice.Request
	server fairway.ServerID
	ends   mooring.Instant
}

// atOnce is the part of the objective up to which callers do not mind a
// refusal.
const atOnce = objective / 8

func (l *load) run() {
	const tick = 5 * time.Millisecond
	l.tickets = make(map[sluice.RequestID]*sluice.Request)
	l.arrived = make(map[sluice.RequestID]mooring.Instant)
	due := 0.0
	for now := start; now < start.Add(l.lasts); now = now.Add(tick) {
		l.end(now)
		for due += l.perS * tick.Seconds(); due >= 1; due-- {
			l.asked++
			t := ticket(sluice.RequestID(l.asked), now)
			l.tickets[t.ID], l.arrived[t.ID] = t, now
			l.decide(now, t.ID, l.desk.Admit(now, t))
		}
		l.resolve(now, l.desk.Reevaluate(now))
	}
}

// end ends the requests whose time has come.
func (l *load) end(now mooring.Instant) {
	before := l.atWork
	l.atWork = nil
	for _, r := range before {
		if r.ends > now {
			l.atWork = append(l.atWork, r)
			continue
		}
		if now <= r.ticket.SoftDeadline {
			l.onTime++
		} else {
			l.late++
		}
		l.resolve(now, l.desk.Finish(now, run(r.server), sluice.OutcomeAnswered, l.service, objective))
	}
}

func (l *load) resolve(now mooring.Instant, resolved []sluice.Resolution) {
	for _, r := range resolved {
		l.decide(now, r.Request, r.Decision)
	}
}

func (l *load) decide(now mooring.Instant, id sluice.RequestID, decision sluice.Decision) {
	switch d := decision.(type) {
	case sluice.Dispatch:
		l.atWork = append(l.atWork, running{ticket: l.tickets[id], server: d.Server.ID, ends: now.Add(l.service)})
	case sluice.Refuse:
		l.refused++
		if now.Sub(l.arrived[id]) > atOnce {
			l.refusedLate++
		}
	}
}

var _ = Describe("Desk under load", func() {
	play := func(perS float64) *load {
		l := &load{desk: newDesk(sighting("s1", "a")), perS: perS, service: 100 * time.Millisecond, lasts: 20 * time.Second}
		l.run()
		return l
	}

	It("serves everything on time while there is room", func() {
		l := play(20)
		Expect(l.refused).To(BeZero())
		Expect(l.late).To(BeZero())
	})

	It("keeps its answers on time at twice the load, and refuses the rest at once", func() {
		l := play(60)
		served := l.onTime + l.late
		// The window of one of four hosts at a server with 4 slots is 3
		// requests, of which each takes 0.1 s.
		Expect(served).To(BeNumerically(">=", 9*30*20/10))
		Expect(l.late).To(BeNumerically("<=", served/20))
		Expect(l.refusedLate).To(BeNumerically("<=", l.refused/20))
	})
})
