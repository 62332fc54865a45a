package sluice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// sharedServer is one server with slots and a short queue, which turns away
// what finds no room.
type sharedServer struct {
	slots, queue int
	work         time.Duration
	working      []visit
	queued       []visit
}

// visit is a request of one host at the server.
type visit struct {
	host   int
	ticket *sluice.Ticket
	came   mooring.Instant
	ends   mooring.Instant
}

func (s *sharedServer) arrive(now mooring.Instant, v visit) bool {
	v.came = now
	if len(s.working)+len(s.queued) >= s.slots+s.queue {
		return false
	}
	s.queued = append(s.queued, v)
	s.begin(now)
	return true
}

func (s *sharedServer) begin(now mooring.Instant) {
	for len(s.working) < s.slots && len(s.queued) > 0 {
		v := s.queued[0]
		s.queued = s.queued[1:]
		v.ends = now.Add(s.work)
		s.working = append(s.working, v)
	}
}

// finished takes the visits that have ended.
func (s *sharedServer) finished(now mooring.Instant) []visit {
	var ended, still []visit
	for _, v := range s.working {
		if v.ends <= now {
			ended = append(ended, v)
		} else {
			still = append(still, v)
		}
	}
	s.working = still
	s.begin(now)
	return ended
}

// fleetLoad plays requests for one hot key, which arrive evenly at many hosts.
type fleetLoad struct {
	desks  []*sluice.Desk
	server *sharedServer
	perS   float64

	asked, onTime, late, refused, turnedAway int
	tickets                                  map[sluice.TicketID]*sluice.Ticket
}

func newFleetLoad(hosts int, perS float64) *fleetLoad {
	l := &fleetLoad{
		server:  &sharedServer{slots: 6, queue: 24, work: 160 * time.Millisecond},
		perS:    perS,
		tickets: make(map[sluice.TicketID]*sluice.Ticket),
	}
	s := sighting("s1", "a")
	s.Slots = l.server.slots
	for range hosts {
		d := sluice.NewDesk(sluice.DeskConfig{
			Service: "readings", Domain: "a",
			Owners: owners{hotKey: {Server: s.ID, Born: s.Born, Address: s.Address}},
		})
		d.SetServers(start, []fairway.Sighting{s}, hosts)
		l.desks = append(l.desks, d)
	}
	return l
}

const hotKey mooring.Key = 7

func (l *fleetLoad) run(lasts time.Duration) {
	const tick = 5 * time.Millisecond
	due := 0.0
	for now := start; now < start.Add(lasts); now = now.Add(tick) {
		for _, v := range l.server.finished(now) {
			if now <= v.ticket.Due {
				l.onTime++
			} else {
				l.late++
			}
			l.resolve(now, v.host, l.desks[v.host].Finish(now, "s1", sluice.OutcomeAnswered, now.Sub(v.came), objective))
		}
		for due += l.perS * tick.Seconds(); due >= 1; due-- {
			l.asked++
			// A multiplier that is prime to the number of hosts spreads the
			// requests over them.
			host := l.asked * 31 % len(l.desks)
			t := ticket(sluice.TicketID(l.asked), now)
			key := hotKey
			t.Key = &key
			l.tickets[t.ID] = t
			l.decide(now, host, t, l.desks[host].Offer(now, t))
		}
		for host, d := range l.desks {
			l.resolve(now, host, d.Sweep(now))
		}
	}
}

func (l *fleetLoad) resolve(now mooring.Instant, host int, resolved []sluice.Resolution) {
	for _, r := range resolved {
		l.decide(now, host, l.tickets[r.Ticket], r.Decision)
	}
}

func (l *fleetLoad) decide(now mooring.Instant, host int, t *sluice.Ticket, decision sluice.Decision) {
	switch decision.(type) {
	case sluice.Dispatch:
		if !l.server.arrive(now, visit{host: host, ticket: t}) {
			l.turnedAway++
			l.resolve(now, host, l.desks[host].Finish(now, "s1", sluice.OutcomeTurnedAway, 0, objective))
		}
	case sluice.Refuse:
		l.refused++
	}
}

var _ = Describe("Many hosts and one hot key", func() {
	for _, hosts := range []int{12, 70} {
		It("serve what the server can do, and rarely crowd it", func() {
			// The server can do 37 requests a second.
			const canDo = 37
			l := newFleetLoad(hosts, 4*canDo)
			l.run(20 * time.Second)
			Expect(l.turnedAway).To(BeNumerically("<=", l.asked/20), "%+v hosts: turned away", hosts)
			Expect(l.onTime).To(BeNumerically(">=", 20*canDo*7/10), "%+v hosts: on time", hosts)
			Expect(l.onTime).To(BeNumerically(">=", 4*l.late), "%+v hosts: late", hosts)
		})
	}
})
