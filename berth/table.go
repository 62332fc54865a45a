package berth

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HostState says what an entry host may do under a table.
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

// ServerState is what the placer has decided about a backend server.
type ServerState uint8

const (
	// ServerLive may be given work.
	ServerLive ServerState = iota + 1
	// ServerDraining gets no new work and finishes what it has.
	ServerDraining
	// ServerUnresponsive stopped answering; its process may still run.
	ServerUnresponsive
	// ServerStopped has no process: its host refused a connection.
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
	// ChecksGrants says that the server refuses requests without a valid
	// grant for their shard.
	ChecksGrants bool
	// Slots is the number of requests the server runs at the same time.
	Slots uint32
	// Connections is the number of connections the server accepts.
	Connections uint32
}

// Shard is the ownership of one shard.
//
// A shard with a Next owner is moving: Token belongs to the next owner, Owner
// is the former one, and nobody may dispatch. A shard without a Next owner is
// placed with Owner under Token. A shard with neither waits for a server.
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

// Unused reports whether shard is kept for hot keys and no key uses it now.
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

// RulesState says how far a failure domain has gone in adopting the rules.
// The revisions only go up, and Opened <= Closed <= Closing.
type RulesState struct {
	// Closing is the revision that every entry host must know before it may
	// follow the table. A host dispatches a key only if its own newest rules
	// give the key to its failure domain.
	Closing RulesRevision
	// Closed is the revision up to which no entry host of the domain
	// dispatches keys that the rules gave away.
	Closed RulesRevision
	// Opened is the revision up to which keys that the rules gave to this
	// domain may be dispatched, because the former domain has closed it.
	Opened RulesRevision
}

// Table is the assignment table of one failure domain. It is immutable once
// shared; the placer changes copies.
type Table struct {
	Domain     DomainID
	Epoch      Epoch
	Version    Version
	PlacerHost HostID
	Nonce      uint64
	Sequence   Sequence
	Rules      RulesState
	Hosts      []Host
	Servers    []Server
	Services   []ServiceShards
}

// Clone returns a deep copy of t.
func (t *Table) Clone() *Table {
	c := t.cloneRoster()
	c.cloneServices()
	return c
}

// cloneRoster returns a copy of t that shares its services with t.
func (t *Table) cloneRoster() *Table {
	c := *t
	c.Hosts = slices.Clone(t.Hosts)
	c.Servers = slices.Clone(t.Servers)
	return &c
}

// cloneServices gives t services of its own.
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
