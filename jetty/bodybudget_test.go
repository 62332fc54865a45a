package jetty

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/metadata"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
)

var _ = Describe("A budget for request bodies", func() {
	const memoryMB = 184
	var b *bodyBudget
	var collected int
	BeforeEach(func() {
		collected = 0
		b = newBodyBudget(memoryMB)
		b.collect = func() { collected++ }
	})
	expectReserved := func(bytes int64) *bodyReservation {
		GinkgoHelper()
		r, ok := b.reserve(bytes)
		Expect(ok).To(BeTrue(), "no room for %d beside %d", bytes, b.bytesReserved())
		return r
	}
	expectNoRoom := func(bytes int64) {
		GinkgoHelper()
		_, ok := b.reserve(bytes)
		Expect(ok).To(BeFalse(), "room for %d beside %d", bytes, b.bytesReserved())
	}

	It("has room for a body of 64 MiB on a host of 184 MiB, and keeps the rest for small ones", func() {
		expectReserved(64 << 20)
		expectNoRoom(64 << 20)
		expectNoRoom(8 << 20)
		for range 100 {
			expectReserved(smallBodyBytes)
		}
	})

	It("never gives more than its part of the memory", func() {
		for range 10_000 {
			if _, ok := b.reserve(smallBodyBytes); !ok {
				break
			}
		}
		expectNoRoom(smallBodyBytes)
		Expect(b.bytesReserved()).To(BeNumerically("<=", 74<<20))
	})

	It("has no room for any length beside another body, however large", func() {
		expectReserved(8)
		expectNoRoom(math.MaxInt64)
	})

	It("gives room again that was released, once the memory is free", func() {
		expectReserved(40 << 20).release()
		Expect(collected).To(BeZero())
		expectReserved(40 << 20)
		Expect(collected).To(Equal(1))
		Expect(b.bytesReserved()).To(BeEquivalentTo(40 << 20))
	})

	// The slower of two attempts gave its room back twice in part, which was then held for ever.
	It("takes no room back from a request that ends at the same time", func() {
		r := expectReserved(1 << 20)
		b.mu.Lock()
		shrunk := make(chan struct{})
		go func() {
			defer close(shrunk)
			r.shrink(1 << 10)
		}()
		// The other goroutine waits for the lock, which the end of the request has.
		Consistently(shrunk).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		b.reserved, r.bytes = b.reserved-r.bytes, 0
		b.mu.Unlock()
		Eventually(shrunk).Should(BeClosed())
		Expect(b.bytesReserved()).To(BeZero())
	})

	It("counts both buffers of a body that grows", func() {
		r := expectReserved(24 << 20)
		Expect(r.grow(48 << 20)).To(BeFalse())
		Expect(r.grow(32 << 20)).To(BeTrue())
		Expect(b.bytesReserved()).To(BeEquivalentTo(32 << 20))
		r.release()
		Expect(b.bytesReserved()).To(BeZero())
	})

	It("tells when the oldest of the larger bodies is expected to have been released", func() {
		r := expectReserved(40 << 20)
		b.meanTime = 1500 * time.Millisecond
		Expect(b.retryAfter(r.since)).To(Equal(1500 * time.Millisecond))
		Expect(b.retryAfter(r.since.Add(time.Second))).To(Equal(500 * time.Millisecond))
		Expect(b.retryAfter(r.since.Add(time.Minute))).To(Equal(minRoomRetryAfter))
		b.meanTime = time.Minute
		Expect(b.retryAfter(r.since)).To(Equal(maxRoomRetryAfter))
	})

	It("has no limit on a host whose memory is not known", func() {
		b.setMemory(0)
		for range 10 {
			expectReserved(1 << 30)
		}
	})
})

// A stated length ended the process that had no limit for it.
var _ = Describe("A body whose length is stated and does not come", func() {
	DescribeTable("takes no memory for what has not come, where nothing limits it", func(budget func() *bodyBudget) {
		const stated = 1 << 45
		b := &bodyReader{reader: iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("amount"))), length: stated, budget: budget()}
		_, err := b.read()
		Expect(err).To(MatchError(iotest.ErrTimeout))
	},
		Entry("without a budget", func() *bodyBudget { return nil }),
		Entry("with one of a host whose memory is not known", func() *bodyBudget { return newBodyBudget(0) }),
	)
})

// upload is a request with a body, of which a part has been sent.
type upload struct {
	net.Conn
	reader *bufio.Reader
}

// receive reads the response.
func (u upload) receive() (*http.Response, string) {
	GinkgoHelper()
	Expect(u.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(u.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}

// One process held every body of its callers, and the platform killed it for its memory.
var _ = Describe("Large request bodies at once", func() {
	const bodyBytes = 40 << 20
	var address string
	var b *exchangeBench
	BeforeEach(func() {
		b = newExchangeBench(0)
		b.serve("s", 20, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			w.Header().Set("Signed", "y")
			_, _ = fmt.Fprint(w, n)
		})
		route := &fairway.Route{
			Name: "upload", Host: "example.com", Prefix: "/", Repeat: fairway.RepeatNever, MaxAttempts: 2, Objective: time.Second,
			Destinations: []fairway.Destination{{Service: "readings", Weight: 1}},
		}
		config, err := fairway.NewConfig(1, fairway.Limits{BodyBytes: 64 << 20}, []*fairway.Route{route}, []*fairway.Service{b.service})
		Expect(err).NotTo(HaveOccurred())
		active := b.f.clusterState.activeConfig
		active.SetIfNewer(config)
		b.f.bodies = newBodyBudget(184)
		in := &ingress{headers: b.f.headers, activeConfig: active, random: noDelay, forwarder: b.f, discards: newDiscards(), logs: b.f.logs, metrics: b.f.metrics}
		server := httptest.NewServer(in)
		DeferCleanup(server.Close)
		DeferCleanup(server.CloseClientConnections)
		address = strings.TrimPrefix(server.URL, "http://")
	})
	// begin sends the head of a request.
	left := 20 * time.Second
	begin := func(framing string) upload {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: example.com\r\nId: request-%d\r\nLeft: %d\r\n%s\r\n\r\n", b.n.Add(1), left.Milliseconds(), framing)
		Expect(err).NotTo(HaveOccurred())
		return upload{Conn: c, reader: bufio.NewReader(c)}
	}
	withLength := func(n int) string { return "Content-Length: " + strconv.Itoa(n) }
	expectRefused := func(u upload) {
		GinkgoHelper()
		resp, text := u.receive()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(text).To(Equal(string(reasonNoMemory) + "\n"))
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(BeNumerically(">", 0))
	}
	expectServed := func(u upload, n int) {
		GinkgoHelper()
		_, err := io.Copy(u, io.LimitReader(endlessReader{}, int64(n)))
		Expect(err).NotTo(HaveOccurred())
		resp, text := u.receive()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(text).To(Equal(strconv.Itoa(n)))
	}

	It("are refused before they are read if there is no room for them, and served later", func() {
		first := begin(withLength(bodyBytes))
		Eventually(b.f.bodies.bytesReserved).Should(BeEquivalentTo(bodyBytes))
		expectRefused(begin(withLength(bodyBytes)))
		expectServed(begin(withLength(8)), 8)
		// A caller that reads the response only once it has sent the whole body gets it, too.
		whole := begin(withLength(bodyBytes))
		_, err := io.Copy(whole, io.LimitReader(endlessReader{}, bodyBytes))
		Expect(err).NotTo(HaveOccurred())
		expectRefused(whole)
		expectServed(first, bodyBytes)
		Eventually(b.f.bodies.bytesReserved).Should(BeZero())
		expectServed(begin(withLength(bodyBytes)), bodyBytes)
	})

	It("are refused at once also if net/http would read them before it responds", func() {
		_, ok := b.f.bodies.reserve(64<<20 + 400_000)
		Expect(ok).To(BeTrue())
		expectRefused(begin(withLength(100_000)))
	})

	It("are not waited for after a refusal if their callers wait to be told to go on", func() {
		begin(withLength(bodyBytes))
		Eventually(b.f.bodies.bytesReserved).Should(BeEquivalentTo(bodyBytes))
		u := begin(withLength(bodyBytes) + "\r\nExpect: 100-continue")
		expectRefused(u)
		_, err := u.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("are refused as they grow beyond the room, if their length is not known", func() {
		begin(withLength(bodyBytes))
		Eventually(b.f.bodies.bytesReserved).Should(BeEquivalentTo(bodyBytes))
		u := begin("Transfer-Encoding: chunked")
		go func() {
			w := httputil.NewChunkedWriter(u)
			_, _ = io.Copy(w, io.LimitReader(endlessReader{}, bodyBytes))
		}()
		expectRefused(u)
		Eventually(b.f.bodies.bytesReserved).Should(BeEquivalentTo(bodyBytes))
	})

	It("are refused at once if they are longer than the configuration allows", func() {
		resp, text := begin(withLength(65 << 20)).receive()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(text).To(Equal(string(reasonBodyTooLarge) + "\n"))
	})

	It("give their room back if the caller leaves", func() {
		u := begin(withLength(bodyBytes))
		Eventually(b.f.bodies.bytesReserved).Should(BeEquivalentTo(bodyBytes))
		Expect(u.Close()).To(Succeed())
		Eventually(b.f.bodies.bytesReserved).Should(BeZero())
	})

	It("are refused at the deadline of their request if they have not come by then", func() {
		left = 300 * time.Millisecond
		DeferCleanup(func() { left = 20 * time.Second })
		u := begin(withLength(1000))
		_, err := u.Write(make([]byte, 999))
		Expect(err).NotTo(HaveOccurred())
		resp, text := u.receive()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(text).To(Equal(string(reasonDeadline) + "\n"))
		Eventually(b.f.bodies.bytesReserved).Should(BeZero())
	})

	It("count for requests of other hosts as well", func() {
		_, ok := b.f.bodies.reserve(64 << 20)
		Expect(ok).To(BeTrue())
		stream := &offerStream{offer: &signal.RelayOffer{Service: "readings", BodyBytes: maxRelayedBodyBytes, LeftMicros: 1_000_000}}
		s := &relayServer{forwarder: b.f, stopping: func() bool { return false }}
		Expect(s.Forward(stream)).To(Succeed())
		Expect(stream.reply.GetRefused().GetReason()).To(Equal(string(reasonNoMemory)))
		Expect(stream.reply.GetRefused().GetRetryAfterMillis()).NotTo(BeZero())
	})
})

// offerStream is the stream of a request that another host offers.
type offerStream struct {
	relayServerStream
	offer *signal.RelayOffer
	reply *signal.RelayReply
}

// Recv implements relayServerStream.
func (s *offerStream) Recv() (*signal.RelayMessage, error) {
	return &signal.RelayMessage{Part: &signal.RelayMessage_Offer{Offer: s.offer}}, nil
}

// SendHeader implements relayServerStream.
func (*offerStream) SendHeader(metadata.MD) error { return nil }

// Send implements relayServerStream.
func (s *offerStream) Send(m *signal.RelayReply) error {
	s.reply = m
	return nil
}

// endlessReader reads zeros.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}
