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

// elect competes for the placer's lease, or renews it.
func (h *modelHost) elect() {
	w := h.w
	if w.now.Before(h.nextRenew) {
		return
	}
	h.nextRenew = w.now.Add(200 * time.Millisecond)
	if !h.elected {
		if w.now.Sub(h.heardPlacer) >= placerLease/3 {
			w.call(h, w.storeReachable(h), nil, func() func() { return h.compete() })
		}
		return
	}
	result := w.call(h, w.storeReachable(h), nil, func() func() {
		valid := w.leaseHolder == h.id && w.now.Before(w.leaseEnds)
		asked := w.now
		if valid {
			w.leaseEnds = w.now.Add(placerLease)
		}
		return func() {
			if valid {
				h.renewedAt = asked
				return
			}
			h.depose()
		}
	})
	if result == failed && h.up() && w.now.Sub(h.renewedAt) >= placerLease {
		h.depose()
	}
}

func (h *modelHost) compete() func() {
	w := h.w
	if w.leaseHolder != "" && w.now.Before(w.leaseEnds) {
		return func() {}
	}
	w.leaseHolder, w.leaseEnds = h.id, w.now.Add(placerLease)
	asked := w.now
	return func() {
		h.elected, h.renewedAt = true, asked
		h.step(berth.Elected{})
	}
}

func (h *modelHost) depose() {
	h.elected = false
	h.step(berth.LeadershipLost{})
}

// step feeds the placer and carries out its actions.
func (h *modelHost) step(event berth.Event) {
	for _, action := range h.placer.Step(h.w.now, event) {
		h.carryOut(action)
	}
}

func (h *modelHost) carryOut(action berth.Action) {
	w := h.w
	switch a := action.(type) {
	case berth.ReadTable:
		result := w.call(h, w.storeReachable(h), nil, func() func() {
			table, revision := w.table, w.revision
			return func() { h.step(berth.TableRead{Table: table, Revision: revision}) }
		})
		if result == failed && h.up() {
			h.onWake = append(h.onWake, func() {
				if h.elected {
					h.carryOut(a)
				}
			})
		}
	case berth.WriteTable:
		result := w.call(h, w.storeReachable(h), nil, func() func() {
			if a.Revision != w.revision {
				return func() { h.step(berth.WriteConflicted{Nonce: a.Table.Nonce}) }
			}
			w.recordTable(a.Table)
			revision := w.revision
			return func() { h.step(berth.TableWritten{Nonce: a.Table.Nonce, Revision: revision}) }
		})
		if result == failed && h.up() {
			h.step(berth.WriteUnknown{Nonce: a.Table.Nonce})
		}
	case berth.PublishTable:
		h.gate.Step(roster.TableReceived{Table: a.Table, Revision: a.Revision})
		h.setRules()
		for _, other := range h.w.hosts {
			if h.w.peerReachable(h, other)() {
				other.nextRound = h.w.now
			}
		}
	}
}

// recordTable checks the history of the record: versions and tokens only go
// up, and an owner changes only through a moving version.
func (w *world) recordTable(next *berth.Table) {
	if w.table != nil {
		if next.Version <= w.table.Version || next.Epoch < w.table.Epoch {
			w.fail("version went from %d to %d", w.table.Version, next.Version)
		}
		if next.Rules.Closed < w.table.Rules.Closed || next.Rules.Opened < w.table.Rules.Opened {
			w.fail("rules went back")
		}
	}
	if shards := next.Shards(service); shards != nil {
		for i, row := range shards.Shards {
			if row.Token.Less(w.tokens[i]) {
				w.fail("token of shard %d went from %s to %s", i, w.tokens[i], row.Token)
			}
			w.tokens[i] = row.Token
			if w.table == nil || w.table.Shards(service) == nil {
				continue
			}
			before := w.table.Shards(service).Shards[i]
			if row.Placed() && before.Placed() && row.Owner != before.Owner {
				w.fail("shard %d changed owner from %s to %s without a move", i, before.Owner, row.Owner)
			}
		}
	}
	w.table = next
	w.revision++
}

// follow makes one round of confirmation.
func (h *modelHost) follow() {
	w := h.w
	if table := h.gate.View().Table; table != nil && table.PlacerHost != h.id {
		if holder := w.host(table.PlacerHost); holder != nil && h.ask(holder) {
			h.heardPlacer = w.now
			return
		}
	}
	if !h.up() {
		return
	}
	result := w.call(h, w.storeReachable(h), nil, func() func() {
		table, revision, asked := w.table, w.revision, w.now
		return func() {
			if table == nil {
				return
			}
			h.gate.Step(roster.TableReceived{Table: table, Revision: revision})
			h.gate.Step(roster.StoreChecked{Revision: revision, Unchanged: true, RequestedAt: asked})
			h.learnRules(len(w.rules))
		}
	})
	if result != failed {
		return
	}
	for _, other := range w.hosts {
		if other != h && h.up() {
			h.ask(other)
		}
	}
}

// ask calls Follow on other and reports whether it confirmed the table.
func (h *modelHost) ask(other *modelHost) bool {
	w := h.w
	confirmed := false
	w.call(h, w.peerReachable(h, other), nil, func() func() {
		asked := w.now
		other.takeReport(h)
		view, rules := other.gate.View(), other.knownRules
		incarnation := other.incarnation
		confirmed = view.Confirmed
		return func() {
			h.learnRules(rules)
			if view.Table == nil {
				return
			}
			h.gate.Step(roster.TableReceived{Table: view.Table, Revision: view.Revision})
			h.gate.Step(roster.PeerAnswered{
				Host: other.id, Incarnation: incarnation, Epoch: view.Table.Epoch, Version: view.Table.Version,
				Confirmed: view.Confirmed, Age: view.ConfirmationAge, RequestedAt: asked,
			})
			h.setRules()
		}
	})
	return confirmed
}

func (h *modelHost) takeReport(from *modelHost) {
	if !h.placer.Active() {
		return
	}
	view := from.gate.View()
	epoch := berth.Epoch(0)
	if view.Table != nil {
		epoch = view.Table.Epoch
	}
	h.step(berth.HostReported{
		Host: from.id, Address: string(from.id), Incarnation: from.incarnation,
		Epoch: epoch, Drained: view.Drained, WithinShares: view.Drained,
	})
	for _, s := range h.w.servers {
		ward := from.wards[s.id]
		if ward == nil || ward.condition == 0 {
			continue
		}
		h.step(berth.ServerObserved{Server: s.id, Host: from.id, Condition: ward.condition})
		h.step(berth.ServerReleased{Server: s.id, Version: ward.released})
	}
}

func (h *modelHost) learnRules(revision int) {
	h.knownRules = max(h.knownRules, revision)
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
		return h.w.rules[revision-1]
	}
	h.gate.SetRules(roster.Rules{
		Newest: file(h.knownRules), NewestRevision: berth.RulesRevision(h.knownRules),
		Opened: file(opened), OpenedRevision: berth.RulesRevision(opened),
	})
}

// place feeds the placer what it needs.
func (h *modelHost) place() {
	w := h.w
	h.takeReport(h)
	if table := h.gate.View().Table; table != nil {
		h.step(berth.VersionObserved{Version: table.Version})
	}
	for _, other := range w.hosts {
		if other.dead && !w.now.Before(h.peersCut) {
			h.step(berth.HostConnectionRefused{Host: other.id, Incarnation: other.incarnation})
		}
	}
	if !w.now.Before(h.nextList) && w.storeReachable(h)() {
		h.nextList = w.now.Add(500 * time.Millisecond)
		var listed []berth.ListedServer
		for _, s := range w.servers {
			listed = append(listed, berth.ListedServer{
				ID: s.id, Address: string(s.id), Service: service,
				Leaving: s.id == w.leaving, ChecksGrants: w.checking, Slots: 4, Connections: 50,
			})
		}
		h.step(berth.ServersListed{Servers: listed})
		h.learnRules(len(w.rules))
		h.step(berth.RulesRecorded{Revision: berth.RulesRevision(len(w.rules))})
	}
	h.step(berth.Tick{})
}

// probe asks the servers assigned to this host, and grants.
func (h *modelHost) probe() {
	table := h.gate.View().Table
	if table == nil {
		return
	}
	for _, server := range table.Servers {
		if h.up() && slices.Contains(table.Probers(server.ID), h.id) {
			h.probeOne(h.w.server(server.ID))
		}
	}
}

func (h *modelHost) probeOne(s *modelServer) {
	w := h.w
	view := h.gate.View()
	ward := h.wards[s.id]
	if ward == nil {
		ward = &modelWard{alive: w.now.Add(-suspectAfter / 2)}
		h.wards[s.id] = ward
	}
	reachable := func() bool { return !s.dead && !w.now.Before(h.serversCut) }
	var grant func() bool
	if valid := min(grantTTL, view.LeaseEnd.Sub(ward.clock)); w.checking && view.MayDispatch && ward.instance != 0 && valid > 0 {
		grant = s.grant(view.Table, ward.instance, ward.clock.Add(valid))
	}
	result := w.call(h, reachable, s, func() func() {
		if w.now.Before(s.thaws) {
			if grant != nil {
				s.queue = append(s.queue, func() { grant() })
			}
			return func() { h.unanswered(ward, s) }
		}
		accepted := grant != nil && grant()
		instance, clock := s.instance, w.now
		return func() {
			ward.instance, ward.clock, ward.alive = instance, clock, w.now
			ward.condition = berth.ConditionAlive
			if accepted {
				ward.released = max(ward.released, view.Table.Version)
			}
		}
	})
	if result == failed && h.up() {
		h.unanswered(ward, s)
	}
}

func (h *modelHost) unanswered(ward *modelWard, s *modelServer) {
	switch {
	case s.dead && !h.w.now.Before(h.serversCut):
		ward.condition = berth.ConditionConnectionRefused
	case h.w.now.Sub(ward.alive) >= suspectAfter:
		ward.condition = berth.ConditionUnresponsive
	}
}

// grant builds a grant request, which takes effect when the result is called.
func (s *modelServer) grant(table *berth.Table, instance int, until time.Time) func() bool {
	tokens := make(map[berth.ShardID]berth.Token)
	for i, row := range table.Shards(service).Shards {
		if row.Placed() && row.Owner == s.id {
			tokens[berth.ShardID(i)] = row.Token
		}
	}
	return func() bool {
		if s.instance != instance || table.Version < s.version {
			return false
		}
		s.version, s.tokens, s.until = table.Version, tokens, until
		return true
	}
}

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

// dispatch sends one request for every key.
func (h *modelHost) dispatch() {
	w := h.w
	for _, key := range keys {
		ctx, permit, err := h.gate.Admit(context.Background(), service, key)
		if err != nil {
			continue
		}
		s := w.server(permit.Server.ID)
		e := &execution{
			shard: permit.Shard, permit: permit, ctx: ctx,
			deadline: h.gate.View().LeaseEnd, server: s,
		}
		if s.dead || w.now.Before(h.serversCut) || permit.Check() != nil {
			permit.End()
			continue
		}
		h.open = append(h.open, e)
		if w.now.Before(s.thaws) {
			s.queue = append(s.queue, func() { s.execute(w, e) })
			continue
		}
		s.execute(w, e)
	}
}

// execute runs a request that has arrived, if its caller still waits and the
// server may run it.
func (s *modelServer) execute(w *world, e *execution) {
	if e.ctx.Err() != nil || e.over || !w.now.Before(e.deadline) {
		e.over = true
		return
	}
	if w.checking && (s.tokens[e.shard] != e.permit.Token || !w.now.Before(s.until)) {
		e.over = true
		return
	}
	e.ends = w.now.Add(workTime)
	s.running = append(s.running, e)
}

// endPermits ends the host's side of requests that are over.
func (h *modelHost) endPermits() {
	h.open = slices.DeleteFunc(h.open, func(e *execution) bool {
		finished := !e.ends.IsZero() && !h.w.now.Before(e.ends)
		e.over = e.over || finished || e.ctx.Err() != nil || !h.w.now.Before(e.deadline)
		if e.over {
			e.permit.End()
		}
		return e.over
	})
}

// check verifies that no key is owned or run by two servers at this moment.
func (w *world) check() {
	for i := range keys {
		shard := berth.ShardID(i)
		running := make(map[berth.ServerID]bool)
		var owners []berth.ServerID
		for _, s := range w.servers {
			for _, e := range s.running {
				if e.shard == shard && !e.over && w.now.Before(e.ends) && w.now.Before(e.deadline) {
					running[s.id] = true
				}
			}
			if _, granted := s.tokens[shard]; w.checking && granted && !s.dead && w.now.Before(s.until) {
				owners = append(owners, s.id)
			}
		}
		if len(running) > 1 {
			w.fail("at %s shard %d runs on %v", w.now.Format("05.000"), shard, running)
		}
		if len(owners) > 1 {
			w.fail("at %s shard %d is granted to %v", w.now.Format("05.000"), shard, owners)
		}
	}
}
