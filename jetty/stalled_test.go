package jetty

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Ordinary requests were refused for as long as a crowd held the memory of the host.
var _ = Describe("A connection whose caller neither sends nor reads", func() {
	var callers *callerConns
	var listener *callerListener
	var reasons []closeReason
	now := time.Now()
	BeforeEach(func() {
		reasons = nil
		now = time.Now()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		callers = newCallerConns()
		callers.budget = newBodyBudget(8)
		callers.onClosed = func(reason closeReason) { reasons = append(reasons, reason) }
		listener = &callerListener{Listener: l, callers: callers}
	})
	// open returns a connection that has waited for its caller for some time.
	open := func(waited time.Duration) *callerConn {
		GinkgoHelper()
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		nc, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		c := nc.(*callerConn)
		c.idle, c.slowSince = false, now.Add(-waited)
		return c
	}
	expectOpen := func(c *callerConn) {
		GinkgoHelper()
		Expect(c.SetReadDeadline(now)).To(Succeed())
	}
	expectClosed := func(c *callerConn) {
		GinkgoHelper()
		Expect(c.SetReadDeadline(now)).To(MatchError(net.ErrClosed))
	}

	It("is closed for its memory, the one that has stalled for longest first", func() {
		later, longest := open(2*stalledTime), open(3*stalledTime)
		Expect(callers.resetStalled(now)).To(BeTrue())
		expectClosed(longest)
		expectOpen(later)
		Expect(reasons).To(Equal([]closeReason{closeStalled}))
	})

	It("is spared for a while", func() {
		c := open(stalledTime / 2)
		Expect(callers.resetStalled(now)).To(BeFalse())
		expectOpen(c)
	})

	It("is spared while the caller makes progress", func() {
		c := open(10 * stalledTime)
		c.progressAt = now.Add(-stalledTime / 2)
		Expect(callers.resetStalled(now)).To(BeFalse())
		expectOpen(c)
	})

	It("is spared while a server is at work on its request", func() {
		c := open(0)
		c.slowSince = time.Time{}
		Expect(callers.resetStalled(now)).To(BeFalse())
		expectOpen(c)
	})

	It("is spared if it is idle and holds no memory", func() {
		c := open(0)
		c.idle, c.idleSince = true, now.Add(-10*stalledTime)
		Expect(callers.resetStalled(now)).To(BeFalse())
		c.receiveBuffer.bytes = 1
		Expect(callers.resetStalled(now)).To(BeTrue())
	})

	It("makes room for a request that is to be forwarded", func() {
		b := newExchangeBench(0)
		b.f.bodies, b.f.callers = callers.budget, callers
		b.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "x") })
		c := open(0)
		c.slowSince = time.Now().Add(-2 * stalledTime)
		Expect(c.head.room.extendWithin(b.f.bodies.limit, 0)).To(BeTrue())
		// The request of that connection ends once the connection is closed.
		go func() {
			defer GinkgoRecover()
			Eventually(func() error { return c.SetReadDeadline(now) }).Should(MatchError(net.ErrClosed))
			c.setClosed()
		}()
		Expect(b.f.forward(context.Background(), b.request(1, time.Second))).To(BeAssignableToTypeOf(backendResponse{}))
	})
})
