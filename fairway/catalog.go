package fairway

import (
	"maps"
	"time"
)

// ServerID names a backend server.
type ServerID string

// Domain names a failure domain.
type Domain string

// Incarnation is the Unix time in milliseconds at which a run of a backend server
// started. A later run under the same id has a higher one.
type Incarnation int64

// Endpoint is what a backend server last said of itself.
type Endpoint struct {
	ID          ServerID
	Service     ServiceName
	Address     string
	Domain      Domain
	Incarnation Incarnation
	Slots       int
	Draining    bool
	// Unconfirmed says that the server is missing from the list, but only since an
	// outage during which its entry may have expired.
	Unconfirmed bool
	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
	// ReadAt is when the sighting was read, to tell how old WarmIn is.
	ReadAt time.Time
}

// Catalog is a version of the sightings of all backend servers. It is not
// changed after it was published; [Catalog.Apply] returns a changed copy.
type Catalog struct {
	servers   map[ServerID]Endpoint
	byService map[ServiceName][]Endpoint
}

// NewCatalog returns a catalog of the given sightings.
func NewCatalog(sightings []Endpoint) *Catalog {
	servers := make(map[ServerID]Endpoint, len(sightings))
	for _, s := range sightings {
		servers[s.ID] = s
	}
	return newCatalog(servers)
}

func newCatalog(servers map[ServerID]Endpoint) *Catalog {
	c := &Catalog{servers: servers, byService: make(map[ServiceName][]Endpoint)}
	for _, s := range servers {
		c.byService[s.Service] = append(c.byService[s.Service], s)
	}
	return c
}

// Apply returns a catalog in which the servers of gone are removed and those
// of seen are replaced.
func (c *Catalog) Apply(seen []Endpoint, gone []ServerID) *Catalog {
	servers := maps.Clone(c.servers)
	for _, id := range gone {
		delete(servers, id)
	}
	for _, s := range seen {
		servers[s.ID] = s
	}
	return newCatalog(servers)
}

// DefinedIn returns a catalog of the servers whose service config
// defines.
func (c *Catalog) DefinedIn(config *Config) *Catalog {
	servers := make(map[ServerID]Endpoint, len(c.servers))
	for id, s := range c.servers {
		if config.Services[s.Service] != nil {
			servers[id] = s
		}
	}
	return newCatalog(servers)
}

// Get returns the sighting of a server.
func (c *Catalog) Get(id ServerID) (Endpoint, bool) {
	s, ok := c.servers[id]
	return s, ok
}

// ByService returns the sightings of the servers of a service.
func (c *Catalog) ByService(service ServiceName) []Endpoint {
	return c.byService[service]
}

// All returns every sighting by server.
func (c *Catalog) All() map[ServerID]Endpoint {
	return c.servers
}

// Len returns the number of servers.
func (c *Catalog) Len() int {
	return len(c.servers)
}
