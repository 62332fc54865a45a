package jetty

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// noCoordinators is the version that a host states that knows no coordinators. Hosts of
// earlier builds state 0.
const noCoordinators = 1

// coordinatorTable is which hosts coordinate, as the placer has told. Tables do not change.
type coordinatorTable struct {
	// version is noCoordinators if there are none.
	version      uint64
	coordinators []sluice.Carrier
	// addresses has those of the coordinators by their hosts.
	addresses map[string]peerAddress
}

func newCoordinatorTable(told []*signal.Carrier, version uint64) *coordinatorTable {
	t := &coordinatorTable{version: max(version, noCoordinators), addresses: make(map[string]peerAddress)}
	for _, c := range told {
		t.coordinators = append(t.coordinators, sluice.Carrier{Host: c.GetHost(), Capacity: c.GetCapacity()})
		t.addresses[c.GetHost()] = peerAddress(c.GetAddress())
	}
	return t
}

// coordinatorsVersionOf returns a version that is the same for the same coordinators, also
// from another placer.
func coordinatorsVersionOf(coordinators []*signal.Carrier) uint64 {
	if len(coordinators) == 0 {
		return 0
	}
	return max(versionOf(&signal.Carriers{Carriers: coordinators}), noCoordinators+1)
}

// names returns the hosts that coordinate, in order.
func (t *coordinatorTable) names() []string {
	var names []string
	for _, c := range t.coordinators {
		names = append(names, c.Host)
	}
	slices.Sort(names)
	return names
}

// coordinators keeps the newest table of coordinators, and which of them each server has.
type coordinators struct {
	host HostID
	logs *logs

	mu    sync.Mutex
	table *coordinatorTable
	// ofServers has the results for the table, which do not change.
	ofServers map[coordinatedServer]string
	// groups has the number of groups of a service in a catalog.
	groups  map[fairway.ServiceName]int
	catalog *fairway.Catalog
}

// coordinatedServer is a server of a service with a number of groups; see
// [sluice.CoordinatorOf].
type coordinatedServer struct {
	service fairway.ServiceName
	server  fairway.ServerID
	groups  int
}

func newCoordinators(host HostID, logs *logs) *coordinators {
	return &coordinators{
		host: host, logs: logs, table: newCoordinatorTable(nil, 0),
		ofServers: make(map[coordinatedServer]string), groups: make(map[fairway.ServiceName]int),
	}
}

func (c *coordinators) current() *coordinatorTable {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// set replaces the table.
func (c *coordinators) set(t *coordinatorTable) {
	c.mu.Lock()
	former := c.table
	c.table = t
	clear(c.ofServers)
	c.mu.Unlock()
	if former.version != t.version {
		c.logs.coordinatorsChanged(t)
	}
	if _, before := former.addresses[string(c.host)]; before != c.isNamed() {
		c.logs.coordinating(!before)
	}
}

// isNamed reports whether this host is a coordinator.
func (c *coordinators) isNamed() bool {
	_, named := c.current().addresses[string(c.host)]
	return named
}

// groupsOf returns the number of groups of a service, or 0 if it is divided by key.
func (c *coordinators) groupsOf(service *fairway.Service, catalog *fairway.Catalog) int {
	if service.Divided {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog != catalog {
		c.catalog = catalog
		clear(c.groups)
	}
	groups, known := c.groups[service.Name]
	if !known {
		slots := 0
		for _, e := range catalog.ByService(service.Name) {
			slots += e.Slots
		}
		groups = sluice.ServerGroups(slots)
		c.groups[service.Name] = groups
	}
	return groups
}

// of returns the coordinator of a server, or nothing if there is none.
func (c *coordinators) of(service *fairway.Service, server fairway.ServerID, catalog *fairway.Catalog) string {
	key := coordinatedServer{service: service.Name, server: server, groups: c.groupsOf(service, catalog)}
	c.mu.Lock()
	defer c.mu.Unlock()
	host, known := c.ofServers[key]
	if !known {
		best, _ := sluice.CoordinatorOf(key.service, key.server, key.groups, c.table.coordinators)
		host = best.Host
		c.ofServers[key] = host
	}
	return host
}

// address returns the address of a coordinator.
func (c *coordinators) address(host string) (peerAddress, bool) {
	address, ok := c.current().addresses[host]
	return address, ok
}

// serversOf returns the servers of a service that this host coordinates. With keys, these are
// all, since other hosts may know other coordinators for a moment.
func (c *coordinators) serversOf(service *fairway.Service, catalog *fairway.Catalog) []fairway.Endpoint {
	all := catalog.ByService(service.Name)
	if service.Divided {
		return all
	}
	var own []fairway.Endpoint
	for _, e := range all {
		if c.of(service, e.ID, catalog) == string(c.host) {
			own = append(own, e)
		}
	}
	return own
}

// encodeCoordinators returns coordinators as the placer tells them.
func encodeCoordinators(chosen []sluice.Carrier, addressOf func(host string) string) []*signal.Carrier {
	var encoded []*signal.Carrier
	for _, c := range chosen {
		encoded = append(encoded, &signal.Carrier{Host: c.Host, Address: addressOf(c.Host), Capacity: c.Capacity})
	}
	sortCarriers(encoded)
	return encoded
}

// sameCoordinators reports whether two lists are equal.
func sameCoordinators(a, b []*signal.Carrier) bool {
	return slices.EqualFunc(a, b, func(a, b *signal.Carrier) bool { return proto.Equal(a, b) })
}
