package jetty

import (
	"maps"
	"sync"
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// warmFraction is the part of the bound of a cold server above which coordinators prefer others
// to a warm one. A server may turn cold at any moment, and hosts learn of it up to a second later.
const warmFraction = 0.9

// coldServers keeps which servers are cold, as their registrations and health responses tell,
// and has all admissions limit their requests. The zero pointer knows none.
type coldServers struct {
	admissions *admissionSet
	logs       *logs
	metrics    *metrics
	// wake is called when a server has become cold.
	wake func()
	// overage and slack are the bound of a cold server; see [Bounds].
	overage float64
	slack   float64

	// preferredRates has the requests a second above which coordinators prefer others to a warm
	// server.
	preferredRates atomic.Pointer[map[fairway.ServerID]float64]

	// mu guards the fields below. No other lock is taken while it is held.
	mu      sync.Mutex
	records map[sluice.ServerInstance]coldRecord
}

// coldRecord is a cold server instance.
type coldRecord struct {
	service fairway.ServiceName
	rate    sluice.Rate
	until   mooring.Instant
}

func newColdServers(c *coldServers) *coldServers {
	c.records = make(map[sluice.ServerInstance]coldRecord)
	return c
}

// rate returns the rate of slots for the cold servers of a service, or false if nothing bounds
// their requests.
func (c *coldServers) rate(service *fairway.Service) (sluice.Rate, bool) {
	if c == nil || service == nil || service.ColdRate <= 0 || c.overage <= 0 {
		return 0, false
	}
	return sluice.ColdSlotRate(service.ColdRate*c.overage + c.slack), true
}

// update records which servers of a catalog say in their registrations that they are cold, and
// forgets those that are gone or warm.
func (c *coldServers) update(now mooring.Instant, catalog *fairway.Catalog, config *fairway.Config) {
	if c == nil || config == nil || c.overage <= 0 {
		return
	}
	preferredRates := make(map[fairway.ServerID]float64)
	defer c.preferredRates.Store(&preferredRates)
	for name, service := range config.Services {
		if _, bounded := c.rate(service); !bounded {
			continue
		}
		for _, e := range catalog.ByService(name) {
			preferredRates[e.ID] = warmFraction * (service.ColdRate*c.overage + c.slack)
			if e.WarmupRemaining > 0 {
				c.set(now, e, service, instantOf(e.ReadAt).Add(e.WarmupRemaining))
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.records, func(server sluice.ServerInstance, r coldRecord) bool {
		e, listed := catalog.Get(server.Server)
		return now >= r.until || !listed || sluice.ServerInstanceOf(e) != server
	})
}

// preferredRate returns the requests a second above which coordinators prefer other servers, or
// false if nothing bounds the requests to the server while it is cold.
func (c *coldServers) preferredRate(server sluice.ServerInstance) (perSecond float64, ok bool) {
	rates := c.preferredRates.Load()
	if rates == nil {
		return 0, false
	}
	perSecond, ok = (*rates)[server.Server]
	return perSecond, ok
}

// set records that a server is cold until an instant, unless it is known to be cold for longer.
func (c *coldServers) set(now mooring.Instant, e fairway.Endpoint, service *fairway.Service, until mooring.Instant) {
	rate, bounded := c.rate(service)
	if !bounded || until <= now {
		return
	}
	server := sluice.ServerInstanceOf(e)
	c.mu.Lock()
	former, known := c.records[server]
	if known && until <= former.until {
		c.mu.Unlock()
		return
	}
	r := coldRecord{service: service.Name, rate: rate, until: until}
	c.records[server] = r
	c.mu.Unlock()
	if !known {
		c.wake()
		c.logs.serverCold(server, service.Name, until.Sub(now))
		c.metrics.serverNotice("cold")
	}
	for _, adm := range c.admissions.of(service.Name) {
		adm.setCold(server, r.rate, r.until)
	}
}

// applyTo tells a new admission of a service which of its servers are cold.
func (c *coldServers) applyTo(service fairway.ServiceName, adm *admission) {
	if c == nil {
		return
	}
	c.mu.Lock()
	records := maps.Clone(c.records)
	c.mu.Unlock()
	for server, r := range records {
		if r.service == service {
			adm.setCold(server, r.rate, r.until)
		}
	}
}

// isCold reports whether a server instance is known to be cold.
func (c *coldServers) isCold(now mooring.Instant, server sluice.ServerInstance) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.records[server].until
}

// any reports whether any server is cold.
func (c *coldServers) any(now mooring.Instant) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		if now < r.until {
			return true
		}
	}
	return false
}
