package jetty

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// admission serializes the calls to one [sluice.Controller] and its budget, and hands
// decisions to the requests that wait for them.
type admission struct {
	mu          sync.Mutex
	controller  *sluice.Controller
	retryBudget *sluice.RetryBudget
	owners      *ownerTable
	waiting     map[sluice.RequestID]chan sluice.Decision
	nextID      sluice.RequestID
	// requestsByKey counts the requests by key since the last report.
	requestsByKey map[mooring.Key]int
	// routeMeans has the means of the answers of each route.
	routeMeans map[fairway.RouteName]*routeMeans
	// stats compares the servers since the last report.
	stats map[fairway.ServerID]*serverStats
}

// routeMeans are means over the answers on a route.
type routeMeans struct {
	bytes   float64
	latency time.Duration
}

// serverStats is what this host has seen of a server since its last report. Slowness
// sums over answers their time divided by the usual one of their route.
type serverStats struct {
	answers  int
	slowness float64
	// requests and pressed are as [sluice.Pressure] takes them.
	requests        int
	overloadSamples int
}

// ewmaWeight is the weight of a new answer in the means of a route.
const ewmaWeight = 0.05

// acquire waits until t is admitted or refused. A request that is given up
// while it waits gets a nil decision.
func (d *admission) acquire(ctx context.Context, t *sluice.Request) sluice.Decision {
	d.mu.Lock()
	d.nextID++
	t.ID = d.nextID
	decision := d.controller.Admit(monotonicNow(), t)
	if _, ok := decision.(sluice.Wait); !ok {
		d.recordRefusal(decision)
		d.mu.Unlock()
		return decision
	}
	answer := make(chan sluice.Decision, 1)
	d.waiting[t.ID] = answer
	d.mu.Unlock()
	select {
	case decision = <-answer:
		return decision
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.controller.Cancel(t.ID) {
		delete(d.waiting, t.ID)
		return nil
	}
	// The decision was made just before.
	return <-answer
}

// finish ends a dispatched request.
func (d *admission) finish(run sluice.ServerRun, outcome sluice.Outcome, took, objective time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome {
	case sluice.OutcomeAnswered:
		d.recordSample(run.Server, sluice.IsOverloadSample(took, objective))
	case sluice.OutcomeRejected, sluice.OutcomeReset:
		d.recordSample(run.Server, true)
	default:
	}
	d.deliver(d.controller.Finish(monotonicNow(), run, outcome, took, objective))
}

// recordRefusal counts a refusal for lack of room at one server.
func (d *admission) recordRefusal(decision sluice.Decision) {
	if r, ok := decision.(sluice.Refuse); ok && r.Reason == sluice.ReasonOverload && r.Server != "" {
		d.recordSample(r.Server, true)
	}
}

func (d *admission) recordSample(id fairway.ServerID, pressed bool) {
	p := d.statsOf(id)
	p.requests++
	if pressed {
		p.overloadSamples++
	}
}

func (d *admission) statsOf(id fairway.ServerID) *serverStats {
	p := d.stats[id]
	if p == nil {
		p = &serverStats{}
		d.stats[id] = p
	}
	return p
}

// setOverloaded brings the servers that are crowded.
func (d *admission) setOverloaded(crowded map[fairway.ServerID]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.controller.SetOverloaded(monotonicNow(), crowded)
}

// reevaluate decides again on the waiting requests.
func (d *admission) reevaluate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.controller.Waiting() > 0 {
		d.deliver(d.controller.Reevaluate(monotonicNow()))
	}
}

func (d *admission) deliver(resolved []sluice.Resolution) {
	for _, r := range resolved {
		d.recordRefusal(r.Decision)
		d.waiting[r.Request] <- r.Decision
		delete(d.waiting, r.Request)
	}
}

// setServers brings the servers and the number of hosts.
func (d *admission) setServers(servers []fairway.Endpoint, hosts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := monotonicNow()
	d.controller.SetServers(now, servers, hosts)
	d.retryBudget.SetHosts(hosts)
	d.deliver(d.controller.Reevaluate(now))
}

// recordArrival counts a request and returns the likely size of its answer.
func (d *admission) recordArrival(route fairway.RouteName, key *mooring.Key) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget.RecordRequest(monotonicNow())
	if key != nil {
		d.requestsByKey[*key]++
	}
	if means := d.routeMeans[route]; means != nil {
		return means.bytes
	}
	return 0
}

// recordAnswer notes an answer that is passed on.
func (d *admission) recordAnswer(route fairway.RouteName, server fairway.ServerID, n int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	means := d.routeMeans[route]
	if means == nil {
		means = &routeMeans{bytes: float64(n), latency: took}
		d.routeMeans[route] = means
	}
	means.bytes += ewmaWeight * (float64(n) - means.bytes)
	means.latency += time.Duration(ewmaWeight * float64(took-means.latency))
	p := d.statsOf(server)
	p.answers++
	p.slowness += float64(took) / float64(max(means.latency, time.Microsecond))
}

// meanLatency returns the mean time of an answer.
func (d *admission) meanLatency() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.MeanLatency()
}

// allowRetry allows one more send of a request, or reports false.
func (d *admission) allowRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.Allow(monotonicNow())
}

// admissionUsage is what is in use of a desk.
type admissionUsage struct {
	sluice.Usage
	budgetLeft float64
}

func (d *admission) usage() admissionUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return admissionUsage{Usage: d.controller.Usage(), budgetLeft: d.retryBudget.Remaining(monotonicNow())}
}

// takeLoad returns what was counted since the last call.
func (d *admission) takeLoad() (map[mooring.Key]int, map[fairway.ServerID]*serverStats) {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests, paces := d.requestsByKey, d.stats
	d.requestsByKey = make(map[mooring.Key]int)
	d.stats = make(map[fairway.ServerID]*serverStats)
	return requests, paces
}

// admissionSet has a desk for each service.
type admissionSet struct {
	cfg admissionSetConfig

	mu         sync.Mutex
	admissions map[fairway.ServiceName]*admission
	owners     map[fairway.ServiceName]*ownerTable
	hosts      int
}

type admissionSetConfig struct {
	Host   HostID
	Domain fairway.Domain
	Budget sluice.RetryBudgetConfig
	// ReassignmentDelay is how long a key is without an owner after a silent one.
	ReassignmentDelay time.Duration
}

func newAdmissionSet(cfg admissionSetConfig) *admissionSet {
	return &admissionSet{
		cfg:        cfg,
		admissions: make(map[fairway.ServiceName]*admission),
		owners:     make(map[fairway.ServiceName]*ownerTable),
		hosts:      1,
	}
}

// ownersOf returns what is known of the owners of a divided service.
func (s *admissionSet) ownersOf(service fairway.ServiceName) *ownerTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownersLocked(service)
}

func (s *admissionSet) ownersLocked(service fairway.ServiceName) *ownerTable {
	a := s.owners[service]
	if a == nil {
		a = &ownerTable{}
		s.owners[service] = a
	}
	return a
}

// get returns the desk of a service of the configuration.
func (s *admissionSet) get(service *fairway.Service, catalog *fairway.Catalog) *admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.admissions[service.Name]
	if d == nil || service.Divided != (d.owners != nil) {
		d = s.newAdmission(service)
		s.admissions[service.Name] = d
		d.setServers(catalog.ByService(service.Name), s.hosts)
	}
	return d
}

func (s *admissionSet) newAdmission(service *fairway.Service) *admission {
	cfg := sluice.ControllerConfig{Service: service.Name, Domain: s.cfg.Domain, Host: string(s.cfg.Host)}
	d := &admission{
		retryBudget:   sluice.NewRetryBudget(s.cfg.Budget),
		waiting:       make(map[sluice.RequestID]chan sluice.Decision),
		requestsByKey: make(map[mooring.Key]int),
		routeMeans:    make(map[fairway.RouteName]*routeMeans),
		stats:         make(map[fairway.ServerID]*serverStats),
	}
	if service.Divided {
		d.owners = s.ownersLocked(service.Name)
		cfg.Owners = d.owners
		cfg.ReassignmentDelay = s.cfg.ReassignmentDelay
	}
	d.controller = sluice.NewController(cfg)
	return d
}

// refresh hands the catalog to every desk.
func (s *admissionSet) refresh(catalog *fairway.Catalog, hosts int) {
	for name, d := range s.all() {
		d.setServers(catalog.ByService(name), hosts)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// all returns the desks by service.
func (s *admissionSet) all() map[fairway.ServiceName]*admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	desks := make(map[fairway.ServiceName]*admission, len(s.admissions))
	for name, d := range s.admissions {
		desks[name] = d
	}
	return desks
}
