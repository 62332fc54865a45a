package quay_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/roster"
)

// endLease sets the gate's clock to a time after the end of the lease.
func (f *routerFixture) endLease() {
	f.ahead.Store(f.ahead.Load() + int64(routeLease+margin))
}

// beginLease confirms the table.
func (f *routerFixture) beginLease() {
	f.gate.Step(roster.StoreChecked{
		Revision: f.gate.View().Revision, Unchanged: true, RequestedAt: time.Now().Add(time.Duration(f.ahead.Load())),
	})
}

// countRefusals counts the decisions to refuse a request for want of a lease, and
// calls then, if set, at each of them.
func (f *routerFixture) countRefusals(then func()) *int {
	n := new(int)
	f.decided = func(d quay.Decision) {
		if d.Step != "refuse" || d.Reason != quay.Reason(roster.KindLeaseExpired.String()) {
			return
		}
		*n++
		if then != nil {
			then()
		}
	}
	return n
}

// newLeaseFixture returns a router whose lease ends while the server is at work on
// the first request, which it does not answer.
func newLeaseFixture() *routerFixture {
	GinkgoHelper()
	var f *routerFixture
	f = newRouterFixture(func(c net.Conn, r *http.Request) bool {
		if f.received.Load() > 1 {
			return respond(c, r, "200 OK")
		}
		f.endLease()
		return false
	})
	return f
}

var _ = Describe("A request whose lease has ended while the server was at work on it", func() {
	It("is sent again under the next lease", func() {
		f := newLeaseFixture()
		refusals := f.countRefusals(f.beginLease)
		f.expectWhole()
		Expect(*refusals).To(Equal(1))
		Expect(f.received.Load()).To(BeEquivalentTo(2))
	})

	It("ends as unknown if no lease begins", func() {
		f := newLeaseFixture()
		refusals := f.countRefusals(nil)
		Expect(f.route(context.Background())).To(BeAssignableToTypeOf(quay.Unknown{}))
		Expect(*refusals).To(Equal(2), "once before it waited and once after")
		Expect(f.received.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("A request that has not been sent and finds no lease", func() {
	It("is refused without a wait", func() {
		f := newLeaseFixture()
		f.endLease()
		refusals := f.countRefusals(nil)
		Expect(f.route(context.Background())).To(BeAssignableToTypeOf(quay.Refused{}))
		Expect(*refusals).To(Equal(1))
		Expect(f.received.Load()).To(BeZero())
	})
})
