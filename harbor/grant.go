package harbor

import "hornbeamwinch.example/berth"

// GrantRequest contains the complete set of shards that a backend server owns.
// Earlier grants for shards that are not in the set are revoked.
type GrantRequest struct {
	// Instance identifies the server instance for which the grants are.
	Instance string        `json:"instance"`
	Epoch    berth.Epoch   `json:"epoch"`
	Version  berth.Version `json:"version"`
	// ValidUntilMS is the time on the server's own clock at which the grants
	// expire. It is computed from the clock value in an earlier response, so
	// that a delayed request cannot extend a grant.
	ValidUntilMS int64        `json:"valid_until_ms"`
	Shards       []GrantShard `json:"shards"`
}

// GrantShard is one granted shard.
type GrantShard struct {
	Service berth.ServiceID `json:"service"`
	Shard   berth.ShardID   `json:"shard"`
	Token   string          `json:"token"`
}

// ServerStatus is a backend server's response to a grant or health request.
type ServerStatus struct {
	Instance string `json:"instance"`
	// ClockMS is the time on the server's monotonic clock.
	ClockMS int64 `json:"clock_ms"`
	// State is one of the ServerState constants.
	State string `json:"state"`
}

// States in which a backend server reports itself.
const (
	ServerStateStarting = "starting"
	ServerStateReady    = "ready"
	ServerStateDraining = "draining"
)
