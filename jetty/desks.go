package jetty

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// desk serializes the calls to one [sluice.Desk] and its budget, and hands
// decisions to the requests that wait for them.
type desk struct {
	mu      sync.Mutex
	desk    *sluice.Desk
	budget  *sluice.Budget
	owners  *assignments
	waiting map[sluice.TicketID]chan sluice.Decision
	nextID  sluice.TicketID
	// requests counts the requests by key since the last report.
	requests map[mooring.Key]int
	// answers has the means of the answers of each route.
	answers map[fairway.RouteName]*routeMeans
	// paces compares the servers since the last report.
	paces map[fairway.ServerID]*pace
}

// routeMeans are means over the answers on a route.
type routeMeans struct {
	bytes float64
	took  time.Duration
}

// pace is what this host has seen of a server since its last report. Slowness
// sums over answers their time divided by the usual one of their route.
type pace struct {
	answers  int
	slowness float64
	// requests and pressed are as [sluice.Pressure] takes them.
	requests int
	pressed  int
}

// meanWeight is the weight of a new answer in the means of a route.
const meanWeight = 0.05

// acquire waits until t is admitted or refused. A request that is given up
// while it waits gets a nil decision.
func (d *desk) acquire(ctx context.Context, t *sluice.Ticket) sluice.Decision {
	d.mu.Lock()
	d.nextID++
	t.ID = d.nextID
	decision := d.desk.Offer(steadyNow(), t)
	if _, ok := decision.(sluice.Wait); !ok {
		d.notePressure(decision)
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
	if d.desk.Cancel(t.ID) {
		delete(d.waiting, t.ID)
		return nil
	}
	// The decision was made just before.
	return <-answer
}

// finish ends a dispatched request.
func (d *desk) finish(run sluice.Run, outcome sluice.Outcome, took, objective time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome {
	case sluice.OutcomeAnswered:
		d.visited(run.Server, sluice.Pressed(took, objective))
	case sluice.OutcomeTurnedAway, sluice.OutcomeReset:
		d.visited(run.Server, true)
	default:
	}
	d.deliver(d.desk.Finish(steadyNow(), run, outcome, took, objective))
}

// notePressure counts a refusal for lack of room at one server.
func (d *desk) notePressure(decision sluice.Decision) {
	if r, ok := decision.(sluice.Refuse); ok && r.Reason == sluice.ReasonOverload && r.Server != "" {
		d.visited(r.Server, true)
	}
}

func (d *desk) visited(id fairway.ServerID, pressed bool) {
	p := d.pace(id)
	p.requests++
	if pressed {
		p.pressed++
	}
}

func (d *desk) pace(id fairway.ServerID) *pace {
	p := d.paces[id]
	if p == nil {
		p = &pace{}
		d.paces[id] = p
	}
	return p
}

// setCrowded brings the servers that are crowded.
func (d *desk) setCrowded(crowded map[fairway.ServerID]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desk.SetCrowded(steadyNow(), crowded)
}

// sweep decides again on the waiting requests.
func (d *desk) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desk.Waiting() > 0 {
		d.deliver(d.desk.Sweep(steadyNow()))
	}
}

func (d *desk) deliver(resolved []sluice.Resolution) {
	for _, r := range resolved {
		d.notePressure(r.Decision)
		d.waiting[r.Ticket] <- r.Decision
		delete(d.waiting, r.Ticket)
	}
}

// setServers brings the servers and the number of hosts.
func (d *desk) setServers(servers []fairway.Sighting, hosts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steadyNow()
	d.desk.SetServers(now, servers, hosts)
	d.budget.SetHosts(hosts)
	d.deliver(d.desk.Sweep(now))
}

// arrived counts a request and returns the likely size of its answer.
func (d *desk) arrived(route fairway.RouteName, key *mooring.Key) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Request(steadyNow())
	if key != nil {
		d.requests[*key]++
	}
	if means := d.answers[route]; means != nil {
		return means.bytes
	}
	return 0
}

// passed notes an answer that is passed on.
func (d *desk) passed(route fairway.RouteName, server fairway.ServerID, n int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	means := d.answers[route]
	if means == nil {
		means = &routeMeans{bytes: float64(n), took: took}
		d.answers[route] = means
	}
	means.bytes += meanWeight * (float64(n) - means.bytes)
	means.took += time.Duration(meanWeight * float64(took-means.took))
	p := d.pace(server)
	p.answers++
	p.slowness += float64(took) / float64(max(means.took, time.Microsecond))
}

// usual returns the mean time of an answer.
func (d *desk) usual() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desk.Usual()
}

// takeBudget allows one more send of a request, or reports false.
func (d *desk) takeBudget() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Take(steadyNow())
}

// deskUse is what is in use of a desk.
type deskUse struct {
	sluice.Use
	budgetLeft float64
}

func (d *desk) use() deskUse {
	d.mu.Lock()
	defer d.mu.Unlock()
	return deskUse{Use: d.desk.Use(), budgetLeft: d.budget.Left(steadyNow())}
}

// drainLoad returns what was counted since the last call.
func (d *desk) drainLoad() (map[mooring.Key]int, map[fairway.ServerID]*pace) {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests, paces := d.requests, d.paces
	d.requests = make(map[mooring.Key]int)
	d.paces = make(map[fairway.ServerID]*pace)
	return requests, paces
}

// deskSet has a desk for each service.
type deskSet struct {
	cfg deskSetConfig

	mu     sync.Mutex
	desks  map[fairway.ServiceName]*desk
	owners map[fairway.ServiceName]*assignments
	hosts  int
}

type deskSetConfig struct {
	Host   HostID
	Domain fairway.Domain
	Budget sluice.BudgetConfig
	// KeyReturn is how long a key is without an owner after a silent one.
	KeyReturn time.Duration
}

func newDeskSet(cfg deskSetConfig) *deskSet {
	return &deskSet{
		cfg:    cfg,
		desks:  make(map[fairway.ServiceName]*desk),
		owners: make(map[fairway.ServiceName]*assignments),
		hosts:  1,
	}
}

// ownersOf returns what is known of the owners of a divided service.
func (s *deskSet) ownersOf(service fairway.ServiceName) *assignments {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownersLocked(service)
}

func (s *deskSet) ownersLocked(service fairway.ServiceName) *assignments {
	a := s.owners[service]
	if a == nil {
		a = &assignments{}
		s.owners[service] = a
	}
	return a
}

// get returns the desk of a service of the configuration.
func (s *deskSet) get(service *fairway.Service, catalog *fairway.Catalog) *desk {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.desks[service.Name]
	if d == nil || service.Divided != (d.owners != nil) {
		d = s.newDesk(service)
		s.desks[service.Name] = d
		d.setServers(catalog.Of(service.Name), s.hosts)
	}
	return d
}

func (s *deskSet) newDesk(service *fairway.Service) *desk {
	cfg := sluice.DeskConfig{Service: service.Name, Domain: s.cfg.Domain, Host: string(s.cfg.Host)}
	d := &desk{
		budget:   sluice.NewBudget(s.cfg.Budget),
		waiting:  make(map[sluice.TicketID]chan sluice.Decision),
		requests: make(map[mooring.Key]int),
		answers:  make(map[fairway.RouteName]*routeMeans),
		paces:    make(map[fairway.ServerID]*pace),
	}
	if service.Divided {
		d.owners = s.ownersLocked(service.Name)
		cfg.Owners = d.owners
		cfg.KeyReturn = s.cfg.KeyReturn
	}
	d.desk = sluice.NewDesk(cfg)
	return d
}

// refresh hands the catalog to every desk.
func (s *deskSet) refresh(catalog *fairway.Catalog, hosts int) {
	for name, d := range s.all() {
		d.setServers(catalog.Of(name), hosts)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// all returns the desks by service.
func (s *deskSet) all() map[fairway.ServiceName]*desk {
	s.mu.Lock()
	defer s.mu.Unlock()
	desks := make(map[fairway.ServiceName]*desk, len(s.desks))
	for name, d := range s.desks {
		desks[name] = d
	}
	return desks
}
