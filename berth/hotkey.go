package berth

import "slices"

// hotKeyRelease is the part of the splitting threshold below which a hot key
// returns to its hash shard. The gap keeps keys near the threshold from
// changing back and forth.
const hotKeyRelease = 0.25

// planHotKeys splits the keys whose rate passes the policy's share of a
// server's mean rate off as shards of their own, and takes back cooled ones.
func (s *servicePlan) planHotKeys() {
	observed := s.draft.placer.hot[s.spec.ID]
	if s.spec.Policy.MaxHotKeys == 0 || s.moving() || len(s.live) == 0 || observed == nil {
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
	s.coolKeys(rates, threshold*hotKeyRelease)
	for _, key := range observed {
		if key.Rate >= threshold {
			s.splitKey(key)
		}
	}
}

// meanRate returns the mean known rate of a live server.
func (s *servicePlan) meanRate() float64 {
	total := 0.0
	for _, rate := range s.rates {
		total += rate
	}
	return total / float64(len(s.live))
}

// splitKey gives a key a shard of its own with the owner of its hash shard.
// The owner does not change, so no proof of release is needed; a later move
// of the new shard is an ordinary one.
func (s *servicePlan) splitKey(key HotKeyLoad) {
	if len(s.shards.HotKeys) >= s.spec.Policy.MaxHotKeys || s.isHot(key.Key) {
		return
	}
	from := s.shards.Shards[HashShard(key.Key, s.shards.HashShards)]
	if !from.Placed() {
		return
	}
	row := Shard{Owner: from.Owner, Token: s.draft.next.nextToken()}
	shard := s.freeHotShard()
	s.shards.Shards[shard] = row
	s.shards.HotKeys = append(s.shards.HotKeys, HotKey{Key: key.Key, Shard: shard})
	s.decide(shard, row, ReasonHotKeySplit)
}

func (s *servicePlan) isHot(key string) bool {
	return slices.ContainsFunc(s.shards.HotKeys, func(h HotKey) bool { return h.Key == key })
}

// freeHotShard returns a shard beyond the hash shards that no key uses.
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

// coolKeys returns keys below the threshold to their hash shards. A key whose
// owner differs from its hash shard's is first moved there.
func (s *servicePlan) coolKeys(rates map[string]float64, threshold float64) {
	kept := s.shards.HotKeys[:0]
	for _, hot := range s.shards.HotKeys {
		own := s.shards.Shards[hot.Shard]
		home := s.shards.Shards[HashShard(hot.Key, s.shards.HashShards)]
		if rates[hot.Key] >= threshold || !own.Placed() || !home.Placed() {
			kept = append(kept, hot)
			continue
		}
		if own.Owner != home.Owner {
			s.move(hot.Shard, home.Owner, ReasonHotKeyCooled)
			kept = append(kept, hot)
			continue
		}
		s.shards.Shards[hot.Shard] = Shard{}
		s.decide(hot.Shard, own, ReasonHotKeyCooled)
	}
	s.shards.HotKeys = kept
}
