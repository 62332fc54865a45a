package berth

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HostState is the state of an entry host in a table. It determines what the
// host may do.
type HostState uint8

const (
	// HostJoining may forward requests but not dispatch them.
	HostJoining HostState = iota + 1
	// HostActive may dispatch requests to backend servers.
	HostActive
	// HostLeaving may no longer dispatch and is about to be removed.
	HostLeaving
)

// String returns the name used in logs and reports.
func (s HostState) String() string {
	switch s {
	case HostJoining:
		return "joining"
	case HostActive:
		return "active"
	case HostLeaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Host is one entry host of a failure domain.
type Host struct {
	ID          HostID
	Address     string
	Incarnation Incarnation
	State       HostState
}

// ServerState is the state of a backend server in a table, as decided by the
// placer.
type ServerState uint8

const (
	// ServerLive may receive requests and be given shards.
	ServerLive ServerState = iota + 1
	// ServerDraining receives no new requests and finishes the running ones.
	ServerDraining
	// ServerUnresponsive does not answer; its process may still be running.
	ServerUnresponsive
	// ServerStopped has no running process: its machine refused a connection.
	// New servers are in this state until they are observed to answer.
	ServerStopped
)

// String returns the name used in logs and reports.
func (s ServerState) String() string {
	switch s {
	case ServerLive:
		return "live"
	case ServerDraining:
		return "draining"
	case ServerUnresponsive:
		return "silent"
	case ServerStopped:
		return "gone"
	default:
		return "unknown"
	}
}

// Server is one backend server of a failure domain.
type Server struct {
	ID      ServerID
	Address string
	Service ServiceID
	State   ServerState
	// ChecksGrants is set if the server rejects requests without a valid grant
	// for their shard.
	ChecksGrants bool
	// Slots is the number of requests that the server runs concurrently.
	Slots uint32
	// Connections is the number of connections that the server accepts.
	Connections uint32
}

// Shard is the assignment of one shard.
//
// A shard with a NextOwner is moving: Token belongs to the next owner, Owner
// is the former owner, and no host may dispatch requests to the shard. A shard
// with only an Owner is placed: it is owned by Owner under Token. A shard with
// neither is waiting for its first owner.
type Shard struct {
	Owner     ServerID
	NextOwner ServerID
	Token     Token
}

// Placed reports whether requests for the shard may be dispatched.
func (s Shard) Placed() bool {
	return s.Owner != "" && s.NextOwner == ""
}

// HotKey is a key with a shard of its own.
type HotKey struct {
	Key   string
	Shard ShardID
}

// ServiceShards holds the shards of one service that is divided by key. The
// first HashShards of Shards are selected by the hash of the key, and the rest
// belong to HotKeys.
type ServiceShards struct {
	Service    ServiceID
	HashShards uint32
	Shards     []Shard
	HotKeys    []HotKey
}

// ShardOf returns the shard of key.
func (s *ServiceShards) ShardOf(key string) ShardID {
	for _, hot := range s.HotKeys {
		if hot.Key == key {
			return hot.Shard
		}
	}
	return HashShard(key, s.HashShards)
}

// Unused reports whether shard is reserved for hot keys and no hot key uses it.
func (s *ServiceShards) Unused(shard ShardID) bool {
	if uint32(shard) < s.HashShards {
		return false
	}
	for _, hot := range s.HotKeys {
		if hot.Shard == shard {
			return false
		}
	}
	return true
}

// HashShard returns the shard that the hash of key selects among n shards.
func HashShard(key string, n uint32) ShardID {
	return ShardID(xxhash.Sum64String(key) % uint64(n))
}

// RulesState is the progress of a failure domain in adopting the rules. The
// revisions never decrease, and Opened <= Closed <= Closing.
type RulesState struct {
	// Closing is the revision that every entry host must have loaded before it
	// may follow the table. A host dispatches a key only if its own newest
	// rules assign the key to its failure domain.
	Closing RulesRevision
	// Closed is the revision up to which no entry host of the domain dispatches
	// keys that the rules have assigned to another domain.
	Closed RulesRevision
	// Opened is the revision up to which keys that the rules have assigned to
	// this domain may be dispatched, because their former domains have closed
	// it.
	Opened RulesRevision
}

// Table is the assignment table of one failure domain. It is immutable once it
// is shared; the placer modifies copies.
type Table struct {
	Domain  DomainID
	Epoch   Epoch
	Version Version
	// PlacerHost is the entry host whose placer claimed Epoch.
	PlacerHost HostID
	// PlacerAddress is the address of PlacerHost. See [Table.PlacerAt].
	PlacerAddress string
	// Nonce identifies the write that recorded the table.
	Nonce uint64
	// Sequence is the sequence number of the last token issued under Epoch.
	Sequence Sequence
	Rules    RulesState
	Hosts    []Host
	Servers  []Server
	Services []ServiceShards
}

// Clone returns a deep copy of t.
func (t *Table) Clone() *Table {
	c := t.cloneSharingServices()
	c.cloneServices()
	return c
}

// cloneSharingServices returns a copy of t that shares the services of t.
func (t *Table) cloneSharingServices() *Table {
	c := *t
	c.Hosts = slices.Clone(t.Hosts)
	c.Servers = slices.Clone(t.Servers)
	return &c
}

// cloneServices replaces the services of t by a deep copy.
func (t *Table) cloneServices() {
	t.Services = slices.Clone(t.Services)
	for i := range t.Services {
		t.Services[i].Shards = slices.Clone(t.Services[i].Shards)
		t.Services[i].HotKeys = slices.Clone(t.Services[i].HotKeys)
	}
}

// Host returns the entry host with the given id, or nil.
func (t *Table) Host(id HostID) *Host {
	for i := range t.Hosts {
		if t.Hosts[i].ID == id {
			return &t.Hosts[i]
		}
	}
	return nil
}

// PlacerAt returns the address at which the placer takes reports, or an empty
// string if the table does not tell. The placer's host need not be among Hosts: it
// joins only after a majority of them has reported that it follows the table.
func (t *Table) PlacerAt() string {
	if t.PlacerAddress != "" {
		return t.PlacerAddress
	}
	if host := t.Host(t.PlacerHost); host != nil {
		return host.Address
	}
	return ""
}

// Server returns the backend server with the given id, or nil.
func (t *Table) Server(id ServerID) *Server {
	for i := range t.Servers {
		if t.Servers[i].ID == id {
			return &t.Servers[i]
		}
	}
	return nil
}

// Shards returns the shards of a service, or nil.
func (t *Table) Shards(service ServiceID) *ServiceShards {
	for i := range t.Services {
		if t.Services[i].Service == service {
			return &t.Services[i]
		}
	}
	return nil
}

// nextToken issues the next token of the table's epoch.
func (t *Table) nextToken() Token {
	t.Sequence++
	return Token{Epoch: t.Epoch, Sequence: t.Sequence}
}

// activeHosts returns the ids of the hosts that may dispatch, in table order.
func (t *Table) activeHosts() []HostID {
	var ids []HostID
	for _, h := range t.Hosts {
		if h.State == HostActive {
			ids = append(ids, h.ID)
		}
	}
	return ids
}
