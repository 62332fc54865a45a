package quay_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/quay"
)

func TestQuay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quay Suite")
}

// within returns a context with a timeout of d.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func expectKind(err error, kind quay.Kind) {
	GinkgoHelper()
	var e *quay.Error
	Expect(err).To(BeAssignableToTypeOf(e))
	Expect(err.(*quay.Error).Kind).To(Equal(kind))
}

var _ = Describe("A limiter", func() {
	It("refuses without a share, and when its queue is full", func() {
		l := quay.NewLimiter(1)
		expectKind(l.Acquire(within(time.Minute), time.Now()), quay.KindQueueFull)
		l.SetShare(1)
		Expect(l.Acquire(within(time.Minute), time.Now())).To(Succeed())
		waiting, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = l.Acquire(waiting, time.Now()) })
		Eventually(l.Load).Should(Equal(2))
		expectKind(l.Acquire(within(time.Minute), time.Now()), quay.KindQueueFull)
		cancel()
		group.Wait()
		Expect(l.Load()).To(Equal(1))
	})

	It("serves the earliest deadline first", func() {
		l := quay.NewLimiter(8)
		l.SetShare(1)
		Expect(l.Acquire(within(time.Minute), time.Now())).To(Succeed())
		order := make(chan string, 2)
		var group sync.WaitGroup
		acquire := func(name string, limit time.Duration) {
			ctx := within(limit)
			group.Go(func() {
				defer GinkgoRecover()
				Expect(l.Acquire(ctx, time.Now())).To(Succeed())
				order <- name
				l.Release(0, false)
			})
		}
		acquire("late", time.Hour)
		Eventually(l.Load).Should(Equal(2))
		acquire("early", time.Minute)
		Eventually(l.Load).Should(Equal(3))
		l.Release(0, false)
		group.Wait()
		Expect(order).To(Receive(Equal("early")))
		Expect(order).To(Receive(Equal("late")))
	})

	It("refuses at once a request that cannot finish in time", func() {
		l := quay.NewLimiter(8)
		l.SetShare(1)
		for range 100 {
			Expect(l.Acquire(within(time.Minute), time.Now())).To(Succeed())
			l.Release(time.Second, false)
		}
		Expect(l.Acquire(within(time.Minute), time.Now())).To(Succeed())
		expectKind(l.Acquire(within(time.Second), time.Now()), quay.KindTooLate)
	})

	It("reduces its slots while the server rejects requests, and keeps one", func() {
		l := quay.NewLimiter(8)
		l.SetShare(4)
		for range 10 {
			Expect(l.Acquire(within(time.Minute), time.Now())).To(Succeed())
			l.Release(0, true)
		}
		Expect(l.Acquire(within(time.Minute), time.Now())).To(Succeed())
		Expect(l.InFlight()).To(Equal(1))
		expired, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		expectKind(l.Acquire(expired, time.Now()), quay.KindTooLate)
	})
})

var _ = Describe("A retry budget", func() {
	It("allows one retry for every ten successes once its saved retries are used", func() {
		b := quay.NewRetryBudget()
		saved := 0
		for b.Withdraw() {
			saved++
		}
		Expect(saved).To(Equal(20))
		for range 95 {
			b.Deposit()
		}
		earned := 0
		for b.Withdraw() {
			earned++
		}
		Expect(earned).To(BeElementOf(8, 9))
	})
})

var _ = Describe("A pool", func() {
	It("limits the number of items and reuses the most recent one", func() {
		var p quay.Pool[int]
		p.SetLimit(2)
		Expect(p.Reserve()).To(BeTrue())
		Expect(p.Reserve()).To(BeTrue())
		Expect(p.Reserve()).To(BeFalse())
		Expect(p.Put(1)).To(BeTrue())
		Expect(p.Put(2)).To(BeTrue())
		item, ok := p.Take()
		Expect(ok).To(BeTrue())
		Expect(item).To(Equal(2))
		p.Discard()
		Expect(p.Reserve()).To(BeTrue())
		p.SetLimit(1)
		Expect(p.Put(3)).To(BeFalse())
		Expect(p.Drain()).To(Equal([]int{1}))
	})
})

// Requests that need a new connection were refused, although idle ones could have been closed.
var _ = Describe("A request that needs a new connection", func() {
	It("is served after the host's share of the server's connections has shrunk", func() {
		const idle = 6
		var used usedConns
		var together sync.WaitGroup
		together.Add(idle)
		f := newRouterFixture(func(c net.Conn, r *http.Request) bool {
			if used.use(c) {
				return false
			}
			if r.Header.Get("First") != "" {
				together.Done()
				together.Wait()
			}
			return respond(c, r, "200 OK")
		})
		var running sync.WaitGroup
		for range idle {
			running.Go(func() { f.routeWith(context.Background(), http.Header{"First": {"1"}}) })
		}
		running.Wait()
		next := f.table.Clone()
		next.Version++
		next.Servers[0].Connections = 2
		f.follow(next)
		f.expectWhole()
	})
})

var _ = Describe("A hot key counter", func() {
	It("finds the hottest keys in bounded memory", func() {
		start := time.Unix(0, 0)
		h := quay.NewHotKeys(8, start)
		for i := range 1000 {
			h.Add("hot")
			h.Add(string(rune('a' + i%40)))
		}
		loads := h.Take(start.Add(10 * time.Second))
		Expect(loads).To(HaveLen(8))
		Expect(loads[0].Key).To(Equal("hot"))
		Expect(loads[0].Rate).To(BeNumerically(">=", 100))
		Expect(h.Take(start.Add(20 * time.Second))).To(BeEmpty())
	})
})
