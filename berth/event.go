package berth

import (
	"cmp"
	"time"
)

// Event is an input of [Placer.Step]. The set of events is closed.
type Event interface {
	event()
}

// Tick lets the placer act on the passing of time.
type Tick struct{}

// Elected tells that this host holds the placer's lease in the store.
type Elected struct{}

// LeadershipLost tells that the lease is held by another host or has lapsed.
type LeadershipLost struct{}

// TableRead is the recorded table. Table is nil if none was ever recorded.
type TableRead struct {
	Table    *Table
	Revision StoreRevision
}

// TableWritten tells that the store accepted the table with the given nonce.
type TableWritten struct {
	Nonce    uint64
	Revision StoreRevision
}

// WriteConflicted tells that the store refused a table because the record had
// changed.
type WriteConflicted struct {
	Nonce uint64
}

// WriteUnknown tells that it is not known whether a table was recorded.
type WriteUnknown struct {
	Nonce uint64
}

// VersionObserved tells that a table of the given version is recorded. If it is
// newer than the placer's own, another placer has written in between: one that
// was paused after it won the lease and woke when the lease was already lost.
type VersionObserved struct {
	Version Version
}

// HostReported is the report of an entry host.
type HostReported struct {
	Host        HostID
	Address     string
	Incarnation Incarnation
	// Settled is the highest version of Epoch for which the host has no work
	// left that the version forbids.
	Epoch   Epoch
	Drained Version
	// WithinShares is the highest version of Epoch for which the host keeps
	// within its shares of the servers' slots.
	WithinShares Version
	Leaving      bool
}

// HostConnectionRefused tells that the machine of an entry host refused a connection to
// the given incarnation's address, so that its process is gone.
type HostConnectionRefused struct {
	Host        HostID
	Incarnation Incarnation
}

// Condition is what an entry host has observed of a backend server.
type Condition uint8

const (
	// ConditionAlive means that the server answered.
	ConditionAlive Condition = iota + 1
	// ConditionUnresponsive means that the server has not answered in time.
	ConditionUnresponsive
	// ConditionConnectionRefused means that the server's machine refused a connection.
	ConditionConnectionRefused
	// ConditionDraining means that the server said it is leaving.
	ConditionDraining
)

// String returns the name used in logs.
func (c Condition) String() string {
	switch c {
	case ConditionAlive:
		return "alive"
	case ConditionUnresponsive:
		return "silent"
	case ConditionConnectionRefused:
		return "refused"
	case ConditionDraining:
		return "draining"
	default:
		return "unknown"
	}
}

// ServerObserved is an observation of a backend server by an entry host.
type ServerObserved struct {
	Server    ServerID
	Host      HostID
	Condition Condition
}

// ServerReleased tells that a backend server has confirmed that it holds no
// grant that the table of the given version does not give it.
type ServerReleased struct {
	Server  ServerID
	Version Version
}

// ListedServer is one entry of the platform's lagging list.
type ListedServer struct {
	ID           ServerID
	Address      string
	Service      ServiceID
	Leaving      bool
	ChecksGrants bool
	Slots        uint32
	Connections  uint32
}

// ServersListed is the platform's list of backend servers of this domain.
type ServersListed struct {
	Servers []ListedServer
}

// RulesRecorded tells of the newest accepted rules.
type RulesRecorded struct {
	Revision RulesRevision
	// Sources are the failure domains that lose keys between the revision
	// opened here and this one.
	Sources []DomainID
}

// RulesClosed tells how far another failure domain has closed the rules.
type RulesClosed struct {
	Domain DomainID
	Closed RulesRevision
}

// LoadsObserved replaces the known load of the shards of a service, in
// requests per second. Shards that are not listed have no known load.
type LoadsObserved struct {
	Service ServiceID
	Loads   map[ShardID]float64
}

// HotKeysObserved replaces the known hot keys of a service, hottest first.
type HotKeysObserved struct {
	Service ServiceID
	Keys    []HotKeyLoad
}

// HotKeyLoad is the load of one key in requests per second.
type HotKeyLoad struct {
	Key  string
	Rate float64
}

// CompareHotKeys orders loads from the hottest key to the coldest, and keys of
// equal load by name.
func CompareHotKeys(a, b HotKeyLoad) int {
	return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
}

func (Tick) event()                  {}
func (Elected) event()               {}
func (LeadershipLost) event()        {}
func (TableRead) event()             {}
func (TableWritten) event()          {}
func (WriteConflicted) event()       {}
func (WriteUnknown) event()          {}
func (VersionObserved) event()       {}
func (HostReported) event()          {}
func (HostConnectionRefused) event() {}
func (ServerObserved) event()        {}
func (ServerReleased) event()        {}
func (ServersListed) event()         {}
func (RulesRecorded) event()         {}
func (RulesClosed) event()           {}
func (LoadsObserved) event()         {}
func (HotKeysObserved) event()       {}

// Action is an output of [Placer.Step]. The set of actions is closed.
type Action interface {
	action()
}

// ReadTable asks for the recorded table, answered by [TableRead].
type ReadTable struct{}

// WriteTable asks for a compare-and-swap of the table at Revision, answered by
// [TableWritten], [WriteConflicted] or [WriteUnknown].
type WriteTable struct {
	Table    *Table
	Revision StoreRevision
}

// PublishTable hands a recorded table to the entry hosts.
type PublishTable struct {
	Table    *Table
	Revision StoreRevision
}

// Decision is a placement decision, for the log.
type Decision struct {
	At      time.Time
	Service ServiceID
	Shard   ShardID
	From    ServerID
	To      ServerID
	Token   Token
	Version Version
	Reason  Reason
}

// Reason says why a decision was taken.
type Reason string

// Reasons of placement decisions.
const (
	ReasonFirstOwner        Reason = "first_owner"
	ReasonOwnerStopped      Reason = "owner_gone"
	ReasonOwnerUnresponsive Reason = "owner_silent"
	ReasonOwnerDraining     Reason = "owner_drains"
	ReasonImbalance         Reason = "imbalance"
	ReasonNextOwnerLost     Reason = "next_owner_lost"
	ReasonReleased          Reason = "former_owner_released"
	ReasonHotKeySplit       Reason = "hot_key_split"
	ReasonHotKeyCooled      Reason = "hot_key_cooled"
	ReasonEpochClaimed      Reason = "epoch_claimed"
	ReasonHostState         Reason = "host_state"
	ReasonServerState       Reason = "server_state"
	ReasonRulesState        Reason = "rules_state"
)

func (ReadTable) action()    {}
func (WriteTable) action()   {}
func (PublishTable) action() {}
func (Decision) action()     {}
