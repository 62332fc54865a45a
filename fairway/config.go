package fairway

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Version numbers the configurations. It rises in uneven steps.
type Version uint64

// ServiceName names a service.
type ServiceName string

// RouteName names a route.
type RouteName string

// Repeatability says whether a request may run more than once.
type Repeatability int

const (
	// RepeatNever is for requests that may run at most once.
	RepeatNever Repeatability = iota
	// RepeatAllowed is for idempotent requests.
	RepeatAllowed
)

// Destination is one part of a split: a service and its weight.
type Destination struct {
	Service ServiceName
	Weight  float64
}

// Route says how the requests under a path prefix are handled.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Destinations has one entry unless the route is split.
	Destinations []Destination
	Repeat       Repeatability
	Timeout      time.Duration
	Objective    time.Duration
	MaxAttempts  int
	// Priority is 0 for the most urgent requests.
	Priority int
}

// Service is a set of interchangeable backend servers, or of servers that
// divide the keys between them.
type Service struct {
	Name ServiceName
	// MaxConnections is what each server accepts from all callers together.
	MaxConnections int
	// Divided services have exactly one owner for each key.
	Divided bool
	// Warmup is how long keys are slow at a server that took them without a
	// handover.
	Warmup time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is not changed after
// [NewConfig] returned it.
type Config struct {
	Version  Version
	Limits   Limits
	Routes   []*Route
	Services map[ServiceName]*Service

	// byHost has the routes of a host, longest prefix first.
	byHost map[string][]*Route
}

// NewConfig indexes a configuration and checks that its parts fit together.
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
		for _, part := range r.Destinations {
			if c.Services[part.Service] == nil {
				return nil, &Error{
					Op: "check configuration", Kind: KindInvalid,
					Err: fmt.Errorf("version %d: route %s: service %s is not defined", version, r.Name, part.Service),
				}
			}
		}
		if len(r.Destinations) == 0 {
			return nil, &Error{
				Op: "check configuration", Kind: KindInvalid,
				Err: fmt.Errorf("version %d: route %s: no service", version, r.Name),
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

// Match returns the route of the longest prefix that begins path, among the
// routes of host, or an error of [KindNoRoute].
func (c *Config) Match(host, path string) (*Route, error) {
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, errNoRoute
}

// canonicalHost returns the lower-case host name without a port.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// DividedServices returns the services that divide keys between their servers, by
// name.
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

// Pick returns the part of the route for a random number in [0, 1).
func (r *Route) Pick(random float64) ServiceName {
	total := 0.0
	for _, part := range r.Destinations {
		total += part.Weight
	}
	at := random * total
	for _, part := range r.Destinations {
		at -= part.Weight
		if at < 0 {
			return part.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
