package sluice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// routeKind is a kind of requests of a service with several routes.
type routeKind struct {
	name      fairway.RouteName
	priority  int
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// share is the part of the requests that are of the kind.
	share float64
}

// An urgent route and one that is less urgent and takes three times as long.
var shortAndLong = []routeKind{
	{name: "short", priority: 0, work: 96 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, share: 0.5},
	{name: "long", priority: 1, work: 300 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 4 * time.Second, share: 0.5},
}

// The routes of a service whose requests take longer.
var mediumAndVeryLong = []routeKind{
	{name: "short", priority: 0, work: 170 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 2 * time.Second, share: 0.6},
	{name: "long", priority: 1, work: 940 * time.Millisecond, objective: 3 * time.Second, deadline: 12 * time.Second, share: 0.4},
}

// policy is the knowledge by which the controllers of a [routeFleet] decide.
type policy int

const (
	// byService knows the mean of the service, as a service with one priority does.
	byService policy = iota
	byRoute
	// byLoad knows the routes and the load that servers tell.
	byLoad
)

// drawnRequest is a request of a drawn load, which is the same for each policy.
type drawnRequest struct {
	at     time.Duration
	host   int
	kind   int
	factor float64
}

// routeFleetConfig describes a drawn load and the servers that get it.
type routeFleetConfig struct {
	kinds          []routeKind
	hosts, servers int
	// fraction is the request rate as a part of the capacity of the servers.
	fraction float64
	duration time.Duration
	// speeds are those of the servers, in turn.
	speeds []float64
	// uneven servers are three times as slow for a fifth of the time.
	uneven bool
	// sharing is the number of hosts that the controllers take to share the servers, if it
	// is not that of all hosts. One host with a sharing of 3 sends each server what it can
	// run, as a host does that alone admits the requests to it.
	sharing int
	seed    uint64
}

func (cfg routeFleetConfig) rng() *rand.Rand {
	return rand.New(rand.NewPCG(20261206+cfg.seed, uint64(cfg.hosts)))
}

// draw returns the load in the order of arrival.
func (cfg routeFleetConfig) draw() []drawnRequest {
	const sigma = 0.4
	rng := cfg.rng()
	work := 0.0
	for _, k := range cfg.kinds {
		work += k.share * k.work.Seconds()
	}
	capacity := 0.0
	for i := range cfg.servers {
		capacity += 2 * cfg.speeds[i%len(cfg.speeds)] / work
	}
	if cfg.uneven {
		capacity *= 0.8 + 0.2/3
	}
	var load []drawnRequest
	for at := 0.0; at < cfg.duration.Seconds(); at += rng.ExpFloat64() / (cfg.fraction * capacity) {
		kind := 0
		for draw := rng.Float64() - cfg.kinds[0].share; draw > 0 && kind < len(cfg.kinds)-1; draw -= cfg.kinds[kind].share {
			kind++
		}
		load = append(load, drawnRequest{
			at: time.Duration(at * float64(time.Second)), host: rng.IntN(cfg.hosts), kind: kind,
			factor: math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2),
		})
	}
	return load
}

// routeServer is a server with 2 slots and a queue of 8.
type routeServer struct {
	id    fairway.ServerID
	speed float64
	slow  func(now mooring.Instant) bool
	// present has the requests at the server, those that run first.
	present []*routeRequest
}

const (
	routeSlots = 2
	routeQueue = 8
)

type routeRequest struct {
	sluice.Request
	drawnRequest
	arrivedAt mooring.Instant
	left      float64
}

func (s *routeServer) pace(now mooring.Instant) float64 {
	if s.slow(now) {
		return 3
	}
	return 1
}

func (s *routeServer) load(now mooring.Instant) sluice.ServerLoad {
	running := min(len(s.present), routeSlots)
	return sluice.ServerLoad{Running: running, Waiting: len(s.present) - running, Slots: routeSlots, Pace: sluice.Pace(100 * s.pace(now))}
}

// work lets a server work for a tick and returns what it has answered.
func (s *routeServer) work(now mooring.Instant, tick time.Duration) []*routeRequest {
	var ended []*routeRequest
	for _, r := range s.present[:min(len(s.present), routeSlots)] {
		if r.left -= tick.Seconds() * s.speed / s.pace(now); r.left <= 0 {
			ended = append(ended, r)
		}
	}
	s.present = slices.DeleteFunc(s.present, func(r *routeRequest) bool { return r.left <= 0 })
	return ended
}

// routeFleet plays a drawn load to the controllers of many hosts.
type routeFleet struct {
	cfg         routeFleetConfig
	policy      policy
	controllers []*sluice.Controller
	servers     []*routeServer
	waiting     map[sluice.RequestID]*routeRequest
	detector    *sluice.OverloadDetector
	unreported  []map[fairway.ServerID]*hostReport

	// total, onTime, late and refused count the requests by kind.
	total, onTime, late, refused []int
	rejected                     int
	// decisions has the decisions in order, to compare two policies.
	decisions []string
}

func newRouteFleet(cfg routeFleetConfig, p policy) *routeFleet {
	f := &routeFleet{cfg: cfg, policy: p, waiting: make(map[sluice.RequestID]*routeRequest), detector: sluice.NewOverloadDetector()}
	n := len(cfg.kinds)
	f.total, f.onTime, f.late, f.refused = make([]int, n), make([]int, n), make([]int, n), make([]int, n)
	var endpoints []fairway.Endpoint
	for i := range cfg.servers {
		e := endpoint(fairway.ServerID(fmt.Sprintf("s%d", i)), "a")
		e.Slots = routeSlots
		endpoints = append(endpoints, e)
		rng := rand.New(rand.NewPCG(7+cfg.seed, uint64(i)))
		turns := make([]bool, cfg.duration/(400*time.Millisecond)+60)
		for t := range turns {
			turns[t] = cfg.uneven && rng.Float64() < 0.2
		}
		f.servers = append(f.servers, &routeServer{
			id: e.ID, speed: cfg.speeds[i%len(cfg.speeds)],
			slow: func(now mooring.Instant) bool {
				return turns[min(int(now.Sub(start)/(400*time.Millisecond)), len(turns)-1)]
			},
		})
	}
	names, priorities := make(map[fairway.RouteName]bool), make(map[int]bool)
	for _, k := range cfg.kinds {
		names[k.name], priorities[k.priority] = true, true
	}
	for i := range cfg.hosts {
		c := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: "a", Host: fmt.Sprintf("h%d", i)})
		if p != byService {
			c.SetRoutes(names, len(priorities) > 1)
		}
		c.SetServers(start, endpoints, max(cfg.sharing, cfg.hosts))
		f.controllers = append(f.controllers, c)
		f.unreported = append(f.unreported, make(map[fairway.ServerID]*hostReport))
	}
	return f
}

// run plays the load and returns the fleet.
func (f *routeFleet) run() *routeFleet {
	const tick = 2 * time.Millisecond
	load := f.cfg.draw()
	next := 0
	for now := start; now < start.Add(f.cfg.duration+5*time.Second); now = now.Add(tick) {
		for _, s := range f.servers {
			for _, r := range s.work(now, tick) {
				f.answered(now, s, r)
			}
		}
		for ; next < len(load) && load[next].at <= now.Sub(start); next++ {
			f.arrive(now, next, load[next])
		}
		for host, c := range f.controllers {
			if c.Waiting() > 0 {
				f.resolve(now, host, c.Reevaluate(now))
			}
			const every = 500 * time.Millisecond
			if due := every * time.Duration(host) / time.Duration(f.cfg.hosts); (now.Sub(start)+every-due)%every < tick {
				f.report(now, host)
			}
		}
	}
	return f
}

func (f *routeFleet) arrive(now mooring.Instant, n int, d drawnRequest) {
	k := f.cfg.kinds[d.kind]
	f.total[d.kind]++
	r := &routeRequest{drawnRequest: d, left: k.work.Seconds() * d.factor, Request: sluice.Request{
		ID: sluice.RequestID(n + 1), Priority: k.priority, Objective: k.objective, SoftDeadline: now.Add(k.objective), Deadline: now.Add(k.deadline),
	}}
	if f.policy != byService {
		r.Route = k.name
	}
	f.waiting[r.ID] = r
	f.decide(now, d.host, r, f.controllers[d.host].Admit(now, &r.Request))
}

func (f *routeFleet) resolve(now mooring.Instant, host int, resolved []sluice.Resolution) {
	for _, res := range resolved {
		f.decide(now, host, f.waiting[res.Request], res.Decision)
	}
}

func (f *routeFleet) decide(now mooring.Instant, host int, r *routeRequest, decision sluice.Decision) {
	f.decisions = append(f.decisions, fmt.Sprintf("%d %v %v", r.ID, now, textOf(decision)))
	switch d := decision.(type) {
	case sluice.Dispatch:
		delete(f.waiting, r.ID)
		i := slices.IndexFunc(f.servers, func(s *routeServer) bool { return s.id == d.Server.ID })
		s := f.servers[i]
		if len(s.present) == routeSlots+routeQueue {
			f.rejected++
			f.refused[r.kind]++
			f.finish(now, host, s, r, sluice.OutcomeRejected, 0)
			return
		}
		r.arrivedAt = now
		s.present = append(s.present, r)
	case sluice.Refuse:
		delete(f.waiting, r.ID)
		f.refused[r.kind]++
	}
}

func (f *routeFleet) answered(now mooring.Instant, s *routeServer, r *routeRequest) {
	if now <= r.SoftDeadline {
		f.onTime[r.kind]++
	} else {
		f.late[r.kind]++
	}
	f.finish(now, r.host, s, r, sluice.OutcomeAnswered, now.Sub(r.arrivedAt))
}

func (f *routeFleet) finish(now mooring.Instant, host int, s *routeServer, r *routeRequest, outcome sluice.Outcome, elapsed time.Duration) {
	c, k := f.controllers[host], f.cfg.kinds[r.kind]
	report := f.unreported[host][s.id]
	if report == nil {
		report = &hostReport{}
		f.unreported[host][s.id] = report
	}
	report.count(outcome != sluice.OutcomeAnswered || sluice.IsOverloadSample(elapsed, k.objective))
	if f.policy == byLoad {
		c.SetLoad(now, firstInstance(s.id), s.load(now))
	}
	if f.policy == byService {
		f.resolve(now, host, c.Finish(now, firstInstance(s.id), outcome, elapsed, k.objective))
		return
	}
	f.resolve(now, host, c.FinishRoute(now, firstInstance(s.id), k.name, outcome, elapsed, k.objective))
}

// report passes the counts of a host to the detector, and the overloaded servers to the host.
func (f *routeFleet) report(now mooring.Instant, host int) {
	for id, r := range f.unreported[host] {
		f.detector.Add(now, id, r.requests, r.overloadSamples)
	}
	clear(f.unreported[host])
	overloaded := make(map[fairway.ServerID]bool)
	for _, id := range f.detector.Overloaded(now) {
		overloaded[id] = true
	}
	f.controllers[host].SetOverloaded(now, overloaded)
}

// share returns the part of the requests of a kind that were answered on time.
func (f *routeFleet) share(kind int) float64 {
	return float64(f.onTime[kind]) / float64(max(f.total[kind], 1))
}

// String describes the results by kind, for messages.
func (f *routeFleet) String() string {
	text := fmt.Sprintf("policy %d, rejected %d", f.policy, f.rejected)
	for i, k := range f.cfg.kinds {
		text += fmt.Sprintf("; %s: %d, on time %.3f, late %d, refused %d", k.name, f.total[i], f.share(i), f.late[i], f.refused[i])
	}
	return text
}
