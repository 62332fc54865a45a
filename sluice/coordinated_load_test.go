package sluice_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// loadKind is a kind of requests of the deployment whose callers compete for room.
type loadKind struct {
	priority                  int
	work, objective, deadline time.Duration
	// share is the part of all slots that its work takes, and burst the factor of its rate for
	// three seconds of each ten.
	share, burst float64
}

var loadKinds = []loadKind{
	{priority: 0, work: 96 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, share: 0.28, burst: 1},
	{priority: 2, work: 300 * time.Millisecond, objective: 1200 * time.Millisecond, deadline: 4 * time.Second, share: 0.42, burst: 2.4},
}

const (
	slowFactor, slowPart = 3, 0.2
	slowTurn             = 400 * time.Millisecond
	// hop is the time of a message between two hosts.
	hop = time.Millisecond
	// releaseBatch is the mean time for which ended permits are gathered.
	releaseBatch = 4 * time.Millisecond
	// lossNoticed is when a host takes a coordinator for lost, and coordinatorsRenamed when
	// all know others.
	lossNoticed         = 150 * time.Millisecond
	coordinatorsRenamed = 1700 * time.Millisecond
)

// loadCase is a load and what goes wrong.
type loadCase struct {
	hosts, servers, slots, queue int
	// coordinators is 0 for today's policy.
	coordinators int
	releaseDelay time.Duration
	// silent servers never answer what they cannot queue.
	silent bool
	// lostServer loses one server, and lostCoordinator one coordinator, after a third of the time.
	lostServer, lostCoordinator bool
}

// loadResult counts what callers get, by kind.
type loadResult struct {
	sent, onTime, late, rejected [2]int
}

func (r loadResult) onTimeRatio(kind int) float64 {
	return float64(r.onTime[kind]) / float64(r.sent[kind])
}

// value is the worth of all answers: a late one has a third of that of one on time.
func (r loadResult) value() float64 {
	sum := 0.0
	for k := range r.sent {
		sum += (float64(r.onTime[k]) + float64(r.late[k])/3) / float64(r.sent[k])
	}
	return sum / float64(len(r.sent))
}

type loadEvent struct {
	at  mooring.Instant
	seq int
	run func()
}

type loadEvents []loadEvent

func (q loadEvents) Len() int { return len(q) }
func (q loadEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q loadEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *loadEvents) Push(x any)   { *q = append(*q, x.(loadEvent)) }
func (q *loadEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// loadAdmitter is a host with its controller: that of its own requests, or that of a coordinator.
type loadAdmitter struct {
	controller *sluice.Controller
	// away is the time of a message to it.
	away time.Duration
	lost bool
	jobs map[sluice.RequestID]*loadJob
}

// loadServer runs some requests at a time and queues a few more.
type loadServer struct {
	index   int
	running int
	queued  []*loadSend
	down    bool
}

// loadJob is a caller's request.
type loadJob struct {
	kind    int
	host    int
	arrived mooring.Instant
	tried   []fairway.ServerID
	sends   int
	done    bool
}

// loadSend is one send of it.
type loadSend struct {
	job      *loadJob
	admitter *loadAdmitter
	id       sluice.RequestID
	server   *loadServer
	began    mooring.Instant
	ended    bool
	overdue  bool
}

// loadSim plays a load against many hosts.
type loadSim struct {
	loadCase
	rng      *rand.Rand
	now      mooring.Instant
	events   loadEvents
	seq      int
	nextID   sluice.RequestID
	own      []*loadAdmitter
	coord    []*loadAdmitter
	hosts    []sluice.Carrier
	backends []*loadServer
	detector *sluice.OverloadDetector
	// counts has what each host has not reported yet of each server.
	counts [][]hostReport
	// leftAlone has until when each host asks no lost coordinator.
	leftAlone []mooring.Instant
	result    loadResult
}

func (s *loadSim) at(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, loadEvent{at: s.now.Add(delay), seq: s.seq, run: run})
}

func serverName(i int) fairway.ServerID { return fairway.ServerID(fmt.Sprintf("s%d", i)) }

func newLoadSim(c loadCase) *loadSim {
	s := &loadSim{loadCase: c, rng: rand.New(rand.NewPCG(20261206, uint64(c.hosts))), now: start, detector: sluice.NewOverloadDetector(), counts: make([][]hostReport, c.hosts), leftAlone: make([]mooring.Instant, c.hosts)}
	for i := range c.servers {
		s.backends = append(s.backends, &loadServer{index: i})
	}
	for i := range c.hosts {
		s.counts[i] = make([]hostReport, c.servers)
		s.own = append(s.own, &loadAdmitter{controller: s.newController(fmt.Sprint("host", i), false), jobs: make(map[sluice.RequestID]*loadJob)})
	}
	for i := range c.coordinators {
		s.hosts = append(s.hosts, sluice.Carrier{Host: fmt.Sprint("host", i), Capacity: 80})
		s.coord = append(s.coord, &loadAdmitter{controller: s.newController(fmt.Sprint("host", i), true), away: hop, jobs: make(map[sluice.RequestID]*loadJob)})
	}
	s.assign()
	return s
}

func (s *loadSim) newController(host string, coordinated bool) *sluice.Controller {
	c := sluice.NewController(sluice.ControllerConfig{Service: "readings", Domain: "a", Host: host, Coordinated: coordinated})
	c.SetMostUrgent(0)
	c.SetServers(s.now, s.endpoints(func(int) bool { return !coordinated }), s.loadCase.hosts)
	return c
}

func (s *loadSim) endpoints(of func(server int) bool) []fairway.Endpoint {
	var found []fairway.Endpoint
	for i := range s.backends {
		if of(i) {
			e := endpoint(serverName(i), "a")
			e.Slots = s.slots
			found = append(found, e)
		}
	}
	return found
}

// coordinatorOf returns the index of a server's coordinator.
func (s *loadSim) coordinatorOf(server int) int {
	c, _ := sluice.CoordinatorOf("readings", serverName(server), sluice.ServerGroups(s.servers*s.slots), s.hosts)
	return slices.IndexFunc(s.coord, func(a *loadAdmitter) bool { return "host"+fmt.Sprint(slices.Index(s.coord, a)) == c.Host })
}

// assign tells the coordinators their servers.
func (s *loadSim) assign() {
	for i, c := range s.coord {
		c.controller.SetServers(s.now, s.endpoints(func(server int) bool { return s.coordinatorOf(server) == i }), 1)
	}
}

func (s *loadSim) run(duration time.Duration) loadResult {
	for kind := range loadKinds {
		s.arrive(kind)
	}
	for i, a := range slices.Concat(s.own, s.coord) {
		s.at(time.Duration(i)*25*time.Millisecond/time.Duration(len(s.own)+len(s.coord)), func() { s.sweep(a) })
	}
	for host := range s.own {
		s.at(500*time.Millisecond*time.Duration(host)/time.Duration(len(s.own)), func() { s.report(host) })
	}
	s.at(duration/3, s.lose)
	for end := start.Add(duration); len(s.events) > 0 && s.events[0].at < end; {
		e := heap.Pop(&s.events).(loadEvent)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *loadSim) lose() {
	if s.lostServer {
		s.backends[0].down = true
	}
	if s.lostCoordinator && len(s.coord) > 0 {
		lost := s.coordinatorOf(0)
		s.coord[lost].lost = true
		for _, id := range slices.Sorted(maps.Keys(s.coord[lost].jobs)) {
			j := s.coord[lost].jobs[id]
			s.at(2*lossNoticed, func() { s.offer(s.own[j.host], j) })
		}
		s.at(coordinatorsRenamed, func() {
			s.hosts = slices.DeleteFunc(s.hosts, func(c sluice.Carrier) bool { return c.Host == fmt.Sprint("host", lost) })
			s.assign()
		})
	}
}

// arrive has a request of a kind arrive, and plans the next one.
func (s *loadSim) arrive(kind int) {
	k := loadKinds[kind]
	const meanSlowdown = 1 + slowPart*(slowFactor-1)
	rate := k.share * float64(s.servers*s.slots) / (k.work.Seconds() * meanSlowdown)
	if s.now.Sub(start)%(10*time.Second) >= 7*time.Second {
		rate *= k.burst
	}
	s.at(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(kind) })
	s.result.sent[kind]++
	s.admit(&loadJob{kind: kind, host: s.rng.IntN(s.loadCase.hosts), arrived: s.now})
}

// admit has a request admitted by the coordinator of a server chosen at random, or by its host.
func (s *loadSim) admit(j *loadJob) {
	admitter := s.own[j.host]
	if len(s.coord) > 0 {
		server := s.rng.IntN(s.servers)
		for slices.Contains(j.tried, serverName(server)) {
			server = s.rng.IntN(s.servers)
		}
		admitter = s.coord[s.coordinatorOf(server)]
		if admitter.lost {
			delay := time.Duration(0)
			if s.now >= s.leftAlone[j.host] {
				delay = lossNoticed
				s.leftAlone[j.host] = s.now.Add(lossNoticed + time.Second)
			}
			s.at(delay, func() { s.offer(s.own[j.host], j) })
			return
		}
	}
	s.at(admitter.away, func() { s.offer(admitter, j) })
}

func (s *loadSim) offer(a *loadAdmitter, j *loadJob) {
	k := loadKinds[j.kind]
	s.nextID++
	r := &sluice.Request{
		ID: s.nextID, Priority: k.priority, Objective: k.objective, SoftDeadline: j.arrived.Add(k.objective), Deadline: j.arrived.Add(k.deadline),
		Tried: j.tried, From: uint64(j.host) + 1, Domain: "a",
	}
	a.jobs[r.ID] = j
	s.resolve(a, []sluice.Resolution{{Request: r.ID, Decision: a.controller.Admit(s.now, r)}})
}

func (s *loadSim) resolve(a *loadAdmitter, resolved []sluice.Resolution) {
	for _, r := range resolved {
		j := a.jobs[r.Request]
		switch d := r.Decision.(type) {
		case sluice.Dispatch:
			delete(a.jobs, r.Request)
			var index int
			_, _ = fmt.Sscanf(string(d.Server.ID), "s%d", &index)
			send := &loadSend{job: j, admitter: a, id: r.Request, server: s.backends[index]}
			s.at(a.away, func() { s.send(send) })
		case sluice.Refuse:
			delete(a.jobs, r.Request)
		}
	}
}

func (s *loadSim) send(send *loadSend) {
	j := send.job
	send.began = s.now
	j.sends++
	j.tried = append(slices.Clone(j.tried), serverName(send.server.index))
	k := loadKinds[j.kind]
	left := j.arrived.Add(k.deadline).Sub(s.now)
	s.at(hop, func() { s.receive(send) })
	if j.sends == 1 {
		s.at(max(4*send.admitter.controller.MeanLatency(), time.Duration(0.45*float64(left))), func() { s.setOverdue(send) })
	}
	s.at(left, func() { s.end(send, sluice.OutcomeTimeout) })
}

// setOverdue has a request tried at a second server.
func (s *loadSim) setOverdue(send *loadSend) {
	if send.ended || send.job.done {
		return
	}
	send.overdue = true
	if len(s.coord) > 0 && send.admitter.away > 0 {
		s.at(hop, func() { s.resolve(send.admitter, send.admitter.controller.Overdue(s.now, send.id)) })
	} else {
		s.finish(send, sluice.OutcomeTimeout)
	}
	if send.job.sends < 2 && s.servers > 1 {
		s.admit(send.job)
	}
}

func (s *loadSim) receive(send *loadSend) {
	b := send.server
	switch {
	case b.down:
	case b.running < s.slots:
		s.work(send)
	case len(b.queued) < s.queue:
		b.queued = append(b.queued, send)
	case s.silent:
		s.result.rejected[send.job.kind]++
	default:
		s.result.rejected[send.job.kind]++
		s.at(hop, func() { s.end(send, sluice.OutcomeRejected) })
	}
}

func (s *loadSim) work(send *loadSend) {
	b := send.server
	b.running++
	const sigma = 0.4
	left := time.Duration(float64(loadKinds[send.job.kind].work) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
	t := s.now
	for left > 0 {
		turn := int(t.Sub(start) / slowTurn)
		factor := time.Duration(1)
		if uint64(turn*31+b.index*17)*2654435761%1000 < 1000*slowPart {
			factor = slowFactor
		}
		step := min(left*factor, start.Add(slowTurn*time.Duration(turn+1)).Sub(t))
		left -= max(step/factor, 1)
		t = t.Add(step)
	}
	s.at(t.Sub(s.now), func() {
		b.running--
		if b.down {
			return
		}
		if len(b.queued) > 0 {
			next := b.queued[0]
			b.queued = b.queued[1:]
			s.work(next)
		}
		s.at(hop, func() { s.end(send, sluice.OutcomeAnswered) })
	})
}

// end ends a send at its host.
func (s *loadSim) end(send *loadSend, outcome sluice.Outcome) {
	if send.ended {
		return
	}
	send.ended = true
	j := send.job
	k := loadKinds[j.kind]
	latency := s.now.Sub(send.began)
	if !send.overdue {
		s.counts[j.host][send.server.index].count(outcome == sluice.OutcomeRejected || sluice.IsOverloadSample(latency, k.objective))
	}
	s.finish(send, outcome)
	switch {
	case j.done:
	case outcome == sluice.OutcomeAnswered:
		j.done = true
		if s.now.Sub(j.arrived) <= k.objective {
			s.result.onTime[j.kind]++
		} else {
			s.result.late[j.kind]++
		}
	case outcome == sluice.OutcomeRejected && j.sends < 2:
		s.admit(j)
	}
}

func (s *loadSim) finish(send *loadSend, outcome sluice.Outcome) {
	a, took, objective := send.admitter, s.now.Sub(send.began), loadKinds[send.job.kind].objective
	if a.away > 0 {
		s.at(hop+releaseBatch+s.releaseDelay, func() {
			if !a.lost {
				s.resolve(a, a.controller.Settle(s.now, send.id, outcome, took))
			}
		})
		return
	}
	if send.overdue && outcome != sluice.OutcomeTimeout {
		a.controller.RecordLate(s.now, firstInstance(serverName(send.server.index)), took, objective)
		return
	}
	if !send.overdue || !send.ended {
		s.resolve(a, a.controller.Finish(s.now, firstInstance(serverName(send.server.index)), outcome, took, objective))
	}
}

func (s *loadSim) sweep(a *loadAdmitter) {
	if !a.lost {
		s.resolve(a, a.controller.Reevaluate(s.now))
	}
	s.at(25*time.Millisecond, func() { s.sweep(a) })
}

// report tells the load that a host has seen, as hosts do.
func (s *loadSim) report(host int) {
	for i, c := range s.counts[host] {
		s.detector.Add(s.now, serverName(i), c.requests, c.overloadSamples)
	}
	clear(s.counts[host])
	overloaded := make(map[fairway.ServerID]bool)
	for _, id := range s.detector.Overloaded(s.now) {
		overloaded[id] = true
	}
	s.own[host].controller.SetOverloaded(s.now, overloaded)
	s.at(500*time.Millisecond, func() { s.report(host) })
}

var _ = Describe("Coordinated admission under hard load", func() {
	const duration = 30 * time.Second
	// play returns what callers get with coordinators and with today's policy.
	play := func(c loadCase) (coordinated, today loadResult) {
		coordinated = newLoadSim(c).run(duration)
		without := c
		without.coordinators = 0
		today = newLoadSim(without).run(duration)
		show := func(name string, r loadResult) {
			_, _ = fmt.Fprintf(GinkgoWriter, "%-12s %+v: urgent on time %.3f, others %.3f, value %.3f, rejected %v\n",
				name, c, r.onTimeRatio(0), r.onTimeRatio(1), r.value(), r.rejected)
		}
		show("coordinated", coordinated)
		show("today", today)
		return coordinated, today
	}
	for _, hosts := range []int{3, 12, 84, 195} {
		base := loadCase{hosts: hosts, servers: 12, slots: 2, queue: 8, coordinators: 3}
		It(fmt.Sprintf("answers urgent requests on time beside bursts of others, %d hosts", hosts), func() {
			// Without it, urgent requests wait in the servers' queues behind less urgent ones.
			r, today := play(base)
			Expect(r.onTimeRatio(0)).To(BeNumerically(">", 0.92))
			Expect(r.onTimeRatio(0)).To(BeNumerically(">", today.onTimeRatio(0)+0.08))
			Expect(r.value()).To(BeNumerically(">", today.value()+0.01))
			Expect(r.rejected).To(Equal([2]int{}))
		})
		It(fmt.Sprintf("answers urgent requests on time if the ends of requests are told late, %d hosts", hosts), func() {
			c := base
			c.releaseDelay = 100 * time.Millisecond
			r, today := play(c)
			Expect(r.onTimeRatio(0)).To(BeNumerically(">", 0.92))
			// Each slot is idle for 100 ms after each request, which less urgent ones miss.
			Expect(r.value()).To(BeNumerically(">", today.value()-0.06))
		})
		It(fmt.Sprintf("serves when a coordinator is lost, %d hosts", hosts), func() {
			c := base
			c.lostCoordinator = true
			r, today := play(c)
			Expect(r.onTimeRatio(0)).To(BeNumerically(">", 0.9))
			Expect(r.value()).To(BeNumerically(">", today.value()))
		})
		It(fmt.Sprintf("does not wait for a server that is lost while another one is left, %d hosts", hosts), func() {
			c := base
			c.lostServer, c.servers = true, 2
			r, today := play(c)
			Expect(r.value()).To(BeNumerically(">", today.value()+0.1))
		})
		It(fmt.Sprintf("never fills the queue of servers that do not answer then, %d hosts", hosts), func() {
			c := base
			c.servers, c.slots, c.queue, c.silent = 4, 6, 24, true
			r, today := play(c)
			Expect(r.onTimeRatio(0)).To(BeNumerically(">", today.onTimeRatio(0)+0.05))
			Expect(r.rejected).To(Equal([2]int{}))
		})
	}
})
