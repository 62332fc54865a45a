package berth_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
)

const (
	placerTick  = 50 * time.Millisecond
	routeLease  = 900 * time.Millisecond
	grantTTL    = 300 * time.Millisecond
	driftMargin = 50 * time.Millisecond
	readings    = berth.ServiceID("readings")
)

// placerFixture drives the placer of host h1 on a virtual clock. The store answers
// at once, and from drainedAt on the hosts have nothing in flight that the table
// forbids.
type placerFixture struct {
	placer   *berth.Placer
	now      time.Time
	table    *berth.Table
	revision berth.StoreRevision
	nonce    uint64
	// reports holds the incarnations of the other hosts that report as h1 does.
	reports    map[berth.HostID]berth.Incarnation
	conditions map[berth.ServerID]berth.Condition
	drainedAt  time.Time
	// checksGrants is set if the servers check grants.
	checksGrants bool
}

// newPlacerFixture returns a fixture in which h1 and h2 are active and one of two
// servers owns the only shard.
func newPlacerFixture(checksGrants bool) *placerFixture {
	GinkgoHelper()
	f := &placerFixture{
		checksGrants: checksGrants,
		now:          time.Unix(1_000_000, 0),
		reports:      map[berth.HostID]berth.Incarnation{"h2": 1},
		conditions: map[berth.ServerID]berth.Condition{
			"s1": berth.ConditionAlive, "s2": berth.ConditionAlive,
		},
	}
	f.startTerm()
	f.run(3 * time.Second)
	Expect(f.shard().Placed()).To(BeTrue())
	Expect(f.table.Host("h2").State).To(Equal(berth.HostActive))
	return f
}

// startTerm replaces the placer by one that is newly elected.
func (f *placerFixture) startTerm() {
	f.placer = berth.NewPlacer(berth.PlacerConfig{
		Domain: "d1", Host: "h1", Address: "h1", Incarnation: 1,
		Services: []berth.ServiceSpec{{ID: readings, HashShards: 1}},
		Timing: berth.Timing{
			RouteLease: routeLease, GrantTTL: grantTTL, DriftMargin: driftMargin, HostTimeout: 700 * time.Millisecond,
		},
		Nonce: func() uint64 { f.nonce++; return f.nonce },
	})
	f.step(berth.Elected{})
}

func (f *placerFixture) step(event berth.Event) {
	for _, action := range f.placer.Step(f.now, event) {
		switch a := action.(type) {
		case berth.ReadTable:
			f.step(berth.TableRead{Table: f.table, Revision: f.revision})
		case berth.WriteTable:
			f.table = a.Table
			f.revision++
			f.step(berth.TableWritten{Nonce: a.Table.Nonce, Revision: f.revision})
		case berth.PublishTable, berth.Decision:
		}
	}
}

// run advances the clock by d. The hosts report once in each tick.
func (f *placerFixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(placerTick)
		f.report("h1", 1)
		for id, incarnation := range f.reports {
			f.report(id, incarnation)
		}
		var listed []berth.ListedServer
		for id, condition := range f.conditions {
			listed = append(listed, berth.ListedServer{
				ID: id, Address: string(id), Service: readings, ChecksGrants: f.checksGrants,
			})
			f.step(berth.ServerObserved{Server: id, Host: "h1", Condition: condition})
		}
		f.step(berth.ServersListed{Servers: listed})
		f.step(berth.Tick{})
	}
}

func (f *placerFixture) report(id berth.HostID, incarnation berth.Incarnation) {
	drained := f.table.Version
	if f.now.Before(f.drainedAt) {
		drained = 0
	}
	f.step(berth.HostReported{
		Host: id, Address: string(id), Incarnation: incarnation,
		Epoch: f.table.Epoch, Followed: f.table.Version, Drained: drained, WithinShares: f.table.Version,
	})
}

func (f *placerFixture) shard() berth.Shard {
	return f.table.Shards(readings).Shards[0]
}

// killHost ends the process of h2.
func (f *placerFixture) killHost() {
	delete(f.reports, "h2")
	f.step(berth.HostConnectionRefused{Host: "h2", Incarnation: 1})
}

// loseOwner gives the owner of the shard a condition and returns its id.
func (f *placerFixture) loseOwner(condition berth.Condition) berth.ServerID {
	owner := f.shard().Owner
	f.conditions[owner] = condition
	return owner
}

// expectMoveAt expects that the shard is moving from owner, that it is not placed
// again before the given time, and that it is shortly after.
func (f *placerFixture) expectMoveAt(owner berth.ServerID, end time.Time) {
	GinkgoHelper()
	f.run(end.Sub(f.now) - placerTick)
	Expect(f.shard().Owner).To(Equal(owner))
	Expect(f.shard().NextOwner).NotTo(BeEmpty())
	f.run(4 * placerTick)
	Expect(f.shard().Placed()).To(BeTrue())
	Expect(f.shard().Owner).NotTo(Equal(owner))
}

var _ = Describe("The key of a request whose entry host was killed", func() {
	It("does not move before the deadline while the server is frozen", func() {
		f := newPlacerFixture(false)
		f.killHost()
		end := f.now.Add(routeLease + driftMargin)
		f.expectMoveAt(f.loseOwner(berth.ConditionUnresponsive), end)
	})

	It("does not move before the deadline after the entry host has restarted", func() {
		f := newPlacerFixture(false)
		f.reports["h2"] = 2
		end := f.now.Add(placerTick + routeLease + driftMargin)
		f.expectMoveAt(f.loseOwner(berth.ConditionUnresponsive), end)
	})

	It("does not move before the deadline under a new placer that never saw the host", func() {
		f := newPlacerFixture(false)
		f.killHost()
		f.run(4 * placerTick)
		Expect(f.table.Host("h2")).To(BeNil())
		f.startTerm()
		end := f.now.Add(routeLease + driftMargin)
		f.expectMoveAt(f.loseOwner(berth.ConditionUnresponsive), end)
	})

	It("moves at once if the server's process has ended as well", func() {
		f := newPlacerFixture(false)
		f.killHost()
		owner := f.loseOwner(berth.ConditionConnectionRefused)
		f.run(4 * placerTick)
		Expect(f.shard().Placed()).To(BeTrue())
		Expect(f.shard().Owner).NotTo(Equal(owner))
	})

	It("is not given to another failure domain before the deadline", func() {
		f := newPlacerFixture(false)
		f.killHost()
		end := f.now.Add(routeLease + driftMargin)
		f.step(berth.RulesRecorded{Revision: 1, Sources: []berth.DomainID{"d1"}})
		f.run(end.Sub(f.now) - placerTick)
		Expect(f.table.Rules.Closing).To(BeEquivalentTo(1))
		Expect(f.table.Rules.Closed).To(BeZero())
		f.run(4 * placerTick)
		Expect(f.table.Rules.Closed).To(BeEquivalentTo(1))
	})
})

var _ = Describe("The key of a request at a frozen server whose grant has ended", func() {
	It("does not move before the request's deadline", func() {
		f := newPlacerFixture(true)
		end := f.now.Add(placerTick + routeLease + driftMargin)
		f.expectMoveAt(f.loseOwner(berth.ConditionUnresponsive), end)
	})
})

var _ = Describe("A silent entry host", func() {
	It("delays a move by one lease in all, also beside requests that others have abandoned", func() {
		f := newPlacerFixture(false)
		f.reports["h3"] = 1
		f.run(time.Second)
		Expect(f.table.Hosts).To(HaveLen(3))
		delete(f.reports, "h2")
		f.drainedAt = f.now.Add(routeLease + driftMargin)
		end := f.now.Add(placerTick + routeLease + driftMargin)
		f.expectMoveAt(f.loseOwner(berth.ConditionUnresponsive), end)
	})
})
