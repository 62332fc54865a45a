package fairway

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Version is the version number of a configuration. Later versions are higher,
// but not necessarily consecutive.
type Version uint64

// ServiceName identifies a service.
type ServiceName string

// RouteName identifies a route.
type RouteName string

// Repeatability is whether a request may be executed more than once.
type Repeatability int

const (
	// RepeatNever is for requests that may be executed at most once.
	RepeatNever Repeatability = iota
	// RepeatAllowed is for idempotent requests.
	RepeatAllowed
)

// Destination is a service that receives a share of the requests of a route, in
// proportion to its weight.
type Destination struct {
	Service ServiceName
	Weight  float64
}

// Route configures the handling of requests under a path prefix.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Destinations has one entry unless the traffic is split.
	Destinations []Destination
	Repeat       Repeatability
	Timeout      time.Duration
	// Objective is the target latency.
	Objective   time.Duration
	MaxAttempts int
	// Priority is 0 for the most urgent requests and higher for others.
	Priority int
}

// Service is a set of backend servers, which are either interchangeable or own
// disjoint sets of keys.
type Service struct {
	Name ServiceName
	// MaxConnections is the number of connections that each server accepts from
	// all clients together.
	MaxConnections int
	// Divided is set if the service is divided by key: each key is owned by
	// exactly one backend server.
	Divided bool
	// Warmup is how long requests for keys are slow on a server that became their
	// owner without a handover.
	Warmup time.Duration
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// ColdRate is the number of requests a second that a server tolerates while it is
	// cold, or 0 if nothing is stated.
	ColdRate float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  Version
	Limits   Limits
	Routes   []*Route
	Services map[ServiceName]*Service

	// byHost has the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// NewConfig returns a configuration. It returns an error of [KindInvalid] if a
// route has no destination, or one that is not among services.
func NewConfig(version Version, limits Limits, routes []*Route, services []*Service) (*Config, error) {
	c := &Config{
		Version:  version,
		Limits:   limits,
		Routes:   routes,
		Services: make(map[ServiceName]*Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		for _, destination := range r.Destinations {
			if c.Services[destination.Service] == nil {
				return nil, &Error{
					Op: "check configuration", Kind: KindInvalid,
					Err: fmt.Errorf("version %d: route %s: service %s is not defined", version, r.Name, destination.Service),
				}
			}
		}
		if len(r.Destinations) == 0 {
			return nil, &Error{
				Op: "check configuration", Kind: KindInvalid,
				Err: fmt.Errorf("version %d: route %s: no destination", version, r.Name),
			}
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c, nil
}

// Match returns the route of host with the longest prefix of path, or an error of
// [KindNoRoute].
func (c *Config) Match(host, path string) (*Route, error) {
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, errNoRoute
}

// RouteNames returns the set of the names of the routes.
func (c *Config) RouteNames() map[RouteName]bool {
	names := make(map[RouteName]bool, len(c.Routes))
	for _, r := range c.Routes {
		names[r.Name] = true
	}
	return names
}

// canonicalHost returns the host in lower case and without the port.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// DividedServices returns the sorted names of the services that are divided by
// key.
func (c *Config) DividedServices() []ServiceName {
	var names []ServiceName
	for name, s := range c.Services {
		if s.Divided {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Pick selects a destination by weight, given a random number in [0, 1), and
// returns its service.
func (r *Route) Pick(random float64) ServiceName {
	total := 0.0
	for _, destination := range r.Destinations {
		total += destination.Weight
	}
	at := random * total
	for _, destination := range r.Destinations {
		at -= destination.Weight
		if at < 0 {
			return destination.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
