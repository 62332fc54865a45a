package quay_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/quay"
)

const (
	// workTime is longer than a used connection may be silent before the request is
	// sent again, and much shorter than requestTimeout.
	workTime = 150 * time.Millisecond
	// savedRetries is the number of retries that an unused budget allows.
	savedRetries = 20
)

// usedConns tells the connections that have carried a request.
type usedConns struct {
	seen sync.Map
}

func (u *usedConns) use(c net.Conn) (used bool) {
	_, used = u.seen.LoadOrStore(c, true)
	return used
}

// work answers after the time that an overdue request takes.
func work(c net.Conn, r *http.Request) bool {
	time.Sleep(workTime)
	return respond(c, r, "200 OK")
}

func (f *routerFixture) expectWhole() {
	GinkgoHelper()
	Expect(f.route(context.Background())).To(BeAssignableToTypeOf(quay.Whole{}))
}

// routeAll routes n requests at once and returns their outcomes.
func (f *routerFixture) routeAll(n int) []quay.Outcome {
	outcomes := make([]quay.Outcome, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { outcomes[i] = f.route(context.Background()) })
	}
	group.Wait()
	return outcomes
}

var _ = Describe("A request whose server is still at work on a used connection", func() {
	It("is not given up when no retry is left", func() {
		f := newRouterFixture(work)
		for range savedRetries + 8 {
			f.expectWhole()
		}
	})

	It("is not given up for a second attempt that fails", func() {
		var f *routerFixture
		f = newRouterFixture(func(c net.Conn, r *http.Request) bool {
			switch f.received.Load() {
			case 1:
				return respond(c, r, "200 OK")
			case 2:
				return work(c, r)
			default:
				return false
			}
		})
		f.expectWhole()
		f.expectWhole()
		Expect(f.received.Load()).To(BeEquivalentTo(3))
	})
})

var _ = Describe("Used connections that have gone silent", func() {
	It("do not keep requests waiting when they hold all slots of the server", func() {
		const slots = 6
		var used usedConns
		var f *routerFixture
		f = newRouterFixture(func(c net.Conn, r *http.Request) bool {
			if used.use(c) {
				return untilClosed(c, r)
			}
			for f.received.Load() < slots {
				time.Sleep(time.Millisecond)
			}
			return respond(c, r, "200 OK")
		})
		Expect(f.routeAll(slots)).To(HaveEach(BeAssignableToTypeOf(quay.Whole{})))
		Expect(f.received.Load()).To(BeEquivalentTo(slots))
		start := time.Now()
		Expect(f.routeAll(slots)).To(HaveEach(BeAssignableToTypeOf(quay.Whole{})))
		Expect(time.Since(start)).To(BeNumerically("<", requestTimeout/2))
		Expect(f.received.Load()).To(BeEquivalentTo(3 * slots))
	})
})
