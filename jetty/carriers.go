package jetty

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// carriersPerServer is the number of carriers of a server in a failure domain to which a
// request is offered before it is sent directly.
const carriersPerServer = 2

// carryingCapacity returns what a host with a share of processor time states that it can
// send for others.
func carryingCapacity(cores float64) uint32 {
	const perCore = 100
	if cores <= 0 {
		return perCore
	}
	return uint32(max(perCore*cores, 1))
}

// carrierTable is which hosts of the own failure domain send requests with keys to the
// servers, as the placer has told. Tables do not change.
type carrierTable struct {
	// version is 0 if there are no carriers.
	version  uint64
	services map[fairway.ServiceName]bool
	carriers []sluice.Carrier
	// addresses has those of the carriers by their hosts.
	addresses map[string]peerAddress
	// senders is the number of hosts of all failure domains that send to one server.
	senders int
}

// newCarrierTable returns the table in a message of the placer.
func newCarrierTable(m *signal.Carriers, version uint64) *carrierTable {
	t := &carrierTable{version: version, services: make(map[fairway.ServiceName]bool), addresses: make(map[string]peerAddress), senders: int(m.GetSenders())}
	for _, name := range m.GetServices() {
		t.services[fairway.ServiceName(name)] = true
	}
	for _, c := range m.GetCarriers() {
		t.carriers = append(t.carriers, sluice.Carrier{Host: c.GetHost(), Capacity: c.GetCapacity()})
		t.addresses[c.GetHost()] = peerAddress(c.GetAddress())
	}
	return t
}

// versionOf returns a version that is the same for the same carriers, also from another
// placer, and is not 0.
func versionOf(m *signal.Carriers) uint64 {
	// Marshaling fails only for texts that are not UTF-8, which no message contains.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	h := fnv.New64a()
	_, _ = h.Write(data)
	return max(h.Sum64(), 1)
}

// carriers keeps the newest carrier table.
type carriers struct {
	host HostID

	mu    sync.Mutex
	table *carrierTable
}

func newCarriers(host HostID) *carriers {
	return &carriers{host: host, table: newCarrierTable(nil, 0)}
}

func (c *carriers) current() *carrierTable {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// set replaces the table, and reports whether the number of hosts that send to a server, or
// the services, may have changed.
func (c *carriers) set(t *carrierTable) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.table.version != t.version
	c.table = t
	return changed
}

// peersFor returns the carriers of a server to which this host offers requests, the
// preferred one first: none if the service has none, or if this host is the preferred one.
// A host that is the second one sends the requests itself if the first one fails.
func (c *carriers) peersFor(service fairway.ServiceName, server fairway.ServerID) []peerAddress {
	t := c.current()
	if !t.services[service] {
		return nil
	}
	var peers []peerAddress
	for _, carrier := range sluice.RankCarriers(server, t.carriers, carriersPerServer) {
		if carrier.Host == string(c.host) {
			return peers
		}
		peers = append(peers, t.addresses[carrier.Host])
	}
	return peers
}

// sharing returns how many hosts share the servers of a service, of the number that reach
// them.
func (t *carrierTable) sharing(service fairway.ServiceName, reaching int) int {
	if t.services[service] && t.senders > 0 {
		return min(reaching, t.senders)
	}
	return reaching
}

// sortCarriers brings carriers into an order that does not depend on when they reported.
func sortCarriers(all []*signal.Carrier) {
	slices.SortFunc(all, func(a, b *signal.Carrier) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
}
