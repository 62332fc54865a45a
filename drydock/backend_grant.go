package drydock

import (
	"encoding/json"
	"net/http"
	"strconv"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/quay"
)

// grantSet holds the shards that the server may serve, from the latest grant.
type grantSet struct {
	epoch   berth.Epoch
	version berth.Version
	// validUntil is when the grant expires, in milliseconds of the server's
	// clock.
	validUntil int64
	tokens     map[berth.ShardID]berth.Token
	// highest holds the highest token accepted so far for each shard.
	highest map[berth.ShardID]berth.Token
}

// handleGrant replaces the granted shards, unless the request is older than an
// accepted one or addressed to an earlier instance of the server.
func (b *Backend) handleGrant(w http.ResponseWriter, r *http.Request) {
	var g harbor.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.applyGrant(g) {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, b.status())
}

func (b *Backend) applyGrant(g harbor.GrantRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.Instance != b.instance || g.Version < b.grants.version {
		return false
	}
	tokens := make(map[berth.ShardID]berth.Token, len(g.Shards))
	for _, shard := range g.Shards {
		token, err := berth.ParseToken(shard.Token)
		if err != nil || token.Less(b.grants.highest[shard.Shard]) {
			return false
		}
		tokens[shard.Shard] = token
	}
	for shard, token := range tokens {
		b.grants.highest[shard] = token
	}
	b.grants.epoch = g.Epoch
	b.grants.version = g.Version
	b.grants.validUntil = g.ValidUntilMS
	b.grants.tokens = tokens
	return true
}

// checkGrant verifies that the token of the request is granted now. It returns
// the reason for a rejection, or an empty string.
func (b *Backend) checkGrant(r *http.Request) string {
	if !b.cfg.ChecksGrants {
		return ""
	}
	shard, err := strconv.ParseUint(r.Header.Get(quay.HeaderShard), 10, 32)
	if err != nil {
		return rejectionNoGrant
	}
	token, err := berth.ParseToken(r.Header.Get(quay.HeaderToken))
	if err != nil {
		return rejectionNoGrant
	}
	granted, ok := b.grants.tokens[berth.ShardID(shard)]
	switch {
	case !ok || b.clockMillis() >= b.grants.validUntil:
		return rejectionNoGrant
	case granted != token:
		return rejectionStaleToken
	default:
		return ""
	}
}
