package harbor

import "hornbeamwinch.example/berth"

// GrantRequest gives a backend server the whole set of shards that it owns.
// Shards that the set lacks are revoked.
type GrantRequest struct {
	// Instance is the run of the server that the grant is meant for.
	Instance string        `json:"instance"`
	Epoch    berth.Epoch   `json:"epoch"`
	Version  berth.Version `json:"version"`
	// ValidUntilMS is the end of the grants on the server's own clock. It is
	// computed from the clock value in an earlier answer, so a request that
	// is delayed on its way cannot extend a grant.
	ValidUntilMS int64        `json:"valid_until_ms"`
	Shards       []GrantShard `json:"shards"`
}

// GrantShard is one granted shard.
type GrantShard struct {
	Service berth.ServiceID `json:"service"`
	Shard   berth.ShardID   `json:"shard"`
	Token   string          `json:"token"`
}

// ServerStatus is a backend server's answer to a grant or a health request.
type ServerStatus struct {
	Instance string `json:"instance"`
	// ClockMS is the server's monotonic clock.
	ClockMS int64 `json:"clock_ms"`
	// State is one of the ServerState constants.
	State string `json:"state"`
}

// States that a backend server reports of itself.
const (
	ServerStateStarting = "starting"
	ServerStateReady    = "ready"
	ServerStateDraining = "draining"
)
