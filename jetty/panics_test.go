package jetty

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

// panickingProtocol panics at a record that it cannot handle.
type panickingProtocol struct{ fakeProtocol }

// Decode implements Protocol.
func (p panickingProtocol) Decode(e ledger.Entry, at time.Time) Record {
	if e.Key == "server/malformed" {
		panic("malformed record")
	}
	return p.fakeProtocol.Decode(e, at)
}

var _ = Describe("An unexpected error", func() {
	var log bytes.Buffer
	var r *recoverer
	var m *metrics
	BeforeEach(func() {
		log.Reset()
		m = newMetrics()
		r = &recoverer{logs: newLogs(&log, &Settings{Host: "h"}), metrics: m}
	})
	expectLogged := func(p place, text string) {
		GinkgoHelper()
		r.logs.close()
		Expect(log.String()).To(And(ContainSubstring("panic_recovered"), ContainSubstring(text), ContainSubstring("panics_test.go"), ContainSubstring(`"place":"`+string(p)+`"`)))
		Expect(metricsText(m)).To(ContainSubstring(`place="` + string(p) + `"`))
	}

	It("in a send ends that request, which may have run, and no other", func() {
		b := newExchangeBench(0)
		b.f.recoverer = r
		b.serve("s", 4, work(0))
		panics := true
		b.f.upstream.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if panics {
				panic("unexpected dial")
			}
			return dialTCP(ctx, address)
		}
		Expect((<-b.send(context.Background(), once(b.request(1, time.Second)))).result).To(BeAssignableToTypeOf(gatewayError{}))
		panics = false
		Expect((<-b.send(context.Background(), once(b.request(1, time.Second)))).result).To(BeAssignableToTypeOf(backendResponse{}))
		expectLogged(placeAttempt, "unexpected dial")
	})

	It("while a request is handled is answered 502, which promises nothing", func() {
		b := newExchangeBench(0)
		b.f.recoverer = r
		b.f.admissions = nil
		route := &fairway.Route{Name: "list", Host: "example.com", Prefix: "/", Destinations: []fairway.Destination{{Service: "readings", Weight: 1}}}
		config, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{route}, []*fairway.Service{{Name: "readings"}})
		Expect(err).NotTo(HaveOccurred())
		active := fairway.NewActiveConfig()
		active.SetIfNewer(config)
		in := &ingress{headers: b.f.headers, activeConfig: active, random: noDelay, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		server := httptest.NewServer(in)
		DeferCleanup(server.Close)
		req, err := http.NewRequest(http.MethodGet, server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "example.com"
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, resp.Body)
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get("Retry-After")).To(BeEmpty())
		r.logs.close()
		Expect(log.String()).To(ContainSubstring(`"place":"request"`))
	})

	It("in a call of another host fails that call alone, unary or streaming", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := grpc.NewServer(r.options()...)
		collector := newLoadCollector()
		collector.isPlacer = func() bool { panic("unexpected report") }
		signal.RegisterLoadsServer(server, collector)
		signal.RegisterRelayServer(server, &scriptedPeer{handle: func(relayServerStream) error { panic("unexpected offer") }})
		signal.RegisterFeedServer(server, newChangeLog())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Stop)
		conn, err := dialPeer(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = signal.NewLoadsClient(conn).Report(context.Background(), &signal.LoadReport{Host: "a"})
		Expect(status.Code(err)).To(Equal(codes.Internal))
		stream := rawHop(peerAddress(listener.Addr().String()), "r", time.Second)
		_, err = stream.Recv()
		Expect(status.Code(err)).To(Equal(codes.Internal))
		_, err = signal.NewFeedClient(conn).Changes(context.Background(), &signal.ChangesRequest{})
		Expect(err).NotTo(HaveOccurred())
		expectLogged(placePeerCall, "unexpected report")
	})

	It("at a record of the store leaves that record out, and no other", func() {
		s := newFakeStore()
		s.set("server/a", "x")
		s.set("server/malformed", "x")
		s.set("server/b", "x")
		w := &watcher{
			store: s, protocol: panickingProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), recoverer: r, changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool),
			sources: newFeedSources("own", noDelay),
		}
		Expect(w.step(context.Background())).To(Succeed())
		var known []string
		for id := range w.clusterState.catalog().All() {
			known = append(known, string(id))
		}
		Expect(known).To(ConsistOf("a", "b"))
		expectLogged(placeRecord, "malformed record")
	})

	It("in a loop has it run again, until the host stops", func() {
		ctx, cancel := context.WithCancel(context.Background())
		runs := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.loop(ctx, func(ctx context.Context) {
				if runs++; runs < 3 {
					panic("unexpected state")
				}
				<-ctx.Done()
			})
		}()
		Consistently(done).WithTimeout(3 * loopRestartDelay).ShouldNot(BeClosed())
		cancel()
		Eventually(done).Should(BeClosed())
		Expect(runs).To(Equal(3))
		expectLogged(placeLoop, "unexpected state")
	})

	It("in the work of the placer ends its term, and the host can claim again", func() {
		s := newFakeStore()
		e, _ := newTestElection(s)
		e.recoverer = r
		t, err := claimTerm(context.Background(), termConfig{Store: s, TTL: e.ttl, Address: e.address, Logs: e.logs})
		Expect(err).NotTo(HaveOccurred())
		e.loadCollector.plan.carried = nil
		e.startTerm(context.Background(), t)
		Expect(e.active()).To(BeTrue())
		Eventually(e.active).WithTimeout(5 * time.Second).Should(BeFalse())
		Expect(e.former).NotTo(BeNil())
		r.logs.close()
		Expect(strings.Count(log.String(), `"place":"term"`)).To(BeNumerically(">=", 1))
	})
})
