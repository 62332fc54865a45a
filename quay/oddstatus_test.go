package quay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/quay"
)

// statusSink records the status of a response.
type statusSink struct {
	discardSink
	status int
}

// Head implements quay.Sink.
func (s *statusSink) Head(status int, _ http.Header) error {
	s.status = status
	return nil
}

var _ = Describe("A status that is none", func() {
	var status string
	var f *routerFixture
	BeforeEach(func() {
		f = newRouterFixture(func(c net.Conn, r *http.Request) bool { return respond(c, r, status) })
	})
	route := func() (quay.Outcome, int) {
		sink := &statusSink{}
		outcome := f.router.Route(context.Background(), &quay.Request{ID: "r1", Service: readings, Key: "tank-1", Method: http.MethodPost, Header: make(http.Header)}, sink)
		return outcome, sink.status
	}

	// A status below 100 ended the handler of the caller's request.
	It("is not passed on", func() {
		invalid := []string{"+20", "-01", "-00", "20", "1000", "100x", "2x0", "abc"}
		// A request to a server that fails takes 50 ms. jetty's tests have every status.
		for _, n := range []int{0, 1, 9, 42, 99, 101, 600, 777, 999} {
			invalid = append(invalid, fmt.Sprintf("%03d", n))
		}
		for _, status = range invalid {
			outcome, passed := route()
			Expect(outcome).To(BeAssignableToTypeOf(quay.Unknown{}), status)
			Expect(passed).To(BeZero(), status)
		}
	})

	It("has the key held, since the request may have run", func() {
		status = "099"
		route()
		f.expectHeldUntil(time.Now().Add(requestTimeout))
	})

	// An interim response was taken for the final one.
	It("is not one that announces another response", func() {
		for _, status = range []string{"100", "103", "199"} {
			status += " Wait\r\n\r\nHTTP/1.1 200 OK"
			outcome, passed := route()
			Expect(outcome).To(BeAssignableToTypeOf(quay.Whole{}), status)
			Expect(passed).To(Equal(http.StatusOK), status)
		}
	})
})
