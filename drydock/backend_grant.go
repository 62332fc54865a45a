package drydock

import (
	"encoding/json"
	"net/http"
	"strconv"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/quay"
)

// grantSet is what the server has been granted.
type grantSet struct {
	epoch      berth.Epoch
	version    berth.Version
	validUntil int64
	tokens     map[berth.ShardID]berth.Token
	// highest holds the highest token ever accepted for each shard.
	highest map[berth.ShardID]berth.Token
}

// grant replaces the granted shards, unless the request is older than one
// already accepted or meant for an earlier run of the server.
func (b *Backend) grant(w http.ResponseWriter, r *http.Request) {
	var g harbor.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.accept(g) {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, b.status())
}

func (b *Backend) accept(g harbor.GrantRequest) bool {
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

// checkGrant verifies that the request's token is granted at this moment.
func (b *Backend) checkGrant(r *http.Request) string {
	if !b.cfg.ChecksGrants {
		return ""
	}
	shard, err := strconv.ParseUint(r.Header.Get(quay.HeaderShard), 10, 32)
	if err != nil {
		return refusedNoGrant
	}
	token, err := berth.ParseToken(r.Header.Get(quay.HeaderToken))
	if err != nil {
		return refusedNoGrant
	}
	granted, ok := b.grants.tokens[berth.ShardID(shard)]
	switch {
	case !ok || b.clock() >= b.grants.validUntil:
		return refusedNoGrant
	case granted != token:
		return refusedStale
	default:
		return ""
	}
}
