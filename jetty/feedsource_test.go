package jetty

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/mooring"
)

const at = mooring.Instant(time.Minute)

var _ = Describe("The source of the store's changes", func() {
	var s *feedSources
	member := feedPlan{feeder: "own-domain", fallbacks: []string{"root", "other"}}
	BeforeEach(func() {
		s = newFeedSources("self", noDelay)
		s.setPlan(member, 12)
	})
	lost := errors.New("no answer")

	It("is the feeder, then those of other failure domains, and the store last", func() {
		for _, address := range []string{"own-domain", "root", "other"} {
			Expect(s.next(at)).To(Equal(peerSource{address: address}))
			s.peerFailed(at, address, lost)
		}
		Expect(s.next(at)).To(Equal(storeSource{}))
		Expect(s.next(at.Add(feederBackoff))).To(Equal(peerSource{address: "own-domain"}))
	})

	It("is asked again soon if it has answered without fresh changes", func() {
		s.peerFailed(at, "own-domain", errStaleFeed)
		Expect(s.next(at)).To(Equal(peerSource{address: "root"}))
		Expect(s.next(at.Add(staleFeedRetry))).To(Equal(peerSource{address: "own-domain"}))
	})

	It("is asked to wait for changes only if it has just answered", func() {
		s.peerAnswered(at, "own-domain")
		Expect(s.next(at)).To(Equal(peerSource{address: "own-domain", wait: true}))
		Expect(s.next(at.Add(feedAnswerMaxAge + 1))).To(Equal(peerSource{address: "own-domain"}))
	})

	It("is the store for a host without a plan, and for the one that watches it for the fleet", func() {
		for _, plan := range []feedPlan{{}, {feeder: "self", feeds: true}} {
			s.setPlan(plan, 12)
			Expect(s.next(at)).To(Equal(storeSource{}))
		}
	})

	It("is the store before other feeders for a host that feeds others", func() {
		s.setPlan(feedPlan{feeder: "root", fallbacks: []string{"other"}, feeds: true}, 12)
		s.peerFailed(at, "root", lost)
		Expect(s.next(at)).To(Equal(storeSource{}))
		s.storeFailed(at)
		Expect(s.next(at)).To(Equal(peerSource{address: "other"}))
	})

	It("is nobody while all have just failed", func() {
		for _, address := range []string{"own-domain", "root", "other"} {
			s.peerFailed(at, address, lost)
		}
		s.next(at)
		s.storeFailed(at)
		next, ok := s.next(at).(noSource)
		Expect(ok).To(BeTrue())
		Expect(next.until).To(And(BeNumerically(">", at), BeNumerically("<=", at.Add(2*maxStoreRetryDelay))))
	})

	// storeCalls returns the calls to the store in each second of an outage. Each host asks
	// its sources at once when it may.
	storeCalls := func(hosts, domains int, peerErr error, storeUp bool, d time.Duration) []int {
		random := rand.New(rand.NewPCG(1, uint64(hosts)))
		calls := make([]int, int(d/time.Second))
		for i := range hosts {
			s := newFeedSources(fmt.Sprintf("host-%d", i), random.Float64)
			plan := member
			if i < domains {
				plan.feeds = true
			}
			s.setPlan(plan, hosts)
			for now := at; now < at.Add(d); {
				switch next := s.next(now).(type) {
				case peerSource:
					s.peerFailed(now, next.address, peerErr)
				case noSource:
					now = max(next.until, now+1)
				case storeSource:
					calls[now.Sub(at)/time.Second]++
					if storeUp {
						s.storeAnswered()
						now = now.Add(watchPollTimeout)
					} else {
						s.storeFailed(now)
					}
				}
			}
		}
		return calls
	}

	DescribeTable("is the store for few hosts at a time while it is down", func(hosts, domains int) {
		calls := storeCalls(hosts, domains, errStaleFeed, false, 10*time.Second)
		// A feeder calls five times in the first second, with pauses that double.
		for _, n := range calls {
			Expect(n).To(BeNumerically("<=", 6*domains+2*fleetCallsPerSecond), "%v", calls)
		}
	},
		Entry("3 hosts", 3, 3), Entry("12 hosts", 12, 3), Entry("70 hosts", 70, 3), Entry("200 hosts", 200, 5), Entry("300 hosts", 300, 5),
	)

	DescribeTable("is the store for each host within 2 s of its return, whatever its feeders say", func(hosts int, peerErr error) {
		random := rand.New(rand.NewPCG(2, uint64(hosts)))
		for i := range hosts {
			s := newFeedSources(fmt.Sprintf("host-%d", i), random.Float64)
			s.setPlan(member, hosts)
			back := at.Add(8 * time.Second)
			var heard mooring.Instant
			for now := at; heard == 0; {
				switch next := s.next(now).(type) {
				case peerSource:
					s.peerFailed(now, next.address, peerErr)
				case noSource:
					now = max(next.until, now+1)
				case storeSource:
					if now >= back {
						heard = now
					}
					s.storeFailed(now)
				}
			}
			Expect(heard.Sub(back)).To(BeNumerically("<=", 2*time.Second))
		}
	},
		Entry("12 hosts, stale feeders", 12, errStaleFeed), Entry("12 hosts, lost feeders", 12, lost),
		Entry("195 hosts, stale feeders", 195, errStaleFeed), Entry("195 hosts, lost feeders", 195, lost),
		Entry("300 hosts, stale feeders", 300, errStaleFeed), Entry("300 hosts, lost feeders", 300, lost),
	)

	DescribeTable("is the store for all hosts within the time for a configuration if feeders are lost", func(hosts int) {
		calls := storeCalls(hosts, 0, lost, true, 3*time.Second)
		// Two polls of lost feeders and the first one take another 1.2 s.
		Expect(calls[0]).To(BeNumerically("<=", max(hosts*2, fleetCallsPerSecond*2)))
		Expect(calls[2]).To(BeNumerically(">=", hosts))
	},
		Entry("3 hosts", 3), Entry("12 hosts", 12), Entry("70 hosts", 70), Entry("200 hosts", 200),
	)
})
