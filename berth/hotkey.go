package berth

import "slices"

// hotKeyMergeRatio is the fraction of the splitting threshold below which a
// hot key is merged back into its hash shard. The difference between the two
// thresholds keeps a key near one of them from being split and merged
// repeatedly.
const hotKeyMergeRatio = 0.25

// planHotKeys gives each key whose rate reaches the policy's share of a
// server's mean rate a shard of its own, and merges keys that have cooled down
// back into their hash shards.
func (s *servicePlan) planHotKeys() {
	observed := s.draft.placer.hotKeys[s.spec.ID]
	if s.spec.Policy.MaxHotKeys == 0 || s.moveInProgress() || len(s.live) == 0 || observed == nil {
		return
	}
	threshold := s.spec.Policy.HotShare * s.meanRate()
	if threshold <= 0 {
		return
	}
	rates := make(map[string]float64, len(observed))
	for _, key := range observed {
		rates[key.Key] = key.Rate
	}
	s.mergeCooledKeys(rates, threshold*hotKeyMergeRatio)
	for _, key := range observed {
		if key.Rate >= threshold {
			s.splitKey(key)
		}
	}
}

// meanRate returns the mean of the live servers' rates, from the shards of
// known rate.
func (s *servicePlan) meanRate() float64 {
	total := 0.0
	for _, rate := range s.rates {
		total += rate
	}
	return total / float64(len(s.live))
}

// splitKey gives a key a shard of its own, owned by the owner of its hash
// shard. As the owner of the key does not change, no proof of release is
// needed. The new shard can later be moved like any other.
func (s *servicePlan) splitKey(key HotKeyLoad) {
	if len(s.shards.HotKeys) >= s.spec.Policy.MaxHotKeys || s.isHot(key.Key) {
		return
	}
	hashShard := s.shards.Shards[HashShard(key.Key, s.shards.HashShards)]
	if !hashShard.Placed() {
		return
	}
	assignment := Shard{Owner: hashShard.Owner, Token: s.draft.next.nextToken()}
	shard := s.freeHotShard()
	s.shards.Shards[shard] = assignment
	s.shards.HotKeys = append(s.shards.HotKeys, HotKey{Key: key.Key, Shard: shard})
	s.recordDecision(shard, assignment, ReasonHotKeySplit)
}

func (s *servicePlan) isHot(key string) bool {
	return slices.ContainsFunc(s.shards.HotKeys, func(h HotKey) bool { return h.Key == key })
}

// freeHotShard returns a shard beyond the hash shards that no hot key uses. It
// appends one if there is none.
func (s *servicePlan) freeHotShard() ShardID {
	used := make(map[ShardID]bool, len(s.shards.HotKeys))
	for _, hot := range s.shards.HotKeys {
		used[hot.Shard] = true
	}
	for i := int(s.shards.HashShards); i < len(s.shards.Shards); i++ {
		if !used[ShardID(i)] {
			return ShardID(i)
		}
	}
	s.shards.Shards = append(s.shards.Shards, Shard{})
	return ShardID(len(s.shards.Shards) - 1)
}

// mergeCooledKeys merges the hot keys whose rate is below threshold back into
// their hash shards. If the two shards have different owners, the hot key's
// shard is first moved to the owner of the hash shard.
func (s *servicePlan) mergeCooledKeys(rates map[string]float64, threshold float64) {
	kept := s.shards.HotKeys[:0]
	for _, hot := range s.shards.HotKeys {
		keyShard := s.shards.Shards[hot.Shard]
		hashShard := s.shards.Shards[HashShard(hot.Key, s.shards.HashShards)]
		if rates[hot.Key] >= threshold || !keyShard.Placed() || !hashShard.Placed() {
			kept = append(kept, hot)
			continue
		}
		if keyShard.Owner != hashShard.Owner {
			s.startMove(hot.Shard, hashShard.Owner, ReasonHotKeyCooled)
			kept = append(kept, hot)
			continue
		}
		s.shards.Shards[hot.Shard] = Shard{}
		s.recordDecision(hot.Shard, keyShard, ReasonHotKeyCooled)
	}
	s.shards.HotKeys = kept
}
