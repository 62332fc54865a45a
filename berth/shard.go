package berth

import "slices"

// planShards finishes moves, gives shards of lost servers a new owner, splits
// hot keys and evens out load. It does nothing while neither the table nor the
// observed load has changed since it last found nothing to do.
func (d *draft) planShards() {
	if !d.changed && d.placer.quiet == d.placer.table.Version && !d.roundDue() {
		return
	}
	d.next.cloneServices()
	d.planServices()
	d.placer.quiet = 0
	if !d.changed && !d.waiting && len(d.placer.shardSince) == 0 {
		d.placer.quiet = d.placer.table.Version
	}
}

// roundDue reports whether a service is due for a round of balancing.
func (d *draft) roundDue() bool {
	for _, spec := range d.placer.cfg.Services {
		last := d.placer.rounds[spec.ID]
		if spec.Policy.ImbalanceTolerance > 0 && d.now.Sub(last) >= spec.Policy.RoundInterval {
			return true
		}
	}
	return false
}

func (d *draft) planServices() {
	for _, spec := range d.placer.cfg.Services {
		plan := d.servicePlan(spec)
		plan.finishMoves()
		plan.replaceOwners()
		plan.planHotKeys()
		plan.balance()
	}
}

// servicePlan plans the shards of one service.
type servicePlan struct {
	draft  *draft
	spec   ServiceSpec
	shards *ServiceShards
	// loads holds the planned load of each live server.
	loads map[ServerID]float64
	live  []ServerID
	rates map[ShardID]float64
	// unit is the load of a shard of unknown rate.
	unit float64
}

func (d *draft) servicePlan(spec ServiceSpec) *servicePlan {
	shards := d.next.Shards(spec.ID)
	if shards == nil {
		d.next.Services = append(d.next.Services, ServiceShards{
			Service:    spec.ID,
			HashShards: spec.HashShards,
			Shards:     make([]Shard, spec.HashShards),
		})
		shards = &d.next.Services[len(d.next.Services)-1]
		d.changed = true
	}
	plan := &servicePlan{
		draft:  d,
		spec:   spec,
		shards: shards,
		loads:  make(map[ServerID]float64),
		rates:  d.placer.loads[spec.ID],
	}
	plan.unit = plan.unitLoad()
	for _, s := range d.next.Servers {
		if s.Service == spec.ID && s.State == ServerLive {
			plan.live = append(plan.live, s.ID)
			plan.loads[s.ID] = 0
		}
	}
	slices.Sort(plan.live)
	for i := range shards.Shards {
		plan.addLoad(shards.Shards[i].holder(), plan.loadOf(ShardID(i)))
	}
	return plan
}

// holder returns the server that has, or is about to have, the shard.
func (s Shard) holder() ServerID {
	if s.NextOwner != "" {
		return s.NextOwner
	}
	return s.Owner
}

// unitLoad returns a small load for shards without a known rate, so that
// their number is evened out as well.
func (s *servicePlan) unitLoad() float64 {
	total := 0.0
	for _, rate := range s.rates {
		total += rate
	}
	if total == 0 || len(s.shards.Shards) == 0 {
		return 1
	}
	return 0.1 * total / float64(len(s.shards.Shards))
}

func (s *servicePlan) loadOf(shard ShardID) float64 {
	return s.rates[shard] + s.unit
}

func (s *servicePlan) addLoad(server ServerID, load float64) {
	if _, isLive := s.loads[server]; isLive {
		s.loads[server] += load
	}
}

// leastLoaded returns the live server with the least planned load. Equal loads
// are decided by the hash of server and shard, which spreads them.
func (s *servicePlan) leastLoaded(shard ShardID, except ServerID) (ServerID, bool) {
	best, found := ServerID(""), false
	for _, id := range s.live {
		if id == except {
			continue
		}
		if !found || s.better(id, best, shard) {
			best, found = id, true
		}
	}
	return best, found
}

func (s *servicePlan) better(a, b ServerID, shard ShardID) bool {
	if s.loads[a] != s.loads[b] {
		return s.loads[a] < s.loads[b]
	}
	item := string(s.spec.ID) + "/" + Token{Sequence: Sequence(shard)}.String()
	return rendezvous(string(a), item) > rendezvous(string(b), item)
}

// move names the next owner of a shard and issues its token.
func (s *servicePlan) move(shard ShardID, to ServerID, reason Reason) {
	row := &s.shards.Shards[shard]
	s.addLoad(row.holder(), -s.loadOf(shard))
	s.addLoad(to, s.loadOf(shard))
	row.NextOwner = to
	row.Token = s.draft.next.nextToken()
	s.decide(shard, *row, reason)
}

func (s *servicePlan) decide(shard ShardID, row Shard, reason Reason) {
	s.draft.decide(Decision{
		Service: s.spec.ID,
		Shard:   shard,
		From:    row.Owner,
		To:      row.NextOwner,
		Token:   row.Token,
		Reason:  reason,
	})
}

// finishMoves places the moving shards for whose former owner there is proof.
func (s *servicePlan) finishMoves() {
	p := s.draft.placer
	for i := range s.shards.Shards {
		row := &s.shards.Shards[i]
		since, moving := p.shardSince[shardRef{service: s.spec.ID, shard: ShardID(i)}]
		if !moving || row.NextOwner == "" {
			continue
		}
		if !s.isLive(row.NextOwner) || p.release(s.draft.now, row.Owner, since) == nil {
			continue
		}
		s.decide(ShardID(i), *row, ReasonReleased)
		row.Owner = row.NextOwner
		row.NextOwner = ""
	}
}

func (s *servicePlan) isLive(id ServerID) bool {
	_, live := s.loads[id]
	return live
}

// replaceOwners starts moves away from servers that are lost or leaving.
func (s *servicePlan) replaceOwners() {
	for i := range s.shards.Shards {
		shard := ShardID(i)
		if s.shards.Unused(shard) {
			continue
		}
		reason, needed := s.replaceReason(s.shards.Shards[i])
		if reason != "" && !needed {
			s.draft.waiting = s.draft.waiting || s.shards.Shards[i].NextOwner == ""
			continue
		}
		if !needed {
			continue
		}
		to, found := s.leastLoaded(shard, s.shards.Shards[i].holder())
		if !found {
			s.draft.waiting = true
			continue
		}
		s.move(shard, to, reason)
	}
}

// replaceReason says why a shard needs another owner, if it does.
func (s *servicePlan) replaceReason(row Shard) (Reason, bool) {
	if row.NextOwner != "" {
		return ReasonNextOwnerLost, !s.isLive(row.NextOwner) && s.graceOver(row.NextOwner)
	}
	if row.Owner == "" {
		return ReasonFirstOwner, s.allObserved()
	}
	if s.isLive(row.Owner) {
		return "", false
	}
	server := s.draft.next.Server(row.Owner)
	switch {
	case server == nil || server.State == ServerStopped:
		return ReasonOwnerStopped, s.graceOver(row.Owner)
	case server.State == ServerDraining:
		return ReasonOwnerDraining, true
	default:
		return ReasonOwnerUnresponsive, s.graceOver(row.Owner)
	}
}

// allObserved reports whether every listed server of the service has been
// observed, so that the first assignment spreads over all that live.
func (s *servicePlan) allObserved() bool {
	for _, listed := range s.draft.placer.listed {
		if listed.Service == s.spec.ID && s.draft.placer.server(listed.ID).condition == 0 {
			return false
		}
	}
	return true
}

// graceOver reports whether a lost server has been away for longer than the
// service's policy waits for its return.
func (s *servicePlan) graceOver(id ServerID) bool {
	view := s.draft.placer.server(id)
	if view.condition == 0 {
		return false
	}
	return s.draft.now.Sub(view.since) >= s.spec.Policy.ReturnGrace
}

// balance moves shards from the busiest to the least busy server while the
// busiest exceeds the mean by more than the policy's tolerance.
func (s *servicePlan) balance() {
	policy := s.spec.Policy
	last := s.draft.placer.rounds[s.spec.ID]
	if policy.ImbalanceTolerance <= 0 || s.draft.now.Sub(last) < policy.RoundInterval {
		return
	}
	if s.moving() || s.draft.changed {
		return
	}
	s.draft.placer.rounds[s.spec.ID] = s.draft.now
	if len(s.live) < 2 {
		return
	}
	for range policy.MovesPerRound {
		if !s.moveOne() {
			return
		}
	}
}

func (s *servicePlan) moving() bool {
	for _, row := range s.shards.Shards {
		if row.NextOwner != "" {
			return true
		}
	}
	return false
}

// moveOne moves the shard that best evens out the busiest and the least busy
// server.
func (s *servicePlan) moveOne() bool {
	total := 0.0
	busiest, idlest := s.live[0], s.live[0]
	for _, id := range s.live {
		total += s.loads[id]
		if s.loads[id] > s.loads[busiest] {
			busiest = id
		}
		if s.loads[id] < s.loads[idlest] {
			idlest = id
		}
	}
	mean := total / float64(len(s.live))
	if s.loads[busiest] <= mean*(1+s.spec.Policy.ImbalanceTolerance) {
		return false
	}
	shard, found := s.bestShard(busiest, s.loads[busiest]-s.loads[idlest])
	if !found {
		return false
	}
	s.move(shard, idlest, ReasonImbalance)
	return true
}

// bestShard returns the shard of server whose load comes closest to half of
// gap. A shard as large as the gap would only turn the imbalance round.
func (s *servicePlan) bestShard(server ServerID, gap float64) (ShardID, bool) {
	best, found, bestDistance := ShardID(0), false, 0.0
	for i, row := range s.shards.Shards {
		load := s.loadOf(ShardID(i))
		if row.Owner != server || row.NextOwner != "" || load >= gap {
			continue
		}
		distance := load - gap/2
		if distance < 0 {
			distance = -distance
		}
		if !found || distance < bestDistance {
			best, found, bestDistance = ShardID(i), true, distance
		}
	}
	return best, found
}
