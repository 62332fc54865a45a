package roster_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/roster"
)

// renewOrAcquireLease renews the placer's lease, or tries to acquire it if the
// placer has not confirmed the table recently.
func (h *modelHost) renewOrAcquireLease() {
	sim := h.sim
	if sim.now.Before(h.nextRenew) {
		return
	}
	h.nextRenew = sim.now.Add(200 * time.Millisecond)
	if !h.elected {
		if sim.now.Sub(h.placerSeenAt) >= placerLease/3 {
			sim.call(h, sim.storeReachable(h), nil, func() func() { return h.tryAcquireLease() })
		}
		return
	}
	result := sim.call(h, sim.storeReachable(h), nil, func() func() {
		valid := sim.leaseHolder == h.id && sim.now.Before(sim.leaseEndsAt)
		requestedAt := sim.now
		if valid {
			sim.leaseEndsAt = sim.now.Add(placerLease)
		}
		return func() {
			if valid {
				h.renewedAt = requestedAt
				return
			}
			h.loseLeadership()
		}
	})
	if result == failed && h.up() && sim.now.Sub(h.renewedAt) >= placerLease {
		h.loseLeadership()
	}
}

func (h *modelHost) tryAcquireLease() func() {
	sim := h.sim
	if sim.leaseHolder != "" && sim.now.Before(sim.leaseEndsAt) {
		return func() {}
	}
	sim.leaseHolder, sim.leaseEndsAt = h.id, sim.now.Add(placerLease)
	requestedAt := sim.now
	return func() {
		h.elected, h.renewedAt = true, requestedAt
		h.step(berth.Elected{})
	}
}

func (h *modelHost) loseLeadership() {
	h.elected = false
	h.step(berth.LeadershipLost{})
}

// step applies event to the placer and executes the resulting actions.
func (h *modelHost) step(event berth.Event) {
	for _, action := range h.placer.Step(h.sim.now, event) {
		h.perform(action)
	}
}

func (h *modelHost) perform(action berth.Action) {
	sim := h.sim
	switch a := action.(type) {
	case berth.ReadTable:
		result := sim.call(h, sim.storeReachable(h), nil, func() func() {
			table, revision := sim.table, sim.revision
			return func() { h.step(berth.TableRead{Table: table, Revision: revision}) }
		})
		if result == failed && h.up() {
			h.onResume = append(h.onResume, func() {
				if h.elected {
					h.perform(a)
				}
			})
		}
	case berth.WriteTable:
		result := sim.call(h, sim.storeReachable(h), nil, func() func() {
			if a.Revision != sim.revision {
				return func() { h.step(berth.WriteConflicted{Nonce: a.Table.Nonce}) }
			}
			sim.recordTable(a.Table)
			revision := sim.revision
			return func() { h.step(berth.TableWritten{Nonce: a.Table.Nonce, Revision: revision}) }
		})
		if result == failed && h.up() {
			h.step(berth.WriteUnknown{Nonce: a.Table.Nonce})
		}
	case berth.PublishTable:
		h.gate.Step(roster.TableReceived{Table: a.Table, Revision: a.Revision})
		h.setRules()
		for _, other := range h.sim.hosts {
			if h.sim.peerReachable(h, other)() {
				other.nextRound = h.sim.now
			}
		}
	}
}

// recordTable stores next and checks it against the table before: versions and
// tokens never decrease, and a shard changes its owner only after a version in
// which it is moving.
func (sim *simulation) recordTable(next *berth.Table) {
	if sim.table != nil {
		if next.Version <= sim.table.Version || next.Epoch < sim.table.Epoch {
			sim.violation("epoch decreased, or version not increased from %d to %d", sim.table.Version, next.Version)
		}
		if next.Rules.Closed < sim.table.Rules.Closed || next.Rules.Opened < sim.table.Rules.Opened {
			sim.violation("rules revision decreased")
		}
	}
	if shards := next.Shards(service); shards != nil {
		for i, assignment := range shards.Shards {
			if assignment.Token.Less(sim.tokens[i]) {
				sim.violation("token of shard %d decreased from %s to %s", i, sim.tokens[i], assignment.Token)
			}
			sim.tokens[i] = assignment.Token
			if sim.table == nil || sim.table.Shards(service) == nil {
				continue
			}
			before := sim.table.Shards(service).Shards[i]
			if assignment.Placed() && before.Placed() && assignment.Owner != before.Owner {
				sim.violation("shard %d changed owner from %s to %s without a move", i, before.Owner, assignment.Owner)
			}
		}
	}
	sim.table = next
	sim.revision++
}

// confirmTable tries to confirm the table: with the placer, else with the
// store, and if neither answers, with the other hosts.
func (h *modelHost) confirmTable() {
	sim := h.sim
	if table := h.gate.View().Table; table != nil && table.PlacerHost != h.id {
		if placer := sim.host(berth.HostID(table.PlacerAt())); placer != nil && h.queryPeer(placer) {
			h.placerSeenAt = sim.now
			return
		}
	}
	if !h.up() {
		return
	}
	result := sim.call(h, sim.storeReachable(h), nil, func() func() {
		table, revision, requestedAt := sim.table, sim.revision, sim.now
		return func() {
			if table == nil {
				return
			}
			h.gate.Step(roster.TableReceived{Table: table, Revision: revision})
			h.gate.Step(roster.StoreChecked{Revision: revision, Unchanged: true, RequestedAt: requestedAt})
			h.updateRules(len(sim.rules))
		}
	})
	if result != failed {
		return
	}
	for _, other := range sim.hosts {
		if other != h && h.up() {
			h.queryPeer(other)
		}
	}
}

// queryPeer sends a Follow request to other and reports whether other's table
// is confirmed.
func (h *modelHost) queryPeer(other *modelHost) bool {
	sim := h.sim
	confirmed := false
	sim.call(h, sim.peerReachable(h, other), nil, func() func() {
		requestedAt := sim.now
		other.receiveReport(h)
		view, rules := other.gate.View(), other.rulesRevision
		incarnation := other.incarnation
		confirmed = view.Confirmed
		return func() {
			h.updateRules(rules)
			if view.Table == nil {
				return
			}
			h.gate.Step(roster.TableReceived{Table: view.Table, Revision: view.Revision})
			h.gate.Step(roster.PeerResponded{
				Host: other.id, Incarnation: incarnation, Epoch: view.Table.Epoch, Version: view.Table.Version,
				Confirmed: view.Confirmed, ConfirmationAge: view.ConfirmationAge, RequestedAt: requestedAt,
			})
			h.setRules()
		}
	})
	return confirmed
}

// receiveReport applies the report of another host, or of h itself, to the
// placer of h.
func (h *modelHost) receiveReport(from *modelHost) {
	if !h.placer.Active() {
		return
	}
	view := from.gate.View()
	epoch, followed := berth.Epoch(0), berth.Version(0)
	if view.Table != nil {
		epoch, followed = view.Table.Epoch, view.Table.Version
	}
	h.step(berth.HostReported{
		Host: from.id, Address: string(from.id), Incarnation: from.incarnation,
		Epoch: epoch, Followed: followed, Drained: view.Drained, WithinShares: view.Drained,
	})
	for _, s := range h.sim.servers {
		probe := from.probes[s.id]
		if probe == nil || probe.condition == 0 {
			continue
		}
		h.step(berth.ServerObserved{Server: s.id, Host: from.id, Condition: probe.condition})
		h.step(berth.ServerReleased{Server: s.id, Version: probe.released})
	}
}

func (h *modelHost) updateRules(revision int) {
	h.rulesRevision = max(h.rulesRevision, revision)
	h.setRules()
}

func (h *modelHost) setRules() {
	opened := 0
	if table := h.gate.View().Table; table != nil {
		opened = int(table.Rules.Opened)
	}
	file := func(revision int) *manifest.File {
		if revision == 0 {
			return manifest.Empty()
		}
		return h.sim.rules[revision-1]
	}
	h.gate.SetRules(roster.Rules{
		Newest: file(h.rulesRevision), NewestRevision: berth.RulesRevision(h.rulesRevision),
		Opened: file(opened), OpenedRevision: berth.RulesRevision(opened),
	})
}

// runPlacer gives the placer its periodic inputs and a tick.
func (h *modelHost) runPlacer() {
	sim := h.sim
	h.receiveReport(h)
	if table := h.gate.View().Table; table != nil {
		h.step(berth.VersionObserved{Version: table.Version})
	}
	for _, other := range sim.hosts {
		if other.stopped && !sim.now.Before(h.peersCutUntil) {
			h.step(berth.HostConnectionRefused{Host: other.id, Incarnation: other.incarnation})
		}
	}
	if !sim.now.Before(h.nextList) && sim.storeReachable(h)() {
		h.nextList = sim.now.Add(500 * time.Millisecond)
		var listed []berth.ListedServer
		for _, s := range sim.servers {
			listed = append(listed, berth.ListedServer{
				ID: s.id, Address: string(s.id), Service: service,
				Leaving: s.id == sim.leaving, ChecksGrants: sim.checksGrants, Slots: 4, Connections: 50,
			})
		}
		h.step(berth.ServersListed{Servers: listed})
		h.updateRules(len(sim.rules))
		h.step(berth.RulesRecorded{Revision: berth.RulesRevision(len(sim.rules))})
	}
	h.step(berth.Tick{})
}

// probe probes the servers that the table assigns to this host and sends them
// grants.
func (h *modelHost) probe() {
	table := h.gate.View().Table
	if table == nil {
		return
	}
	for _, server := range table.Servers {
		if h.up() && slices.Contains(table.Probers(server.ID), h.id) {
			h.probeOne(h.sim.server(server.ID))
		}
	}
}

func (h *modelHost) probeOne(s *modelServer) {
	sim := h.sim
	view := h.gate.View()
	probe := h.probes[s.id]
	if probe == nil {
		probe = &modelProbe{aliveAt: sim.now.Add(-suspectAfter / 2)}
		h.probes[s.id] = probe
	}
	reachable := func() bool { return !s.stopped && !sim.now.Before(h.serversCutUntil) }
	var grant func() bool
	if valid := min(grantTTL, view.LeaseEnd.Sub(probe.serverClock)); sim.checksGrants && view.MayDispatch && probe.instance != 0 && valid > 0 {
		grant = s.grant(view.Table, probe.instance, probe.serverClock.Add(valid))
	}
	result := sim.call(h, reachable, s, func() func() {
		if sim.now.Before(s.frozenUntil) {
			if grant != nil {
				s.queue = append(s.queue, func() { grant() })
			}
			return func() { h.probeFailed(probe, s) }
		}
		accepted := grant != nil && grant()
		instance, clock := s.instance, sim.now
		return func() {
			probe.instance, probe.serverClock, probe.aliveAt = instance, clock, sim.now
			probe.condition = berth.ConditionAlive
			if accepted {
				probe.released = max(probe.released, view.Table.Version)
			}
		}
	})
	if result == failed && h.up() {
		h.probeFailed(probe, s)
	}
}

func (h *modelHost) probeFailed(probe *modelProbe, s *modelServer) {
	switch {
	case s.stopped && !h.sim.now.Before(h.serversCutUntil):
		probe.condition = berth.ConditionConnectionRefused
	case h.sim.now.Sub(probe.aliveAt) >= suspectAfter:
		probe.condition = berth.ConditionUnresponsive
	}
}

// grant builds a grant request. The returned function applies it and reports
// whether the server accepted it.
func (s *modelServer) grant(table *berth.Table, instance int, until time.Time) func() bool {
	tokens := make(map[berth.ShardID]berth.Token)
	for i, assignment := range table.Shards(service).Shards {
		if assignment.Placed() && assignment.Owner == s.id {
			tokens[berth.ShardID(i)] = assignment.Token
		}
	}
	return func() bool {
		if s.instance != instance || table.Version < s.version {
			return false
		}
		s.version, s.tokens, s.grantEndsAt = table.Version, tokens, until
		return true
	}
}

// keys holds one key for each of the four shards.
var keys = func() []string {
	byShard := make(map[berth.ShardID]string)
	var found []string
	for i := 0; len(found) < 4; i++ {
		key := fmt.Sprintf("tank-%d", i)
		if shard := berth.HashShard(key, 4); byShard[shard] == "" {
			byShard[shard] = key
			found = append(found, key)
		}
	}
	return found
}()

// dispatch admits and sends one request for each key.
func (h *modelHost) dispatch() {
	sim := h.sim
	for _, key := range keys {
		ctx, permit, err := h.gate.Admit(context.Background(), service, key)
		if err != nil {
			continue
		}
		s := sim.server(permit.Server.ID)
		e := &execution{
			shard: permit.Shard, permit: permit, ctx: ctx, host: h,
			deadline: h.gate.View().LeaseEnd, server: s,
		}
		if s.stopped || sim.now.Before(h.serversCutUntil) || permit.Check() != nil {
			permit.End()
			continue
		}
		h.inFlight = append(h.inFlight, e)
		if sim.now.Before(s.frozenUntil) {
			s.queue = append(s.queue, func() { s.execute(sim, e) })
			continue
		}
		s.execute(sim, e)
	}
}

// execute starts a request that has arrived, unless the server has been told that
// its host has abandoned it or, where the server checks grants, the server holds
// no valid grant for it.
func (s *modelServer) execute(sim *simulation, e *execution) {
	if e.ended || e.cancellationArrived(sim) || !sim.now.Before(e.deadline) {
		e.ended = true
		return
	}
	if sim.checksGrants && (s.tokens[e.shard] != e.permit.Token || !sim.now.Before(s.grantEndsAt)) {
		e.ended, e.completed = true, true
		return
	}
	e.endsAt = sim.now.Add(workTime)
	s.running = append(s.running, e)
}

// endPermits releases the permits of requests that have ended or that the host
// abandons.
func (h *modelHost) endPermits() {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(e *execution) bool {
		abandoned := !e.ended && (e.ctx.Err() != nil || !h.sim.now.Before(e.deadline))
		if abandoned {
			e.abandoned = true
		}
		if !e.ended && !abandoned {
			return false
		}
		if e.completed {
			e.permit.Complete()
		}
		e.permit.End()
		return true
	})
}

// cancellationArrived reports whether the server has detected that the host has
// abandoned the request, which it does not while the host is cut from it.
func (e *execution) cancellationArrived(sim *simulation) bool {
	return e.abandoned && !sim.now.Before(e.host.serversCutUntil)
}

// checkSingleOwner checks that at this time no two servers run requests for the
// same key or hold a valid grant for it.
func (sim *simulation) checkSingleOwner() {
	for i := range keys {
		shard := berth.ShardID(i)
		running := make(map[berth.ServerID]bool)
		var owners []berth.ServerID
		for _, s := range sim.servers {
			for _, e := range s.running {
				if e.shard == shard && !e.ended && sim.now.Before(e.deadline) {
					running[s.id] = true
				}
			}
			if _, granted := s.tokens[shard]; sim.checksGrants && granted && !s.stopped && sim.now.Before(s.grantEndsAt) {
				owners = append(owners, s.id)
			}
		}
		if len(running) > 1 {
			sim.violation("at %s requests for shard %d run on several servers: %v", sim.now.Format("05.000"), shard, running)
		}
		if len(owners) > 1 {
			sim.violation("at %s shard %d is granted to %v", sim.now.Format("05.000"), shard, owners)
		}
	}
}
