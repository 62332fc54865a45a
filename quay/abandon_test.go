package quay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/roster"
)

const (
	readings = berth.ServiceID("readings")
	// requestTimeout is longer than any test takes, and shorter than the lease.
	requestTimeout = 10 * time.Second
	routeLease     = time.Minute
	margin         = 50 * time.Millisecond
)

// noPeers is the directory and forwarder of a host without peers.
type noPeers struct{}

func (noPeers) Hosts(berth.DomainID) []berth.Host { return nil }

func (noPeers) Forward(context.Context, berth.Host, *quay.Request, quay.Sink) (quay.Outcome, error) {
	return nil, &quay.Error{Op: "forward", Kind: quay.KindNotRun}
}

// discardSink accepts any response.
type discardSink struct{}

func (discardSink) Head(int, http.Header) error { return nil }

func (discardSink) Write(data []byte) (int, error) { return len(data), nil }

// exchange answers one request on a connection. The connection is closed once it
// returns false.
type exchange func(c net.Conn, r *http.Request) bool

// routerFixture is a router with one server that ignores grants and owns the only
// shard, and a gate whose clock can be set ahead.
type routerFixture struct {
	router *quay.Router
	gate   *roster.Gate
	table  *berth.Table
	ahead  atomic.Int64
	// received counts the requests that the server has read.
	received atomic.Int32
	// decided, if set, is called with each decision.
	decided func(quay.Decision)
}

// LogDecision implements quay.DecisionLog.
func (f *routerFixture) LogDecision(d quay.Decision) {
	if f.decided != nil {
		f.decided(d)
	}
}

func newRouterFixture(answer exchange) *routerFixture {
	GinkgoHelper()
	f := &routerFixture{}
	f.gate = roster.NewGate(roster.GateConfig{
		Domain:       "d1",
		LeaseTracker: roster.LeaseTrackerConfig{Host: "h1", Incarnation: 1, RouteLease: routeLease},
		DriftMargin:  margin,
		Now:          func() time.Time { return time.Now().Add(time.Duration(f.ahead.Load())) },
	})
	file, err := manifest.Parse("rules", "route readings * to d1 # test: home")
	Expect(err).NotTo(HaveOccurred())
	f.gate.SetRules(roster.Rules{Newest: file, NewestRevision: 1, Opened: file, OpenedRevision: 1})
	f.router = quay.NewRouter(quay.RouterConfig{
		Host: "h1", Domain: "d1", Gate: f.gate, Forwarder: noPeers{}, Directory: noPeers{},
		Metrics: tally.NoopScope, Decisions: f, Home: file.Home,
		Services: []quay.ServiceConfig{{
			ID: readings, Divided: true, Repeat: quay.RepeatSafe, QueueLimit: 4, Timeout: requestTimeout,
			ResponseHeaderTimeout: 50 * time.Millisecond, ProgressTimeout: 50 * time.Millisecond,
		}},
	})
	server := berth.Server{
		ID: "s1", Address: f.listen(answer), Service: readings, State: berth.ServerLive, Slots: 6, Connections: 10,
	}
	f.follow(&berth.Table{
		Domain: "d1", Version: 1,
		Hosts:    []berth.Host{{ID: "h1", Incarnation: 1, State: berth.HostActive}},
		Servers:  []berth.Server{server},
		Services: []berth.ServiceShards{{Service: readings, HashShards: 1, Shards: []berth.Shard{{Owner: "s1"}}}},
	})
	return f
}

// listen starts the server and returns its address.
func (f *routerFixture) listen(answer exchange) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var group sync.WaitGroup
	DeferCleanup(func() {
		f.router.UpdateTable(&berth.Table{})
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { f.serve(c, answer) })
		}
	})
	return listener.Addr().String()
}

func (f *routerFixture) serve(c net.Conn, answer exchange) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.received.Add(1)
		if !answer(c, r) {
			return
		}
	}
}

func (f *routerFixture) follow(table *berth.Table) {
	f.table = table
	revision := berth.StoreRevision(table.Version)
	f.gate.Step(roster.TableReceived{Table: table, Revision: revision})
	f.gate.Step(roster.StoreChecked{Revision: revision, Unchanged: true, RequestedAt: time.Now()})
	f.router.UpdateTable(table)
}

// startMove makes the host follow a table in which the shard is moving away from
// the server, which no longer responds.
func (f *routerFixture) startMove() {
	next := f.table.Clone()
	next.Version++
	next.Servers[0].State = berth.ServerUnresponsive
	next.Services[0].Shards[0].NextOwner = "s2"
	f.follow(next)
}

func (f *routerFixture) route(ctx context.Context) quay.Outcome {
	return f.routeWith(ctx, make(http.Header))
}

// routeWith routes a request with some headers.
func (f *routerFixture) routeWith(ctx context.Context, header http.Header) quay.Outcome {
	request := &quay.Request{
		ID: "r1", Service: readings, Key: "tank-1", Method: http.MethodGet, Header: header,
	}
	return f.router.Route(ctx, request, discardSink{})
}

// expectHeldUntil expects that the host reports a request in flight at the former
// owner until its deadline has passed.
func (f *routerFixture) expectHeldUntil(deadline time.Time) {
	GinkgoHelper()
	f.startMove()
	Expect(f.gate.View().Drained).To(BeZero(), "the key is free to move")
	f.ahead.Store(int64(time.Until(deadline.Add(margin))))
	Expect(f.gate.View().Drained).To(Equal(f.table.Version))
}

// respond answers a request and keeps the connection open.
func respond(c net.Conn, r *http.Request, status string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Request-Id: "+r.Header.Get(quay.HeaderRequestID)+
		"\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// untilClosed works on a request until the host closes the connection.
func untilClosed(c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

var _ = Describe("The key of a request that was abandoned at a server that ignores grants", func() {
	It("does not move before the deadline when the caller has left", func() {
		f := newRouterFixture(untilClosed)
		ctx, leave := context.WithCancel(context.Background())
		outcomes := make(chan quay.Outcome, 1)
		go func() { outcomes <- f.route(ctx) }()
		Eventually(f.received.Load).Should(BeEquivalentTo(1))
		deadline := time.Now().Add(requestTimeout)
		leave()
		Eventually(outcomes).Should(Receive(BeAssignableToTypeOf(quay.Unknown{})))
		f.expectHeldUntil(deadline)
	})

	for _, loss := range []struct {
		name   string
		answer exchange
	}{
		{"the server's connection was reset", func(c net.Conn, _ *http.Request) bool {
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}},
		{"the response belonged to another request", func(c net.Conn, r *http.Request) bool {
			r.Header.Set(quay.HeaderRequestID, "r2")
			return respond(c, r, "200 OK")
		}},
		{"the response broke off", func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			return false
		}},
	} {
		It("does not move before the deadline when "+loss.name, func() {
			f := newRouterFixture(loss.answer)
			f.route(context.Background())
			f.expectHeldUntil(time.Now().Add(requestTimeout))
		})
	}

	It("does not move before the deadline when the request was retried on a new connection", func() {
		var f *routerFixture
		f = newRouterFixture(func(c net.Conn, r *http.Request) bool {
			if f.received.Load() == 2 {
				return untilClosed(c, r)
			}
			return respond(c, r, "200 OK")
		})
		for range 2 {
			Expect(f.route(context.Background())).To(BeAssignableToTypeOf(quay.Whole{}))
		}
		Expect(f.received.Load()).To(BeEquivalentTo(3))
		f.expectHeldUntil(time.Now().Add(requestTimeout))
	})
})

var _ = Describe("A rejection that the server writes once more", func() {
	// rejectOnce rejects the first request on each connection. When it comes again there, the
	// server writes its rejection once more and runs the request. On another connection it
	// answers.
	rejectOnce := func(rejection string, repeated *atomic.Int32) exchange {
		var mu sync.Mutex
		rejected := make(map[net.Conn]bool)
		seen := false
		return func(c net.Conn, r *http.Request) bool {
			mu.Lock()
			again, first := rejected[c], !seen
			seen = true
			rejected[c] = first
			mu.Unlock()
			switch {
			case first:
				return respond(c, r, rejection)
			case again:
				repeated.Add(1)
				respond(c, r, rejection)
				return untilClosed(c, r)
			default:
				return respond(c, r, "200 OK")
			}
		}
	}

	It("is not taken for the response to a request that is sent again", func() {
		var repeated atomic.Int32
		f := newRouterFixture(rejectOnce("503 Service Unavailable\r\nX-Not-Run: true\r\nX-Reason: no_grant", &repeated))
		Expect(f.route(context.Background())).To(BeAssignableToTypeOf(quay.Whole{}))
		Expect(repeated.Load()).To(BeZero(), "requests that came again on the connection that had carried them")
	})
})

var _ = Describe("The key of a request that the server no longer runs", func() {
	for _, status := range []string{"200 OK", "503 Service Unavailable\r\nX-Not-Run: true"} {
		It("moves at once after "+status[:3], func() {
			f := newRouterFixture(func(c net.Conn, r *http.Request) bool { return respond(c, r, status) })
			f.route(context.Background())
			f.startMove()
			Expect(f.gate.View().Drained).To(Equal(f.table.Version))
		})
	}
})
