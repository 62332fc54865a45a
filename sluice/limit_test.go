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
	// limitWindow is the span over which a server counts requests. It may get one and a
	// half times the limit and limitExtra from limitNotice after it has named one.
	limitWindow = 4 * time.Second
	limitNotice = 3 * time.Second
	limitExtra  = 5

	fleetStep    = 10 * time.Millisecond
	askInterval  = 50 * time.Millisecond
	reportDelay  = 500 * time.Millisecond
	maxCallDelay = 60 * time.Millisecond
	workTime     = 80 * time.Millisecond
)

var limitedServer = fairway.Endpoint{ID: "limited", Service: "s", Address: "10.0.0.1:80", Incarnation: 1, Slots: 6}

// ownedBy is a service whose keys all have one owner.
type ownedBy struct{ server fairway.Endpoint }

// Owner implements sluice.Owners.
func (o ownedBy) Owner(mooring.Key) (mooring.ServerInstance, mooring.Instant, bool) {
	return mooring.ServerInstance{Server: o.server.ID, Incarnation: o.server.Incarnation, Address: o.server.Address}, 0, true
}

// limitFleet is a fleet of hosts that share the limit of a server, which stays or moves
// with the time.
type limitFleet struct {
	now    mooring.Instant
	rng    *rand.Rand
	hosts  []*limitHost
	keyed  bool
	pool   *sluice.SlotPool
	limit  sluice.Rate
	named  bool
	later  map[mooring.Instant][]func()
	nextID sluice.RequestID
	// noPlacerUntil is until when no host can ask for slots.
	noPlacerUntil mooring.Instant
	// arrived has when requests arrived at the limited server, and changed when its
	// limit last changed.
	arrived []mooring.Instant
	changed mooring.Instant
	refused int
	served  int
}

type limitHost struct {
	controller  *sluice.Controller
	own         *sluice.SlotPool
	frozenUntil mooring.Instant
}

func newLimitFleet(seed uint64, hosts int, keyed bool) *limitFleet {
	f := &limitFleet{
		now: mooring.Instant(time.Minute), rng: rand.New(rand.NewPCG(seed, 26)), keyed: keyed,
		pool: sluice.NewSlotPool(), later: make(map[mooring.Instant][]func()),
	}
	for range hosts {
		f.join()
	}
	return f
}

func (f *limitFleet) join() *limitHost {
	cfg := sluice.ControllerConfig{Service: "s", Host: fmt.Sprint(len(f.hosts))}
	if f.keyed {
		cfg.Owners = ownedBy{limitedServer}
	}
	h := &limitHost{controller: sluice.NewController(cfg)}
	f.hosts = append(f.hosts, h)
	h.controller.SetServers(f.now, f.endpoints(), len(f.hosts))
	return h
}

// endpoints returns the servers. In a service that is not divided there is another one.
func (f *limitFleet) endpoints() []fairway.Endpoint {
	if f.keyed {
		return []fairway.Endpoint{limitedServer}
	}
	return []fairway.Endpoint{limitedServer, {ID: "other", Service: "s", Address: "10.0.0.2:80", Incarnation: 1, Slots: 6}}
}

// after runs a function after a delay, which is rounded up to whole steps.
func (f *limitFleet) after(d time.Duration, run func()) {
	at := f.now.Add((d/fleetStep + 1) * fleetStep)
	f.later[at] = append(f.later[at], run)
}

// name has the server name another limit, or none. Each host knows within reportDelay.
func (f *limitFleet) name(limit sluice.Rate, named bool) {
	f.limit, f.named, f.changed = limit, named, f.now
	for _, h := range f.hosts {
		f.after(time.Duration(f.rng.Int64N(int64(reportDelay))), func() {
			h.controller.SetLimit(sluice.ServerInstanceOf(limitedServer), limit, named)
		})
	}
}

func (f *limitFleet) handle(h *limitHost, resolved []sluice.Resolution) {
	for _, r := range resolved {
		f.decided(h, r.Decision)
	}
}

func (f *limitFleet) decided(h *limitHost, d sluice.Decision) {
	switch d := d.(type) {
	case sluice.Dispatch:
		f.served++
		if d.Server.ID == limitedServer.ID {
			f.arrived = append(f.arrived, f.now)
		}
		f.after(workTime, func() {
			f.handle(h, h.controller.Finish(f.now, sluice.ServerInstanceOf(d.Server), sluice.OutcomeAnswered, workTime, 500*time.Millisecond))
		})
	case sluice.Refuse:
		f.refused++
		Expect(d.RetryAfter).To(BeNumerically(">", 0))
	case sluice.Wait:
	}
}

func (f *limitFleet) arrive(h *limitHost) {
	f.nextID++
	r := &sluice.Request{
		ID: f.nextID, Priority: 1, Objective: 500 * time.Millisecond,
		SoftDeadline: f.now.Add(500 * time.Millisecond), Deadline: f.now.Add(1200 * time.Millisecond),
	}
	if f.keyed {
		key := mooring.Key(f.rng.IntN(65536))
		r.Key = &key
	}
	f.decided(h, h.controller.Admit(f.now, r))
}

// ask has a host ask for the slots that it needs. Without a placer it uses its part.
func (f *limitFleet) ask(h *limitHost) {
	for _, r := range h.controller.SlotRequests(f.now) {
		f.after(time.Duration(f.rng.Int64N(int64(maxCallDelay))), func() {
			var slots sluice.Slots
			if f.now < f.noPlacerUntil {
				if h.own == nil {
					h.own = sluice.NewSlotPool()
				}
				rate := r.Limit / 2 / sluice.Rate(len(f.hosts))
				if r.Cold > 0 {
					rate = sluice.OwnColdRate(r.Cold, len(f.hosts))
				}
				slots = h.own.TakePart(f.now, r.Server, rate, r.Slots)
			} else {
				h.own = nil
				slots = f.pool.Take(f.now, r.Server, r.Limit, r.Slots)
			}
			f.after(time.Duration(f.rng.Int64N(int64(maxCallDelay))), func() { f.handle(h, h.controller.AddSlots(f.now, r, slots)) })
		})
	}
}

// run advances the time. All hosts together get a number of requests a second.
func (f *limitFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(fleetStep)
		due := f.later[f.now]
		delete(f.later, f.now)
		for _, run := range due {
			run()
		}
		for due := perSecond * fleetStep.Seconds(); due > 0; due-- {
			if f.rng.Float64() < due {
				f.arrive(f.hosts[f.rng.IntN(len(f.hosts))])
			}
		}
		for i, h := range f.hosts {
			if f.now < h.frozenUntil {
				continue
			}
			f.handle(h, h.controller.Reevaluate(f.now))
			if (f.now+mooring.Instant(time.Duration(i)*fleetStep))%mooring.Instant(askInterval) == 0 {
				f.ask(h)
			}
		}
	}
}

// mostInWindow returns the most requests in a window that begins after an instant.
func (f *limitFleet) mostInWindow(after mooring.Instant) int {
	return f.mostWithin(limitWindow, after)
}

// mostWithin is like mostInWindow for windows of another length.
func (f *limitFleet) mostWithin(window time.Duration, after mooring.Instant) int {
	most := 0
	for i, from := range f.arrived {
		if from < after {
			continue
		}
		n := 0
		for _, at := range f.arrived[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// expectWithin asserts that the server has got no more than its present limit allows.
func (f *limitFleet) expectWithin(description string) {
	GinkgoHelper()
	allowed := int(1.5*float64(f.limit)*limitWindow.Seconds()) + limitExtra
	Expect(f.mostInWindow(f.changed.Add(limitNotice))).To(BeNumerically("<=", allowed), description)
}

var _ = Describe("A limit that a server names", func() {
	for _, hosts := range []int{1, 3, 12, 79, 300} {
		for _, keyed := range []bool{true, false} {
			It(fmt.Sprintf("is kept by %d hosts together, and nearly used (keyed: %v)", hosts, keyed), func() {
				for _, limit := range []sluice.Rate{0, 0.5, 1, 7, 40} {
					f := newLimitFleet(1, hosts, keyed)
					f.run(2*time.Second, 60)
					f.name(limit, true)
					f.run(16*time.Second, 60)
					f.expectWithin(fmt.Sprintf("limit %v", limit))
					used := 0
					for _, at := range f.arrived {
						if at > f.changed.Add(limitNotice) {
							used++
						}
					}
					if keyed {
						Expect(used).To(BeNumerically(">=", int(0.75*float64(limit)*13)-1), "limit %v", limit)
					}
				}
			})
		}
	}

	It("is kept while limits change, hosts freeze and join, and the placer changes", func() {
		for seed := range uint64(60) {
			f := newLimitFleet(seed, 3+extraHosts(seed), seed%2 == 0)
			f.name(7, true)
			f.run(4*time.Second, 80)
			history := ""
			for range 6 {
				var event string
				switch f.rng.IntN(6) {
				case 0:
					f.name(sluice.Rate(f.rng.IntN(30))/2, true)
					event = fmt.Sprintf("limit %v", f.limit)
				case 1:
					f.hosts[f.rng.IntN(len(f.hosts))].frozenUntil = f.now.Add(2 * time.Second)
					event = "freeze"
				case 2:
					h := f.join()
					h.controller.SetLimit(sluice.ServerInstanceOf(limitedServer), f.limit, f.named)
					event = "join"
				case 3:
					f.pool = sluice.NewSlotPool()
					f.noPlacerUntil = f.now.Add(2 * time.Second)
					event = "next placer"
				case 4:
					f.pool = sluice.NewSlotPool()
					event = "next placer at once"
				case 5:
					f.name(0, false)
					f.run(time.Second, 80)
					f.name(7, true)
					event = "limit gone for a second"
				}
				history += ", " + event
				f.run(time.Duration(1+f.rng.IntN(5))*time.Second, 80)
				f.expectWithin(fmt.Sprintf("seed %d%s", seed, history))
			}
		}
	})

	It("is not kept beyond its end", func() {
		f := newLimitFleet(1, 3, true)
		f.name(2, true)
		f.run(5*time.Second, 30)
		f.name(0, false)
		f.run(2*time.Second, 30)
		before := len(f.arrived)
		f.run(4*time.Second, 30)
		Expect(len(f.arrived) - before).To(BeNumerically(">", 100))
	})

	It("belongs to one instance of the server", func() {
		c := sluice.NewController(sluice.ControllerConfig{Service: "s", Host: "h"})
		now := mooring.Instant(time.Minute)
		c.SetServers(now, []fairway.Endpoint{limitedServer}, 1)
		c.SetLimit(sluice.ServerInstanceOf(limitedServer), 1, true)
		next := limitedServer
		next.Incarnation++
		request := func(id sluice.RequestID) *sluice.Request {
			return &sluice.Request{ID: id, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)}
		}
		Expect(c.Admit(now, request(1))).NotTo(BeAssignableToTypeOf(sluice.Dispatch{}))
		c.SetServers(now, []fairway.Endpoint{next}, 1)
		Expect(c.Admit(now, request(2))).To(BeAssignableToTypeOf(sluice.Dispatch{}))
	})
})

// extraHosts returns the number of hosts beyond 3 for a seed.
func extraHosts(seed uint64) int {
	return int(seed*7) % 40
}

var _ = Describe("The evidence of a limit", func() {
	at := func(ms int) mooring.Instant { return mooring.Instant(time.Duration(ms) * time.Millisecond) }
	var observed uint64
	by := func() sluice.Observation {
		observed++
		return sluice.Observation{Host: "h", Number: observed}
	}
	named := sluice.LimitEvidence{}.Named(by(), at(10), at(20), 5)

	It("ends with a response without one whose request was sent later", func() {
		Expect(named.Limited()).To(BeTrue())
		Expect(named.Free(by(), at(15), at(30)).Limited()).To(BeTrue(), "the response may be older")
		Expect(named.Free(by(), at(21), at(30)).Limited()).To(BeFalse())
	})

	It("does not return with an older response", func() {
		free := named.Free(by(), at(21), at(30))
		Expect(free.Named(by(), at(22), at(40), 5).Limited()).To(BeFalse())
		Expect(free.Named(by(), at(31), at(40), 5).Limited()).To(BeTrue())
	})

	It("rises only with a response whose request was sent later", func() {
		Expect(named.Named(by(), at(15), at(30), 9).Limit).To(Equal(sluice.Rate(5)))
		Expect(named.Named(by(), at(21), at(30), 9).Limit).To(Equal(sluice.Rate(9)))
		Expect(named.Named(by(), at(15), at(30), 2).Limit).To(Equal(sluice.Rate(2)))
	})

	It("is the newest of two hosts", func() {
		later := sluice.LimitEvidence{Limit: 3, NamedAt: at(50), NamedBy: by()}
		free := named.Free(by(), at(21), at(30))
		Expect(free.Merge(later).Limited()).To(BeTrue())
		Expect(free.Merge(later).Limit).To(Equal(sluice.Rate(3)))
		Expect(free.Merge(named).Limited()).To(BeFalse())
	})

	It("does not become newer by being told", func() {
		told := named
		told.NamedAt = at(90)
		Expect(named.Merge(told)).To(Equal(named))
		free := named.Free(by(), at(21), at(30))
		Expect(free.Merge(told).Limited()).To(BeFalse())
	})
})
