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
	// bytes is the mean size of an answer by route.
	bytes map[fairway.RouteName]float64
}

// bytesWeight is the weight of a new answer in the mean size.
const bytesWeight = 0.05

// acquire waits until t is admitted or refused. A request that is given up
// while it waits gets a nil decision.
func (d *desk) acquire(ctx context.Context, t *sluice.Ticket) sluice.Decision {
	d.mu.Lock()
	d.nextID++
	t.ID = d.nextID
	decision := d.desk.Offer(steadyNow(), t)
	if _, ok := decision.(sluice.Wait); !ok {
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
func (d *desk) finish(id fairway.ServerID, outcome sluice.Outcome, took, objective time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.desk.Finish(steadyNow(), id, outcome, took, objective))
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
	return d.bytes[route]
}

// passed notes the size of an answer.
func (d *desk) passed(route fairway.RouteName, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes[route] += bytesWeight * (float64(n) - d.bytes[route])
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

// drainLoad returns what was counted since the last call.
func (d *desk) drainLoad() (map[mooring.Key]int, map[fairway.ServerID]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests := d.requests
	d.requests = make(map[mooring.Key]int)
	return requests, d.desk.Fastest(minFastest)
}

// minFastest is the number of answers from which the shortest says something
// of a server's speed.
const minFastest = 3

// deskSet has a desk for each service.
type deskSet struct {
	cfg deskSetConfig

	mu     sync.Mutex
	desks  map[fairway.ServiceName]*desk
	owners map[fairway.ServiceName]*assignments
	hosts  int
}

type deskSetConfig struct {
	Domain fairway.Domain
	Budget sluice.BudgetConfig
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
	cfg := sluice.DeskConfig{Service: service.Name, Domain: s.cfg.Domain}
	d := &desk{
		budget:   sluice.NewBudget(s.cfg.Budget),
		waiting:  make(map[sluice.TicketID]chan sluice.Decision),
		requests: make(map[mooring.Key]int),
		bytes:    make(map[fairway.RouteName]float64),
	}
	if service.Divided {
		d.owners = s.ownersLocked(service.Name)
		cfg.Owners = d.owners
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
