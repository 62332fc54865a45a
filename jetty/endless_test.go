package jetty

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// endlessBytes and endlessTime bound what an endlessServer sends on a
	// connection. Both are far beyond what a caller may take.
	endlessBytes = 64 << 20
	endlessTime  = 6 * time.Second
	// noticeTime bounds how long it takes to notice that bytes are no response, or
	// that a deadline has passed.
	noticeTime = 2 * time.Second
)

// endlessResponse is a response that goes on until the caller closes the
// connection. ID stands for the request's id.
type endlessResponse struct {
	start  string
	repeat string
	// delay is the pause after start, and pause the one after each repeat.
	delay, pause time.Duration
}

// endlessServer sends its response to the first request on each connection.
type endlessServer struct {
	listener net.Listener
	response endlessResponse
	accepted atomic.Int64
	// closed receives true for each connection that the caller closed, and false
	// for each that has reached the bounds.
	closed chan bool
}

func newEndlessServer(response endlessResponse) *endlessServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &endlessServer{listener: l, response: response, closed: make(chan bool, 100)}
	DeferCleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *endlessServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(c)
	}
}

func (s *endlessServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_ = c.SetDeadline(time.Now().Add(endlessTime))
	s.closed <- isClosed(s.writeResponse(c, r.Header.Get("Id")))
}

// writeResponse returns the error that ends it, which is nil if the bounds were
// reached.
func (s *endlessServer) writeResponse(c net.Conn, id string) error {
	repeat := strings.ReplaceAll(s.response.repeat, "ID", id)
	start := strings.ReplaceAll(s.response.start, "ID", id)
	if s.response.delay == 0 {
		start += repeat
	}
	if s.response.pause == 0 {
		repeat = strings.Repeat(repeat, 1+(32<<10)/len(repeat))
	}
	if _, err := io.WriteString(c, start); err != nil {
		return err
	}
	time.Sleep(s.response.delay)
	began := time.Now()
	for sent := 0; sent < endlessBytes && time.Since(began) < endlessTime; sent += len(repeat) {
		if _, err := io.WriteString(c, repeat); err != nil {
			return err
		}
		time.Sleep(s.response.pause)
	}
	return nil
}

func (s *endlessServer) address() string {
	return s.listener.Addr().String()
}

func (s *endlessServer) expectClosedByCaller() {
	GinkgoHelper()
	var byCaller bool
	Eventually(s.closed, 2*endlessTime).Should(Receive(&byCaller))
	Expect(byCaller).To(BeTrue(), "the caller closes the connection")
}

const (
	signedHead  = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\n"
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// properBody is an endless body of a proper response.
func properBody() endlessResponse {
	return endlessResponse{start: chunkedHead, repeat: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"}
}

var _ = Describe("A backend server that sends without end", func() {
	var f *forwarder
	var n int
	BeforeEach(func() {
		f, n = &forwarder{
			headers: fakeProtocol{}.Headers(), upstream: newUpstream(requestConnections, nil), drain: newDrain(), reach: alwaysReaching{},
			logs: quietLogs(), metrics: newMetrics(),
		}, 0
	})
	exchange := func(address string, timeout time.Duration) (*backendResponse, error) {
		n++
		now := time.Now()
		r := &request{
			id: fmt.Sprintf("request-%d", n), route: &fairway.Route{Repeat: fairway.RepeatAllowed},
			service: &fairway.Service{}, arrived: now, deadline: now.Add(timeout),
		}
		r.outgoingRequest = outgoingRequest{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {r.id}}}
		ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
		defer cancel()
		return f.roundTrip(ctx, r, fairway.Endpoint{ID: "s", Address: address, Incarnation: 1})
	}
	expectNothingOpen := func() {
		GinkgoHelper()
		open, _ := f.upstream.count()
		Expect(open).To(BeZero(), "connections to the server")
	}
	// idleConnection reports whether a connection is kept that may be used again.
	idleConnection := func() bool {
		f.upstream.mu.Lock()
		defer f.upstream.mu.Unlock()
		return slices.ContainsFunc(f.upstream.pools["s"].idle, (*connection).reusable)
	}
	expectFailure := func(s *endlessServer, kind Kind, timeout, within time.Duration) {
		GinkgoHelper()
		began := time.Now()
		_, err := exchange(s.address(), timeout)
		Expect(time.Since(began)).To(BeNumerically("<", within))
		Expect(err).To(HaveOccurred())
		Expect(kindOf(err)).To(Equal(kind), err.Error())
		expectNothingOpen()
		s.expectClosedByCaller()
	}

	DescribeTable("is cut off at once if the bytes are no response", func(response endlessResponse) {
		expectFailure(newEndlessServer(response), KindInvalidResponse, 2*noticeTime, noticeTime)
	},
		Entry("a first line", endlessResponse{repeat: "x"}),
		Entry("a status line", endlessResponse{start: "HTTP/1.1 200 ", repeat: "O"}),
		Entry("empty lines", endlessResponse{repeat: "\r\n"}),
		Entry("a header", endlessResponse{start: signedHead + "X: ", repeat: "x"}),
		Entry("a header's name", endlessResponse{start: signedHead, repeat: "x"}),
		Entry("a header that is continued", endlessResponse{start: signedHead + "X: x", repeat: "\r\n x"}),
		Entry("one header again and again", endlessResponse{start: signedHead, repeat: "X: x\r\n"}),
		Entry("informational responses", endlessResponse{repeat: "HTTP/1.1 103 Early Hints\r\nId: ID\r\n\r\n"}),
		Entry("responses to another request", endlessResponse{repeat: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"}),
		Entry("a body for another request", endlessResponse{start: "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", repeat: "x"}),
		Entry("a chunk's size", endlessResponse{start: chunkedHead, repeat: "0"}),
		Entry("an extension of a chunk", endlessResponse{start: chunkedHead + "1;", repeat: "x"}),
		Entry("chunks with more extension than data", endlessResponse{start: chunkedHead, repeat: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"}),
		Entry("a trailer", endlessResponse{start: chunkedHead + "0\r\nX: ", repeat: "x"}),
		Entry("one trailer again and again", endlessResponse{start: chunkedHead + "0\r\n", repeat: "X: x\r\n"}),
	)

	DescribeTable("does not hold a request past its deadline by slow bytes", func(start, repeat string) {
		response := endlessResponse{start: start, repeat: repeat, pause: 5 * time.Millisecond}
		expectFailure(newEndlessServer(response), KindTimeout, 300*time.Millisecond, noticeTime)
	},
		Entry("of a status line", "HTTP/1.1 200 ", "O"),
		Entry("of a header", signedHead+"X: ", "x"),
		Entry("of informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("of a body in chunks", chunkedHead, "1\r\nx\r\n"),
		Entry("of a body without a length", signedHead+"\r\n", "x"),
	)

	DescribeTable("has no more than a part of its body held, and that until the deadline", func(response endlessResponse) {
		s := newEndlessServer(response)
		const timeout = time.Second
		began := time.Now()
		resp, err := exchange(s.address(), timeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(resp.body)).To(Equal(maxBufferedBytes + 1))
		for err == nil {
			_, err = resp.remaining.Read(make([]byte, readBufferBytes))
			time.Sleep(time.Millisecond)
		}
		Expect(time.Since(began)).To(And(BeNumerically(">", timeout/2), BeNumerically("<", timeout+noticeTime)))
		Expect(errors.Is(err, io.EOF)).To(BeFalse(), err.Error())
		resp.finish(false)
		expectNothingOpen()
		s.expectClosedByCaller()
	},
		Entry("in chunks", properBody()),
		Entry("without a length", endlessResponse{start: signedHead + "\r\n", repeat: "x"}),
		Entry("with a great length", endlessResponse{start: signedHead + "Content-Length: 9000000000000000000\r\n\r\n", repeat: "x"}),
	)

	DescribeTable("after a complete response loses the connection, not the response", func(delay time.Duration) {
		s := newEndlessServer(endlessResponse{start: responseText("ID", "", "whole"), repeat: responseText("ID", "", "again"), delay: delay})
		for range 2 {
			resp, err := exchange(s.address(), time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.body)).To(Equal("whole"))
			Eventually(idleConnection).Should(BeFalse())
		}
		Expect(s.accepted.Load()).To(BeEquivalentTo(2), "connections")
		s.expectClosedByCaller()
	},
		Entry("at once", time.Duration(0)),
		Entry("while the connection is idle", 50*time.Millisecond),
	)

	DescribeTable("is not taken for one that has a long head", func(own, id string) {
		s := newScriptedServer(responseText("ID", "X: "+own+"\r\n", "whole"))
		now := time.Now()
		r := &request{id: id, route: &fairway.Route{}, service: &fairway.Service{}, arrived: now, deadline: now.Add(2 * time.Second)}
		r.outgoingRequest = outgoingRequest{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {r.id}}}
		resp, err := f.roundTrip(context.Background(), r, fairway.Endpoint{ID: "s", Address: s.listener.Addr().String(), Incarnation: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.body)).To(Equal("whole"))
	},
		Entry("of its own", strings.Repeat("x", 31<<10), "1"),
		Entry("that repeats the request's id", strings.Repeat("x", 31<<10), strings.Repeat("1", 200<<10)),
	)
})

var _ = Describe("A caller whose backend server sends without end", func() {
	var b *exchangeBench
	BeforeEach(func() {
		b = newExchangeBench(100)
	})
	serve := func(id fairway.ServerID, response endlessResponse) *endlessServer {
		s := newEndlessServer(response)
		endpoint := fairway.Endpoint{ID: id, Service: "readings", Address: s.address(), Incarnation: 1, Slots: 20}
		b.f.clusterState.servers.Store(b.f.clusterState.catalog().Apply([]fairway.Endpoint{endpoint}, nil))
		return s
	}
	endlessHead := endlessResponse{start: signedHead, repeat: "X: x\r\n"}

	It("gets no promise that the request has not run", func() {
		s := serve("s", endlessHead)
		r := b.request(2, 2*noticeTime)
		r.route.Repeat = fairway.RepeatNever
		res := <-b.send(context.Background(), r)
		Expect(res.result).To(Equal(gatewayError{status: http.StatusBadGateway, reason: reasonServerFailed}))
		Expect(res.after).To(BeNumerically("<", noticeTime))
		Expect(s.accepted.Load()).To(BeEquivalentTo(1), "sends")
		b.expectNothingLeft()
	})

	It("gets the response of another server if the request may be repeated", func() {
		s := serve("s", endlessHead)
		b.serve("t", 20, work(0))
		// With this deadline the other server is not asked for being faster within
		// noticeTime.
		const timeout = 3 * noticeTime
		for range 4 {
			res := <-b.send(context.Background(), b.request(2, timeout))
			Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
			Expect(res.after).To(BeNumerically("<", noticeTime))
		}
		Expect(s.accepted.Load()).NotTo(BeZero(), "sends")
		s.expectClosedByCaller()
		b.expectNothingLeft()
	})

	// startFront forwards each request with the given timeout, and returns a
	// connection on which a request has been sent.
	startFront := func(timeout time.Duration) net.Conn {
		GinkgoHelper()
		in := &ingress{headers: b.f.headers, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			r := b.request(1, timeout)
			in.writeResult(w, hr, r, b.f.forward(hr.Context(), r))
		}))
		DeferCleanup(front.Close)
		nc, err := net.Dial("tcp", strings.TrimPrefix(front.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = nc.Close() })
		send(nc, "/x")
		return nc
	}
	expectClosedWithin := func(s *endlessServer, within time.Duration) {
		GinkgoHelper()
		began := time.Now()
		s.expectClosedByCaller()
		Expect(time.Since(began)).To(BeNumerically("<", within))
		b.expectNothingLeft()
	}

	It("sees that a body was cut at the deadline", func() {
		s := serve("s", properBody())
		const timeout = time.Second
		began := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(startFront(timeout)), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		// A slow caller: the server does not reach its bounds before the deadline.
		for err == nil {
			_, err = io.CopyN(io.Discard, resp.Body, 16<<10)
			time.Sleep(time.Millisecond)
		}
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(time.Since(began)).To(BeNumerically("<", endlessTime))
		expectClosedWithin(s, noticeTime)
	})

	It("does not keep the server at work past the deadline by reading nothing", func() {
		s := serve("s", properBody())
		const timeout = time.Second
		startFront(timeout)
		expectClosedWithin(s, timeout+noticeTime)
	})

	It("does not keep the server at work when it leaves during a slow body", func() {
		response := properBody()
		response.start += strings.Repeat(response.repeat, 300)
		response.repeat, response.pause = "1\r\nx\r\n", 10*time.Millisecond
		s := serve("s", response)
		nc := startFront(5 * time.Second)
		_, err := io.CopyN(io.Discard, nc, maxBufferedBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(nc.Close()).To(Succeed())
		expectClosedWithin(s, 500*time.Millisecond)
	})
})

var _ = Describe("An order to a backend server that sends without end", func() {
	DescribeTable("ends by its timeout without a response", func(response endlessResponse, release bool) {
		s := newEndlessServer(response)
		o := newOrderSender(orderSenderConfig{Protocol: fakeProtocol{}, Upstream: newUpstream(orderConnections, nil), Logs: quietLogs(), Metrics: newMetrics()})
		t := &term{ttl: time.Second}
		t.confirm(bootTimeNow())
		order := mooring.Order{To: mooring.ServerInstance{Server: "s", Address: s.address(), Incarnation: 1}, Release: release}
		completed := make(chan mooring.OrderCompleted, 1)
		go func() { completed <- o.send(context.Background(), t, order) }()
		var c mooring.OrderCompleted
		Eventually(completed, 2*releaseTimeout).Should(Receive(&c))
		Expect(c.Result).To(Equal(mooring.ResultNoResponse))
		open, _ := o.upstream.count()
		Expect(open).To(BeZero(), "connections to the server")
		s.expectClosedByCaller()
	},
		Entry("grant, one header again and again", endlessResponse{start: "HTTP/1.1 200 OK\r\n", repeat: "X: x\r\n"}, false),
		Entry("grant, a body", endlessResponse{start: "HTTP/1.1 200 OK\r\n\r\n", repeat: "x"}, false),
		Entry("grant, slow bytes of a body", endlessResponse{start: "HTTP/1.1 200 OK\r\n\r\n", repeat: "x", pause: 5 * time.Millisecond}, false),
		Entry("release, slow bytes of a head", endlessResponse{start: "HTTP/1.1 200 OK\r\nX: ", repeat: "x", pause: 5 * time.Millisecond}, true),
		Entry("release, slow bytes of a body", endlessResponse{start: "HTTP/1.1 200 OK\r\n\r\n", repeat: "x", pause: 5 * time.Millisecond}, true),
	)

	It("does not take what is left of a long body as a response to the next order", func() {
		s := newEndlessServer(endlessResponse{
			start:  "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n" + strings.Repeat("x", maxOrderResponseBytes),
			repeat: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", delay: 100 * time.Millisecond,
		})
		u := newUpstream(orderConnections, nil)
		o := newOrderSender(orderSenderConfig{Protocol: fakeProtocol{}, Upstream: u, Logs: quietLogs(), Metrics: newMetrics()})
		t := &term{ttl: time.Second}
		t.confirm(bootTimeNow())
		order := mooring.Order{To: mooring.ServerInstance{Server: "s", Address: s.address(), Incarnation: 1}}
		for range 2 {
			Expect(o.send(context.Background(), t, order).Result).To(Equal(mooring.ResultNoResponse))
		}
		Expect(s.accepted.Load()).To(BeEquivalentTo(2), "connections")
	})
})
