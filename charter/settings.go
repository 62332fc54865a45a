package charter

import (
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
)

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Settings holds the settings of one entry host.
type Settings struct {
	Host     HostSettings      `json:"host"`
	Platform PlatformSettings  `json:"platform"`
	Domains  []DomainSettings  `json:"domains" validate:"required,min=1,dive"`
	Services []ServiceSettings `json:"services" validate:"required,min=1,dive"`
	Timing   TimingSettings    `json:"timing"`
	Limits   LimitSettings     `json:"limits"`
	Log      LogSettings       `json:"log"`
}

// HostSettings holds the identity and the addresses of the entry host.
type HostSettings struct {
	ID     berth.HostID   `json:"id" validate:"required"`
	Domain berth.DomainID `json:"domain" validate:"required"`
	// CallerAddress is the listen address for callers, PeerAddress the one for
	// other entry hosts, and AdminAddress the one for operators and for the
	// health checks of the load balancer.
	CallerAddress string `json:"caller_address" validate:"required,hostname_port"`
	PeerAddress   string `json:"peer_address" validate:"required,hostname_port"`
	AdminAddress  string `json:"admin_address" validate:"required,hostname_port"`
}

// PlatformSettings holds the address and the timeout of the platform's key-value
// service.
type PlatformSettings struct {
	Address   string `json:"address" validate:"required,hostname_port"`
	TimeoutMS Millis `json:"timeout_ms" validate:"min=50,max=10000"`
}

// DomainSettings holds the name of a failure domain and the addresses of some of
// its entry hosts, from which a new host discovers the others.
type DomainSettings struct {
	ID    berth.DomainID `json:"id" validate:"required"`
	Peers []string       `json:"peers" validate:"dive,hostname_port"`
}

// ServiceSettings holds the settings of a service.
type ServiceSettings struct {
	ID berth.ServiceID `json:"id" validate:"required"`
	// DividedByKey is set if the service is divided by key: each key is owned by
	// exactly one backend server.
	DividedByKey bool `json:"divided_by_key"`
	// Shards is the number of shards to which the keys are hashed; zero if the
	// service is not divided by key.
	Shards uint32 `json:"shards" validate:"max=65536"`
	// Repeat is "safe" if requests may be executed more than once, and "never"
	// otherwise.
	Repeat string `json:"repeat" validate:"oneof=safe never"`
	// TimeoutMS bounds a request whose caller sets no shorter timeout.
	TimeoutMS Millis `json:"timeout_ms" validate:"min=10,max=3600000"`
	// SilentAfterMS is how long a repeatable request waits for the response header
	// on a reused connection before it is also sent on a new one.
	SilentAfterMS Millis `json:"silent_after_ms" validate:"min=10,max=60000"`
	// ProgressTimeoutMS bounds each read of a response body.
	ProgressTimeoutMS Millis `json:"progress_timeout_ms" validate:"min=10,max=60000"`
	// Resumable allows a truncated response to a GET to be resumed on another
	// server by a byte range request.
	Resumable bool `json:"resumable"`
	// QueueLimit is the maximum number of requests that may wait for a slot of
	// one server.
	QueueLimit int               `json:"queue_limit" validate:"min=1,max=10000"`
	Placement  PlacementSettings `json:"placement"`
}

// PlacementSettings holds the placement policy of a service, which trades
// availability and balance against churn.
type PlacementSettings struct {
	// ReturnGraceMS is how long the shards of a stopped or unresponsive server
	// wait for its return before they are moved.
	ReturnGraceMS Millis `json:"return_grace_ms" validate:"min=0,max=600000"`
	// ImbalanceTolerance is the fraction by which the load of the busiest server
	// may exceed the mean; zero disables balancing.
	ImbalanceTolerance float64 `json:"imbalance_tolerance" validate:"min=0,max=100"`
	// MovesPerRound is the maximum number of shards moved in one round of
	// balancing, and RoundIntervalMS the minimum time between two rounds.
	MovesPerRound   int    `json:"moves_per_round" validate:"min=0,max=1000"`
	RoundIntervalMS Millis `json:"round_interval_ms" validate:"min=0,max=86400000"`
	// MaxHotKeys is the maximum number of keys with a shard of their own, and
	// HotShare the fraction of the mean load of a server from which a key is hot.
	MaxHotKeys int     `json:"max_hot_keys" validate:"min=0,max=400"`
	HotShare   float64 `json:"hot_share" validate:"min=0,max=10"`
}

// Policy converts s to a placement policy.
func (s PlacementSettings) Policy() berth.Policy {
	return berth.Policy{
		ReturnGrace:        s.ReturnGraceMS.Duration(),
		ImbalanceTolerance: s.ImbalanceTolerance,
		MovesPerRound:      s.MovesPerRound,
		RoundInterval:      s.RoundIntervalMS.Duration(),
		MaxHotKeys:         s.MaxHotKeys,
		HotShare:           s.HotShare,
	}
}

// TimingSettings holds the durations of leases and intervals. They must be the same
// on all entry hosts of a deployment.
type TimingSettings struct {
	// RouteLeaseMS is how long an entry host may dispatch requests after its
	// assignment table was confirmed as current.
	RouteLeaseMS Millis `json:"route_lease_ms" validate:"min=200,max=60000"`
	// GrantTTLMS is how long a grant of shards to a backend server is valid.
	GrantTTLMS Millis `json:"grant_ttl_ms" validate:"min=200,max=60000"`
	// DriftMarginMS is added to RouteLeaseMS and GrantTTLMS to allow for clocks
	// that run at different rates.
	DriftMarginMS Millis `json:"drift_margin_ms" validate:"min=10,max=10000"`
	// ConfirmIntervalMS is the time between two confirmations of the table.
	ConfirmIntervalMS Millis `json:"confirm_interval_ms" validate:"min=20,max=10000"`
	// ProbeIntervalMS is the time between two probes of a backend server.
	ProbeIntervalMS Millis `json:"probe_interval_ms" validate:"min=20,max=10000"`
	// SuspectAfterMS is how long a backend server may go without a successful
	// probe before it is reported as unresponsive.
	SuspectAfterMS Millis `json:"suspect_after_ms" validate:"min=50,max=60000"`
	// PlacerLeaseMS is the time to live of the placer's lease in the store.
	PlacerLeaseMS Millis `json:"placer_lease_ms" validate:"min=200,max=60000"`
	// HostTimeoutMS is how long an entry host may go without a report to the
	// placer before it is removed from the table.
	HostTimeoutMS Millis `json:"host_timeout_ms" validate:"min=500,max=600000"`
	// ListIntervalMS is the time between two reads of the list of backend
	// servers and of the placer's other inputs from the store.
	ListIntervalMS Millis `json:"list_interval_ms" validate:"min=100,max=60000"`
	// BalancerWaitMS is how long a stopping host reports itself as not ready
	// before it stops admitting requests, so that the load balancer can detect
	// this.
	BalancerWaitMS Millis `json:"balancer_wait_ms" validate:"min=0,max=60000"`
	// DrainLimitMS bounds the time in which a stopping host then completes its
	// requests in flight and releases its leases.
	DrainLimitMS Millis `json:"drain_limit_ms" validate:"min=0,max=3600000"`
	// ClaimRetentionMS is how long a claim in the store prevents further requests
	// with the same idempotency key from being sent to a backend server.
	ClaimRetentionMS Millis `json:"claim_retention_ms" validate:"min=60000"`
}

// LimitSettings holds limits on requests and connections.
type LimitSettings struct {
	MaxRequestBodyBytes int64 `json:"max_request_body_bytes" validate:"min=1024,max=67108864"`
	// FrontSetSize is the number of entry hosts that connect to one backend
	// server; zero means all hosts of the failure domain.
	FrontSetSize int `json:"front_set_size" validate:"min=0,max=64"`
}

// LogSettings holds the settings of the log.
type LogSettings struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
	// Routing enables a log line for each routing decision and for the outcome
	// of each request.
	Routing bool `json:"routing"`
}

// Catalogue returns the names of the services and failure domains that a rules
// file may use.
func (s *Settings) Catalogue() manifest.Catalogue {
	c := manifest.Catalogue{
		Divided: make(map[manifest.ServiceID]bool, len(s.Services)),
		Domains: make(map[manifest.DomainID]bool, len(s.Domains)),
	}
	for _, service := range s.Services {
		c.Divided[service.ID] = service.DividedByKey
	}
	for _, domain := range s.Domains {
		c.Domains[domain.ID] = true
	}
	return c
}
