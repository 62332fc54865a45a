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

// spreadLoad plays requests that any server of a service may answer. The
// servers differ in speed, and turn away what finds no room.
type spreadLoad struct {
	rng     *rand.Rand
	desks   []*sluice.Controller
	servers map[fairway.ServerID]*sharedServer
	perS    float64

	asked, onTime, late, refused, turnedAway int
	tickets                                  map[sluice.RequestID]*sluice.Request
	pairs                                    map[string]bool
}

// newSpreadLoad returns a load that uses a part of what the servers can do.
func newSpreadLoad(hosts, servers int, part float64) *spreadLoad {
	l := &spreadLoad{
		rng:     rand.New(rand.NewPCG(20261204, uint64(hosts))),
		servers: make(map[fairway.ServerID]*sharedServer),
		tickets: make(map[sluice.RequestID]*sluice.Request),
		pairs:   make(map[string]bool),
	}
	speeds := []float64{0.6, 1, 1.4}
	domains := []fairway.Domain{"a", "b", "c"}
	var sightings []fairway.Endpoint
	for i := range servers {
		s := sighting(fairway.ServerID(fmt.Sprintf("s%d", i)), domains[i%len(domains)])
		speed := speeds[i%len(speeds)]
		l.servers[s.ID] = &sharedServer{slots: s.Slots, queue: 16, work: time.Duration(float64(160*time.Millisecond) / speed)}
		l.perS += part * float64(s.Slots) / 0.16 * speed
		sightings = append(sightings, s)
	}
	for i := range hosts {
		d := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: domains[i%len(domains)], Host: fmt.Sprintf("h%d", i)})
		d.SetServers(start, sightings, hosts)
		l.desks = append(l.desks, d)
	}
	return l
}

func (l *spreadLoad) run(lasts time.Duration) {
	const tick = 2 * time.Millisecond
	due := 0.0
	for now := start; now < start.Add(lasts); now = now.Add(tick) {
		for id, s := range l.servers {
			for _, v := range s.finished(now) {
				if now <= v.ticket.SoftDeadline {
					l.onTime++
				} else {
					l.late++
				}
				l.resolve(now, v.host, l.desks[v.host].Finish(now, run(id), sluice.OutcomeAnswered, now.Sub(v.came), objective))
			}
		}
		for due += l.perS * tick.Seconds() * 2 * l.rng.Float64(); due >= 1; due-- {
			l.asked++
			host := l.rng.IntN(len(l.desks))
			t := ticket(sluice.RequestID(l.asked), now)
			l.tickets[t.ID] = t
			l.decide(now, host, t, l.desks[host].Admit(now, t))
		}
		for host, d := range l.desks {
			l.resolve(now, host, d.Reevaluate(now))
		}
	}
}

func (l *spreadLoad) resolve(now mooring.Instant, host int, resolved []sluice.Resolution) {
	for _, r := range resolved {
		l.decide(now, host, l.tickets[r.Request], r.Decision)
	}
}

func (l *spreadLoad) decide(now mooring.Instant, host int, t *sluice.Request, decision sluice.Decision) {
	switch decision := decision.(type) {
	case sluice.Dispatch:
		id := decision.Server.ID
		l.pairs[fmt.Sprintf("%d/%s", host, id)] = true
		s := l.servers[id]
		const spread = 0.5
		work := time.Duration(float64(s.work) * math.Exp(spread*l.rng.NormFloat64()-spread*spread/2))
		if !s.arrive(now, visit{host: host, ticket: t, work: work}) {
			l.turnedAway++
			l.resolve(now, host, l.desks[host].Finish(now, run(id), sluice.OutcomeRejected, 0, objective))
		}
	case sluice.Refuse:
		l.refused++
	}
}

var _ = Describe("Many hosts and many servers", func() {
	It("do not all choose the same servers, and need few connections", func() {
		const hosts, servers = 79, 77
		l := newSpreadLoad(hosts, servers, 0.65)
		l.run(10 * time.Second)
		Expect(l.turnedAway).To(BeNumerically("<=", l.asked/500), "%d asked: turned away", l.asked)
		Expect(l.onTime).To(BeNumerically(">=", l.asked*95/100), "%d asked: on time, %d late, %d refused", l.asked, l.late, l.refused)
		Expect(len(l.pairs)).To(BeNumerically("<=", hosts*servers/3), "pairs of hosts and servers")
	})

	It("use all servers at a small site", func() {
		const hosts, servers = 12, 10
		l := newSpreadLoad(hosts, servers, 0.65)
		l.run(10 * time.Second)
		Expect(l.turnedAway).To(BeNumerically("<=", l.asked/500), "%d asked: turned away", l.asked)
		Expect(l.onTime).To(BeNumerically(">=", l.asked*95/100), "%d asked: on time, %d late, %d refused", l.asked, l.late, l.refused)
	})
})
