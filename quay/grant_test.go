package quay_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/quay"
)

var _ = Describe("A server that has no grant yet", func() {
	It("does not count as overloaded", func() {
		const (
			slots      = 6
			rejections = 4
		)
		var running atomic.Int32
		var f *routerFixture
		f = newRouterFixture(func(c net.Conn, r *http.Request) bool {
			switch n := f.received.Load(); {
			case n <= rejections:
				return respond(c, r, "503 Service Unavailable\r\nX-Not-Run: true\r\n"+quay.HeaderReason+": no_grant")
			case n == rejections+1:
				return respond(c, r, "200 OK")
			}
			running.Add(1)
			for began := time.Now(); running.Load() < slots && time.Since(began) < requestTimeout/2; {
				time.Sleep(time.Millisecond)
			}
			return respond(c, r, "200 OK")
		})
		f.expectWhole()
		Expect(f.routeAll(slots)).To(HaveEach(BeAssignableToTypeOf(quay.Whole{})))
		Expect(running.Load()).To(BeNumerically(">=", slots))
	})
})
