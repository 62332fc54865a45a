package jetty

import (
	"sync"

	"hornbeamwinch.example/fairway"
)

// priorityRule says when a service counts as one with different priorities.
type priorityRule int

const (
	// prioritiesOfRoutes is for services whose routes have different priorities.
	prioritiesOfRoutes priorityRule = iota
	// prioritiesOfRequests is for those whose recent requests have them as well.
	prioritiesOfRequests
	// prioritiesAlike has no service count as one.
	prioritiesAlike
)

// coordination tells which services have their requests admitted by coordinators.
type coordination struct {
	clusterState *clusterState
	carriers     *carriers
	// admissions has those of the host's own requests.
	admissions *admissionSet

	mu sync.Mutex
	// config is the configuration whose priorities are known.
	config     *fairway.Config
	priorities map[fairway.ServiceName]priorityRange
}

// priorityRange has the priorities of the most and of the least urgent route of a service.
type priorityRange struct {
	most, least int
}

// prioritiesOf returns the priorities of the routes of a service in the active configuration.
func (c *coordination) prioritiesOf(service fairway.ServiceName) priorityRange {
	config := c.clusterState.activeConfig.Current()
	c.mu.Lock()
	defer c.mu.Unlock()
	if config != nil && config != c.config {
		c.config, c.priorities = config, make(map[fairway.ServiceName]priorityRange)
		for _, route := range config.Routes {
			for _, d := range route.Destinations {
				r, known := c.priorities[d.Service]
				if !known {
					r = priorityRange{most: route.Priority, least: route.Priority}
				}
				c.priorities[d.Service] = priorityRange{most: min(r.most, route.Priority), least: max(r.least, route.Priority)}
			}
		}
	}
	return c.priorities[service]
}

// wanted reports whether a service is to have coordinators: if its servers tell their load, or
// if it counts as one with different priorities.
func (c *coordination) wanted(service fairway.ServiceName) bool {
	r := c.prioritiesOf(service)
	own := c.admissions.find(service)
	if own != nil && own.tellsLoad() {
		return true
	}
	return r.most != r.least && (c.admissions.cfg.Priorities == prioritiesOfRoutes || own != nil && own.mixed())
}

// active reports whether this host asks coordinators for permits. A service that has carriers
// needs none: a few hosts send all of its requests.
func (c *coordination) active(service fairway.ServiceName) bool {
	return c.clusterState.knownHostCount() > 1 && c.wanted(service) && !c.carriers.current().services[service]
}

// mostUrgent returns the priority of the most urgent requests of a service.
func (c *coordination) mostUrgent(service fairway.ServiceName) int {
	if own := c.admissions.find(service); own != nil {
		if priority, ok := own.mostUrgent(); ok {
			return priority
		}
	}
	return c.prioritiesOf(service).most
}
