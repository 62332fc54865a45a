package sluice_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("Carriers", func() {
	DescribeTable("pay where a host seldom has two requests for a server while a connection is kept",
		func(domains, fleet, servers int, rate float64, pay bool) {
			load := sluice.CarrierLoad{
				Domains: domains, Fleet: fleet, Servers: servers, Rate: rate, KeepTime: 8500 * time.Millisecond,
			}
			Expect(sluice.CarriersPay(load, false)).To(Equal(pay))
		},
		Entry("terminal, 12 hosts", 3, 12, 21, 411.0, false),
		Entry("Hilo Chapín, 9 hosts", 4, 9, 16, 269.0, false),
		Entry("Stallkeep, 8 hosts", 3, 8, 10, 179.0, false),
		Entry("Stallkeep grown, 66 hosts", 3, 66, 126, 1535.0, false),
		Entry("terminal, 195 hosts", 5, 195, 322, 1626.0, true),
		Entry("400 hosts", 5, 400, 660, 3300.0, true),
		Entry("400 hosts, in a burst", 5, 400, 660, 5610.0, true),
		Entry("940 hosts", 4, 940, 3760, 18800.0, true),
		Entry("400 hosts, without requests yet", 5, 400, 660, 0.0, true),
		Entry("Stallkeep grown, without requests yet", 3, 66, 126, 0.0, false),
		Entry("terminal grown, 79 hosts, without requests yet", 3, 79, 110, 0.0, false),
	)

	It("do not begin and end by turns where the load is near the limit", func() {
		load := sluice.CarrierLoad{Domains: 5, Fleet: 400, Servers: 600, KeepTime: 10 * time.Second}
		carried, changes := false, 0
		for i := range 1000 {
			load.Rate = 24000 * (1 + 0.3*float64(i%7-3)/3)
			if now := sluice.CarriersPay(load, carried); now != carried {
				carried = now
				changes++
			}
		}
		Expect(changes).To(BeNumerically("<=", 1))
	})

	It("do not begin and end by turns while the hosts of a failure domain start or are lost", func() {
		load := sluice.CarrierLoad{Domains: 5, Fleet: 195, Servers: 322, Rate: 1626, KeepTime: 8500 * time.Millisecond}
		Expect(sluice.CarriersPay(load, false)).To(BeTrue())
		for lost := range 40 {
			load.Fleet = 195 - lost
			Expect(sluice.CarriersPay(load, true)).To(BeTrue(), "%d lost", lost)
		}
		load.Domains, load.Fleet = 4, 155
		Expect(sluice.CarriersPay(load, true)).To(BeTrue())
		load.Domains, load.Fleet = 5, 5
		Expect(sluice.CarriersPay(load, true)).To(BeFalse(), "a fleet that has just begun to start")
	})

	fleet := func(n int) []sluice.Carrier {
		var carriers []sluice.Carrier
		for i := range n {
			capacity := uint32(16)
			if i%13 == 0 {
				capacity = 80
			}
			carriers = append(carriers, sluice.Carrier{Host: fmt.Sprintf("front-%d", i), Capacity: capacity})
		}
		return carriers
	}
	server := func(i int) fairway.ServerID { return fairway.ServerID(fmt.Sprintf("i-%08x", i*7919)) }

	DescribeTable("share the servers by what they can carry", func(hosts int) {
		const servers = 20_000
		carriers := fleet(hosts)
		total := 0.0
		for _, c := range carriers {
			total += float64(c.Capacity)
		}
		part := make(map[string]int)
		for i := range servers {
			part[sluice.RankCarriers(server(i), carriers, 1)[0].Host]++
		}
		for _, c := range carriers {
			fair := servers * float64(c.Capacity) / total
			Expect(part[c.Host]).To(BeNumerically("~", fair, 5*math.Sqrt(fair)), "within five standard deviations")
		}
	},
		Entry("3 hosts", 3), Entry("12 hosts", 12), Entry("70 hosts", 70), Entry("200 hosts", 200), Entry("300 hosts", 300),
	)

	DescribeTable("keep their servers when a host joins, leaves or restarts, but for its own part", func(hosts int) {
		carriers := fleet(hosts)
		without := append(append([]sluice.Carrier{}, carriers[:1]...), carriers[2:]...)
		for i := range 5000 {
			before, after := sluice.RankCarriers(server(i), carriers, 2), sluice.RankCarriers(server(i), without, 1)
			if before[0].Host != carriers[1].Host {
				Expect(after[0]).To(Equal(before[0]))
			} else {
				Expect(after[0]).To(Equal(before[1]), "the second one is the next first")
			}
		}
	},
		Entry("3 hosts", 3), Entry("12 hosts", 12), Entry("70 hosts", 70), Entry("200 hosts", 200),
	)

	It("are none where no host can carry", func() {
		Expect(sluice.RankCarriers("s", []sluice.Carrier{{Host: "old"}}, 2)).To(BeEmpty())
		Expect(sluice.RankCarriers("s", nil, 2)).To(BeEmpty())
	})
})

var _ = Describe("The window at a server that fewer hosts share", func() {
	It("grows with this host's part at once", func() {
		c := sluice.NewController(sluice.ControllerConfig{Service: "readings"})
		endpoints := []fairway.Endpoint{{ID: "a", Service: "readings", Slots: 6, Incarnation: 1}}
		dispatched := func(now mooring.Instant) int {
			n := 0
			for {
				r := &sluice.Request{ID: sluice.RequestID(n), Objective: time.Second, SoftDeadline: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
				if _, ok := c.Admit(now, r).(sluice.Dispatch); !ok {
					return n
				}
				n++
			}
		}
		c.SetServers(0, endpoints, 195)
		Expect(dispatched(0)).To(Equal(1))
		c.Finish(1, sluice.ServerInstanceOf(endpoints[0]), sluice.OutcomeAnswered, time.Millisecond, time.Second)
		c.SetServers(2, endpoints, 5)
		Expect(dispatched(2)).To(Equal(2))
	})
})
