package jetty

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/ledger"
)

// countingStore counts the calls that a claim makes.
type countingStore struct {
	*fakeStore
	leases int
}

// GrantLease implements ledger.TxnStore.
func (s *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (ledger.LeaseID, error) {
	s.mu.Lock()
	s.leases++
	s.mu.Unlock()
	return s.fakeStore.GrantLease(ctx, ttl)
}

var _ = Describe("A claim of the placer's record", func() {
	It("is not made by a host that finds another one's record first", func() {
		s := &countingStore{fakeStore: newFakeStore()}
		e, _ := newTestElection(s)
		s.set(placerKey, "10.0.0.2:1")
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go e.run(ctx)
		e.notify()
		Eventually(func() string { return e.clusterState.currentPlacer().address }).Should(Equal("10.0.0.2:1"))
		Consistently(e.active).WithTimeout(2 * claimInterval).Should(BeFalse())
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.leases).To(BeZero())
		Expect(s.txns).To(BeEmpty())
	})

	It("is left to hosts with a fast link at first, and is not made by many at a time", func() {
		for i := range 100 {
			random := float64(i) / 100
			fast, unknown := claimPause(200, 195, random), claimPause(0, 195, random)
			Expect(fast).To(BeNumerically("<", maxClaimJitter))
			Expect(unknown).To(Equal(fast))
			Expect(claimPause(20, 12, random)).To(BeNumerically(">=", slowHostDelay))
		}
		Expect(claimPause(20, 195, 0.99)).To(BeNumerically(">", slowHostDelay+900*time.Millisecond))
		Expect(claimPause(20, 12, 0.99)).To(BeNumerically("<=", slowHostDelay+maxClaimJitter), "a small fleet does not wait for long")
	})
})
