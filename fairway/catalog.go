package fairway

import (
	"maps"
	"time"
)

// ServerID names a backend server.
type ServerID string

// Domain names a failure domain.
type Domain string

// Birth is the Unix time in milliseconds at which a run of a backend server
// started. A later run under the same id has a higher one.
type Birth int64

// Sighting is what a backend server last said of itself.
type Sighting struct {
	ID       ServerID
	Service  ServiceName
	Address  string
	Domain   Domain
	Born     Birth
	Slots    int
	Draining bool
	// Doubtful says that the server is missing from the list, but only since an
	// outage during which its entry may have expired.
	Doubtful bool
	// WarmIn is how much longer the server is slow after its start.
	WarmIn time.Duration
	// SeenAt is when the sighting was read, to tell how old WarmIn is.
	SeenAt time.Time
}

// Catalog is a version of the sightings of all backend servers. It is not
// changed after it was published; [Catalog.Apply] returns a changed copy.
type Catalog struct {
	servers   map[ServerID]Sighting
	byService map[ServiceName][]Sighting
}

// NewCatalog returns a catalog of the given sightings.
func NewCatalog(sightings []Sighting) *Catalog {
	servers := make(map[ServerID]Sighting, len(sightings))
	for _, s := range sightings {
		servers[s.ID] = s
	}
	return newCatalog(servers)
}

func newCatalog(servers map[ServerID]Sighting) *Catalog {
	c := &Catalog{servers: servers, byService: make(map[ServiceName][]Sighting)}
	for _, s := range servers {
		c.byService[s.Service] = append(c.byService[s.Service], s)
	}
	return c
}

// Apply returns a catalog in which the servers of gone are removed and those
// of seen are replaced.
func (c *Catalog) Apply(seen []Sighting, gone []ServerID) *Catalog {
	servers := maps.Clone(c.servers)
	for _, id := range gone {
		delete(servers, id)
	}
	for _, s := range seen {
		servers[s.ID] = s
	}
	return newCatalog(servers)
}

// Within returns a catalog of the servers whose service config
// defines.
func (c *Catalog) Within(config *Config) *Catalog {
	servers := make(map[ServerID]Sighting, len(c.servers))
	for id, s := range c.servers {
		if config.Services[s.Service] != nil {
			servers[id] = s
		}
	}
	return newCatalog(servers)
}

// Get returns the sighting of a server.
func (c *Catalog) Get(id ServerID) (Sighting, bool) {
	s, ok := c.servers[id]
	return s, ok
}

// Of returns the sightings of the servers of a service.
func (c *Catalog) Of(service ServiceName) []Sighting {
	return c.byService[service]
}

// All returns every sighting by server.
func (c *Catalog) All() map[ServerID]Sighting {
	return c.servers
}

// Len returns the number of servers.
func (c *Catalog) Len() int {
	return len(c.servers)
}
