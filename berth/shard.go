package berth

import "slices"

// planShards finishes moves, replaces owners that have stopped, do not respond
// or are draining, splits hot keys and balances load. It does nothing if
// neither the table nor the observed load has changed since it last found
// nothing to do and no round of balancing is due.
func (d *draft) planShards() {
	if !d.changed && d.placer.idleVersion == d.placer.table.Version && !d.roundDue() {
		return
	}
	d.next.cloneServices()
	d.planServices()
	d.placer.idleVersion = 0
	if !d.changed && !d.blocked && len(d.placer.shardSince) == 0 {
		d.placer.idleVersion = d.placer.table.Version
	}
}

// roundDue reports whether it is time for a round of balancing of any service.
func (d *draft) roundDue() bool {
	for _, spec := range d.placer.cfg.Services {
		last := d.placer.lastRounds[spec.ID]
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
	// live holds the live servers of the service in order of id.
	live []ServerID
	// rates holds the measured rates of the shards.
	rates map[ShardID]float64
	// baseLoad is added to the rate of each shard. It is the whole load of a
	// shard of unknown rate.
	baseLoad float64
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
	plan.baseLoad = plan.computeBaseLoad()
	for _, s := range d.next.Servers {
		if s.Service == spec.ID && s.State == ServerLive {
			plan.live = append(plan.live, s.ID)
			plan.loads[s.ID] = 0
		}
	}
	slices.Sort(plan.live)
	for i := range shards.Shards {
		plan.addLoad(shards.Shards[i].eventualOwner(), plan.loadOf(ShardID(i)))
	}
	return plan
}

// eventualOwner returns the next owner of a moving shard, and the owner of any
// other shard.
func (s Shard) eventualOwner() ServerID {
	if s.NextOwner != "" {
		return s.NextOwner
	}
	return s.Owner
}

// computeBaseLoad returns the small load that each shard counts for besides its
// rate, so that the number of shards is balanced as well.
func (s *servicePlan) computeBaseLoad() float64 {
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
	return s.rates[shard] + s.baseLoad
}

func (s *servicePlan) addLoad(server ServerID, load float64) {
	if _, isLive := s.loads[server]; isLive {
		s.loads[server] += load
	}
}

// leastLoaded returns the live server other than except with the lowest
// planned load. Ties are broken by a hash of server and shard, which spreads
// the shards.
func (s *servicePlan) leastLoaded(shard ShardID, except ServerID) (ServerID, bool) {
	best, found := ServerID(""), false
	for _, id := range s.live {
		if id == except {
			continue
		}
		if !found || s.preferred(id, best, shard) {
			best, found = id, true
		}
	}
	return best, found
}

// preferred reports whether a is a better owner of shard than b.
func (s *servicePlan) preferred(a, b ServerID, shard ShardID) bool {
	if s.loads[a] != s.loads[b] {
		return s.loads[a] < s.loads[b]
	}
	item := string(s.spec.ID) + "/" + Token{Sequence: Sequence(shard)}.String()
	return rendezvousWeight(string(a), item) > rendezvousWeight(string(b), item)
}

// startMove sets the next owner of a shard and issues its token.
func (s *servicePlan) startMove(shard ShardID, to ServerID, reason Reason) {
	assignment := &s.shards.Shards[shard]
	s.addLoad(assignment.eventualOwner(), -s.loadOf(shard))
	s.addLoad(to, s.loadOf(shard))
	assignment.NextOwner = to
	assignment.Token = s.draft.next.nextToken()
	s.recordDecision(shard, *assignment, reason)
}

func (s *servicePlan) recordDecision(shard ShardID, assignment Shard, reason Reason) {
	s.draft.recordDecision(Decision{
		Service: s.spec.ID,
		Shard:   shard,
		From:    assignment.Owner,
		To:      assignment.NextOwner,
		Token:   assignment.Token,
		Reason:  reason,
	})
}

// finishMoves places each moving shard whose next owner is live and for which
// there is proof that the former owner has released it.
func (s *servicePlan) finishMoves() {
	p := s.draft.placer
	for i := range s.shards.Shards {
		assignment := &s.shards.Shards[i]
		since, moving := p.shardSince[shardRef{service: s.spec.ID, shard: ShardID(i)}]
		if !moving || assignment.NextOwner == "" {
			continue
		}
		if !s.isLive(assignment.NextOwner) || p.releaseProof(s.draft.now, assignment.Owner, since) == nil {
			continue
		}
		s.recordDecision(ShardID(i), *assignment, ReasonReleased)
		assignment.Owner = assignment.NextOwner
		assignment.NextOwner = ""
	}
}

func (s *servicePlan) isLive(id ServerID) bool {
	_, live := s.loads[id]
	return live
}

// replaceOwners starts to move shards away from servers that have stopped, do
// not respond or are draining, and gives shards without an owner their first
// one.
func (s *servicePlan) replaceOwners() {
	for i := range s.shards.Shards {
		shard := ShardID(i)
		if s.shards.Unused(shard) {
			continue
		}
		reason, needed := s.replaceReason(s.shards.Shards[i])
		if reason != "" && !needed {
			s.draft.blocked = s.draft.blocked || s.shards.Shards[i].NextOwner == ""
			continue
		}
		if !needed {
			continue
		}
		to, found := s.leastLoaded(shard, s.shards.Shards[i].eventualOwner())
		if !found {
			s.draft.blocked = true
			continue
		}
		s.startMove(shard, to, reason)
	}
}

// replaceReason returns the reason why a shard needs another owner, or the
// empty reason, and reports whether the replacement may start now.
func (s *servicePlan) replaceReason(assignment Shard) (Reason, bool) {
	if assignment.NextOwner != "" {
		return ReasonNextOwnerLost, !s.isLive(assignment.NextOwner) && s.gracePeriodOver(assignment.NextOwner)
	}
	if assignment.Owner == "" {
		return ReasonFirstOwner, s.allObserved()
	}
	if s.isLive(assignment.Owner) {
		return "", false
	}
	server := s.draft.next.Server(assignment.Owner)
	switch {
	case server == nil || server.State == ServerStopped:
		return ReasonOwnerStopped, s.gracePeriodOver(assignment.Owner)
	case server.State == ServerDraining:
		return ReasonOwnerDraining, true
	default:
		return ReasonOwnerUnresponsive, s.gracePeriodOver(assignment.Owner)
	}
}

// allObserved reports whether every listed server of the service has been
// observed. The first assignment waits for this, so that it spreads the shards
// over all live servers.
func (s *servicePlan) allObserved() bool {
	for _, listed := range s.draft.placer.listed {
		if listed.Service == s.spec.ID && s.draft.placer.server(listed.ID).condition == 0 {
			return false
		}
	}
	return true
}

// gracePeriodOver reports whether a server has been in its current condition
// for at least the time that the service's policy waits for its return.
func (s *servicePlan) gracePeriodOver(id ServerID) bool {
	view := s.draft.placer.server(id)
	if view.condition == 0 {
		return false
	}
	return s.draft.now.Sub(view.since) >= s.spec.Policy.ReturnGrace
}

// balance moves shards from the most loaded to the least loaded server while
// the load of the former exceeds the mean by more than the policy's tolerance.
func (s *servicePlan) balance() {
	policy := s.spec.Policy
	last := s.draft.placer.lastRounds[s.spec.ID]
	if policy.ImbalanceTolerance <= 0 || s.draft.now.Sub(last) < policy.RoundInterval {
		return
	}
	if s.moveInProgress() || s.draft.changed {
		return
	}
	s.draft.placer.lastRounds[s.spec.ID] = s.draft.now
	if len(s.live) < 2 {
		return
	}
	for range policy.MovesPerRound {
		if !s.moveOneShard() {
			return
		}
	}
}

func (s *servicePlan) moveInProgress() bool {
	for _, assignment := range s.shards.Shards {
		if assignment.NextOwner != "" {
			return true
		}
	}
	return false
}

// moveOneShard moves the shard that best balances the most and the least loaded
// server, and reports whether there was one to move.
func (s *servicePlan) moveOneShard() bool {
	total := 0.0
	busiest, leastBusy := s.live[0], s.live[0]
	for _, id := range s.live {
		total += s.loads[id]
		if s.loads[id] > s.loads[busiest] {
			busiest = id
		}
		if s.loads[id] < s.loads[leastBusy] {
			leastBusy = id
		}
	}
	mean := total / float64(len(s.live))
	if s.loads[busiest] <= mean*(1+s.spec.Policy.ImbalanceTolerance) {
		return false
	}
	shard, found := s.bestShard(busiest, s.loads[busiest]-s.loads[leastBusy])
	if !found {
		return false
	}
	s.startMove(shard, leastBusy, ReasonImbalance)
	return true
}

// bestShard returns the shard of server whose load is closest to half of gap,
// the difference between the two servers' loads. Shards whose load is at least
// gap are skipped, because their move would only reverse the imbalance.
func (s *servicePlan) bestShard(server ServerID, gap float64) (ShardID, bool) {
	best, found, bestDistance := ShardID(0), false, 0.0
	for i, assignment := range s.shards.Shards {
		load := s.loadOf(ShardID(i))
		if assignment.Owner != server || assignment.NextOwner != "" || load >= gap {
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
