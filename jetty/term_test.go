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

// commitFails is a store whose commits have no known outcome.
type commitFails struct{ *fakeStore }

// Commit implements ledger.TxnStore.
func (*commitFails) Commit(context.Context, ledger.Txn) (ledger.Revision, error) {
	return 0, &ledger.Error{Op: "commit", Kind: ledger.KindUnknown, Err: errFake}
}

var _ = Describe("A term of the placer", func() {
	It("depends on the absence of another placer's record", func() {
		s := newFakeStore()
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.mayWrite()).To(BeTrue())
		Expect(s.txns).To(HaveLen(1))
		Expect(s.txns[0].Expect).To(Equal([]ledger.Expectation{{Key: placerKey}, {Key: placersKey}}))
		Expect(s.txns[0].Put[0].Lease).To(BeEmpty(), "the list outlives the lease")
		Expect(s.txns[0].Put[1].Lease).To(Equal(ledger.LeaseID("7")))
	})

	It("lists the earlier placers but not its own host", func() {
		s := newFakeStore()
		s.set(placersKey, `{"addresses":["10.0.0.2:1","10.0.0.1:1","10.0.0.3:1"]}`)
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.earlier.Addresses).To(Equal([]string{"10.0.0.2:1", "10.0.0.3:1"}))
		Expect(t.predecessorUntil().Sub(t.began)).To(Equal(orderReach))
		Expect(string(s.txns[0].Put[0].Value)).To(Equal(`{"addresses":["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1"]}`))
	})

	It("takes a list that it cannot read as incomplete", func() {
		s := newFakeStore()
		s.set(placersKey, "{")
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.earlier.Incomplete).To(BeTrue())
		Expect(t.predecessorUntil().Sub(t.began)).To(Equal(orderReach))
	})

	It("ends its lease when the outcome of the claim is not known", func() {
		s := newFakeStore()
		_, err := claim(&commitFails{fakeStore: s}, time.Second)
		Expect(err).To(HaveOccurred())
		Expect(s.ended).To(ConsistOf(ledger.LeaseID("7")))
	})

	It("stops writing before its lease ends when the store is out, and goes on with its orders", func() {
		s := newFakeStore()
		const ttl = 500 * time.Millisecond
		t, err := claim(s, ttl)
		Expect(err).NotTo(HaveOccurred())
		s.setOut(true)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		began := time.Now()
		go t.run(ctx)
		Eventually(t.mayWrite).WithTimeout(2 * ttl).WithPolling(5 * time.Millisecond).Should(BeFalse())
		Expect(time.Since(began)).To(BeNumerically("<", ttl))
		Consistently(t.mayOrder).WithTimeout(ttl).Should(BeTrue())
		s.set(placerKey, ownAddress)
		t.revision = s.rev
		s.setOut(false)
		Eventually(t.mayWrite).WithTimeout(2 * time.Second).Should(BeTrue())
	})

	It("does not trust a lease that outlived its record", func() {
		s := newFakeStore()
		t, err := claim(s, 500*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		s.set(placerKey, "10.0.0.2:1")
		Expect(t.renew(context.Background(), true)).To(MatchError(errTermEnded))
	})

	It("stops its orders once the next placer relies on it", func() {
		t := &term{ttl: time.Second}
		t.confirm(bootNow())
		Expect(t.mayOrder()).To(BeTrue())
		t.confirm(bootNow().Add(grantTimeout - orderReach))
		Expect(t.mayOrder()).To(BeFalse(), "an order would be under way when the reach ends")
	})

	It("sends no order once it has ended", func() {
		s := newFakeStore()
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		server := newOrderServer()
		o := &orderSender{dialect: fakeDialect{}, upstream: newUpstream(orderConnections), logs: quietLogs(), metrics: newMetrics()}
		order := mooring.Order{To: mooring.Holder{Server: "s", Address: server.address}}
		Expect(o.send(context.Background(), t, order).Result).To(Equal(mooring.ResultAccepted))
		t.ordersUntil.Store(0)
		Expect(o.send(context.Background(), t, order).Result).To(Equal(mooring.ResultNotTried))
		Expect(server.count()).To(Equal(1))
	})
})

// newTestPlacer returns a placer whose store has a configuration in force, and
// the address at which its host answers later placers.
func newTestPlacer(s ledger.TxnStore) (*placer, string) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{{Name: "readings", Divided: true}})
	Expect(err).NotTo(HaveOccurred())
	logs := quietLogs()
	p := &placer{
		store: s, views: newViews(fairway.NewBook()), desks: newDeskSet(deskSetConfig{}), loads: newLoads(), logs: logs,
		metrics: newMetrics(), address: listener.Addr().String(), ttl: time.Second, maxHold: grantHold,
		sender:  &orderSender{dialect: fakeDialect{}, upstream: newUpstream(orderConnections), logs: logs, metrics: newMetrics()},
		scanned: func() bool { return true }, wake: make(chan struct{}, 1),
	}
	p.views.book.Offer(config)
	server := grpc.NewServer()
	signal.RegisterTermsServer(server, &terms{placer: p})
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return p, p.address
}

var _ = Describe("The next placer", func() {
	start := func(p *placer, s *fakeStore) *shift {
		GinkgoHelper()
		t, err := claimTerm(context.Background(), termConfig{Store: s, TTL: p.ttl, Address: p.address, Logs: p.logs})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		p.begin(ctx, t)
		return p.shift()
	}

	It("ends the term of the earlier one, whose shift goes on without the store", func() {
		s := newFakeStore()
		former, address := newTestPlacer(s)
		old := start(former, s)
		Expect(old.predecessorUntil).To(Equal(old.term.began), "it has no predecessor")
		old.term.writesUntil.Store(0)
		Consistently(former.active).WithTimeout(200 * time.Millisecond).Should(BeTrue())

		s.set(placersKey, `{"addresses":["`+address+`"]}`)
		next, _ := newTestPlacer(s)
		shift := start(next, s)
		Expect(shift.predecessorUntil.Sub(shift.term.began)).To(Equal(orderReach))
		Eventually(former.active).WithTimeout(2 * time.Second).Should(BeFalse())
		Eventually(func() placerList {
			list, _, err := readPlacers(context.Background(), &committed{fakeStore: s}, next.logs)
			Expect(err).NotTo(HaveOccurred())
			return list
		}).WithTimeout(2 * time.Second).Should(Equal(placerList{Addresses: []string{next.address}}))
	})

	It("bars a term of the earlier one that has not begun yet", func() {
		s := newFakeStore()
		former, _ := newTestPlacer(s)
		t, err := claim(s, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(former.endBefore(context.Background(), t.revision+1)).To(Succeed())
		former.begin(context.Background(), t)
		Expect(former.active()).To(BeFalse())
		Expect(s.ended).To(ConsistOf(ledger.LeaseID("7")))
	})

	It("waits for earlier ones that it cannot ask", func() {
		s := newFakeStore()
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		list, err := json.Marshal(placerList{Addresses: []string{silent.Addr().String()}})
		Expect(err).NotTo(HaveOccurred())
		s.set(placersKey, string(list))
		next, _ := newTestPlacer(s)
		shift := start(next, s)
		Consistently(shift.predecessorsEnded).WithTimeout(time.Second).ShouldNot(Receive())
	})
})

// committed reads the last committed values of a fake store.
type committed struct{ *fakeStore }

// Get implements ledger.TxnStore.
func (c *committed) Get(_ context.Context, key string) (ledger.Entry, error) {
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
