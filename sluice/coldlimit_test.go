package sluice_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

const (
	// coldBound is how many requests all hosts together may send a cold server within a second.
	coldBound  = 13.55
	coldTime   = 3 * time.Second
	coldDemand = 60
)

// turnCold has every host learn that the server is cold, at the start of its cold time.
func (f *limitFleet) turnCold() (until mooring.Instant) {
	until = f.now.Add(coldTime)
	for _, h := range f.hosts {
		h.controller.SetCold(f.now, sluice.ServerInstanceOf(limitedServer), sluice.ColdSlotRate(coldBound), until)
	}
	return until
}

// expectWithinColdBound asserts that the server got no more than it may within any second
// since an instant.
func (f *limitFleet) expectWithinColdBound(since mooring.Instant, description string) {
	GinkgoHelper()
	Expect(f.mostWithin(time.Second, since)).To(BeNumerically("<=", coldBound), description)
}

// arrivedBetween counts the requests at the server.
func (f *limitFleet) arrivedBetween(from, to mooring.Instant) int {
	n := 0
	for _, at := range f.arrived {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

var _ = Describe("A cold server", func() {
	for _, hosts := range []int{3, 12, 84, 195, 300} {
		for _, keyed := range []bool{true, false} {
			It(fmt.Sprintf("gets no more requests within any second than it bears, of %d hosts (keyed: %v)", hosts, keyed), func() {
				for seed := range uint64(3) {
					f := newLimitFleet(seed, hosts, keyed)
					cold := f.now
					until := f.turnCold()
					f.run(coldTime, coldDemand)
					f.expectWithinColdBound(cold, fmt.Sprintf("seed %d", seed))
					if keyed {
						Expect(f.arrivedBetween(cold, until)).To(BeNumerically(">=", 8), "the server is used while it is cold")
					}
					f.run(2*time.Second, coldDemand)
					Expect(f.arrivedBetween(until.Add(500*time.Millisecond), f.now)).To(BeNumerically(">=", 20), "a warm server is used in full")
				}
			})
		}
	}

	It("gets no more while the placer changes or is lost", func() {
		for seed := range uint64(40) {
			f := newLimitFleet(seed, 3+int(seed)*5, seed%2 == 0)
			cold := f.now
			f.turnCold()
			f.run(time.Duration(f.rng.IntN(1500))*time.Millisecond, coldDemand)
			f.pool = sluice.NewSlotPool()
			if seed%3 == 0 {
				f.noPlacerUntil = f.now.Add(time.Second)
			}
			f.run(time.Duration(f.rng.IntN(1000))*time.Millisecond, coldDemand)
			f.pool = sluice.NewSlotPool()
			f.run(500*time.Millisecond, coldDemand)
			f.expectWithinColdBound(cold, fmt.Sprintf("seed %d", seed))
		}
	})

	It("gets nothing from a host that does not know how many hosts there are and has no placer", func() {
		Expect(sluice.OwnColdRate(sluice.ColdSlotRate(coldBound), 0)).To(BeZero())
		given := sluice.NewSlotPool().TakePart(mooring.Instant(time.Minute), sluice.ServerInstanceOf(limitedServer), 0, 5)
		Expect(given.Waits).To(BeEmpty())
	})

	// A host whose requests have coordinators asks for no slots, and would never use it again.
	It("is used in full once it is warm by a host that asks for no slots", func() {
		c := sluice.NewController(sluice.ControllerConfig{Service: "s", Host: "h"})
		now := mooring.Instant(time.Minute)
		c.SetServers(now, []fairway.Endpoint{limitedServer}, 1)
		c.SetCold(now, sluice.ServerInstanceOf(limitedServer), 4, now.Add(coldTime))
		r := func(id sluice.RequestID, at mooring.Instant) *sluice.Request {
			return &sluice.Request{ID: id, Objective: time.Second, SoftDeadline: at.Add(time.Second), Deadline: at.Add(time.Second)}
		}
		Expect(c.Admit(now, r(1, now))).NotTo(BeAssignableToTypeOf(sluice.Dispatch{}))
		warm := now.Add(coldTime + 200*time.Millisecond)
		Expect(c.Admit(warm, r(2, warm))).To(BeAssignableToTypeOf(sluice.Dispatch{}))
	})

	// The coordinator of the server may learn later that it is cold than a host that has asked it.
	It("gets no request for a permit that has used no slot", func() {
		c := sluice.NewController(sluice.ControllerConfig{Service: "s", Host: "h"})
		now := mooring.Instant(time.Minute)
		c.SetServers(now, []fairway.Endpoint{limitedServer}, 1)
		r := &sluice.Request{ID: 1, Objective: time.Second, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)}
		claim := func(slot bool) bool {
			_, ok := c.Claim(now, r, sluice.Dispatch{Server: limitedServer, Slot: slot})
			return ok
		}
		Expect(claim(false)).To(BeTrue())
		c.SetCold(now, sluice.ServerInstanceOf(limitedServer), 4, now.Add(coldTime))
		Expect(claim(false)).To(BeFalse())
		Expect(claim(true)).To(BeTrue())
	})

	It("keeps a lower limit that it names", func() {
		c := sluice.NewController(sluice.ControllerConfig{Service: "s", Host: "h", Owners: ownedBy{limitedServer}})
		now := mooring.Instant(time.Minute)
		c.SetServers(now, []fairway.Endpoint{limitedServer}, 1)
		c.SetLimit(sluice.ServerInstanceOf(limitedServer), 1, true)
		c.SetCold(now, sluice.ServerInstanceOf(limitedServer), 4, now.Add(coldTime))
		key := mooring.Key(1)
		c.Admit(now, &sluice.Request{ID: 1, Key: &key, Objective: time.Second, SoftDeadline: now.Add(9 * time.Second), Deadline: now.Add(9 * time.Second)})
		requests := c.SlotRequests(now)
		Expect(requests).To(HaveLen(1))
		Expect(requests[0].Limit).To(Equal(sluice.Rate(1)))
		Expect(requests[0].Cold).To(Equal(sluice.Rate(4)))
	})
})
