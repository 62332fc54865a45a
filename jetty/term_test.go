package jetty

import (
	"context"
	"encoding/json"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

const ownAddress = "10.0.0.1:1"

func claim(s ledger.TxnStore, ttl time.Duration) (*term, error) {
	return claimTerm(context.Background(), termConfig{Store: s, TTL: ttl, Address: ownAddress, Logs: quietLogs()})
}

// unknownCommitStore is a store whose commits fail with an unknown outcome.
type unknownCommitStore struct{ *fakeStore }

// Commit implements ledger.TxnStore.
func (*unknownCommitStore) Commit(context.Context, ledger.Txn) (ledger.Revision, error) {
	return 0, &ledger.Error{Op: "commit", Kind: ledger.KindUnknown, Err: errFake}
}

var _ = Describe("A term of the placer", func() {
	It("depends on the absence of another placer's record", func() {
		s := newFakeStore()
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.mayWrite()).To(BeTrue())
		Expect(s.txns).To(HaveLen(1))
		Expect(s.txns[0].Expect).To(Equal([]ledger.Expectation{{Key: placerKey}, {Key: placerListKey}}))
		Expect(s.txns[0].Put[0].Lease).To(BeEmpty(), "the list outlives the lease")
		Expect(s.txns[0].Put[1].Lease).To(Equal(ledger.LeaseID("7")))
	})

	It("lists the earlier placers but not its own host", func() {
		s := newFakeStore()
		s.set(placerListKey, `{"addresses":["10.0.0.2:1","10.0.0.1:1","10.0.0.3:1"]}`)
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.predecessors.Addresses).To(Equal([]string{"10.0.0.2:1", "10.0.0.3:1"}))
		Expect(t.predecessorUntil().Sub(t.began)).To(Equal(orderGracePeriod))
		Expect(string(s.txns[0].Put[0].Value)).To(Equal(`{"addresses":["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1"]}`))
	})

	It("takes a list that it cannot read as incomplete", func() {
		s := newFakeStore()
		s.set(placerListKey, "{")
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.predecessors.Incomplete).To(BeTrue())
		Expect(t.predecessorUntil().Sub(t.began)).To(Equal(orderGracePeriod))
	})

	It("ends its lease when the outcome of the claim is not known", func() {
		s := newFakeStore()
		_, err := claim(&unknownCommitStore{fakeStore: s}, time.Second)
		Expect(err).To(HaveOccurred())
		Expect(s.revoked).To(ConsistOf(ledger.LeaseID("7")))
	})

	It("stops writing before its lease ends when the store is unavailable, and goes on with its orders", func() {
		s := newFakeStore()
		const ttl = 500 * time.Millisecond
		t, err := claim(s, ttl)
		Expect(err).NotTo(HaveOccurred())
		s.setUnavailable(true)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		began := time.Now()
		go t.run(ctx)
		Eventually(t.mayWrite).WithTimeout(2 * ttl).WithPolling(5 * time.Millisecond).Should(BeFalse())
		Expect(time.Since(began)).To(BeNumerically("<", ttl))
		Consistently(t.mayOrder).WithTimeout(ttl).Should(BeTrue())
		s.set(placerKey, ownAddress)
		t.revision = s.rev
		s.setUnavailable(false)
		Eventually(t.mayWrite).WithTimeout(2 * time.Second).Should(BeTrue())
	})

	It("does not trust a lease that outlived its record", func() {
		s := newFakeStore()
		t, err := claim(s, 500*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		s.set(placerKey, "10.0.0.2:1")
		Expect(t.renew(context.Background(), true)).To(MatchError(errTermEnded))
	})

	It("allows no order that could be in flight after the grace period", func() {
		t := &term{ttl: time.Second}
		t.confirm(bootTimeNow())
		Expect(t.mayOrder()).To(BeTrue())
		t.confirm(bootTimeNow().Add(grantTimeout - orderGracePeriod))
		Expect(t.mayOrder()).To(BeFalse(), "an order would be in flight when the grace period ends")
	})

	It("sends no order once it has ended", func() {
		s := newFakeStore()
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		server := newOrderServer()
		o := newOrderSender(orderSenderConfig{Protocol: fakeProtocol{}, Upstream: newUpstream(orderConnections, nil), Logs: quietLogs(), Metrics: newMetrics()})
		order := mooring.Order{To: mooring.ServerInstance{Server: "s", Address: server.address}}
		Expect(o.send(context.Background(), t, order).Result).To(Equal(mooring.ResultAccepted))
		t.ordersUntil.Store(0)
		Expect(o.send(context.Background(), t, order).Result).To(Equal(mooring.ResultNotTried))
		Expect(server.count()).To(Equal(1))
	})
})

// newTestElection returns an election with an active configuration, and the
// address at which its host serves the calls of later placers.
func newTestElection(s ledger.TxnStore) (*election, string) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{{Name: "readings", Divided: true}})
	Expect(err).NotTo(HaveOccurred())
	logs := quietLogs()
	clusterState := newClusterState(fairway.NewActiveConfig())
	e := &election{
		store: s, clusterState: clusterState, admissions: newAdmissionSet(admissionSetConfig{}), loadCollector: newLoadCollector(), logs: logs,
		metrics: newMetrics(), address: listener.Addr().String(), ttl: time.Second, maxHold: grantHold,
		sender: newOrderSender(orderSenderConfig{Protocol: fakeProtocol{}, Upstream: newUpstream(orderConnections, nil), Logs: logs, Metrics: newMetrics()}),
		reach:  newReach(clusterState, nil, nil), limits: newLimits(&limits{clusterState: clusterState, logs: logs}), scanned: func() bool { return true }, wake: make(chan struct{}, 1),
	}
	e.clusterState.activeConfig.SetIfNewer(config)
	server := grpc.NewServer()
	signal.RegisterTermsServer(server, &termsServer{election: e})
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return e, e.address
}

var _ = Describe("The next placer", func() {
	start := func(e *election, s *fakeStore) *termRunner {
		GinkgoHelper()
		t, err := claimTerm(context.Background(), termConfig{Store: s, TTL: e.ttl, Address: e.address, Logs: e.logs})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		e.startTerm(ctx, t)
		return e.termRunner()
	}

	It("ends the term of the earlier one, which goes on without the store", func() {
		s := newFakeStore()
		earlier, address := newTestElection(s)
		earlierRunner := start(earlier, s)
		Expect(earlierRunner.predecessorUntil).To(Equal(earlierRunner.term.began), "it has no predecessor")
		earlierRunner.term.writesUntil.Store(0)
		Consistently(earlier.active).WithTimeout(200 * time.Millisecond).Should(BeTrue())

		s.set(placerListKey, `{"addresses":["`+address+`"]}`)
		next, _ := newTestElection(s)
		runner := start(next, s)
		Expect(runner.predecessorUntil.Sub(runner.term.began)).To(Equal(orderGracePeriod))
		Eventually(earlier.active).WithTimeout(2 * time.Second).Should(BeFalse())
		Eventually(func() placerList {
			list, _, err := readPlacers(context.Background(), &committedStore{fakeStore: s}, next.logs)
			Expect(err).NotTo(HaveOccurred())
			return list
		}).WithTimeout(2 * time.Second).Should(Equal(placerList{Addresses: []string{next.address}}))
	})

	It("prevents a term of the earlier one that has not begun yet", func() {
		s := newFakeStore()
		earlier, _ := newTestElection(s)
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(earlier.endTermsBefore(context.Background(), t.revision+1)).To(Succeed())
		earlier.startTerm(context.Background(), t)
		Expect(earlier.active()).To(BeFalse())
		Expect(s.revoked).To(ConsistOf(ledger.LeaseID("7")))
	})

	It("waits for earlier ones that it cannot reach", func() {
		s := newFakeStore()
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(unresponsive.Close)
		list, err := json.Marshal(placerList{Addresses: []string{unresponsive.Addr().String()}})
		Expect(err).NotTo(HaveOccurred())
		s.set(placerListKey, string(list))
		next, _ := newTestElection(s)
		runner := start(next, s)
		Consistently(runner.predecessorsEnded).WithTimeout(time.Second).ShouldNot(Receive())
	})
})

var _ = Describe("A host that claims again", func() {
	It("begins its term after the last order of its former one", func() {
		s := newFakeStore()
		e, _ := newTestElection(s)
		former := &termRunner{term: &term{}, cancel: func() {}, done: make(chan struct{})}
		e.current = former
		t, err := claimTerm(context.Background(), termConfig{Store: s, TTL: e.ttl, Address: e.address, Logs: e.logs})
		Expect(err).NotTo(HaveOccurred())
		var ended mooring.Instant
		time.AfterFunc(50*time.Millisecond, func() {
			ended = bootTimeNow()
			close(former.done)
		})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		e.startTerm(ctx, t)
		Expect(t.began).To(BeNumerically(">=", ended))
		Expect(e.termRunner().predecessorUntil).To(BeNumerically(">=", ended))
	})
})

// committedStore reads the last committed values of a fake store.
type committedStore struct{ *fakeStore }

// Get implements ledger.TxnStore.
func (c *committedStore) Get(_ context.Context, key string) (ledger.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.txns) - 1; i >= 0; i-- {
		for _, w := range c.txns[i].Put {
			if w.Key == key {
				return ledger.Entry{Key: key, Value: w.Value}, nil
			}
		}
	}
	return ledger.Entry{}, &ledger.Error{Op: "get", Kind: ledger.KindNotFound, Err: errFake}
}
