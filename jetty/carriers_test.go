package jetty

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// newCarriedHost returns a host whose requests for keys are sent by carriers, in this order,
// and which reaches the servers itself.
func newCarriedHost(peers ...peerAddress) (*exchangeBench, *fakeReach) {
	GinkgoHelper()
	b, reach := newCutHost(100)
	reach.set(false)
	b.f.carriers = newCarriers("host-0")
	b.f.carriers.set(carrierTableOf("s", peers...))
	return b, reach
}

// carrierTableOf returns a table in which a server has carriers in an order.
func carrierTableOf(server fairway.ServerID, peers ...peerAddress) *carrierTable {
	GinkgoHelper()
	m := &signal.Carriers{Services: []string{"readings"}, Senders: 1}
	for i := range peers {
		m.Carriers = append(m.Carriers, &signal.Carrier{Host: fmt.Sprintf("carrier-%d", i), Capacity: 1})
	}
	t := newCarrierTable(m, 1)
	for i, c := range sluice.RankCarriers(server, t.carriers, len(peers)) {
		t.addresses[c.Host] = peers[i]
	}
	return t
}

var _ = Describe("A request for a key that has carriers", func() {
	serve := func(p *relayPeer, handler func(w http.ResponseWriter, r *http.Request)) *exchangeServer {
		s := p.serve("s", 20, handler)
		divide(p.exchangeBench)
		return s
	}
	// host returns a host whose catalog has the server s of another host.
	host := func(p *exchangeBench, peers ...peerAddress) (*exchangeBench, *fakeReach) {
		b, reach := newCarriedHost(peers...)
		b.servers["s"] = p.servers["s"]
		e, _ := p.f.clusterState.catalog().Get("s")
		b.f.clusterState.servers.Store(b.f.clusterState.catalog().Apply([]fairway.Endpoint{e}, nil))
		divide(b)
		return b, reach
	}
	keyed := func(b *exchangeBench, attempts int, timeout time.Duration) *request {
		r := b.request(attempts, timeout)
		key := mooring.Key(7)
		r.key = &key
		return r
	}
	expectServed := func(res timedResult) {
		GinkgoHelper()
		Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(string(res.result.(backendResponse).body)).To(Equal("done"))
	}
	opened := func(b *exchangeBench) int64 {
		_, opened := b.f.upstream.count()
		var n int64
		for _, o := range opened {
			n += o
		}
		return n
	}

	It("is sent by the carrier, over a connection that it keeps", func() {
		p := newRelayPeer()
		s := serve(p, work(0))
		b, _ := host(p.exchangeBench, p.address)
		for range 5 {
			r := keyed(b, 2, time.Second)
			expectServed(<-b.send(context.Background(), r))
			Expect(r.sends).To(Equal(1))
		}
		Expect(s.arrived.Load()).To(Equal(int64(5)))
		Expect(opened(b)).To(BeZero())
		Expect(opened(p.exchangeBench)).To(Equal(int64(1)))
	})

	It("opens few connections where many hosts have few requests each", func() {
		const hosts, atATime = 40, 4
		p := newRelayPeer()
		p.f.upstream.minConnections = atATime
		serve(p, work(time.Millisecond))
		for range hosts / atATime {
			var sent sync.WaitGroup
			for range atATime {
				b, _ := host(p.exchangeBench, p.address)
				sent.Go(func() {
					defer GinkgoRecover()
					expectServed(<-b.send(context.Background(), keyed(b, 2, 5*time.Second)))
					Expect(opened(b)).To(BeZero())
				})
			}
			sent.Wait()
		}
		Expect(opened(p.exchangeBench)).To(BeNumerically("<=", atATime))
	})

	It("is sent directly if no carrier answers at once, and the carrier is left alone for a while", func() {
		p := newRelayPeer()
		s := serve(p, work(0))
		b, reach := host(p.exchangeBench, "127.0.0.1:1")
		r := keyed(b, 2, time.Second)
		res := <-b.send(context.Background(), r)
		expectServed(res)
		Expect(res.after).To(BeNumerically("<", 2*hopTimeout))
		Expect(r.sends).To(Equal(1))
		Expect(s.arrived.Load()).To(Equal(int64(1)))
		Expect(reach.failed).To(Equal([]peerAddress{"127.0.0.1:1"}))
	})

	DescribeTable("is sent directly if the carrier refuses for itself", func(refuse func(p *relayPeer)) {
		p := newRelayPeer()
		s := serve(p, work(0))
		refuse(p)
		b, _ := host(p.exchangeBench, p.address)
		expectServed(<-b.send(context.Background(), keyed(b, 2, time.Second)))
		Expect(s.arrived.Load()).To(Equal(int64(1)))
		Expect(opened(b)).To(Equal(int64(1)))
	},
		Entry("as it stops", func(p *relayPeer) { p.stopping.Store(true) }),
		Entry("as it has too many requests of others", func(p *relayPeer) { p.relay.inFlight.Store(maxCarried) }),
		Entry("as it is cut from the servers", func(p *relayPeer) { p.reach.set(true) }),
	)

	It("is refused at once if the carrier knows that the server has no room", func() {
		peer := &scriptedPeer{handle: func(stream relayServerStream) error {
			return refuseRelay(stream, sluice.Refuse{Reason: sluice.ReasonOverload, RetryAfter: 300 * time.Millisecond})
		}}
		address, _ := serveRelay(peer)
		p := newExchangeBench(0)
		s := p.serve("s", 20, work(0))
		b, _ := host(p, address, address)
		res := <-b.send(context.Background(), keyed(b, 2, time.Second))
		Expect(res.result).To(Equal(refusal{reason: reason(sluice.ReasonOverload), retryAfter: 300 * time.Millisecond}))
		Expect(res.after).To(BeNumerically("<", 100*time.Millisecond))
		Expect(peer.offers.Load()).To(Equal(int64(1)))
		Expect(s.arrived.Load()).To(BeZero())
	})

	It("is offered to the second carrier if the first one does not reach the server, and then refused", func() {
		peer := &scriptedPeer{handle: func(stream relayServerStream) error {
			return refuseRelay(stream, sluice.Refuse{Reason: sluice.ReasonSuspected, RetryAfter: 300 * time.Millisecond})
		}}
		first, _ := serveRelay(peer)
		second, _ := serveRelay(peer)
		p := newExchangeBench(0)
		p.serve("s", 20, work(0))
		b, _ := host(p, first, second)
		res := <-b.send(context.Background(), keyed(b, 2, time.Second))
		Expect(res.result).To(Equal(refusal{reason: reason(sluice.ReasonSuspected), retryAfter: 300 * time.Millisecond}))
		Expect(peer.offers.Load()).To(Equal(int64(2)))
	})

	It("is sent again if the carrier is lost with it and it may run twice, and ends as unknown otherwise", func() {
		for _, attempts := range []int{2, 1} {
			p := newRelayPeer()
			s := serve(p, work(300*time.Millisecond))
			b, _ := host(p.exchangeBench, p.address)
			results := b.send(context.Background(), keyed(b, attempts, 5*time.Second))
			Eventually(s.arrived.Load).Should(Equal(int64(1)))
			p.grpc.Stop()
			res := <-results
			if attempts == 2 {
				expectServed(res)
			} else {
				Expect(res.result).To(BeAssignableToTypeOf(gatewayError{}))
			}
		}
	})

	It("is waited for, and sent nowhere else, while the carrier that has it is only silent", func() {
		silence := 4 * hopTimeout
		peer := &scriptedPeer{handle: func(stream relayServerStream) error {
			time.Sleep(silence)
			err := stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Head{Head: &signal.RelayHead{
				Status: http.StatusOK, Server: "s", Headers: []*signal.RelayHeader{
					{Name: "Signed", Value: []byte("y")}, {Name: "Id", Value: []byte("request-1")},
				},
			}}})
			_, writeErr := (&relayWriter{stream: stream}).Write([]byte("late"))
			return errors.Join(err, writeErr, stream.Send(&signal.RelayReply{Part: &signal.RelayReply_End{End: &signal.RelayEnd{Bytes: 4}}}))
		}}
		address, _ := serveRelay(peer)
		p := newExchangeBench(0)
		s := p.serve("s", 20, work(0))
		b, _ := host(p, address)
		res := <-b.send(context.Background(), keyed(b, 3, 3*time.Second))
		Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(string(res.result.(backendResponse).body)).To(Equal("late"))
		Expect(res.after).To(BeNumerically(">=", silence))
		Expect(peer.offers.Load()).To(Equal(int64(1)))
		Expect(s.arrived.Load()).To(BeZero())
	})

	It("takes no carrier if it must not be repeated", func() {
		p := newRelayPeer()
		serve(p, work(0))
		b, _ := host(p.exchangeBench, p.address)
		expectServed(<-b.send(context.Background(), once(keyed(b, 1, time.Second))))
		Expect(opened(b)).To(Equal(int64(1)))
		Expect(opened(p.exchangeBench)).To(BeZero())
	})

	It("is sent directly to the owner that this host knows, if the carrier has an older table", func() {
		p := newRelayPeer()
		serve(p, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
		b, _ := host(p.exchangeBench, p.address)
		next := b.serve("next", 20, work(0))
		e, _ := b.f.clusterState.catalog().Get("next")
		b.f.carriers.set(carrierTableOf("next", p.address))
		b.f.admissions.ownersOf("readings").update(monotonicNow(), &mooring.Table{Service: "readings", NextToken: 3, Assignments: []mooring.Assignment{
			{KeyRange: mooring.KeyRange{From: 0, To: mooring.MaxKey}, Owner: mooring.ServerInstance{Server: "next", Incarnation: 1, Address: e.Address}, Token: 2},
		}}, 2)
		res := <-b.send(context.Background(), keyed(b, 3, time.Second))
		expectServed(res)
		Expect(res.after).To(BeNumerically("<", ownerChangeTimeout))
		Expect(next.arrived.Load()).To(Equal(int64(1)))
	})

	It("is refused soon if the server that both know does not hold the key", func() {
		p := newRelayPeer()
		s := serve(p, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
		b, _ := host(p.exchangeBench, p.address)
		res := <-b.send(context.Background(), keyed(b, 3, time.Second))
		Expect(res.result).To(BeAssignableToTypeOf(refusal{}))
		Expect(s.arrived.Load()).To(Equal(int64(1)))
	})

	It("has its work ended when the caller leaves", func() {
		p := newRelayPeer()
		s := serve(p, work(time.Minute))
		b, _ := host(p.exchangeBench, p.address)
		ctx, cancel := context.WithCancel(context.Background())
		results := b.send(ctx, keyed(b, 2, 20*time.Second))
		Eventually(s.arrived.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(s.left.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(1))
		Expect((<-results).result).To(Equal(callerLeft{}))
	})
})

var _ = Describe("The carriers that the placer tells", func() {
	var l *loadCollector
	now := time.Now()
	report := func(host, domain string, capacity uint32) loadSummary {
		return l.add(&signal.LoadReport{Host: host, Domain: domain, Address: host + ":1", CarryingCapacity: capacity}, now)
	}
	fleet := func(hosts, domains, old int) {
		for i := range hosts {
			capacity := uint32(16)
			if i < old {
				capacity = 0
			}
			report(fmt.Sprintf("host-%03d", i), fmt.Sprintf("domain-%d", i%domains), capacity)
		}
	}
	decide := func(requests, servers int) {
		for range 10 {
			l.decideCarriers(map[fairway.ServiceName]serviceLoad{
				"readings": {requests: requests / 2, servers: servers, keepTime: 8500 * time.Millisecond},
			}, 500*time.Millisecond)
		}
	}
	BeforeEach(func() { l = newLoadCollector() })

	DescribeTable("are none at small sites", func(hosts, domains, servers, rate int) {
		fleet(hosts, domains, 0)
		decide(rate, servers)
		summary := report("host-000", "domain-0", 16)
		Expect(summary.carriers).To(BeNil())
		Expect(summary.carriersVersion).To(BeZero())
	},
		Entry("terminal", 12, 3, 21, 411), Entry("Hilo Chapín", 9, 4, 16, 269), Entry("Stallkeep", 8, 3, 10, 179), Entry("Stallkeep grown", 66, 3, 126, 1535),
	)

	It("are those of the own failure domain at the terminal with 195 hosts, also while half of the hosts are lost", func() {
		fleet(195, 5, 0)
		decide(1626, 322)
		Expect(report("host-000", "domain-0", 16).carriers.Carriers).To(HaveLen(39))
		l = newLoadCollector()
		l.continueCarriers(map[fairway.ServiceName]bool{"readings": true})
		fleet(98, 5, 0)
		decide(1626, 322)
		Expect(report("host-000", "domain-0", 16).carriers.Carriers).To(HaveLen(20))
	})

	It("are the hosts of the own failure domain that can carry, under one version from all placers", func() {
		fleet(400, 5, 0)
		decide(3300, 660)
		summary := report("host-000", "domain-0", 16)
		Expect(summary.carriers.Carriers).To(HaveLen(80))
		Expect(summary.carriers.Senders).To(BeEquivalentTo(5))
		version := summary.carriersVersion
		l = newLoadCollector()
		l.continueCarriers(map[fairway.ServiceName]bool{"readings": true})
		for i := 399; i >= 0; i-- {
			report(fmt.Sprintf("host-%03d", i), fmt.Sprintf("domain-%d", i%5), 16)
		}
		Expect(report("host-000", "domain-0", 16).carriersVersion).To(Equal(version))
		Expect(report("host-001", "domain-1", 16).carriersVersion).NotTo(Equal(version))
	})

	It("are kept while a new placer has not heard from all hosts", func() {
		l.continueCarriers(map[fairway.ServiceName]bool{"readings": true})
		l.beginTerm(now, 195, 195)
		summary := l.add(&signal.LoadReport{Host: "a", Domain: "x", Address: "a:1", CarryingCapacity: 16, CarriersVersion: 77}, now)
		Expect(summary.carriersVersion).To(BeEquivalentTo(77))
		Expect(summary.carriers).To(BeNil())
	})

	It("are not hosts of earlier builds, which send themselves and share the servers", func() {
		fleet(400, 5, 50)
		decide(3300, 660)
		summary := report("host-000", "domain-0", 0)
		Expect(summary.carriers.Carriers).To(HaveLen(70))
		Expect(summary.carriers.Senders).To(BeEquivalentTo(55))
	})

	It("leave with their last report, and with silence", func() {
		fleet(400, 5, 0)
		decide(3300, 660)
		l.add(&signal.LoadReport{Host: "host-005", Domain: "domain-0", Leaving: true}, now)
		Expect(report("host-000", "domain-0", 16).carriers.Carriers).To(HaveLen(79))
		now = now.Add(feederTimeout + time.Millisecond)
		Expect(report("host-000", "domain-0", 16).carriers.Carriers).To(HaveLen(1))
	})

	It("are forgotten at the word of a placer of an earlier build", func() {
		r := &reporter{carriers: newCarriers("host-0")}
		r.carriers.set(carrierTableOf("s", "10.0.0.1:1"))
		Expect(r.applyCarriers(loadSummary{})).To(BeTrue())
		Expect(r.carriers.peersFor("readings", "s")).To(BeEmpty())
	})
})

var _ = Describe("A host that is a carrier itself", func() {
	It("sends the requests for its servers itself", func() {
		c := newCarriers("carrier-1")
		m := &signal.Carriers{Services: []string{"readings"}}
		for i := range 3 {
			m.Carriers = append(m.Carriers, &signal.Carrier{Host: fmt.Sprintf("carrier-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Capacity: 1})
		}
		c.set(newCarrierTable(m, 1))
		own := 0
		for i := range 300 {
			peers := c.peersFor("readings", fairway.ServerID(fmt.Sprint("server-", i)))
			Expect(peers).NotTo(ContainElement(peerAddress("10.0.0.1:1")))
			if len(peers) == 0 {
				own++
			}
		}
		Expect(own).To(BeNumerically("~", 100, 40))
		Expect(c.peersFor("invoices", "server-1")).To(BeEmpty())
	})
})
