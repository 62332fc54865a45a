package jetty

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/gauge"
)

func metricsText(m *metrics) string {
	w := httptest.NewRecorder()
	gauge.MetricsHandler{Scope: m}.ServeHTTP(w, nil)
	return w.Body.String()
}

// orderServer accepts and counts orders.
type orderServer struct {
	address string
	mu      sync.Mutex
	orders  int
}

func newOrderServer() *orderServer {
	s := &orderServer{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.orders++
	}))
	DeferCleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}

func (s *orderServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

// scriptedServer answers each request on a connection with the next of its
// responses, in which ID stands for the request's id. It closes the connection
// after a response that contains "cut", and when no response is left.
type scriptedServer struct {
	listener  net.Listener
	responses []string
	// beforeCut, if set, is called before a connection is closed after a response.
	beforeCut func(c net.Conn)
	mu        sync.Mutex
	accepted  int
}

func newScriptedServer(responses ...string) *scriptedServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scriptedServer{listener: l, responses: responses}
	DeferCleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *scriptedServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		if len(s.responses) == 0 {
			s.mu.Unlock()
			return
		}
		text := s.responses[0]
		s.responses = s.responses[1:]
		s.mu.Unlock()
		_, err = c.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get("Id"))))
		if err != nil {
			return
		}
		if strings.Contains(text, "cut") {
			if s.beforeCut != nil {
				s.beforeCut(c)
			}
			return
		}
	}
}

func (s *scriptedServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// responseText formats a response.
func responseText(id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\n%sContent-Length: %d\r\n\r\n%s", id, headers, len(body), body)
}

var _ = Describe("An exchange with a backend server", func() {
	var u *upstream
	var f *forwarder
	var n int
	BeforeEach(func() {
		u, n = newUpstream(requestConnections, nil), 0
		f = &forwarder{headers: fakeProtocol{}.Headers(), upstream: u, drain: newDrain(), reach: alwaysReaching{}, logs: quietLogs(), metrics: newMetrics()}
	})
	exchange := func(s *scriptedServer) (*backendResponse, error) {
		n++
		r := &request{
			id: fmt.Sprintf("request-%d", n), route: &fairway.Route{Repeat: fairway.RepeatAllowed},
			service: &fairway.Service{}, deadline: time.Now().Add(2 * time.Second), arrived: time.Now(),
		}
		r.outgoingRequest = outgoingRequest{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {r.id}}}
		endpoint := fairway.Endpoint{ID: "s", Address: s.listener.Addr().String(), Incarnation: 1}
		ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
		defer cancel()
		return f.roundTrip(ctx, r, endpoint)
	}
	expectBody := func(resp *backendResponse, err error, body string) {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.body)).To(Equal(body))
	}
	expectKind := func(err error, kind Kind) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		Expect(kindOf(err)).To(Equal(kind))
	}

	It("reuses a connection", func() {
		s := newScriptedServer(responseText("ID", "", "one"), responseText("ID", "", "two"))
		resp, err := exchange(s)
		expectBody(resp, err, "one")
		resp, err = exchange(s)
		expectBody(resp, err, "two")
		Expect(s.connections()).To(Equal(1))
	})

	It("skips a response to another request", func() {
		s := newScriptedServer(responseText("request-77", "", "not yours") + responseText("ID", "", "yours"))
		resp, err := exchange(s)
		expectBody(resp, err, "yours")
	})

	It("does not reuse a connection with bytes left over", func() {
		s := newScriptedServer(responseText("ID", "", "one")+responseText("ID", "", "again"), responseText("ID", "", "two"))
		resp, err := exchange(s)
		expectBody(resp, err, "one")
		resp, err = exchange(s)
		expectBody(resp, err, "two")
		Expect(s.connections()).To(Equal(2))
	})

	It("does not reuse a connection that the server closed", func() {
		s := newScriptedServer(responseText("ID", "X: cut\r\n", "one"), responseText("ID", "", "two"))
		resp, err := exchange(s)
		expectBody(resp, err, "one")
		time.Sleep(20 * time.Millisecond)
		resp, err = exchange(s)
		expectBody(resp, err, "two")
	})

	It("does not take a short body as whole", func() {
		s := newScriptedServer("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 9\r\n\r\ncut")
		_, err := exchange(s)
		expectKind(err, KindReset)
	})

	It("does not take other bytes as a response", func() {
		s := newScriptedServer("garbage garbage cut\r\n\r\n")
		_, err := exchange(s)
		expectKind(err, KindInvalidResponse)
	})

	DescribeTable("does not quote all of what is no response", func(text string) {
		s := newScriptedServer(text + strings.Repeat("é", 10<<10) + "cut\r\n\r\n")
		_, err := exchange(s)
		expectKind(err, KindInvalidResponse)
		Expect(len(err.Error())).To(BeNumerically("<", 2*maxErrorText))
		Expect(utf8.ValidString(err.Error())).To(BeTrue())
	},
		Entry("in the first line", ""),
		Entry("in a status", "HTTP/1.1 "),
		Entry("in a header", "HTTP/1.1 200 OK\r\nId"),
		Entry("in a length", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: "),
		Entry("in an encoding", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: "),
	)

	It("does not take a response that names no request", func() {
		s := newScriptedServer(responseText("", "", "whose"))
		_, err := exchange(s)
		expectKind(err, KindInvalidResponse)
	})

	It("does not take an encoded response", func() {
		s := newScriptedServer(responseText("ID", "Content-Encoding: gzip\r\n", "zip"))
		_, err := exchange(s)
		expectKind(err, KindInvalidResponse)
	})

	It("takes a body without a length as whole if its connection ends in order, and not if it is reset", func() {
		const text = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\n\r\nall of it, then cut"
		s := newScriptedServer(text)
		resp, err := exchange(s)
		expectBody(resp, err, "all of it, then cut")
		s = newScriptedServer(text)
		s.beforeCut = reset
		_, err = exchange(s)
		expectKind(err, KindReset)
	})

	It("reports that nothing was sent when the server refuses connections", func() {
		s := newScriptedServer()
		_ = s.listener.Close()
		_, err := exchange(s)
		expectKind(err, KindNotSent)
	})

	It("keeps to its share of a server's connections", func() {
		s := newScriptedServer()
		endpoint := fairway.Endpoint{ID: "s", Address: s.listener.Addr().String(), Incarnation: 1}
		for range requestConnections {
			_, _, err := u.get(context.Background(), endpoint, getOptions{maxIdleFraction: 1})
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := u.get(context.Background(), endpoint, getOptions{maxIdleFraction: 1})
		Expect(err).To(MatchError(errConnectionLimit))
	})
})

// socketOption returns an option of a connection's socket.
func socketOption(c net.Conn, option int) int {
	GinkgoHelper()
	raw, err := c.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	value := 0
	var optErr error
	Expect(raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) })).To(Succeed())
	Expect(optErr).NotTo(HaveOccurred())
	return value
}

var _ = Describe("Connections that hang", func() {
	endpointOf := func(address string) fairway.Endpoint {
		return fairway.Endpoint{ID: "s", Address: address, Incarnation: 1}
	}
	// keepTwo returns an upstream with two idle connections, whose later connects fail
	// with err.
	keepTwo := func(err error) *upstream {
		GinkgoHelper()
		server := newOrderServer()
		dials := 0
		u := newUpstream(3, func(ctx context.Context, address string) (net.Conn, error) {
			if dials++; dials > 2 {
				return nil, err
			}
			return dialTCP(ctx, address)
		})
		var kept []*connection
		var p *pool
		for range 2 {
			c, pool, err := u.get(context.Background(), endpointOf(server.address), getOptions{maxIdleFraction: 1})
			Expect(err).NotTo(HaveOccurred())
			kept, p = append(kept, c), pool
		}
		for _, c := range kept {
			u.put(p, c)
		}
		_ = u.connect(context.Background(), endpointOf(server.address), nil)
		return u
	}
	idle := func(u *upstream) int { return len(u.pools["s"].idle) }

	It("end by the limits that are set on each", func() {
		c, err := dial(context.Background(), dialTCP, newOrderServer().address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(socketOption(c.Conn, unix.TCP_USER_TIMEOUT)).To(Equal(1000))
		Expect(socketOption(c.Conn, unix.TCP_KEEPIDLE)).To(Equal(1))
		Expect(socketOption(c.Conn, unix.TCP_KEEPINTVL)).To(Equal(1))
	})

	It("are dropped when another connect hangs", func() {
		u := keepTwo(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
		Expect(idle(u)).To(BeZero())
		open, _ := u.count()
		Expect(open).To(BeZero())
	})

	It("are kept when another connect is refused", func() {
		Expect(idle(keepTwo(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}))).To(Equal(2))
	})
})
