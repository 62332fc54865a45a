package jetty

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// lateReader is a backend server that reads the first piece of a request's body, works for
// a while and reads the rest then. Meanwhile its window is closed.
type lateReader struct {
	work time.Duration
	// early has the server send the head of its response before it works.
	early bool
	// bufferBytes is the size of the receive buffer of its connections; 0 leaves it to the
	// kernel, which then drops part of what it has allowed the sender to send.
	bufferBytes int
}

// firstPieceBytes is the part of a body that a [lateReader] reads at once.
const firstPieceBytes = 16 << 10

// start returns the address of the server.
func (s lateReader) start() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go s.run(l)
	return l.Addr().String()
}

func (s lateReader) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if s.bufferBytes > 0 {
			_ = c.(*net.TCPConn).SetReadBuffer(s.bufferBytes)
		}
		go s.serve(c)
	}
}

func (s lateReader) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadFull(r.Body, make([]byte, firstPieceBytes)); err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		if s.early {
			_, _ = io.WriteString(c, head)
			head = ""
		}
		time.Sleep(s.work)
		rest, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		body := fmt.Sprintf("read %d", firstPieceBytes+rest)
		_, _ = fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
}

var _ = Describe("A request whose server reads its body late", func() {
	const bodyBytes = 8 << 20
	// send sends a request that must not be repeated.
	send := func(s lateReader, timeout time.Duration) (*exchangeBench, timedResult) {
		GinkgoHelper()
		b := newExchangeBench(0)
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: s.start(), Incarnation: 1, Slots: 20}}))
		r := b.request(1, timeout)
		r.route.Repeat = fairway.RepeatNever
		r.outgoingRequest.Method, r.outgoingRequest.Body = http.MethodPost, []byte(strings.Repeat("x", bodyBytes))
		return b, <-b.send(context.Background(), r)
	}
	expectServed := func(b *exchangeBench, res timedResult) {
		GinkgoHelper()
		resp, ok := res.result.(backendResponse)
		Expect(ok).To(BeTrue(), "%+v after %v", res.result, res.after)
		Expect(resp.status).To(Equal(http.StatusOK))
		Expect(string(resp.body)).To(Equal(fmt.Sprint("read ", bodyBytes)))
		b.expectNothingLeft()
	}

	// A buffer below the loopback interface's largest segment of 64 KB would be filled at the
	// pace of the probes.
	for _, bufferBytes := range []int{0, 256 << 10} {
		It(fmt.Sprintf("is not cut while the server's window is closed for longer than a lost server is waited for, buffer of %d bytes", bufferBytes), func() {
			var sends sync.WaitGroup
			for range 8 {
				sends.Go(func() {
					defer GinkgoRecover()
					expectServed(send(lateReader{work: 5 * userTimeout / 2, bufferBytes: bufferBytes}, 20*time.Second))
				})
			}
			sends.Wait()
		})
	}

	It("has its body sent on while the server, which has begun to respond, reads it", func() {
		expectServed(send(lateReader{work: 100 * time.Millisecond, early: true}, 5*time.Second))
	})

	It("ends at its deadline", func() {
		b, res := send(lateReader{work: 10 * time.Second}, 3*userTimeout/2)
		Expect(res.result).To(Equal(gatewayError{status: http.StatusGatewayTimeout, reason: reasonDeadline}))
		Expect(res.after).To(BeNumerically("~", 3*userTimeout/2, 400*time.Millisecond))
		b.expectNothingLeft()
	})
})
