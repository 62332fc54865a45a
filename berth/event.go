package berth

import (
	"cmp"
	"time"
)

// Event is an input of [Placer.Step]. The set of events is closed.
type Event interface {
	event()
}

// Tick lets the placer act on the time that has passed.
type Tick struct{}

// Elected reports that this host has acquired the placer's lease in the store.
type Elected struct{}

// LeadershipLost reports that the placer's lease is held by another host or has
// expired.
type LeadershipLost struct{}

// TableRead carries the recorded table. Table is nil if none was ever recorded.
type TableRead struct {
	Table    *Table
	Revision StoreRevision
}

// TableWritten reports that the store accepted the table with the given nonce.
type TableWritten struct {
	Nonce    uint64
	Revision StoreRevision
}

// WriteConflicted reports that the store rejected a table because the record
// had changed.
type WriteConflicted struct {
	Nonce uint64
}

// WriteUnknown reports that the outcome of a write is unknown: the table may or
// may not have been recorded.
type WriteUnknown struct {
	Nonce uint64
}

// VersionObserved reports that a table of the given version is recorded. If the
// version is higher than that of the placer's own table, another placer has
// written the table in the meantime: one that was paused after it had acquired
// the lease and resumed after the lease had expired.
type VersionObserved struct {
	Version Version
}

// HostReported is the periodic report of an entry host.
type HostReported struct {
	Host        HostID
	Address     string
	Incarnation Incarnation
	// Epoch is the epoch to which the following versions belong.
	Epoch Epoch
	// Followed is the version that the host follows.
	Followed Version
	// Drained is the highest version such that the host has no running request
	// that the version forbids.
	Drained Version
	// WithinShares is the highest version such that the host does not exceed
	// its shares of the servers' slots under the version.
	WithinShares Version
	// Leaving is set if the host is shutting down.
	Leaving bool
}

// HostConnectionRefused reports that the machine of an entry host refused a
// connection to the address of the given incarnation, which proves that its
// process has ended.
type HostConnectionRefused struct {
	Host        HostID
	Incarnation Incarnation
}

// Condition is the state of a backend server as observed by an entry host.
type Condition uint8

const (
	// ConditionAlive means that the server answered.
	ConditionAlive Condition = iota + 1
	// ConditionUnresponsive means that the server did not answer within the
	// time limit.
	ConditionUnresponsive
	// ConditionConnectionRefused means that the server's machine refused a
	// connection.
	ConditionConnectionRefused
	// ConditionDraining means that the server reported that it is draining.
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

// ServerObserved reports the condition of a backend server as observed by an
// entry host.
type ServerObserved struct {
	Server    ServerID
	Host      HostID
	Condition Condition
}

// ServerReleased reports that a backend server has confirmed that it holds no
// grants other than those that the table of the given version assigns to it.
type ServerReleased struct {
	Server  ServerID
	Version Version
}

// ListedServer is one entry of the platform's list of backend servers, which
// may be out of date.
type ListedServer struct {
	ID           ServerID
	Address      string
	Service      ServiceID
	Leaving      bool
	ChecksGrants bool
	Slots        uint32
	Connections  uint32
}

// ServersListed carries the platform's list of the backend servers of this
// failure domain.
type ServersListed struct {
	Servers []ListedServer
}

// RulesRecorded reports the revision of the newest accepted rules.
type RulesRecorded struct {
	Revision RulesRevision
	// Sources are the failure domains that lose keys between the revision
	// opened in this failure domain and Revision.
	Sources []DomainID
}

// RulesClosed reports the rules revision that another failure domain has
// closed.
type RulesClosed struct {
	Domain DomainID
	Closed RulesRevision
}

// LoadsObserved replaces the measured loads of the shards of a service, in
// requests per second. The load of shards that are not in Loads is unknown.
type LoadsObserved struct {
	Service ServiceID
	Loads   map[ShardID]float64
}

// HotKeysObserved replaces the measured loads of the hottest keys of a service.
// Keys is in descending order of load.
type HotKeysObserved struct {
	Service ServiceID
	Keys    []HotKeyLoad
}

// HotKeyLoad is the load of one key. Rate is in requests per second.
type HotKeyLoad struct {
	Key  string
	Rate float64
}

// CompareHotKeys orders loads in descending order of rate, and keys of equal
// rate in ascending order of key.
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

// PublishTable asks for a recorded table to be distributed to the entry hosts.
type PublishTable struct {
	Table    *Table
	Revision StoreRevision
}

// Decision is a placement decision to be logged.
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

// Reason is the reason for a placement decision, as used in logs.
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
