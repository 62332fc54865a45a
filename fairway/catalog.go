package fairway

import (
	"maps"
	"time"
)

// ServerID identifies a backend server.
type ServerID string

// Domain identifies a failure domain.
type Domain string

// Incarnation distinguishes the instances of a backend server under one id. It is
// the Unix time in milliseconds at which the instance started, so a later instance
// has a higher one.
type Incarnation int64

// SoftwareVersion is the version of a backend server's software.
type SoftwareVersion string

// Endpoint is a backend server as it last registered itself.
type Endpoint struct {
	ID          ServerID
	Service     ServiceName
	Address     string
	Domain      Domain
	Incarnation Incarnation
	Version     SoftwareVersion
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// Evacuated is set while the failure domain of the server is evacuated. It is not part
	// of the registration.
	Evacuated bool
	// Unconfirmed is set for a server that is no longer registered, but only
	// since a store outage, during which its registration may have expired.
	Unconfirmed bool
	// WarmupRemaining is how much longer the server responds slowly after its
	// start, as of ReadAt.
	WarmupRemaining time.Duration
	// ReadAt is when the registration was read.
	ReadAt time.Time
}

// Same reports whether two readings of a registration mean the same, whenever they were
// made.
func (e Endpoint) Same(other Endpoint) bool {
	if e.WarmupRemaining == 0 && other.WarmupRemaining == 0 {
		e.ReadAt = other.ReadAt
	}
	return e == other
}

// Catalog is a snapshot of the endpoints of all backend servers. It is immutable:
// [Catalog.Apply] returns a changed copy.
type Catalog struct {
	servers   map[ServerID]Endpoint
	byService map[ServiceName][]Endpoint
}

// NewCatalog returns a catalog of the given endpoints.
func NewCatalog(endpoints []Endpoint) *Catalog {
	servers := make(map[ServerID]Endpoint, len(endpoints))
	for _, e := range endpoints {
		servers[e.ID] = e
	}
	return newCatalog(servers)
}

func newCatalog(servers map[ServerID]Endpoint) *Catalog {
	c := &Catalog{servers: servers, byService: make(map[ServiceName][]Endpoint)}
	for _, e := range servers {
		c.byService[e.Service] = append(c.byService[e.Service], e)
	}
	return c
}

// Apply returns a copy of the catalog without the servers in removed and with
// the endpoints in updated added or replaced.
func (c *Catalog) Apply(updated []Endpoint, removed []ServerID) *Catalog {
	servers := maps.Clone(c.servers)
	for _, id := range removed {
		delete(servers, id)
	}
	for _, e := range updated {
		servers[e.ID] = e
	}
	return newCatalog(servers)
}

// DefinedIn returns a catalog of the servers whose service is defined in config.
func (c *Catalog) DefinedIn(config *Config) *Catalog {
	servers := make(map[ServerID]Endpoint, len(c.servers))
	for id, e := range c.servers {
		if config.Services[e.Service] != nil {
			servers[id] = e
		}
	}
	return newCatalog(servers)
}

// Get returns the endpoint of a server.
func (c *Catalog) Get(id ServerID) (Endpoint, bool) {
	e, ok := c.servers[id]
	return e, ok
}

// ByService returns the endpoints of a service. The slice must not be changed.
func (c *Catalog) ByService(service ServiceName) []Endpoint {
	return c.byService[service]
}

// All returns all endpoints by server id. The map must not be changed.
func (c *Catalog) All() map[ServerID]Endpoint {
	return c.servers
}

// Len returns the number of endpoints.
func (c *Catalog) Len() int {
	return len(c.servers)
}
