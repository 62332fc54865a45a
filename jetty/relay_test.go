package jetty

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// fakeReach is a reachability that a test sets.
type fakeReach struct {
	alwaysReaching
	mu     sync.Mutex
	isCut  bool
	peers  []peerAddress
	failed []peerAddress
}

func (f *fakeReach) cut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCut
}

func (f *fakeReach) relayPeers(fairway.ServerID) []peerAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers
}

func (f *fakeReach) recordHop(peer peerAddress, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failed = append(f.failed, peer)
	}
}

func (f *fakeReach) set(isCut bool, peers ...peerAddress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut, f.peers = isCut, peers
}

// scriptedPeer is a peer that handles each offer with a function.
type scriptedPeer struct {
	signal.UnimplementedRelayServer
	offers atomic.Int64
	handle func(stream relayServerStream) error
}

// Forward implements signal.RelayServer.
func (p *scriptedPeer) Forward(stream relayServerStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	p.offers.Add(1)
	if err := stream.SendHeader(nil); err != nil {
		return err
	}
	return p.handle(stream)
}

func acceptOffer(stream relayServerStream) error {
	return stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Accepted{Accepted: &signal.RelayAccepted{Server: "other"}}})
}

// awaitGo accepts an offer and waits for the word to send it.
func awaitGo(stream relayServerStream) error {
	if err := acceptOffer(stream); err != nil {
		return err
	}
	_, err := stream.Recv()
	return err
}

// respond accepts an offer and, once it is to be sent, answers with a body and no end.
func respond(stream relayServerStream, id, body string) error {
	if err := awaitGo(stream); err != nil {
		return err
	}
	err := stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Head{Head: &signal.RelayHead{
		Status: http.StatusOK, Server: "s", Headers: []*signal.RelayHeader{
			{Name: "Signed", Value: []byte("y")}, {Name: "Id", Value: []byte(id)},
		},
	}}})
	_, writeErr := (&relayWriter{stream: stream}).Write([]byte(body))
	return errors.Join(err, writeErr)
}

func serveRelay(server signal.RelayServer) (peerAddress, *grpc.Server) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := grpc.NewServer()
	signal.RegisterRelayServer(s, server)
	go func() { _ = s.Serve(listener) }()
	DeferCleanup(s.Stop)
	return peerAddress(listener.Addr().String()), s
}

// relayPeer is a peer that reaches its servers.
type relayPeer struct {
	*exchangeBench
	address  peerAddress
	relay    *relayServer
	grpc     *grpc.Server
	reach    *fakeReach
	stopping atomic.Bool
}

func newRelayPeer() *relayPeer {
	GinkgoHelper()
	p := &relayPeer{exchangeBench: newExchangeBench(0), reach: &fakeReach{}}
	config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{p.service})
	Expect(err).NotTo(HaveOccurred())
	p.f.clusterState.activeConfig.SetIfNewer(config)
	p.f.reach = p.reach
	p.relay = &relayServer{forwarder: p.f, stopping: p.stopping.Load}
	p.address, p.grpc = serveRelay(p.relay)
	return p
}

// newCutHost returns a host without a server of its own that passes its requests on to
// peers.
func newCutHost(extra float64, peers ...peerAddress) (*exchangeBench, *fakeReach) {
	b := newExchangeBench(extra)
	reach := &fakeReach{}
	reach.set(true, peers...)
	conns := newPeerConns()
	DeferCleanup(conns.close)
	b.f.reach = reach
	b.f.relay = &relayClient{host: "host-0", headers: b.f.headers, conns: conns, reach: reach}
	return b, reach
}

func once(r *request) *request {
	r.route.Repeat = fairway.RepeatNever
	return r
}

// rawHop offers a request to a peer as a cut host would.
func rawHop(peer peerAddress, id string, left time.Duration) grpc.BidiStreamingClient[signal.RelayMessage, signal.RelayReply] {
	GinkgoHelper()
	conn, err := dialPeer(string(peer))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	stream, err := signal.NewRelayClient(conn).Forward(context.Background())
	Expect(err).NotTo(HaveOccurred())
	Expect(stream.Send(&signal.RelayMessage{Part: &signal.RelayMessage_Offer{Offer: &signal.RelayOffer{
		RequestId: id, Service: "readings", Route: "list", Method: "GET", Target: "/x", HostHeader: "h",
		Headers:         []*signal.RelayHeader{{Name: "Id", Value: []byte(id)}},
		ObjectiveMicros: uint64(left.Microseconds()), SoftLeftMicros: left.Microseconds(), LeftMicros: uint64(left.Microseconds()),
	}}})).To(Succeed())
	return stream
}

func sendGo(stream grpc.BidiStreamingClient[signal.RelayMessage, signal.RelayReply], left time.Duration) {
	GinkgoHelper()
	Expect(stream.Send(&signal.RelayMessage{Part: &signal.RelayMessage_Go{Go: &signal.RelayGo{LeftMicros: uint64(left.Microseconds())}}})).To(Succeed())
}

// divide divides the service by key. Server s owns all keys.
func divide(b *exchangeBench) {
	divideAt(b, strings.TrimPrefix(b.servers["s"].server.URL, "http://"))
}

// divideAt divides the service by key. Server s, at an address, owns all keys.
func divideAt(b *exchangeBench, address string) {
	b.service.Divided = true
	owner := mooring.ServerInstance{Server: "s", Incarnation: 1, Address: address}
	b.f.admissions.ownersOf("readings").update(monotonicNow(), &mooring.Table{Service: "readings", NextToken: 2, Assignments: []mooring.Assignment{
		{KeyRange: mooring.KeyRange{From: 0, To: mooring.MaxKey}, Owner: owner, Token: 1},
	}}, 1)
}

var _ = Describe("A host that reaches no server", func() {
	large := strings.Repeat("0123456789", 300_000)

	expectServed := func(res timedResult, body string) {
		GinkgoHelper()
		Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(string(res.result.(backendResponse).body)).To(Equal(body))
	}
	expectNothingLeft := func(p *relayPeer) {
		GinkgoHelper()
		p.expectNothingLeft()
		Eventually(p.relay.inFlight.Load).Should(BeZero(), "relays in flight")
	}

	It("has a peer send its requests, with their headers and body", func() {
		p := newRelayPeer()
		p.serve("s", 20, func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			w.Header().Add("Twice", "a")
			w.Header().Add("Twice", "b\xff")
			answer(w, http.StatusCreated, fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header.Get("Expected"), r.Header.Get("Extra"), len(data), data[len(data)-1]))
		})
		b, _ := newCutHost(0, p.address)
		r := once(b.request(1, time.Second))
		r.outgoingRequest = outgoingRequest{
			Method: "POST", Target: "/x?y=%20z", Host: "host", Header: http.Header{"Id": {r.id}, "Extra": {"e"}},
			Body: []byte(strings.Repeat("x", 5*relayChunkBytes) + "y"),
		}
		res := <-b.send(context.Background(), r)
		expectServed(res, fmt.Sprint("POST", "/x?y=%20z", "host", "s", "e", 5*relayChunkBytes+1, byte('y')))
		resp := res.result.(backendResponse)
		Expect(resp.status).To(Equal(http.StatusCreated))
		Expect(resp.server).To(BeEquivalentTo("s"))
		Expect(resp.header["Twice"]).To(Equal([]string{"a", "b\xff"}))
		Expect(r.sends).To(Equal(1))
		expectNothingLeft(p)
	})

	It("has a peer send a request that is refused since its own servers are suspected", func() {
		p := newRelayPeer()
		p.serve("s", 20, work(0))
		b, reach := newCutHost(0, p.address)
		reach.set(false, p.address)
		s := b.serve("s", 20, work(0))
		s.server.Close()
		expectServed(<-b.send(context.Background(), once(b.request(1, time.Second))), "done")
		b.expectNothingLeft()
	})

	It("has a peer send a request whose key's owner refuses the connection", func() {
		p := newRelayPeer()
		p.serve("s", 20, work(0))
		b, reach := newCutHost(0, p.address)
		reach.set(false, p.address)
		b.serve("s", 20, work(0)).server.Close()
		divide(p.exchangeBench)
		divide(b)
		key := mooring.Key(9)
		r := once(b.request(1, time.Second))
		r.key = &key
		expectServed(<-b.send(context.Background(), r), "done")
		Expect(r.sends).To(Equal(1))
		b.expectNothingLeft()
		expectNothingLeft(p)
	})

	It("asks another peer if one refuses or is lost before it has accepted", func() {
		stopping, p := newRelayPeer(), newRelayPeer()
		stopping.stopping.Store(true)
		p.serve("s", 20, work(0))
		broken := &scriptedPeer{handle: func(relayServerStream) error { return errFake }}
		address, _ := serveRelay(broken)
		for _, first := range []peerAddress{stopping.address, address, "127.0.0.1:1"} {
			b, reach := newCutHost(0, first, p.address)
			r := once(b.request(1, time.Second))
			expectServed(<-b.send(context.Background(), r), "done")
			Expect(r.sends).To(Equal(1))
			if first != stopping.address {
				Expect(reach.failed).To(Equal([]peerAddress{first}))
			}
		}
	})

	It("refuses with the peers' reason and Retry-After if all of them refuse", func() {
		refuse := func(stream relayServerStream) error {
			return refuseRelay(stream, sluice.Refuse{Reason: sluice.ReasonTooLate, RetryAfter: 370 * time.Millisecond})
		}
		one, other := &scriptedPeer{handle: refuse}, &scriptedPeer{handle: refuse}
		oneAddress, _ := serveRelay(one)
		otherAddress, _ := serveRelay(other)
		b, _ := newCutHost(0, oneAddress, otherAddress, "127.0.0.1:1")
		r := once(b.request(1, time.Second))
		res := <-b.send(context.Background(), r)
		Expect(res.result).To(Equal(refusal{reason: reason(sluice.ReasonTooLate), retryAfter: 370 * time.Millisecond}))
		Expect(one.offers.Load() + other.offers.Load()).To(BeEquivalentTo(2))
		Expect(r.sends).To(BeZero())
	})

	It("gives up a peer that does not confirm an offer", func() {
		p := newRelayPeer()
		p.serve("s", 20, work(0))
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		b, reach := newCutHost(0, peerAddress(silent.Addr().String()), p.address)
		res := <-b.send(context.Background(), once(b.request(1, time.Second)))
		expectServed(res, "done")
		Expect(res.after).To(BeNumerically("<", 400*time.Millisecond))
		Expect(reach.failed).To(HaveLen(1))
	})

	It("answers 502 to a request that must not be repeated if the hop breaks after the word to send it", func() {
		broken := &scriptedPeer{handle: func(stream relayServerStream) error { return errors.Join(awaitGo(stream), errFake) }}
		address, _ := serveRelay(broken)
		p := newRelayPeer()
		p.serve("s", 20, work(0))
		b, _ := newCutHost(100, address, p.address)
		res := <-b.send(context.Background(), once(b.request(3, time.Second)))
		Expect(res.result).To(Equal(gatewayError{status: http.StatusBadGateway, reason: reasonServerFailed}))
		Expect(p.servers["s"].arrived.Load()).To(BeZero())
	})

	DescribeTable("counts a repeated request once, as two sends", func(extra float64, served bool) {
		broken := &scriptedPeer{handle: func(stream relayServerStream) error { return errors.Join(awaitGo(stream), errFake) }}
		address, _ := serveRelay(broken)
		p := newRelayPeer()
		p.serve("s", 20, work(0))
		b, _ := newCutHost(extra, address, p.address)
		r := b.request(2, time.Second)
		res := <-b.send(context.Background(), r)
		if served {
			expectServed(res, "done")
			Expect(r.sends).To(Equal(2))
		} else {
			Expect(res.result).To(BeAssignableToTypeOf(gatewayError{}))
		}
		Expect(p.admission().allowRetry()).To(BeFalse(), "the peer has no budget")
	},
		Entry("which the budget of retries allows", 100.0, true),
		Entry("which it does not allow", 0.0, false),
	)

	It("sends no request beyond its attempts, although a peer could not send it", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, work(0))
		s.server.Close()
		b, _ := newCutHost(0, p.address)
		r := once(b.request(1, time.Second))
		res := <-b.send(context.Background(), r)
		GinkgoWriter.Printf("result %#v\n", res.result)
		Expect(res.result).To(BeAssignableToTypeOf(refusal{}))
		Expect(r.sends).To(BeZero())
		expectNothingLeft(p)
	})

	It("streams large responses", func() {
		p := newRelayPeer()
		p.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, large) })
		b, _ := newCutHost(0, p.address)
		resp := (<-b.send(context.Background(), once(b.request(1, 5*time.Second)))).result.(backendResponse)
		Expect(resp.remaining).NotTo(BeNil())
		rest, err := io.ReadAll(resp.remaining)
		Expect(err).NotTo(HaveOccurred())
		resp.finish(true)
		Expect(string(resp.body) + string(rest)).To(Equal(large))
		expectNothingLeft(p)
	})

	// Responses through other hosts were in no part of the memory.
	Describe("with a response of 300 KB on a host of which other requests take the memory", func() {
		const size = 300_000
		send := func(left int64) (*exchangeBench, backendResponse) {
			GinkgoHelper()
			p := newRelayPeer()
			p.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, large[:size]) })
			b, _ := newCutHost(0, p.address)
			b.f.bodies = newBodyBudget(8)
			b.f.relay.bodies = b.f.bodies
			_, ok := b.f.bodies.reserve(b.f.bodies.largest() - left)
			Expect(ok).To(BeTrue())
			return b, (<-b.send(context.Background(), once(b.request(1, 5*time.Second)))).result.(backendResponse)
		}

		It("counts it", func() {
			b, resp := send(2 << 20)
			Expect(resp.body).To(HaveLen(size))
			Expect(b.f.bodies.bytesReserved()).To(BeNumerically(">=", b.f.bodies.largest()-2<<20+size))
		})

		It("passes it on as it comes if there is no room", func() {
			_, resp := send(0)
			Expect(resp.body).To(HaveLen(unreservedBytes + 1))
			rest, err := io.ReadAll(resp.remaining)
			Expect(err).NotTo(HaveOccurred())
			resp.finish(true)
			Expect(string(resp.body) + string(rest)).To(Equal(large[:size]))
		})
	})

	// callerOf returns the body that a caller gets, and the error after it.
	callerOf := func(b *exchangeBench) (string, error) {
		GinkgoHelper()
		in := &ingress{headers: b.f.headers, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			r := once(b.request(1, 2*time.Second))
			in.writeResult(w, hr, r, b.f.forward(hr.Context(), r))
		}))
		DeferCleanup(server.Close)
		resp, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, string(data)), err
	}

	It("cuts the caller's response if the server breaks off a large one", func() {
		p := newRelayPeer()
		p.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) {
			answer(w, http.StatusOK, large)
			panic(http.ErrAbortHandler)
		})
		b, _ := newCutHost(0, p.address)
		_, err := callerOf(b)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		expectNothingLeft(p)
	})

	It("cuts the caller's response, or answers 502, if the peer states no end", func() {
		for _, body := range []string{large[:100], large[:2*maxBufferedBytes]} {
			peer := &scriptedPeer{handle: func(stream relayServerStream) error { return respond(stream, "request-1", body) }}
			address, _ := serveRelay(peer)
			b, _ := newCutHost(0, address)
			got, err := callerOf(b)
			if len(body) > maxBufferedBytes {
				Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			} else {
				Expect(got).To(HavePrefix("502"))
			}
		}
	})

	DescribeTable("does not pass on a peer's response", func(id string, stated int, served bool) {
		peer := &scriptedPeer{handle: func(stream relayServerStream) error {
			err := respond(stream, id, "done")
			return errors.Join(err, stream.Send(&signal.RelayReply{Part: &signal.RelayReply_End{End: &signal.RelayEnd{Bytes: uint64(stated)}}}))
		}}
		address, _ := serveRelay(peer)
		b, _ := newCutHost(0, address)
		res := <-b.send(context.Background(), once(b.request(1, time.Second)))
		if served {
			expectServed(res, "done")
		} else {
			Expect(res.result).To(BeAssignableToTypeOf(gatewayError{}))
		}
	},
		Entry("to another request", "other", 4, false),
		Entry("that is shorter than stated", "request-1", 5, false),
		Entry("except the whole one to its request", "request-1", 4, true),
	)

	It("does not pass on a server's response to another request", func() {
		p := newRelayPeer()
		p.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "other")
			answer(w, http.StatusOK, "done")
		})
		b, _ := newCutHost(0, p.address)
		Expect((<-b.send(context.Background(), once(b.request(1, 300*time.Millisecond)))).result).To(BeAssignableToTypeOf(gatewayError{}))
	})

	It("has the server's work ended when the caller leaves", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, work(time.Minute))
		b, _ := newCutHost(0, p.address)
		ctx, cancel := context.WithCancel(context.Background())
		results := b.send(ctx, once(b.request(1, 20*time.Second)))
		Eventually(s.arrived.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(s.left.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(1))
		Expect((<-results).result).To(Equal(callerLeft{}))
		expectNothingLeft(p)
	})

	It("does not take a peer as lost when the caller leaves, or the time ends, before it has accepted", func() {
		peer := &scriptedPeer{handle: func(stream relayServerStream) error {
			<-stream.Context().Done()
			return stream.Context().Err()
		}}
		address, _ := serveRelay(peer)
		b, reach := newCutHost(0, address)
		ctx, cancel := context.WithCancel(context.Background())
		left := b.send(ctx, once(b.request(1, 20*time.Second)))
		late := b.send(context.Background(), once(b.request(1, 300*time.Millisecond)))
		Eventually(peer.offers.Load).Should(BeEquivalentTo(2))
		cancel()
		Expect((<-left).result).To(Equal(callerLeft{}))
		Expect((<-late).result).To(BeAssignableToTypeOf(refusal{}))
		Expect(reach.failed).To(BeEmpty())
	})

	It("has the server's work ended when its own drain ends", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, work(time.Minute))
		b, _ := newCutHost(0, p.address)
		results := b.send(context.Background(), once(b.request(1, 20*time.Second)))
		Eventually(s.arrived.Load).Should(BeEquivalentTo(1))
		b.f.drain.begin(time.Now())
		b.f.drain.end()
		var res timedResult
		Eventually(results).WithTimeout(500 * time.Millisecond).Should(Receive(&res))
		Expect(res.result).To(Equal(gatewayError{status: http.StatusBadGateway, reason: reasonHostStopping}))
		Eventually(s.left.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(1))
		expectNothingLeft(p)
	})

	It("has a large response ended when the caller leaves", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, func(w http.ResponseWriter, r *http.Request) {
			answer(w, http.StatusOK, large)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
		b, _ := newCutHost(0, p.address)
		ctx, cancel := context.WithCancel(context.Background())
		resp := (<-b.send(ctx, once(b.request(1, 20*time.Second)))).result.(backendResponse)
		read := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(resp.remaining)
			read <- err
		}()
		time.Sleep(100 * time.Millisecond)
		cancel()
		Eventually(s.left.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(1))
		Expect(<-read).To(HaveOccurred())
		resp.finish(false)
		expectNothingLeft(p)
	})

	It("answers 504 at the caller's deadline, and gives the server no more time", func() {
		p := newRelayPeer()
		var left atomic.Int64
		p.serve("s", 20, func(w http.ResponseWriter, r *http.Request) {
			n, _ := strconv.ParseInt(r.Header.Get("Left"), 10, 64)
			left.Store(n)
			work(time.Minute)(w, r)
		})
		b, _ := newCutHost(0, p.address)
		res := <-b.send(context.Background(), once(b.request(1, 400*time.Millisecond)))
		Expect(res.result).To(Equal(gatewayError{status: http.StatusGatewayTimeout, reason: reasonDeadline}))
		Expect(res.after).To(BeNumerically("~", 400*time.Millisecond, 100*time.Millisecond))
		Expect(left.Load()).To(And(BeNumerically(">", 200), BeNumerically("<=", 400)))
		expectNothingLeft(p)
	})

	It("answers 504 when the peer's time has ended and the caller's has a moment left", func() {
		b := newExchangeBench(0)
		r := once(b.request(1, time.Second))
		r.sends = 1
		for kind, want := range map[Kind]gatewayError{
			KindTimeout: {status: http.StatusGatewayTimeout, reason: reasonDeadline},
			KindReset:   {status: http.StatusBadGateway, reason: reasonServerFailed},
		} {
			a := &attempt{relay: &relayCall{}, err: &Error{Op: "relay", Kind: kind, Err: errRelayCut}}
			res, again := b.f.handleFailure(context.Background(), r, a)
			Expect(again).To(BeFalse())
			Expect(res).To(Equal(want))
		}
	})

	It("serves a request with one attempt at a second server if the first refuses the connection", func() {
		b := newExchangeBench(0)
		s, t := b.serve("s", 20, work(0)), b.serve("t", 20, work(0))
		for range 2 {
			s.server.Close()
			r := once(b.request(1, time.Second))
			expectServed(<-b.send(context.Background(), r), "done")
			Expect(r.sends).To(Equal(1))
		}
		Expect(t.arrived.Load()).To(BeEquivalentTo(2))
		b.expectNothingLeft()
	})
})

var _ = Describe("A peer of a host that reaches no server", func() {
	It("sends nothing before the word to send it, and frees the slot soon", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, work(0))
		stream := rawHop(p.address, "r", 5*time.Second)
		reply, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetAccepted()).NotTo(BeNil())
		Expect(p.admission().usage().InFlight).To(Equal(1))
		Eventually(func() int { return p.admission().usage().InFlight }).WithTimeout(500 * time.Millisecond).Should(BeZero())
		_, err = stream.Recv()
		Expect(err).To(HaveOccurred())
		Expect(s.arrived.Load()).To(BeZero())
	})

	It("counts the time left from its acceptance", func() {
		p := newRelayPeer()
		var left atomic.Int64
		p.serve("s", 20, func(w http.ResponseWriter, r *http.Request) {
			n, _ := strconv.ParseInt(r.Header.Get("Left"), 10, 64)
			left.Store(n)
			answer(w, http.StatusOK, "done")
		})
		stream := rawHop(p.address, "r", 5*time.Second)
		_, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(150 * time.Millisecond)
		sendGo(stream, time.Second)
		reply, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetHead().GetStatus()).To(BeEquivalentTo(http.StatusOK))
		Expect(left.Load()).To(And(BeNumerically(">", 500), BeNumerically("<=", 850)))
	})

	It("passes no offer on", func() {
		third := &scriptedPeer{handle: acceptOffer}
		address, _ := serveRelay(third)
		conns := newPeerConns()
		DeferCleanup(conns.close)
		for _, isCut := range []bool{true, false} {
			p := newRelayPeer()
			p.serve("s", 20, work(0)).server.Close()
			p.reach.set(isCut, address)
			p.f.relay = &relayClient{host: "host-1", headers: p.f.headers, conns: conns, reach: p.reach}
			b, _ := newCutHost(0, p.address)
			Expect((<-b.send(context.Background(), once(b.request(1, time.Second)))).result).To(BeAssignableToTypeOf(refusal{}))
		}
		Expect(third.offers.Load()).To(BeZero())
	})

	It("refuses offers while it stops, and completes what it has accepted", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, work(300*time.Millisecond))
		b, _ := newCutHost(0, p.address)
		results := b.send(context.Background(), once(b.request(1, 2*time.Second)))
		Eventually(s.arrived.Load).Should(BeEquivalentTo(1))
		p.stopping.Store(true)
		Expect((<-b.send(context.Background(), once(b.request(1, time.Second)))).result).
			To(Equal(refusal{reason: reasonHostStopping, retryAfter: stoppingRetryAfter}))
		Expect(p.relay.inFlight.Load()).To(BeEquivalentTo(1), "which its stop awaits")
		Expect((<-results).result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(s.arrived.Load()).To(BeEquivalentTo(1))
	})

	It("ends what is left at the end of its drain, which may have run", func() {
		p := newRelayPeer()
		s := p.serve("s", 20, work(time.Minute))
		b, _ := newCutHost(0, p.address)
		results := b.send(context.Background(), once(b.request(1, 20*time.Second)))
		Eventually(s.arrived.Load).Should(BeEquivalentTo(1))
		p.f.drain.begin(time.Now())
		p.f.drain.end()
		Expect((<-results).result).To(Equal(gatewayError{status: http.StatusBadGateway, reason: reasonServerFailed}))
	})

	It("bounds the requests of other hosts", func() {
		p := newRelayPeer()
		p.serve("s", 20, work(0))
		p.relay.inFlight.Store(maxRelays)
		b, _ := newCutHost(0, p.address)
		Expect((<-b.send(context.Background(), once(b.request(1, time.Second)))).result).
			To(Equal(refusal{reason: reason(sluice.ReasonOverload), retryAfter: exhaustedRetryAfter}))
		Expect(p.relay.inFlight.Load()).To(BeEquivalentTo(maxRelays))
	})

	It("refuses services that it does not know", func() {
		p := newRelayPeer()
		b, _ := newCutHost(0, p.address)
		b.service = &fairway.Service{Name: "unknown"}
		Expect((<-b.send(context.Background(), once(b.request(1, time.Second)))).result).
			To(Equal(refusal{reason: reason(sluice.ReasonNoServer), retryAfter: exhaustedRetryAfter}))
	})
})
