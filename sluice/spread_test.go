package sluice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// multiServerSimulation sends requests that any server can answer. The servers
// differ in speed, and reject requests that exceed their capacity.
type multiServerSimulation struct {
	rng         *rand.Rand
	controllers []*sluice.Controller
	servers     map[fairway.ServerID]*sharedServer
	rate        float64

	total, onTime, late, refused, rejected int
	requests                               map[sluice.RequestID]*sluice.Request
	// pairs has the pairs of host and server between which requests were sent.
	pairs map[string]bool
}

// newMultiServerSimulation returns a simulation whose request rate is a fraction
// of the capacity of the servers.
func newMultiServerSimulation(hosts, servers int, fraction float64) *multiServerSimulation {
	sim := &multiServerSimulation{
		rng:      rand.New(rand.NewPCG(20261204, uint64(hosts))),
		servers:  make(map[fairway.ServerID]*sharedServer),
		requests: make(map[sluice.RequestID]*sluice.Request),
		pairs:    make(map[string]bool),
	}
	speeds := []float64{0.6, 1, 1.4}
	domains := []fairway.Domain{"a", "b", "c"}
	var endpoints []fairway.Endpoint
	for i := range servers {
		s := endpoint(fairway.ServerID(fmt.Sprintf("s%d", i)), domains[i%len(domains)])
		speed := speeds[i%len(speeds)]
		sim.servers[s.ID] = &sharedServer{slots: s.Slots, queue: 16, work: time.Duration(float64(160*time.Millisecond) / speed)}
		sim.rate += fraction * float64(s.Slots) / 0.16 * speed
		endpoints = append(endpoints, s)
	}
	for i := range hosts {
		c := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: domains[i%len(domains)], Host: fmt.Sprintf("h%d", i)})
		c.SetServers(start, endpoints, hosts)
		sim.controllers = append(sim.controllers, c)
	}
	return sim
}

func (sim *multiServerSimulation) run(duration time.Duration) {
	const tick = 2 * time.Millisecond
	due := 0.0
	for now := start; now < start.Add(duration); now = now.Add(tick) {
		for id, s := range sim.servers {
			for _, req := range s.finished(now) {
				if now <= req.request.SoftDeadline {
					sim.onTime++
				} else {
					sim.late++
				}
				sim.resolve(now, req.host, sim.controllers[req.host].Finish(now, firstInstance(id), sluice.OutcomeAnswered, now.Sub(req.arrivedAt), objective))
			}
		}
		for due += sim.rate * tick.Seconds() * 2 * sim.rng.Float64(); due >= 1; due-- {
			sim.total++
			host := sim.rng.IntN(len(sim.controllers))
			r := newRequest(sluice.RequestID(sim.total), now)
			sim.requests[r.ID] = r
			sim.decide(now, host, r, sim.controllers[host].Admit(now, r))
		}
		for host, c := range sim.controllers {
			sim.resolve(now, host, c.Reevaluate(now))
		}
	}
}

func (sim *multiServerSimulation) resolve(now mooring.Instant, host int, resolved []sluice.Resolution) {
	for _, r := range resolved {
		sim.decide(now, host, sim.requests[r.Request], r.Decision)
	}
}

func (sim *multiServerSimulation) decide(now mooring.Instant, host int, r *sluice.Request, decision sluice.Decision) {
	switch decision := decision.(type) {
	case sluice.Dispatch:
		id := decision.Server.ID
		sim.pairs[fmt.Sprintf("%d/%s", host, id)] = true
		s := sim.servers[id]
		const sigma = 0.5
		work := time.Duration(float64(s.work) * math.Exp(sigma*sim.rng.NormFloat64()-sigma*sigma/2))
		if !s.arrive(now, serverRequest{host: host, request: r, work: work}) {
			sim.rejected++
			sim.resolve(now, host, sim.controllers[host].Finish(now, firstInstance(id), sluice.OutcomeRejected, 0, objective))
		}
	case sluice.Refuse:
		sim.refused++
	}
}

var _ = Describe("Many hosts and many servers", func() {
	It("do not all choose the same servers, and need few connections", func() {
		const hosts, servers = 79, 77
		sim := newMultiServerSimulation(hosts, servers, 0.65)
		sim.run(10 * time.Second)
		Expect(sim.rejected).To(BeNumerically("<=", sim.total/500), "%d requests: rejected", sim.total)
		Expect(sim.onTime).To(BeNumerically(">=", sim.total*95/100), "%d requests: on time, %d late, %d refused", sim.total, sim.late, sim.refused)
		Expect(len(sim.pairs)).To(BeNumerically("<=", hosts*servers/3), "connected pairs of hosts and servers")
	})

	It("use all servers of a small site", func() {
		const hosts, servers = 12, 10
		sim := newMultiServerSimulation(hosts, servers, 0.65)
		sim.run(10 * time.Second)
		Expect(sim.rejected).To(BeNumerically("<=", sim.total/500), "%d requests: rejected", sim.total)
		Expect(sim.onTime).To(BeNumerically(">=", sim.total*95/100), "%d requests: on time, %d late, %d refused", sim.total, sim.late, sim.refused)
	})
})
