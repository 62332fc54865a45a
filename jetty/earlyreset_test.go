package jetty

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// earlyResponder is a backend server that responds as soon as it has read the head of a request,
// while its body is still being sent.
type earlyResponder struct {
	// header are the header lines that tell where the body ends, and size is how much of
	// it is sent.
	header string
	size   int
	// delay is the time from the response to the end of the connection.
	delay time.Duration
	// end ends the connection.
	end func(c *net.TCPConn)
}

// start returns the address of the server.
func (s earlyResponder) start() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go s.run(l)
	return l.Addr().String()
}

func (s earlyResponder) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s earlyResponder) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\n%s\r\n%s", r.Header.Get("Id"), s.header, strings.Repeat("x", s.size))
	if err != nil {
		return
	}
	time.Sleep(s.delay)
	s.end(c)
}

// The kernel reports a reset once: where the write of the body is told of it, the read of the
// response sees an end in order, and a part of the response passes for all of it.
var _ = Describe("A response while the body of its request is still sent", func() {
	// send has a host upload a long body, and returns the body of the response and the error
	// of its end.
	send := func(s earlyResponder) (string, error) {
		GinkgoHelper()
		b := newExchangeBench(0)
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: s.start(), Incarnation: 1, Slots: 20}}))
		r := b.request(1, 5*time.Second)
		r.route.Repeat = fairway.RepeatNever
		r.outgoingRequest.Method, r.outgoingRequest.Body = http.MethodPost, []byte(strings.Repeat("y", 8<<20))
		res := (<-b.send(context.Background(), r)).result
		resp, ok := res.(backendResponse)
		if !ok {
			Expect(res).To(BeAssignableToTypeOf(gatewayError{}))
			return "", io.ErrUnexpectedEOF
		}
		if resp.remaining == nil {
			return string(resp.body), nil
		}
		rest, err := io.ReadAll(resp.remaining)
		resp.finish(err == nil)
		return string(resp.body) + string(rest), err
	}
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	// closeWrite ends the response in order and reads on for a while.
	closeWrite := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = io.Copy(io.Discard, c)
	}
	const tries = 6

	for _, size := range []int{1, 10_000, 900_000, 3_000_000} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
			It(fmt.Sprintf("is broken off if it has no length and is reset: %d bytes, %v before", size, delay), func() {
				for range tries {
					body, err := send(earlyResponder{header: "Connection: close\r\n", size: size, delay: delay, end: reset})
					Expect(err).To(HaveOccurred(), "%d bytes", len(body))
				}
			})
			It(fmt.Sprintf("is whole if it has no length and ends in order: %d bytes, %v before", size, delay), func() {
				body, err := send(earlyResponder{header: "Connection: close\r\n", size: size, delay: delay, end: closeWrite})
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(HaveLen(size))
			})
		}
	}

	It("is whole if it has its length, however its connection ends", func() {
		for _, end := range []func(*net.TCPConn){reset, closeWrite} {
			const size = 10_000
			body, err := send(earlyResponder{header: fmt.Sprintf("Content-Length: %d\r\n", size), size: size, delay: 20 * time.Millisecond, end: end})
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(HaveLen(size))
		}
	})

	It("is broken off if it is shorter than its length", func() {
		for _, end := range []func(*net.TCPConn){reset, closeWrite} {
			for range tries {
				_, err := send(earlyResponder{header: "Content-Length: 20000\r\n", size: 10_000, end: end})
				Expect(err).To(HaveOccurred())
			}
		}
	})
})
