package jetty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

// feedFleet plays hosts that follow the placer's plans.
type feedFleet struct {
	l     *loadCollector
	now   time.Time
	plans map[string]feedPlan
	// old are hosts of earlier builds, and refused those that the store does not answer.
	old     map[string]bool
	refused map[string]bool
	domains int
}

func newFeedFleet(hosts, domains int) *feedFleet {
	f := &feedFleet{
		l: newLoadCollector(), now: time.Now(), plans: make(map[string]feedPlan), old: make(map[string]bool),
		refused: make(map[string]bool), domains: domains,
	}
	for i := range hosts {
		f.plans[fmt.Sprintf("host-%03d", i)] = feedPlan{}
	}
	return f
}

func (f *feedFleet) domain(host string) string {
	var n int
	_, _ = fmt.Sscanf(host, "host-%d", &n)
	return fmt.Sprintf("domain-%d", n%f.domains)
}

// direct reports whether a host calls the store by its plan.
func (f *feedFleet) direct(host string) bool {
	return f.plans[host].feeder == "" || f.plans[host].feeder == host
}

// round has each host report once.
func (f *feedFleet) round() {
	f.now = f.now.Add(reportInterval)
	for host := range f.plans {
		r := &signal.LoadReport{Host: host, Domain: f.domain(host), Address: host, RelaysFeed: !f.old[host]}
		r.Direct = f.direct(host) && !f.refused[host]
		if f.direct(host) && f.refused[host] {
			r.KnowledgeAgeMillis, r.StoreAgeMillis = 10_000, 10_000
		}
		f.plans[host] = f.l.add(r, f.now).feed
	}
}

// watching returns the number of hosts that call the store.
func (f *feedFleet) watching() int {
	n := 0
	for host := range f.plans {
		if f.direct(host) {
			n++
		}
	}
	return n
}

var _ = Describe("The plan of the feeds", func() {
	DescribeTable("has one host watch the store", func(hosts, domains int) {
		f := newFeedFleet(hosts, domains)
		for range 4 {
			f.round()
		}
		Expect(f.watching()).To(Equal(1))
		feeders := make(map[string]string)
		for host, plan := range f.plans {
			if plan.feeds {
				feeders[f.domain(host)] = host
			}
		}
		Expect(feeders).To(HaveLen(domains))
		for host, plan := range f.plans {
			if !plan.feeds {
				Expect(plan.feeder).To(Equal(feeders[f.domain(host)]))
				Expect(plan.fallbacks).To(HaveLen(min(domains-1, maxFallbackFeeders)))
			}
		}
	},
		Entry("3 hosts", 3, 3), Entry("12 hosts", 12, 3), Entry("70 hosts", 70, 3), Entry("195 hosts", 195, 5), Entry("300 hosts", 300, 5),
	)

	DescribeTable("keeps the hosts that watch the store few while hosts leave, or the store refuses them", func(hosts, domains int) {
		f := newFeedFleet(hosts, domains)
		random := rand.New(rand.NewPCG(7, uint64(hosts)))
		for range 4 {
			f.round()
		}
		for range 60 {
			for host, plan := range f.plans {
				switch {
				case plan.feeds && random.IntN(6) == 0 && len(f.plans) > hosts/2:
					delete(f.plans, host)
				case plan.feeds && random.IntN(6) == 0:
					f.refused[host] = true
				default:
					delete(f.refused, host)
				}
			}
			f.round()
			Expect(f.watching()).To(BeNumerically("<=", domains+1))
		}
		clear(f.refused)
		for range 5 {
			f.round()
		}
		Expect(f.watching()).To(Equal(1))
	},
		Entry("12 hosts", 12, 3), Entry("70 hosts", 70, 3), Entry("195 hosts", 195, 5),
	)

	It("has a feeder of an earlier build watch the store itself, since it does not tell what it is told", func() {
		f := newFeedFleet(12, 3)
		for _, host := range []string{"host-001", "host-004", "host-007", "host-010"} {
			f.old[host] = true
		}
		for range 4 {
			f.round()
		}
		feeder := f.plans["host-001"].feeder
		Expect(f.old[feeder]).To(BeTrue())
		Expect(f.plans[feeder].feeder).To(Equal(feeder))
		Expect(f.plans["host-004"].feeder).To(Equal(feeder))
		Expect(f.watching()).To(BeNumerically("<=", 2))
	})

	It("of a placer of an earlier build is followed", func() {
		plan := decodeFeedPlan(&signal.LoadReply{Feeder: "10.0.0.1:1"})
		Expect(plan).To(Equal(feedPlan{feeder: "10.0.0.1:1"}))
		s := newFeedSources("10.0.0.1:1", noDelay)
		s.setPlan(plan, 12)
		Expect(s.next(at)).To(Equal(storeSource{}))
	})
})

var _ = Describe("A feeder that is fed", func() {
	var root, l *changeLog
	var f *feedClient
	BeforeEach(func() {
		root, l, f = newChangeLog(), newChangeLog(), &feedClient{}
		root.reset([]ledger.Entry{change(9).Entry}, 10, true)
		l.recordFeed(0, 300*time.Millisecond)
		l.reset([]ledger.Entry{change(9).Entry}, 10, false)
		DeferCleanup(func() { f.closeExcept(nil) })
	})
	poll := func(l *changeLog) (feedUpdate, error) {
		return f.changes(context.Background(), peerSource{address: serveFeed(l)}, 8)
	}

	It("tells how old its changes are at the store", func() {
		update, err := poll(l)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.hops).To(Equal(1))
		Expect(update.age).To(BeNumerically(">=", 300*time.Millisecond))
		update, err = poll(root)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.hops).To(BeZero())
	})

	It("is not used once the store has been silent for too long", func() {
		l.recordFeed(0, feedMaxAge+time.Millisecond)
		_, err := poll(l)
		Expect(err).To(MatchError(errStaleFeed))
	})

	It("is not used behind another one that is fed, so that no two hosts feed each other", func() {
		l.recordFeed(1, 0)
		_, err := poll(l)
		Expect(err).To(MatchError(errNotDirect))
	})

	It("is taken by a host of an earlier build as one that watches the store, with its true age", func() {
		reply, err := l.Changes(context.Background(), &signal.ChangesRequest{After: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Direct).To(BeTrue())
		Expect(reply.AgeMillis).To(BeNumerically(">=", 300))
	})

	It("is not reported as one that the store answers, nor is a host whose call has failed", func() {
		direct, _ := l.storeContact()
		Expect(direct).To(BeFalse())
		direct, _ = root.storeContact()
		Expect(direct).To(BeTrue())
		root.recordFailure()
		direct, _ = root.storeContact()
		Expect(direct).To(BeFalse())
	})
})

var _ = Describe("A host whose feeder is lost", func() {
	It("learns of changes through a feeder of another failure domain, without a call to the store", func() {
		s := newFakeStore()
		s.set("server/a", "x")
		s.set("config", "123")
		w := &watcher{
			store: s, protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool), sources: newFeedSources("own", noDelay),
		}
		Expect(w.step(context.Background())).To(Succeed())
		other := newChangeLog()
		other.reset([]ledger.Entry{{Key: "server/a", Revision: 1}, {Key: "config", Value: []byte("123"), Revision: 2}}, 2, true)
		address := serveFeed(other)
		w.clusterState.setFeedPlan(feedPlan{feeder: "127.0.0.1:1", fallbacks: []string{address}})
		s.setUnavailable(true)
		other.add([]ledger.Change{{Entry: ledger.Entry{Key: "config", Value: []byte("1234"), Revision: 3}}}, 3, true)
		for range 3 {
			Expect(w.step(context.Background())).To(Succeed())
		}
		Expect(w.clusterState.activeConfig.Current().Version).To(Equal(fairway.Version(4)))
		Expect(w.lost).To(BeFalse())
		w.feedClient.closeExcept(nil)
	})
})
