package jetty

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// admissionSet has an admission for each service.
type admissionSet struct {
	cfg admissionSetConfig

	mu         sync.Mutex
	admissions map[fairway.ServiceName]*admission
	owners     map[fairway.ServiceName]*ownerTable
	// coordinated has the admissions of the requests of all hosts; nil means none.
	coordinated *admissionSet
	// hosts is 0 until it is known.
	hosts    int
	reaching int
	// config is the configuration whose routes were retained.
	config *fairway.Config
}

type admissionSetConfig struct {
	Host   HostID
	Domain fairway.Domain
	Budget sluice.RetryBudgetConfig
	// SecondSendShare limits second sends; see [Settings].
	SecondSendShare float64
	// ReassignmentDelay is how long a key has no owner after its owner has
	// become unresponsive.
	ReassignmentDelay time.Duration
	// OnWait, if set, is called when a request begins to wait while a server of its
	// service has a limit.
	OnWait func()
	// OnQueued, if set, is called when a request begins to wait.
	OnQueued func()
	// Priorities says when a service counts as one with different priorities.
	Priorities priorityRule
	// OnCreate, if set, is called with a new admission before it is told of the servers.
	OnCreate func(service fairway.ServiceName, adm *admission)
	// Evacuations, if set, returns the evacuated failure domains.
	Evacuations func() sluice.Evacuations
	// Carriers, if set, has the hosts that send requests with keys for others.
	Carriers *carriers
	// Coordination is set for the requests of all hosts that this host coordinates.
	Coordination *admissionCoordination
}

// admissionCoordination makes the admissions of a set those of the requests of all hosts.
type admissionCoordination struct {
	// Owners returns the owners of the keys of a service.
	Owners func(fairway.ServiceName) *ownerTable
	// Servers returns the servers of a service that this host coordinates.
	Servers func(fairway.ServiceName, *fairway.Catalog) []fairway.Endpoint
	// MostUrgent returns the priority of the most urgent requests of a service.
	MostUrgent func(fairway.ServiceName) int
	// PreferredRate, if set, is that of the controllers.
	PreferredRate func(sluice.ServerInstance) (perSecond float64, ok bool)
}

func newAdmissionSet(cfg admissionSetConfig) *admissionSet {
	return &admissionSet{
		cfg:        cfg,
		admissions: make(map[fairway.ServiceName]*admission),
		owners:     make(map[fairway.ServiceName]*ownerTable),
		reaching:   1,
	}
}

// ownersOf returns the known owners of the keys of a divided service.
func (s *admissionSet) ownersOf(service fairway.ServiceName) *ownerTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownersLocked(service)
}

func (s *admissionSet) ownersLocked(service fairway.ServiceName) *ownerTable {
	if s.cfg.Coordination != nil {
		return s.cfg.Coordination.Owners(service)
	}
	owners := s.owners[service]
	if owners == nil {
		owners = &ownerTable{}
		s.owners[service] = owners
	}
	return owners
}

// get returns the admission of a service, and creates it if the service is new
// or has changed whether it is divided by key.
func (s *admissionSet) get(service *fairway.Service, catalog *fairway.Catalog) *admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.admissions[service.Name]
	if a == nil || service.Divided != (a.owners != nil) {
		a = s.newAdmission(service)
		s.admissions[service.Name] = a
		if s.cfg.OnCreate != nil {
			s.cfg.OnCreate(service.Name, a)
		}
		s.setServers(a, service.Name, catalog, s.hosts, s.reaching)
	}
	return a
}

func (s *admissionSet) newAdmission(service *fairway.Service) *admission {
	cfg := sluice.ControllerConfig{Service: service.Name, Domain: s.cfg.Domain, Host: string(s.cfg.Host)}
	a := &admission{
		retryBudget:   sluice.NewRetryBudget(s.cfg.Budget),
		waiting:       make(map[sluice.RequestID]chan sluice.Decision),
		requestsByKey: make(map[mooring.Key]int),
		routeMeans:    make(map[fairway.RouteName]*routeMeans),
		stats:         make(map[fairway.ServerID]*serverStats),
		onWait:        s.cfg.OnWait,
		onQueued:      s.cfg.OnQueued,
	}
	if service.Divided {
		a.owners = s.ownersLocked(service.Name)
		cfg.Owners = a.owners
		cfg.ReassignmentDelay = s.cfg.ReassignmentDelay
	}
	if s.cfg.Coordination != nil {
		a.coordinated, cfg.Coordinated, cfg.PreferredRate = true, true, s.cfg.Coordination.PreferredRate
	}
	a.controller = sluice.NewController(cfg)
	if s.cfg.Priorities != prioritiesOfRoutes {
		a.mix, a.byPriority = sluice.NewPriorityMix(), s.cfg.Priorities == prioritiesOfRequests
		a.controller.SetAlike(true)
	}
	if s.config != nil {
		own := routesOf(s.config, service.Name)
		a.controller.SetRoutes(own.names, own.mixed)
	}
	a.secondSends = sluice.NewSecondSends(sluice.SecondSendsConfig{Share: s.cfg.SecondSendShare, Controller: a.controller, Retries: a.retryBudget})
	return a
}

// setServers passes the servers of a service on to its admission.
func (s *admissionSet) setServers(a *admission, service fairway.ServiceName, catalog *fairway.Catalog, hosts, reaching int) {
	if s.cfg.Coordination == nil {
		a.setServers(catalog.ByService(service), s.evacuations(), hosts, s.sharing(service, reaching))
		return
	}
	a.setMostUrgent(s.cfg.Coordination.MostUrgent(service))
	a.setServers(s.cfg.Coordination.Servers(service, catalog), s.evacuations(), hosts, 1)
}

// refresh passes changed servers, evacuations and numbers of hosts on to every admission.
func (s *admissionSet) refresh(catalog *fairway.Catalog, hosts, reaching int) {
	for name, a := range s.all() {
		s.setServers(a, name, catalog, hosts, reaching)
	}
	if s.coordinated != nil {
		s.coordinated.refresh(catalog, hosts, reaching)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts, s.reaching = hosts, reaching
}

func (s *admissionSet) evacuations() sluice.Evacuations {
	if s.cfg.Evacuations == nil {
		return nil
	}
	return s.cfg.Evacuations()
}

// retainRoutes passes on which routes there are and forgets the means of those that are not in a configuration.
func (s *admissionSet) retainRoutes(c *fairway.Config) {
	s.mu.Lock()
	known := c == nil || c == s.config
	s.config = c
	s.mu.Unlock()
	if known {
		return
	}
	names := c.RouteNames()
	for service, a := range s.all() {
		a.setRoutes(names, routesOf(c, service))
	}
}

// reevaluate decides again on the requests that wait at a service.
func (s *admissionSet) reevaluate(service fairway.ServiceName) {
	for _, a := range s.of(service) {
		a.reevaluate()
	}
}

// of returns the admissions of a service: that of the requests of this host, and that of
// those of all hosts.
func (s *admissionSet) of(service fairway.ServiceName) []*admission {
	var found []*admission
	if a := s.all()[service]; a != nil {
		found = append(found, a)
	}
	if s.coordinated != nil {
		found = append(found, s.coordinated.of(service)...)
	}
	return found
}

// find returns the admission of a service, or nil if it has had no requests.
func (s *admissionSet) find(service fairway.ServiceName) *admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admissions[service]
}

// every returns the admissions of all services, of both kinds.
func (s *admissionSet) every() []*admission {
	found := slices.Collect(maps.Values(s.all()))
	if s.coordinated != nil {
		found = append(found, s.coordinated.every()...)
	}
	return found
}

// sharing returns how many hosts share the servers of a service.
func (s *admissionSet) sharing(service fairway.ServiceName, reaching int) int {
	if s.cfg.Carriers == nil {
		return reaching
	}
	return s.cfg.Carriers.current().sharing(service, reaching)
}

// all returns a copy of the admissions by service.
func (s *admissionSet) all() map[fairway.ServiceName]*admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	admissions := make(map[fairway.ServiceName]*admission, len(s.admissions))
	for name, a := range s.admissions {
		admissions[name] = a
	}
	return admissions
}
