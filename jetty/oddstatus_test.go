package jetty

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// statusServer is a backend server that writes the text of a status to its connections.
type statusServer struct {
	address string
	status  atomic.Value
	// failures is how many responses have the status; the others have 200.
	failures atomic.Int64
	closed   atomic.Int64
	// size is that of the bodies.
	size int
}

func newStatusServer() *statusServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	s := &statusServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve answers requests until the host closes the connection. Interim responses are followed
// by a final one.
func (s *statusServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.closed.Add(1)
			return
		}
		head := fmt.Sprintf("Id: %s\r\nSigned: y\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), s.size, strings.Repeat("x", s.size))
		status := s.status.Load().(string)
		if s.failures.Add(-1) < 0 {
			status = "200"
		}
		text := "HTTP/1.1 " + status + " text\r\n" + head
		if isInterim(status) {
			text = "HTTP/1.1 " + status + " text\r\n\r\nHTTP/1.1 200 OK\r\n" + head
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func isInterim(status string) bool {
	n, err := strconv.Atoi(status)
	return err == nil && len(status) == 3 && n >= 100 && n < 200 && n != http.StatusSwitchingProtocols
}

// statusTable returns every status of three digits, and the texts that are none.
func statusTable() (valid, invalid []string) {
	for n := range 1000 {
		status := fmt.Sprintf("%03d", n)
		if n < 100 || n > 599 || n == http.StatusSwitchingProtocols {
			invalid = append(invalid, status)
		} else {
			valid = append(valid, status)
		}
	}
	return valid, append(invalid, "+20", "-01", "-00", "20", "2", "1000", "100x", "2x0", "abc", "0x1", "2.0", "２００")
}

var _ = Describe("A status that is none", func() {
	var s *statusServer
	BeforeEach(func() { s = newStatusServer() })

	use := func(b *exchangeBench) {
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: s.address, Incarnation: 1, Slots: 20}}))
	}
	answer := func(status string, failures int64) {
		s.status.Store(status)
		s.failures.Store(failures)
	}
	// call has a caller send a request to a host.
	call := func(b *exchangeBench, repeat fairway.Repeatability) int {
		GinkgoHelper()
		route := &fairway.Route{
			Name: "list", Host: "example.com", Prefix: "/", Repeat: repeat, MaxAttempts: 3, Objective: 300 * time.Millisecond,
			Destinations: []fairway.Destination{{Service: "readings", Weight: 1}},
		}
		config, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{route}, []*fairway.Service{b.service})
		Expect(err).NotTo(HaveOccurred())
		active := fairway.NewActiveConfig()
		active.SetIfNewer(config)
		in := &ingress{headers: b.f.headers, activeConfig: active, random: noDelay, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		server := httptest.NewServer(in)
		defer server.Close()
		req, err := http.NewRequest(http.MethodPost, server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "example.com"
		req.Header.Set("Id", fmt.Sprintf("request-%d", b.n.Add(1)))
		req.Header.Set("Left", "2000")
		req.Header.Set("Key", "7")
		resp, err := server.Client().Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}
	// expectInvalid checks one send of a host: the record of the server and its connection.
	expectInvalid := func(b *exchangeBench, status string) {
		GinkgoHelper()
		answer(status, 1)
		before := s.closed.Load()
		r := b.request(1, time.Second)
		_, err := b.f.roundTrip(context.Background(), r, b.f.clusterState.catalog().ByService("readings")[0])
		Expect(err).To(HaveOccurred(), status)
		Expect(failureOutcome(err)).To(Equal(sluice.OutcomeInvalidResponse), status)
		Eventually(s.closed.Load).Should(Equal(before+1), "connections closed, status %s", status)
	}

	// Statuses below 100 ended the handler, and with it the caller's connection.
	It("counts as an invalid response, and its connection is closed", func() {
		b := newExchangeBench(0)
		use(b)
		_, invalid := statusTable()
		for _, status := range invalid {
			expectInvalid(b, status)
		}
		b.expectNothingLeft()
	})

	It("is answered with 502, and other statuses are passed on", func() {
		valid, invalid := statusTable()
		for _, status := range slices.Concat(valid, invalid) {
			b := newExchangeBench(0)
			use(b)
			answer(status, 3)
			want := http.StatusBadGateway
			switch {
			case isInterim(status):
				want = http.StatusOK
			case status == "421":
				want = http.StatusServiceUnavailable
			case slices.Contains(valid, status):
				_, err := fmt.Sscanf(status, "%d", &want)
				Expect(err).NotTo(HaveOccurred())
				if impliesNotRun(want) {
					want = http.StatusBadGateway
				}
			}
			Expect(call(b, fairway.RepeatNever)).To(Equal(want), status)
		}
	})

	for _, status := range []string{"000", "042", "099", "+20", "101", "600", "999", "-01", "1000", "100x"} {
		It("has a request that may be repeated sent again: "+status, func() {
			b := newExchangeBench(10)
			b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{
				{ID: "s", Service: "readings", Address: s.address, Incarnation: 1, Slots: 20}, {ID: "t", Service: "readings", Address: s.address, Incarnation: 1, Slots: 20},
			}))
			answer(status, 1)
			Expect(call(b, fairway.RepeatAllowed)).To(Equal(http.StatusOK))
			b.expectNothingLeft()
		})

		It("is answered with 502 if a long body follows: "+status, func() {
			s.size = 4 * maxBufferedBytes
			b := newExchangeBench(0)
			use(b)
			answer(status, 3)
			Expect(call(b, fairway.RepeatNever)).To(Equal(http.StatusBadGateway))
			b.expectNothingLeft()
		})

		It("is answered with 502 through a peer: "+status, func() {
			p := newRelayPeer()
			use(p.exchangeBench)
			answer(status, 3)
			b, _ := newCutHost(0, p.address)
			Expect(call(b, fairway.RepeatNever)).To(Equal(http.StatusBadGateway))
			p.expectNothingLeft()
		})

		It("is answered with 502 through a carrier: "+status, func() {
			p := newRelayPeer()
			b, _ := newCarriedHost(p.address)
			for _, host := range []*exchangeBench{p.exchangeBench, b} {
				use(host)
				divideAt(host, s.address)
			}
			answer(status, 3)
			Expect(call(b, fairway.RepeatNever)).To(Equal(http.StatusBadGateway))
			p.expectNothingLeft()
		})

		for _, release := range []bool{false, true} {
			It(fmt.Sprintf("is no reply to an order (release: %t): %s", release, status), func() {
				answer(status, 1)
				o := newOrderSender(orderSenderConfig{Protocol: fakeProtocol{}, Upstream: newUpstream(orderConnections, nil), Logs: quietLogs(), Metrics: newMetrics()})
				t := &term{ttl: time.Second}
				t.confirm(bootTimeNow())
				order := mooring.Order{To: mooring.ServerInstance{Server: "s", Address: s.address, Incarnation: 1}, Release: release}
				Expect(o.send(context.Background(), t, order).Result).To(Equal(mooring.ResultNoResponse))
				Eventually(s.closed.Load).Should(BeEquivalentTo(1), "connections closed")
				open, _ := o.upstream.count()
				Expect(open).To(BeZero(), "connections open")
			})
		}
	}

	// Hosts of earlier releases pass on what they got.
	for _, status := range []uint32{0, 42, 99, 100, 101, 199, 600, 999, 1 << 31} {
		It(fmt.Sprintf("is not taken from another host: %d", status), func() {
			peer := &scriptedPeer{handle: func(stream relayServerStream) error {
				if err := awaitGo(stream); err != nil {
					return err
				}
				return stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Head{Head: &signal.RelayHead{
					Status: status, Server: "s", Whole: true,
					Headers: []*signal.RelayHeader{{Name: "Signed", Value: []byte("y")}, {Name: "Id", Value: []byte("request-1")}},
				}}})
			}}
			address, _ := serveRelay(peer)
			b, _ := newCutHost(0, address)
			Expect(call(b, fairway.RepeatNever)).To(Equal(http.StatusBadGateway))
		})
	}
})
