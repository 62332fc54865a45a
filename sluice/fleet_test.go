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

// sharedServer is a server with slots and a short queue, which rejects requests
// that exceed both.
type sharedServer struct {
	slots, queue int
	work         time.Duration
	working      []serverRequest
	queued       []serverRequest
}

// serverRequest is a request of one host at the server.
type serverRequest struct {
	host      int
	request   *sluice.Request
	arrivedAt mooring.Instant
	endsAt    mooring.Instant
	work      time.Duration
}

func (s *sharedServer) arrive(now mooring.Instant, req serverRequest) bool {
	req.arrivedAt = now
	if len(s.working)+len(s.queued) >= s.slots+s.queue {
		return false
	}
	s.queued = append(s.queued, req)
	s.startQueued(now)
	return true
}

func (s *sharedServer) startQueued(now mooring.Instant) {
	for len(s.working) < s.slots && len(s.queued) > 0 {
		req := s.queued[0]
		s.queued = s.queued[1:]
		req.endsAt = now.Add(req.work)
		s.working = append(s.working, req)
	}
}

// finished removes and returns the requests that have been answered by now.
func (s *sharedServer) finished(now mooring.Instant) []serverRequest {
	var ended, remaining []serverRequest
	for _, req := range s.working {
		if req.endsAt <= now {
			ended = append(ended, req)
		} else {
			remaining = append(remaining, req)
		}
	}
	s.working = remaining
	s.startQueued(now)
	return ended
}

// multiHostSimulation sends requests for one key to many hosts. They arrive
// evenly and take the same time each, or are random if rng is set: the first
// third of the hosts then gets at least two thirds of them.
type multiHostSimulation struct {
	controllers []*sluice.Controller
	server      *sharedServer
	rate        float64
	rng         *rand.Rand

	// detector combines the reports of the hosts.
	detector   *sluice.OverloadDetector
	unreported []hostReport
	// withoutReports disables the reports of the hosts.
	withoutReports bool

	total, onTime, late, refused, rejected int
	requests                               map[sluice.RequestID]*sluice.Request
}

func newMultiHostSimulation(hosts int, rate float64) *multiHostSimulation {
	sim := &multiHostSimulation{
		server:   &sharedServer{slots: 6, queue: 24, work: 160 * time.Millisecond},
		rate:     rate,
		requests: make(map[sluice.RequestID]*sluice.Request),

		detector: sluice.NewOverloadDetector(),
	}
	s := endpoint("s1", "a")
	s.Slots = sim.server.slots
	sim.unreported = make([]hostReport, hosts)
	for range hosts {
		c := sluice.NewController(sluice.ControllerConfig{
			Service: "readings", Domain: "a",
			Owners: owners{hotKey: {Server: s.ID, Incarnation: s.Incarnation, Address: s.Address}},
		})
		c.SetServers(start, []fairway.Endpoint{s}, hosts)
		sim.controllers = append(sim.controllers, c)
	}
	return sim
}

const hotKey mooring.Key = 7

func (sim *multiHostSimulation) run(duration time.Duration) {
	const tick = 5 * time.Millisecond
	due := 0.0
	for now := start; now < start.Add(duration); now = now.Add(tick) {
		for _, req := range sim.server.finished(now) {
			if now <= req.request.SoftDeadline {
				sim.onTime++
			} else {
				sim.late++
			}
			latency := now.Sub(req.arrivedAt)
			sim.unreported[req.host].count(sluice.IsOverloadSample(latency, objective))
			sim.resolve(now, req.host, sim.controllers[req.host].Finish(now, firstInstance("s1"), sluice.OutcomeAnswered, latency, objective))
		}
		for due += sim.arrivals(tick); due >= 1; due-- {
			sim.total++
			host := sim.host()
			r := newRequest(sluice.RequestID(sim.total), now)
			key := hotKey
			r.Key = &key
			sim.requests[r.ID] = r
			sim.decide(now, host, r, sim.controllers[host].Admit(now, r))
		}
		for host, c := range sim.controllers {
			if sim.reportDue(now, tick, host) {
				sim.report(now, host)
			}
			sim.resolve(now, host, c.Reevaluate(now))
		}
	}
}

// hostReport counts the requests of a host since its last report.
type hostReport struct {
	requests, overloadSamples int
}

func (r *hostReport) count(isOverloadSample bool) {
	r.requests++
	if isOverloadSample {
		r.overloadSamples++
	}
}

// reportDue reports whether a host must report in this tick. Each host reports
// twice a second, and the hosts are staggered.
func (sim *multiHostSimulation) reportDue(now mooring.Instant, tick time.Duration, host int) bool {
	const every = 500 * time.Millisecond
	due := every * time.Duration(host) / time.Duration(len(sim.controllers))
	return !sim.withoutReports && (now.Sub(start)+every-due)%every < tick
}

// report adds the counts of a host to the detector, and passes the overloaded
// servers to the controller of the host.
func (sim *multiHostSimulation) report(now mooring.Instant, host int) {
	r := &sim.unreported[host]
	sim.detector.Add(now, "s1", r.requests, r.overloadSamples)
	*r = hostReport{}
	overloaded := make(map[fairway.ServerID]bool)
	for _, id := range sim.detector.Overloaded(now) {
		overloaded[id] = true
	}
	sim.controllers[host].SetOverloaded(now, overloaded)
}

// arrivals returns the number of requests that arrive in a tick, which may be
// fractional.
func (sim *multiHostSimulation) arrivals(tick time.Duration) float64 {
	mean := sim.rate * tick.Seconds()
	if sim.rng == nil {
		return mean
	}
	// At most one request arrives in a tick, so that the intervals are random.
	if sim.rng.Float64() < mean {
		return 1
	}
	return 0
}

// host returns the host at which the next request arrives.
func (sim *multiHostSimulation) host() int {
	n := len(sim.controllers)
	switch {
	case sim.rng == nil:
		// A multiplier that is coprime to the number of hosts spreads the
		// requests over them.
		return sim.total * 31 % n
	case sim.rng.IntN(3) < 2:
		return sim.rng.IntN(max(n/3, 1))
	default:
		return sim.rng.IntN(n)
	}
}

// work returns the time that the next request takes.
func (sim *multiHostSimulation) work() time.Duration {
	if sim.rng == nil {
		return sim.server.work
	}
	const sigma = 0.5
	return time.Duration(float64(sim.server.work) * math.Exp(sigma*sim.rng.NormFloat64()-sigma*sigma/2))
}

func (sim *multiHostSimulation) resolve(now mooring.Instant, host int, resolved []sluice.Resolution) {
	for _, r := range resolved {
		sim.decide(now, host, sim.requests[r.Request], r.Decision)
	}
}

func (sim *multiHostSimulation) decide(now mooring.Instant, host int, r *sluice.Request, decision sluice.Decision) {
	switch decision.(type) {
	case sluice.Dispatch:
		if !sim.server.arrive(now, serverRequest{host: host, request: r, work: sim.work()}) {
			sim.rejected++
			sim.unreported[host].count(true)
			sim.resolve(now, host, sim.controllers[host].Finish(now, firstInstance("s1"), sluice.OutcomeRejected, 0, objective))
		}
	case sluice.Refuse:
		sim.refused++
		sim.unreported[host].count(true)
	}
}

var _ = Describe("Many hosts and one hot key", func() {
	for _, hosts := range []int{12, 70} {
		for _, withoutReports := range []bool{false, true} {
			It(fmt.Sprintf("serve at the capacity of the server, and rarely overload it; %d hosts, without reports: %v", hosts, withoutReports), func() {
				// The server can answer 37 requests a second.
				const capacity = 37
				sim := newMultiHostSimulation(hosts, 4*capacity)
				sim.withoutReports = withoutReports
				sim.run(20 * time.Second)
				Expect(sim.rejected).To(BeNumerically("<=", sim.total/20), "%+v hosts: rejected", hosts)
				Expect(sim.onTime).To(BeNumerically(">=", 20*capacity*7/10), "%+v hosts: on time", hosts)
				Expect(sim.onTime).To(BeNumerically(">=", 4*sim.late), "%+v hosts: late", hosts)
			})
		}
	}
})

var _ = Describe("Many hosts and a server that is not overloaded", func() {
	for _, hosts := range []int{12, 79} {
		for _, part := range []float64{0.3, 0.6, 0.75} {
			It(fmt.Sprintf("answer nearly all requests on time at %v of the capacity, %d hosts", part, hosts), func() {
				const capacity = 37
				sim := newMultiHostSimulation(hosts, part*capacity)
				sim.rng = rand.New(rand.NewPCG(20261204, uint64(hosts)))
				sim.run(60 * time.Second)
				Expect(sim.refused).To(BeNumerically("<=", sim.total/50), "%d requests: refused", sim.total)
				Expect(sim.onTime).To(BeNumerically(">=", sim.total*95/100), "%d requests: on time", sim.total)
			})
		}
	}
})
