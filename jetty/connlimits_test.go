package jetty

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The bounds of connections", func() {
	// The smallest and the largest host of the platform, and settings without limits.
	DescribeTable("leave room for servers, other hosts and files", func(maxFDs, memoryMB int, want connLimits) {
		l := newConnLimits(maxFDs, memoryMB)
		Expect(l).To(Equal(want))
		if maxFDs > 0 {
			Expect(l.callers + 2*l.side + l.peers + fileDescriptors).To(BeNumerically("<", maxFDs))
		}
	},
		Entry("small", 3075, 144, connLimits{callers: 633, side: 64, peers: 431}),
		Entry("large", 10250, 536, connLimits{callers: 3926, side: 64, peers: 1507}),
		Entry("the crowds' host", 600, 96, connLimits{callers: 220, side: 25, peers: 64}),
		Entry("unknown", 0, 0, connLimits{side: 64}),
	)
})

var _ = Describe("The memory of a head", func() {
	const text = "GET /x HTTP/1.1\r\nHost: h\r\na: b\r\n\r\n"
	const want = 4*headFieldBytes + len(text)*headTextCopies

	// A head may arrive in any pieces, and a body with it.
	It("is reserved as it arrives, up to its end", func() {
		for cut := range len(text) {
			b := newBodyBudget(1)
			h := callerHead{room: &bodyReservation{budget: b}}
			Expect(h.add([]byte(text[:cut]))).To(Succeed())
			Expect(h.add([]byte(text[cut:] + strings.Repeat("\n", 100)))).To(Succeed())
			Expect(b.bytesReserved()).To(BeEquivalentTo(want), "cut at %d", cut)
			h.end()
			Expect(b.bytesReserved()).To(BeZero())
		}
	})

	It("is not reserved beyond the budget", func() {
		b := newBodyBudget(1)
		h := callerHead{room: &bodyReservation{budget: b}}
		fields := []byte(strings.Repeat("a:\r\n", 100))
		var err error
		for range 100 {
			if err = h.add(fields); err != nil {
				break
			}
		}
		Expect(err).To(MatchError(errHeadRoom))
		Expect(b.bytesReserved()).To(BeNumerically("<=", 1<<20))
	})
})

var _ = Describe("Connections above their bound", func() {
	var callers *callerConns
	var listener *callerListener
	var reasons []closeReason
	BeforeEach(func() {
		reasons = nil
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		callers = newCallerConns()
		callers.limit = 3
		callers.onClosed = func(reason closeReason) { reasons = append(reasons, reason) }
		listener = &callerListener{Listener: l, callers: callers}
	})
	open := func() *callerConn {
		GinkgoHelper()
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		nc, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		return nc.(*callerConn)
	}
	expectClosed := func(c *callerConn) {
		GinkgoHelper()
		_, err := c.Read(make([]byte, 1))
		Expect(errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)).To(BeTrue(), "error %v", err)
	}

	It("have the one closed that has been idle or slow for longest, but none at work", func() {
		atWork, slow, idle := open(), open(), open()
		atWork.idle, slow.idle = false, false
		slow.setSlow(true)
		slow.slowSince = time.Now().Add(-time.Second)
		open()
		expectClosed(slow)
		open()
		expectClosed(idle)
		Expect(reasons).To(Equal([]closeReason{closeFull, closeFull}))
		Expect(atWork.SetReadDeadline(time.Now())).To(Succeed())
		_, err := atWork.Read(make([]byte, 1))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("are refused if all are at work", func() {
		for range callers.limit + closingSlack {
			open().idle = false
		}
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = listener.Accept() }()
		_, err = client.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("are closed if a head does not come in time", func() {
		c, other := open(), open()
		c.idle = false
		c.slowSince = time.Now().Add(-time.Second)
		callers.closeSlowHeads(time.Now(), time.Second)
		expectClosed(c)
		Expect(reasons).To(Equal([]closeReason{closeSlowHead}))
		Expect(other.SetReadDeadline(time.Now())).To(Succeed())
	})
})

var _ = Describe("A response to a slow caller", func() {
	const size = 12 << 20
	serve := func(progress time.Duration) net.Conn {
		GinkgoHelper()
		callers := newCallerConns()
		callers.writeProgress = progress
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size))
		}), callers, quietLogs())
		go func() { _ = server.Serve(&callerListener{Listener: l, callers: callers}) }()
		DeferCleanup(server.Close)
		nc, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(nc.Close)
		_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		return nc
	}

	// A response that nobody read was kept as long as its connection.
	It("ends if the caller reads nothing", func() {
		nc := serve(100 * time.Millisecond)
		time.Sleep(time.Second)
		n, _ := io.Copy(io.Discard, nc)
		Expect(n).To(BeNumerically("<", size))
	})

	It("goes on for as long as the caller reads", func() {
		nc := serve(2 * time.Second)
		var n int64
		for n < size {
			copied, err := io.CopyN(io.Discard, nc, 2<<20)
			Expect(err).NotTo(HaveOccurred())
			n += copied
			time.Sleep(400 * time.Millisecond)
		}
	})
})
