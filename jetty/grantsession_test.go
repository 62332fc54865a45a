package jetty

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/mooring"
)

// grantServer is one incarnation of a server that accepts every order.
type grantServer struct {
	server *http.Server
	orders atomic.Int64
	// accepted counts the connections.
	accepted atomic.Int64
	// silent servers do not answer.
	silent atomic.Bool
}

func startGrantServer(address string) (*grantServer, string) {
	GinkgoHelper()
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	s := &grantServer{}
	s.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.orders.Add(1)
		if s.silent.Load() {
			<-r.Context().Done()
		}
	})}
	s.server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.accepted.Add(1)
		}
	}
	go func() { _ = s.server.Serve(l) }()
	DeferCleanup(s.server.Close)
	return s, l.Addr().String()
}

var _ = Describe("A session of grants", func() {
	var (
		sender *orderSender
		t      *term
		first  *grantServer
		order  mooring.Order
	)
	send := func(session mooring.SessionID) mooring.OrderCompleted {
		o := order
		o.Session = session
		return sender.send(context.Background(), t, o)
	}
	BeforeEach(func() {
		var address string
		first, address = startGrantServer("127.0.0.1:0")
		sender = newOrderSender(orderSenderConfig{
			Protocol: fakeProtocol{}, Upstream: newUpstream(orderConnections, nil), Logs: quietLogs(), Metrics: newMetrics(),
		})
		t = &term{ttl: time.Second}
		t.confirm(bootTimeNow())
		order = mooring.Order{To: mooring.ServerInstance{Server: "s", Address: address}}
	})

	It("is kept over grants and releases", func() {
		began := send(0)
		Expect(began.Result).To(Equal(mooring.ResultAccepted))
		Expect(began.Session).NotTo(BeZero())
		release := order
		release.Release = true
		Expect(sender.send(context.Background(), t, release).Result).To(Equal(mooring.ResultAccepted))
		again := send(began.Session)
		Expect(again.Result).To(Equal(mooring.ResultAccepted))
		Expect(again.Session).To(Equal(began.Session))
	})

	It("is not shared with releases, each of which has a connection of its own", func() {
		release := order
		release.Release = true
		for range 3 {
			Expect(send(0).Result).To(Equal(mooring.ResultAccepted))
			Expect(sender.send(context.Background(), t, release).Result).To(Equal(mooring.ResultAccepted))
		}
		Expect(first.accepted.Load()).To(BeEquivalentTo(1 + 3))
		open, _ := sender.upstream.count()
		Expect(open).To(Equal(1))
	})

	It("never reaches a server that was restarted under its id", func() {
		began := send(0)
		Expect(first.server.Close()).To(Succeed())
		second, _ := startGrantServer(order.To.Address)
		Expect(send(began.Session).Result).To(Equal(mooring.ResultSessionEnded))
		Expect(second.orders.Load()).To(BeZero())
		again := send(0)
		Expect(again.Result).To(Equal(mooring.ResultAccepted))
		Expect(again.Session).NotTo(Equal(began.Session))
	})

	It("ends with a grant that gets no response", func() {
		began := send(0)
		first.silent.Store(true)
		lost := send(began.Session)
		Expect(lost.Result).To(Equal(mooring.ResultNoResponse))
		Expect(lost.Session).To(Equal(began.Session))
		first.silent.Store(false)
		Expect(send(began.Session).Result).To(Equal(mooring.ResultSessionEnded))
	})

	It("does not end while the server cannot be reached again", func() {
		began := send(0)
		Expect(first.server.Close()).To(Succeed())
		Expect(send(began.Session).Result).To(Equal(mooring.ResultNotSent))
	})

	It("does not begin while the placer's lease may have expired", func() {
		began := send(0)
		t.writesUntil.Store(0)
		Expect(send(began.Session).Result).To(Equal(mooring.ResultAccepted))
		Expect(first.server.Close()).To(Succeed())
		second, _ := startGrantServer(order.To.Address)
		for _, session := range []mooring.SessionID{0, began.Session} {
			Expect(send(session).Result).To(Equal(mooring.ResultNotTried))
		}
		Expect(second.orders.Load()).To(BeZero())
	})

	It("is closed when it is not used", func() {
		send(0)
		sender.grants.closeIdle()
		Expect(sender.grants.sessions).To(HaveLen(1))
		Expect(first.server.Close()).To(Succeed())
		Eventually(func() int {
			sender.grants.closeIdle()
			return len(sender.grants.sessions)
		}).Should(BeZero())
		open, _ := sender.upstream.count()
		Expect(open).To(BeZero())
	})
})
