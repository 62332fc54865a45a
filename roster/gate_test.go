package roster_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/roster"
)

// gateFixture is a gate of host h1 with a clock that the test sets. It follows a
// table in which s1 owns the only shard.
type gateFixture struct {
	gate  *roster.Gate
	now   time.Time
	table *berth.Table
}

func newGateFixture(checksGrants bool) *gateFixture {
	GinkgoHelper()
	f := &gateFixture{now: time.Now().Add(24 * time.Hour)}
	f.gate = roster.NewGate(roster.GateConfig{
		Domain:       domain,
		LeaseTracker: roster.LeaseTrackerConfig{Host: "h1", Incarnation: 1, RouteLease: routeLease},
		DriftMargin:  driftMargin,
		Now:          func() time.Time { return f.now },
	})
	f.table = &berth.Table{
		Domain: domain,
		Hosts:  []berth.Host{{ID: "h1", Incarnation: 1, State: berth.HostActive}},
		Services: []berth.ServiceShards{{
			Service: service, HashShards: 1, Shards: []berth.Shard{{Owner: "s1"}},
		}},
	}
	for _, id := range []berth.ServerID{"s1", "s2"} {
		f.table.Servers = append(f.table.Servers, berth.Server{
			ID: id, Service: service, State: berth.ServerLive, ChecksGrants: checksGrants,
		})
	}
	f.setRules(1, "route readings * to d1 # test: home")
	f.follow(func(*berth.Table) {})
	return f
}

// setRules sets the newest rules, and the opened ones if there are none yet.
func (f *gateFixture) setRules(revision berth.RulesRevision, text string) {
	GinkgoHelper()
	file, err := manifest.Parse("rules", text)
	Expect(err).NotTo(HaveOccurred())
	rules := f.gate.View().Rules
	rules.Newest, rules.NewestRevision = file, revision
	if rules.OpenedRevision == 0 {
		rules.Opened, rules.OpenedRevision = file, revision
	}
	f.gate.SetRules(rules)
}

// follow makes the gate follow and confirm the next version of the table.
func (f *gateFixture) follow(change func(next *berth.Table)) {
	next := f.table.Clone()
	next.Version++
	change(next)
	f.table = next
	revision := berth.StoreRevision(next.Version)
	f.gate.Step(roster.TableReceived{Table: next, Revision: revision})
	f.gate.Step(roster.StoreChecked{Revision: revision, Unchanged: true, RequestedAt: f.now})
}

// moveShard makes the gate follow a table in which s1 is in the given state and
// its shard is moving to s2.
func (f *gateFixture) moveShard(state berth.ServerState) {
	f.follow(func(next *berth.Table) {
		next.Servers[0].State = state
		next.Services[0].Shards[0].NextOwner = "s2"
	})
}

// send admits a request and marks it as sent.
func (f *gateFixture) send(ctx context.Context) (context.Context, *roster.Permit) {
	GinkgoHelper()
	ctx, permit, err := f.gate.Admit(ctx, service, "tank-1")
	Expect(err).NotTo(HaveOccurred())
	Expect(permit.Check()).To(Succeed())
	return ctx, permit
}

func (f *gateFixture) expectDrained() {
	GinkgoHelper()
	Expect(f.gate.View().Drained).To(Equal(f.table.Version))
	Expect(f.gate.View().InFlight).To(BeZero())
}

// expectInFlightUntil expects that the key is not reported free to move until the
// given time, and is from then on.
func (f *gateFixture) expectInFlightUntil(end time.Time) {
	GinkgoHelper()
	for _, now := range []time.Time{f.now, end.Add(-time.Millisecond)} {
		f.now = now
		Expect(f.gate.View().Drained).To(BeZero(), "%s before the end", end.Sub(now))
		Expect(f.gate.View().InFlight).To(Equal(1))
	}
	f.now = end
	f.expectDrained()
}

var _ = Describe("A request abandoned at a server that ignores grants", func() {
	It("counts as in flight until its deadline when it ended before the move", func() {
		f := newGateFixture(false)
		leaseEnd := f.gate.View().LeaseEnd
		_, permit := f.send(context.Background())
		f.now = f.now.Add(300 * time.Millisecond)
		permit.End()
		f.moveShard(berth.ServerUnresponsive)
		f.expectInFlightUntil(leaseEnd.Add(driftMargin))
	})

	It("counts as in flight until its deadline when the move cancels it", func() {
		f := newGateFixture(false)
		leaseEnd := f.gate.View().LeaseEnd
		ctx, permit := f.send(context.Background())
		f.now = f.now.Add(700 * time.Millisecond)
		f.moveShard(berth.ServerUnresponsive)
		Expect(ctx.Err()).To(MatchError(context.Canceled))
		permit.End()
		permit.End()
		f.expectInFlightUntil(leaseEnd.Add(driftMargin))
	})

	It("counts no longer than the caller's own deadline", func() {
		f := newGateFixture(false)
		deadline := f.now.Add(200 * time.Millisecond)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		DeferCleanup(cancel)
		_, permit := f.send(ctx)
		permit.End()
		f.moveShard(berth.ServerUnresponsive)
		f.expectInFlightUntil(deadline.Add(driftMargin))
	})

	It("does not delay the replacement of a server whose process has ended", func() {
		f := newGateFixture(false)
		_, permit := f.send(context.Background())
		permit.End()
		f.moveShard(berth.ServerStopped)
		f.expectDrained()
	})
})

var _ = Describe("A request that no server can still run", func() {
	It("delays no move once its response is complete", func() {
		f := newGateFixture(false)
		_, permit := f.send(context.Background())
		permit.Complete()
		permit.End()
		f.moveShard(berth.ServerDraining)
		f.expectDrained()
	})

	It("delays no move if it was never sent", func() {
		f := newGateFixture(false)
		_, permit, err := f.gate.Admit(context.Background(), service, "tank-1")
		Expect(err).NotTo(HaveOccurred())
		permit.End()
		f.moveShard(berth.ServerUnresponsive)
		f.expectDrained()
	})

	It("delays no move from a server that checks grants", func() {
		f := newGateFixture(true)
		_, permit := f.send(context.Background())
		permit.End()
		f.moveShard(berth.ServerUnresponsive)
		Expect(f.gate.View().Drained).To(Equal(f.table.Version))
	})
})

var _ = Describe("A request abandoned at a server that checks grants", func() {
	It("keeps its key from another failure domain until its deadline", func() {
		f := newGateFixture(true)
		leaseEnd := f.gate.View().LeaseEnd
		_, permit := f.send(context.Background())
		permit.End()
		f.setRules(2, "route readings * to d2 # test: away")
		f.follow(func(next *berth.Table) { next.Rules.Closing = 2 })
		f.expectInFlightUntil(leaseEnd.Add(driftMargin))
	})
})

var _ = Describe("A running request of a host that must leave", func() {
	for _, remove := range []bool{false, true} {
		It(fmt.Sprintf("counts as in flight until it has ended, so that the host stays listed (removed: %v)", remove), func() {
			f := newGateFixture(true)
			_, permit := f.send(context.Background())
			f.follow(func(next *berth.Table) {
				next.Hosts[0].State = berth.HostLeaving
				if remove {
					next.Hosts = nil
				}
			})
			Expect(f.gate.View().Drained).To(BeZero())
			permit.Complete()
			permit.End()
			f.expectDrained()
		})
	}
})

var _ = Describe("A running request for a key that becomes hot", func() {
	It("holds back the move of the key's own shard", func() {
		f := newGateFixture(true)
		_, permit := f.send(context.Background())
		f.follow(func(next *berth.Table) {
			shards := &next.Services[0]
			shards.HotKeys = []berth.HotKey{{Key: "tank-1", Shard: 1}}
			shards.Shards = append(shards.Shards, berth.Shard{Owner: "s1", Token: berth.Token{Epoch: 1, Sequence: 1}})
		})
		Expect(f.gate.View().Drained).To(Equal(f.table.Version))
		f.follow(func(next *berth.Table) { next.Services[0].Shards[1].NextOwner = "s2" })
		Expect(f.gate.View().Drained).To(BeZero())
		permit.Complete()
		permit.End()
		f.expectDrained()
	})
})

var _ = Describe("The gate of a host without a lease", func() {
	It("tells when the next one begins", func() {
		f := newGateFixture(true)
		f.now = f.now.Add(routeLease)
		Expect(f.gate.View().Confirmed).To(BeFalse())
		changed := f.gate.Changed()
		confirmed := roster.StoreChecked{Revision: f.gate.View().Revision, Unchanged: true, RequestedAt: f.now}
		f.gate.Step(confirmed)
		Expect(changed).To(BeClosed())

		changed = f.gate.Changed()
		f.gate.Step(confirmed)
		Expect(changed).NotTo(BeClosed(), "it has one already")
	})
})
