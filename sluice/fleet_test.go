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
	ticket *sluice.Request
	came   mooring.Instant
	ends   mooring.Instant
	work   time.Duration
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
		v.ends = now.Add(v.work)
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

// fleetLoad plays requests for one key, which arrive at many hosts. They arrive
// evenly and take the same time each, or at random if rng is set: the first
// third of the hosts then gets two thirds of them.
type fleetLoad struct {
	desks  []*sluice.Controller
	server *sharedServer
	perS   float64
	rng    *rand.Rand

	// pressure is what the hosts' reports tell together.
	pressure   *sluice.OverloadDetector
	unreported []hostReport
	// silent hosts do not report.
	silent bool

	asked, onTime, late, refused, turnedAway int
	tickets                                  map[sluice.RequestID]*sluice.Request
}

func newFleetLoad(hosts int, perS float64) *fleetLoad {
	l := &fleetLoad{
		server:  &sharedServer{slots: 6, queue: 24, work: 160 * time.Millisecond},
		perS:    perS,
		tickets: make(map[sluice.RequestID]*sluice.Request),

		pressure: sluice.NewOverloadDetector(),
	}
	s := sighting("s1", "a")
	s.Slots = l.server.slots
	l.unreported = make([]hostReport, hosts)
	for range hosts {
		d := sluice.NewController(sluice.ControllerConfig{
			Service: "readings", Domain: "a",
			Owners: owners{hotKey: {Server: s.ID, Incarnation: s.Incarnation, Address: s.Address}},
		})
		d.SetServers(start, []fairway.Endpoint{s}, hosts)
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
			if now <= v.ticket.SoftDeadline {
				l.onTime++
			} else {
				l.late++
			}
			took := now.Sub(v.came)
			l.unreported[v.host].count(sluice.IsOverloadSample(took, objective))
			l.resolve(now, v.host, l.desks[v.host].Finish(now, run("s1"), sluice.OutcomeAnswered, took, objective))
		}
		for due += l.arrivals(tick); due >= 1; due-- {
			l.asked++
			host := l.host()
			t := ticket(sluice.RequestID(l.asked), now)
			key := hotKey
			t.Key = &key
			l.tickets[t.ID] = t
			l.decide(now, host, t, l.desks[host].Admit(now, t))
		}
		for host, d := range l.desks {
			if l.reportDue(now, tick, host) {
				l.report(now, host)
			}
			l.resolve(now, host, d.Reevaluate(now))
		}
	}
}

// hostReport counts the requests of a host since its last report.
type hostReport struct {
	requests, pressed int
}

func (r *hostReport) count(pressed bool) {
	r.requests++
	if pressed {
		r.pressed++
	}
}

// reportDue reports whether it is a host's time to report. Hosts report twice a
// second, one after the other.
func (l *fleetLoad) reportDue(now mooring.Instant, tick time.Duration, host int) bool {
	const every = 500 * time.Millisecond
	due := every * time.Duration(host) / time.Duration(len(l.desks))
	return !l.silent && (now.Sub(start)+every-due)%every < tick
}

// report brings a host's counts to the others and takes theirs.
func (l *fleetLoad) report(now mooring.Instant, host int) {
	r := &l.unreported[host]
	l.pressure.Add(now, "s1", r.requests, r.pressed)
	*r = hostReport{}
	crowded := make(map[fairway.ServerID]bool)
	for _, id := range l.pressure.Overloaded(now) {
		crowded[id] = true
	}
	l.desks[host].SetOverloaded(now, crowded)
}

// arrivals returns the number of requests of a tick, which may be a part of one.
func (l *fleetLoad) arrivals(tick time.Duration) float64 {
	mean := l.perS * tick.Seconds()
	if l.rng == nil {
		return mean
	}
	// At most one arrives in a tick, so that the times between are random.
	if l.rng.Float64() < mean {
		return 1
	}
	return 0
}

// host returns where the next request arrives.
func (l *fleetLoad) host() int {
	n := len(l.desks)
	switch {
	case l.rng == nil:
		// A multiplier that is prime to the number of hosts spreads the
		// requests over them.
		return l.asked * 31 % n
	case l.rng.IntN(3) < 2:
		return l.rng.IntN(max(n/3, 1))
	default:
		return l.rng.IntN(n)
	}
}

// work returns the time that the next request takes.
func (l *fleetLoad) work() time.Duration {
	if l.rng == nil {
		return l.server.work
	}
	const spread = 0.5
	return time.Duration(float64(l.server.work) * math.Exp(spread*l.rng.NormFloat64()-spread*spread/2))
}

func (l *fleetLoad) resolve(now mooring.Instant, host int, resolved []sluice.Resolution) {
	for _, r := range resolved {
		l.decide(now, host, l.tickets[r.Request], r.Decision)
	}
}

func (l *fleetLoad) decide(now mooring.Instant, host int, t *sluice.Request, decision sluice.Decision) {
	switch decision.(type) {
	case sluice.Dispatch:
		if !l.server.arrive(now, visit{host: host, ticket: t, work: l.work()}) {
			l.turnedAway++
			l.unreported[host].count(true)
			l.resolve(now, host, l.desks[host].Finish(now, run("s1"), sluice.OutcomeRejected, 0, objective))
		}
	case sluice.Refuse:
		l.refused++
		l.unreported[host].count(true)
	}
}

var _ = Describe("Many hosts and one hot key", func() {
	for _, hosts := range []int{12, 70} {
		for _, silent := range []bool{false, true} {
			It(fmt.Sprintf("serve what the server can do, and rarely crowd it; %d hosts, silent %v", hosts, silent), func() {
				// The server can do 37 requests a second.
				const canDo = 37
				l := newFleetLoad(hosts, 4*canDo)
				l.silent = silent
				l.run(20 * time.Second)
				Expect(l.turnedAway).To(BeNumerically("<=", l.asked/20), "%+v hosts: turned away", hosts)
				Expect(l.onTime).To(BeNumerically(">=", 20*canDo*7/10), "%+v hosts: on time", hosts)
				Expect(l.onTime).To(BeNumerically(">=", 4*l.late), "%+v hosts: late", hosts)
			})
		}
	}
})

var _ = Describe("Many hosts and a server that is not crowded", func() {
	for _, hosts := range []int{12, 79} {
		for _, part := range []float64{0.3, 0.6, 0.75} {
			It(fmt.Sprintf("answer nearly all on time at %v of what it can do, %d hosts", part, hosts), func() {
				const canDo = 37
				l := newFleetLoad(hosts, part*canDo)
				l.rng = rand.New(rand.NewPCG(20261204, uint64(hosts)))
				l.run(60 * time.Second)
				Expect(l.refused).To(BeNumerically("<=", l.asked/50), "%d asked: refused", l.asked)
				Expect(l.onTime).To(BeNumerically(">=", l.asked*95/100), "%d asked: on time", l.asked)
			})
		}
	}
})
