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

const (
	// drainBound is how long after a host has passed on that a server leaves the server
	// may get requests from it that clients sent later.
	drainBound = 2 * time.Second
	// From closureNotice after a server has turned a request away until the end of the
	// time that it names it may get closureExtra requests from that host.
	closureNotice = 500 * time.Millisecond
	closureExtra  = 2

	noticeServers = 3
	// noticeSpan is how long a schedule lasts, and noticeRate the requests a second of all
	// hosts together.
	noticeSpan = 12 * time.Second
	noticeRate = 400
	// leadTime is how long after its restart a server gives no notices: as long as hosts
	// may not have heard of the restart.
	leadTime = time.Second
)

// noticeAnswer is an answer of a server that closed it to a host.
type noticeAnswer struct {
	at, until mooring.Instant
	after     int
}

// noticeServer is a server that leaves, closes and restarts now and then.
type noticeServer struct {
	endpoint    fairway.Endpoint
	bornAt      mooring.Instant
	leaving     bool
	closedUntil mooring.Instant
	// answers has the answers that closed this instance, by host.
	answers map[int][]*noticeAnswer
}

// noticeHost is a host and what it has passed on.
type noticeHost struct {
	controller *sluice.Controller
	known      map[sluice.ServerInstance]sluice.Notice
	passedOn   map[sluice.ServerInstance]mooring.Instant
}

// noticeFleet plays a drawn schedule of notices.
type noticeFleet struct {
	now        mooring.Instant
	rng        *rand.Rand
	hosts      []*noticeHost
	servers    []*noticeServer
	keyed      bool
	later      map[mooring.Instant][]func()
	nextID     sluice.RequestID
	requests   map[sluice.RequestID]*pendingRequest
	violations []string
	arrivals   int
	refused    int
	closures   int
	departures int
}

func newNoticeFleet(seed uint64, hosts int, keyed bool) *noticeFleet {
	f := &noticeFleet{
		now: mooring.Instant(time.Minute), rng: rand.New(rand.NewPCG(seed, 32)), keyed: keyed,
		later: make(map[mooring.Instant][]func()), requests: make(map[sluice.RequestID]*pendingRequest),
	}
	n := noticeServers
	if keyed {
		n = 1
	}
	for i := range n {
		f.servers = append(f.servers, &noticeServer{
			endpoint: fairway.Endpoint{ID: fairway.ServerID(fmt.Sprint("s", i)), Service: "s", Address: "10.0.0.1:80", Incarnation: 1, Slots: 40},
			answers:  make(map[int][]*noticeAnswer), bornAt: f.now.Add(-leadTime),
		})
	}
	for i := range hosts {
		cfg := sluice.ControllerConfig{Service: "s", Host: fmt.Sprint(i)}
		if keyed {
			cfg.Owners = f
		}
		h := &noticeHost{
			controller: sluice.NewController(cfg), known: make(map[sluice.ServerInstance]sluice.Notice),
			passedOn: make(map[sluice.ServerInstance]mooring.Instant),
		}
		f.hosts = append(f.hosts, h)
		h.controller.SetServers(f.now, f.endpoints(), hosts)
	}
	return f
}

// Owner implements sluice.Owners.
func (f *noticeFleet) Owner(mooring.Key) (mooring.ServerInstance, mooring.Instant, bool) {
	e := f.servers[0].endpoint
	return mooring.ServerInstance{Server: e.ID, Incarnation: e.Incarnation, Address: e.Address}, 0, true
}

func (f *noticeFleet) endpoints() []fairway.Endpoint {
	var all []fairway.Endpoint
	for _, s := range f.servers {
		all = append(all, s.endpoint)
	}
	return all
}

func (f *noticeFleet) after(d time.Duration, run func()) {
	at := f.now.Add((d/fleetStep + 1) * fleetStep)
	f.later[at] = append(f.later[at], run)
}

func (f *noticeFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// play plays a schedule.
func (f *noticeFleet) play() {
	end := f.now.Add(noticeSpan)
	for ; f.now < end; f.now = f.now.Add(fleetStep) {
		for _, run := range f.later[f.now] {
			run()
		}
		delete(f.later, f.now)
		for _, s := range f.servers {
			f.change(s)
		}
		for range noticeRate * int(fleetStep) / int(time.Second) {
			f.request(f.rng.IntN(len(f.hosts)), f.now.Add(-f.upTo(30*time.Millisecond)))
		}
		for i, h := range f.hosts {
			f.resolve(i, h.controller.Reevaluate(f.now))
		}
	}
}

// change has a server begin to leave, close, or restart, each every few seconds.
func (f *noticeFleet) change(s *noticeServer) {
	if f.now.Sub(s.bornAt) < leadTime {
		return
	}
	switch f.rng.IntN(800) {
	case 0:
		if !s.leaving {
			s.leaving = true
			f.departures++
		}
	case 1, 2, 3:
		s.closedUntil = f.now.Add(f.upTo(time.Second))
	case 4:
		s.endpoint.Incarnation++
		s.bornAt, s.leaving, s.closedUntil, s.answers = f.now, false, 0, make(map[int][]*noticeAnswer)
		for _, h := range f.hosts {
			f.after(f.upTo(leadTime-100*time.Millisecond), func() { h.controller.SetServers(f.now, f.endpoints(), len(f.hosts)) })
		}
	}
}

// pendingRequest is a request that a client sent at an instant, and that arrived at a host
// later.
type pendingRequest struct {
	sluice.Request
	sentAt    mooring.Instant
	arrivedAt mooring.Instant
}

func (f *noticeFleet) request(host int, sentAt mooring.Instant) {
	f.nextID++
	r := &pendingRequest{sentAt: sentAt, arrivedAt: f.now, Request: sluice.Request{
		ID: f.nextID, Objective: 600 * time.Millisecond, SoftDeadline: sentAt.Add(600 * time.Millisecond), Deadline: sentAt.Add(3 * time.Second),
	}}
	if f.keyed {
		r.Key = new(mooring.Key)
	}
	f.requests[r.ID] = r
	f.resolve(host, []sluice.Resolution{{Request: r.ID, Decision: f.hosts[host].controller.Admit(f.now, &r.Request)}})
}

func (f *noticeFleet) resolve(host int, resolved []sluice.Resolution) {
	for _, res := range resolved {
		switch d := res.Decision.(type) {
		case sluice.Dispatch:
			f.send(host, f.requests[res.Request], d.Server)
		case sluice.Refuse:
			f.refused++
			f.checkRefusal(host, d)
		}
	}
}

// checkRefusal asserts that a refusal for closed servers names at least the time until
// the first of them opens.
func (f *noticeFleet) checkRefusal(host int, d sluice.Refuse) {
	if d.Reason != sluice.ReasonClosed {
		return
	}
	first := time.Hour
	for _, n := range f.hosts[host].known {
		if n.ClosedFor(f.now) > 0 && (f.keyed || n.LeavingSince == 0) {
			first = min(first, n.ClosedFor(f.now))
		}
	}
	if first < time.Hour && d.RetryAfter < first {
		f.violations = append(f.violations, fmt.Sprintf("refused for %v, closed for %v", d.RetryAfter, first))
	}
}

// send opens a connection, which now and then takes long, and sends the request unless it
// may not be sent any more.
func (f *noticeFleet) send(host int, r *pendingRequest, to fairway.Endpoint) {
	h, connect := f.hosts[host], time.Duration(0)
	if f.rng.IntN(20) == 0 {
		connect = f.upTo(1500 * time.Millisecond)
	}
	instance := sluice.ServerInstanceOf(to)
	f.after(connect, func() {
		if h.known[instance].Excludes(f.now, r.arrivedAt) {
			f.resolve(host, h.controller.Finish(f.now, instance, sluice.OutcomeCanceled, 0, 0))
			return
		}
		f.after(f.upTo(40*time.Millisecond), func() { f.arrive(host, r, to) })
	})
}

// arrive has a request arrive at the server of an endpoint, and checks the rules.
func (f *noticeFleet) arrive(host int, r *pendingRequest, to fairway.Endpoint) {
	h, instance := f.hosts[host], sluice.ServerInstanceOf(to)
	var s *noticeServer
	for _, other := range f.servers {
		if other.endpoint.ID == to.ID {
			s = other
		}
	}
	f.arrivals++
	if s.endpoint.Incarnation != to.Incarnation {
		f.resolve(host, h.controller.Finish(f.now, instance, sluice.OutcomeReset, 0, 0))
		return
	}
	if at, ok := h.passedOn[instance]; ok && r.sentAt.Sub(at) > drainBound {
		f.violations = append(f.violations, fmt.Sprintf("%s got a request %v after its notice was passed on", to.ID, r.sentAt.Sub(at)))
	}
	for _, a := range s.answers[host] {
		if f.now.Sub(a.at) > closureNotice && f.now < a.until {
			if a.after++; a.after > closureExtra {
				f.violations = append(f.violations, fmt.Sprintf("%s got %d requests while it was closed", to.ID, a.after))
			}
		}
	}
	f.answer(host, s, f.now < s.closedUntil, s.leaving)
}

// answer has a server answer a request after some work.
func (f *noticeFleet) answer(host int, s *noticeServer, closed, leaving bool) {
	h, instance, named := f.hosts[host], sluice.ServerInstanceOf(s.endpoint), f.upTo(4*time.Second)
	work := f.upTo(80 * time.Millisecond)
	if f.rng.IntN(10) == 0 {
		work = f.upTo(1200 * time.Millisecond)
	}
	f.after(work, func() {
		if s.endpoint.Incarnation != instance.Incarnation {
			f.resolve(host, h.controller.Finish(f.now, instance, sluice.OutcomeReset, work, 0))
			return
		}
		if closed {
			s.answers[host] = append(s.answers[host], &noticeAnswer{at: f.now, until: f.now.Add(named)})
			f.closures++
		}
		f.after(f.upTo(40*time.Millisecond), func() {
			n := h.known[instance]
			if closed {
				n = n.Closed(f.now.Add(named))
			}
			if leaving {
				n = n.Left(f.now)
				if _, known := h.passedOn[instance]; !known {
					h.passedOn[instance] = f.now
				}
			}
			h.known[instance] = n
			h.controller.SetNotice(instance, n)
			outcome := sluice.OutcomeAnswered
			if closed {
				outcome = sluice.OutcomeRejected
			}
			f.resolve(host, h.controller.Finish(f.now, instance, outcome, work, 600*time.Millisecond))
		})
	})
}

var _ = Describe("Notices of servers that leave or close", func() {
	DescribeTable("are kept to in drawn schedules",
		func(hosts int, keyed bool, seeds int) {
			arrivals, closures, departures := 0, 0, 0
			for seed := range uint64(seeds) {
				f := newNoticeFleet(seed, hosts, keyed)
				f.play()
				Expect(f.violations).To(BeEmpty(), "seed %d", seed)
				arrivals, closures, departures = arrivals+f.arrivals, closures+f.closures, departures+f.departures
			}
			Expect(arrivals).To(BeNumerically(">", 200*seeds))
			Expect(closures).To(BeNumerically(">", 0))
			Expect(departures).To(BeNumerically(">", 0))
		},
		Entry("3 hosts", 3, false, 40),
		Entry("12 hosts", 12, false, 20),
		Entry("79 hosts", 79, false, 6),
		Entry("300 hosts", 300, false, 3),
		Entry("3 hosts and the owner of a key", 3, true, 40),
		Entry("12 hosts and the owner of a key", 12, true, 20),
		Entry("79 hosts and the owner of a key", 79, true, 6),
		Entry("300 hosts and the owner of a key", 300, true, 3),
	)
})

var _ = Describe("A controller whose servers give notice", func() {
	a := fairway.Endpoint{ID: "a", Service: "s", Address: "10.0.0.1:80", Incarnation: 1, Slots: 1}
	b := fairway.Endpoint{ID: "b", Service: "s", Address: "10.0.0.2:80", Incarnation: 1, Slots: 1}
	instanceA, instanceB := sluice.ServerInstanceOf(a), sluice.ServerInstanceOf(b)
	var c *sluice.Controller
	var now mooring.Instant
	var nextID sluice.RequestID
	admit := func(patience time.Duration) sluice.Decision {
		nextID++
		return c.Admit(now, &sluice.Request{ID: nextID, Objective: patience, SoftDeadline: now.Add(patience), Deadline: now.Add(patience)})
	}
	// serversOf returns how many requests each server gets until both are full.
	serversOf := func() map[fairway.ServerID]int {
		got := make(map[fairway.ServerID]int)
		for {
			d, ok := admit(time.Millisecond).(sluice.Dispatch)
			if !ok {
				return got
			}
			got[d.Server.ID]++
		}
	}
	BeforeEach(func() {
		now = mooring.Instant(time.Minute)
		c = sluice.NewController(sluice.ControllerConfig{Service: "s", Host: "h"})
		c.SetServers(now, []fairway.Endpoint{a, b}, 1)
	})

	It("sends nothing to a server that leaves or is closed", func() {
		c.SetNotice(instanceA, sluice.Notice{}.Left(now))
		Expect(serversOf()).To(And(HaveKey(b.ID), Not(HaveKey(a.ID))))
	})

	It("uses servers that leave for a while if there are no others", func() {
		for _, instance := range []sluice.ServerInstance{instanceA, instanceB} {
			c.SetNotice(instance, sluice.Notice{}.Left(now))
		}
		now = now.Add(1600 * time.Millisecond)
		Expect(admit(time.Second)).To(BeAssignableToTypeOf(sluice.Dispatch{}))
		now = now.Add(200 * time.Millisecond)
		Expect(admit(time.Second)).To(BeAssignableToTypeOf(sluice.Refuse{}))
	})

	It("uses one that leaves according to another host only when no other has room", func() {
		c.SetNotice(instanceA, sluice.Notice{LeavingElsewhere: true})
		var order []fairway.ServerID
		for {
			d, ok := admit(time.Millisecond).(sluice.Dispatch)
			if !ok {
				break
			}
			order = append(order, d.Server.ID)
		}
		Expect(order[0]).To(Equal(b.ID))
		Expect(order[len(order)-1]).To(Equal(a.ID))
	})

	It("has the notice end with the incarnation, also if the store lists it again", func() {
		c.SetNotice(instanceA, sluice.Notice{}.Left(now))
		next := a
		next.Incarnation++
		c.SetServers(now, []fairway.Endpoint{next, b}, 1)
		Expect(serversOf()).To(HaveKey(a.ID))
		c.SetServers(now, []fairway.Endpoint{b}, 1)
		c.SetServers(now, []fairway.Endpoint{a, b}, 1)
		Expect(serversOf()).NotTo(HaveKey(a.ID))
	})

	It("holds a request that can wait until the first server opens", func() {
		c.SetNotice(instanceA, sluice.Notice{}.Closed(now.Add(300*time.Millisecond)))
		c.SetNotice(instanceB, sluice.Notice{}.Closed(now.Add(3*time.Second)))
		Expect(admit(time.Second)).To(BeAssignableToTypeOf(sluice.Wait{}))
		now = now.Add(350 * time.Millisecond)
		resolved := c.Reevaluate(now)
		Expect(resolved).To(HaveLen(1))
		Expect(resolved[0].Decision).To(Equal(sluice.Dispatch{Server: a}))
	})

	It("refuses one that cannot wait, with the time until the first server opens, spread", func() {
		c.SetNotice(instanceA, sluice.Notice{}.Closed(now.Add(9*time.Second)))
		c.SetNotice(instanceB, sluice.Notice{}.Closed(now.Add(20*time.Second)))
		times := make(map[time.Duration]bool)
		for range 50 {
			d := admit(time.Second).(sluice.Refuse)
			Expect(d.Reason).To(Equal(sluice.ReasonClosed))
			Expect(d.RetryAfter).To(And(BeNumerically(">=", 9*time.Second), BeNumerically("<=", 11500*time.Millisecond)))
			times[d.RetryAfter] = true
		}
		Expect(len(times)).To(BeNumerically(">", 20))
	})

	It("leaves a server of another incarnation alone", func() {
		later := instanceA
		later.Incarnation++
		c.SetNotice(later, sluice.Notice{}.Left(now))
		c.SetNotice(later, sluice.Notice{}.Left(now).Closed(now.Add(time.Minute)))
		Expect(serversOf()).To(And(HaveKey(a.ID), HaveKey(b.ID)))
	})

	It("sends the owner of a key that leaves its requests until its keys have moved, but not for too long", func() {
		owned := sluice.NewController(sluice.ControllerConfig{Service: "s", Host: "h", Owners: ownedBy{a}})
		owned.SetServers(now, []fairway.Endpoint{a, b}, 1)
		owned.SetNotice(instanceA, sluice.Notice{}.Left(now))
		decide := func(at mooring.Instant) sluice.Decision {
			nextID++
			patience := 900 * time.Millisecond
			return owned.Admit(at, &sluice.Request{
				ID: nextID, Key: new(mooring.Key), Objective: patience, SoftDeadline: at.Add(patience), Deadline: at.Add(patience),
			})
		}
		Expect(decide(now.Add(time.Second))).To(Equal(sluice.Dispatch{Server: a}))
		late := decide(now.Add(drainBound))
		Expect(late).To(BeAssignableToTypeOf(sluice.Refuse{}))
		Expect(late.(sluice.Refuse).Reason).To(Equal(sluice.ReasonNoOwner))
	})

	It("does not shorten a closure because of a later one with less time", func() {
		n := sluice.Notice{}.Closed(now.Add(5 * time.Second)).Closed(now.Add(time.Second))
		Expect(n.ClosedFor(now)).To(BeNumerically(">=", 5*time.Second))
	})

	It("excludes by when a request arrived, not by when it is sent", func() {
		n := sluice.Notice{}.Left(now)
		Expect(n.Excludes(now.Add(10*time.Second), now.Add(time.Second))).To(BeFalse())
		Expect(n.Excludes(now.Add(10*time.Second), now.Add(drainBound))).To(BeTrue())
	})
})
