package jetty

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// permitHost is a host of a fleet with coordinators.
type permitHost struct {
	*exchangeBench
	name     HostID
	address  peerAddress
	grpc     *grpc.Server
	stopping atomic.Bool
	server   *permitServer
	table    *coordinators
}

// newPermitHost returns a host that serves permits, unless it is of the last release.
func newPermitHost(name HostID, lastRelease bool) *permitHost {
	GinkgoHelper()
	h := &permitHost{exchangeBench: newExchangeBench(1000), name: name}
	config, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{
		{Name: "urgent", Priority: 0, Destinations: []fairway.Destination{{Service: h.service.Name, Weight: 1}}},
		{Name: "less urgent", Priority: 2, Destinations: []fairway.Destination{{Service: h.service.Name, Weight: 1}}},
	}, []*fairway.Service{h.service})
	Expect(err).NotTo(HaveOccurred())
	h.f.clusterState.activeConfig.SetIfNewer(config)
	conns := newPeerConns()
	DeferCleanup(conns.close)
	c := newCoordinatedAdmission(coordinatedConfig{
		Host: name, ClusterState: h.f.clusterState, Carriers: newCarriers(name), Admissions: h.f.admissions, Conns: conns,
		Logs: quietLogs(), Metrics: h.f.metrics, Stopping: h.stopping.Load,
	})
	h.table, h.server, h.f.permits = c.coordinators, c.server, c.permits
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go h.f.permits.run(ctx)
	go func() {
		for ctx.Err() == nil {
			h.server.sweep()
			pause(ctx, sweepInterval)
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h.grpc = grpc.NewServer()
	if !lastRelease {
		signal.RegisterPermitsServer(h.grpc, h.server)
	}
	go func() { _ = h.grpc.Serve(listener) }()
	DeferCleanup(h.grpc.Stop)
	h.address = peerAddress(listener.Addr().String())
	return h
}

// coordinate makes a host the coordinator of all servers, in the eyes of all hosts.
func coordinate(by *permitHost, all ...*permitHost) {
	for _, h := range all {
		h.f.clusterState.setHostCounts(len(all), len(all))
		h.table.set(newCoordinatorTable([]*signal.Carrier{{Host: string(by.name), Address: string(by.address), Capacity: 80}}, 7))
		h.f.admissions.refresh(h.f.clusterState.catalog(), len(all), len(all))
	}
}

// share has other hosts know the servers of this one.
func (h *permitHost) share(others ...*permitHost) {
	for _, o := range others {
		for id, e := range h.f.clusterState.catalog().All() {
			o.servers[id] = h.servers[id]
			o.f.clusterState.servers.Store(o.f.clusterState.catalog().Apply([]fairway.Endpoint{e}, nil))
		}
	}
}

// held returns the number of permits in flight and of requests that wait for one.
func (h *permitHost) held() (permits, waiting int) {
	for _, adm := range h.f.admissions.coordinated.all() {
		n, _ := adm.permits()
		permits += n
		waiting += adm.usage().Waiting
	}
	return permits, waiting
}

func (h *permitHost) fallbacks(why permitFallback) int64 {
	for _, c := range h.f.metrics.Snapshot().Counters() {
		if c.Name() == metricPrefix+"."+string(metricPermitFallbacks) && c.Tags()["reason"] == string(why) {
			return c.Value()
		}
	}
	return 0
}

var _ = Describe("A fleet with a coordinator", func() {
	// fleet returns hosts whose requests the first one admits.
	fleet := func(n, slots int, d time.Duration) []*permitHost {
		var hosts []*permitHost
		for i := range n {
			hosts = append(hosts, newPermitHost(HostID(fmt.Sprintf("host-%d", i)), false))
		}
		hosts[0].serve("s", slots, work(d))
		hosts[0].share(hosts[1:]...)
		coordinate(hosts[0], hosts...)
		return hosts
	}
	served := func(res timedResult) {
		GinkgoHelper()
		Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
	}
	expectEnded := func(hosts ...*permitHost) {
		GinkgoHelper()
		for _, h := range hosts {
			h.expectNothingLeft()
			Eventually(func() int { held, waiting := h.held(); return held + waiting }).Should(BeZero(), "permits of %s", h.name)
		}
	}

	// Without the coordinator, each host has its own window, and together they fill the server's queue.
	It("keeps no more requests of all hosts at a server than it runs, and one", func() {
		hosts := fleet(3, 2, 0)
		var now, most atomic.Int64
		hosts[0].f.clusterState.servers.Store(fairway.NewCatalog(nil))
		hosts[0].serve("t", 2, func(w http.ResponseWriter, r *http.Request) {
			n := now.Add(1)
			for m := most.Load(); n > m; m = most.Load() {
				most.CompareAndSwap(m, n)
			}
			defer now.Add(-1)
			work(20*time.Millisecond)(w, r)
		})
		for _, h := range hosts[1:] {
			h.f.clusterState.servers.Store(fairway.NewCatalog(nil))
		}
		hosts[0].share(hosts[1:]...)
		coordinate(hosts[0], hosts...)
		var results []<-chan timedResult
		for i := range 30 {
			results = append(results, hosts[i%3].send(context.Background(), hosts[i%3].request(1, 3*time.Second)))
		}
		for _, res := range results {
			served(<-res)
		}
		Expect(most.Load()).To(Equal(int64(3)))
		expectEnded(hosts...)
	})

	DescribeTable("sends requests all the same, at once", func(why permitFallback, lose func(coordinator *permitHost)) {
		hosts := fleet(2, 6, 0)
		served(<-hosts[1].send(context.Background(), hosts[1].request(1, time.Second)))
		lose(hosts[0])
		for range 3 {
			res := <-hosts[1].send(context.Background(), hosts[1].request(1, time.Second))
			served(res)
			Expect(res.after).To(BeNumerically("<", 3*(firstPermitWait+permitCallMargin)))
		}
		Expect(hosts[1].fallbacks(why)).To(Equal(int64(1)))
		Expect(hosts[1].fallbacks(fallbackLeftAlone)).To(Equal(int64(2)))
		hosts[1].expectNothingLeft()
	},
		Entry("if the coordinator is lost", fallbackNoAnswer, func(c *permitHost) { c.grpc.Stop() }),
		Entry("if it does not answer", fallbackNoAnswer, func(c *permitHost) { c.server.mu.Lock(); DeferCleanup(c.server.mu.Unlock) }),
		Entry("if it stops", fallbackRefuses, func(c *permitHost) { c.stopping.Store(true) }),
		Entry("if it knows other coordinators", fallbackRefuses, func(c *permitHost) { c.table.set(newCoordinatorTable(nil, 0)) }),
	)

	It("sends requests if the coordinator is of the last release", func() {
		hosts := []*permitHost{newPermitHost("host-0", true), newPermitHost("host-1", false)}
		hosts[0].serve("s", 6, work(0))
		hosts[0].share(hosts[1])
		coordinate(hosts[0], hosts...)
		served(<-hosts[1].send(context.Background(), hosts[1].request(1, time.Second)))
		Expect(hosts[1].fallbacks(fallbackRefuses)).To(Equal(int64(1)))
	})

	// A place or a permit that outlives its caller takes room from others.
	It("forgets a request whose caller leaves while it waits, and one whose caller leaves while it runs", func() {
		hosts := fleet(2, 1, time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var results []<-chan timedResult
		for range 3 {
			results = append(results, hosts[1].send(ctx, hosts[1].request(1, 3*time.Second)))
		}
		Eventually(func() []int { held, waiting := hosts[0].held(); return []int{held, waiting} }).Should(Equal([]int{2, 1}))
		cancel()
		for _, res := range results {
			Expect((<-res).result).To(Equal(callerLeft{}))
		}
		expectEnded(hosts...)
	})

	// acquire asks a coordinator for a permit as another host would.
	acquire := func(ctx context.Context, coordinator *permitHost, id uint64, left time.Duration) (*signal.PermitReply, error) {
		conn, err := newPeerConns().get(coordinator.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return signal.NewPermitsClient(conn).Acquire(ctx, &signal.PermitRequest{
			Session: 9, Id: id, Service: "readings", LeftMicros: uint64(left.Microseconds()), SoftLeftMicros: left.Microseconds(), WaitMicros: 200_000,
		})
	}

	It("drops a request that waits and whose call is canceled at once", func() {
		hosts := fleet(2, 1, 0)
		for id := range uint64(2) {
			_, err := acquire(context.Background(), hosts[0], id+1, 5*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := acquire(ctx, hosts[0], 3, 5*time.Second)
		Expect(err).To(HaveOccurred())
		Eventually(func() int { _, waiting := hosts[0].held(); return waiting }).WithTimeout(abandonedAfter / 2).Should(BeZero())
	})

	It("ends a permit that was given up before the answer", func() {
		hosts := fleet(2, 6, 0)
		hosts[0].server.mu.Lock()
		served(<-hosts[1].send(context.Background(), hosts[1].request(1, time.Minute)))
		hosts[0].server.mu.Unlock()
		Eventually(func() int { held, _ := hosts[0].held(); return held }).Should(Equal(1))
		Eventually(func() int { held, _ := hosts[0].held(); return held }).WithTimeout(3 * coordinatorExclusion).Should(BeZero())
	})

	It("gives the room of a permit whose host is lost to others at its deadline", func() {
		hosts := fleet(2, 1, 0)
		for id := range uint64(2) {
			reply, err := acquire(context.Background(), hosts[0], id+1, 300*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetGranted().GetServer()).To(Equal("s"))
		}
		res := <-hosts[1].send(context.Background(), hosts[1].request(1, 2*time.Second))
		served(res)
		Expect(res.after).To(BeNumerically(">=", 250*time.Millisecond))
		expectEnded(hosts...)
	})

	It("sends a request for a key by the coordinator of its owner", func() {
		hosts := fleet(2, 6, 0)
		for _, h := range hosts {
			divide(h.exchangeBench)
		}
		key := mooring.Key(7)
		r := hosts[1].request(1, time.Second)
		r.key = &key
		served(<-hosts[1].send(context.Background(), r))
		Expect(hosts[1].fallbacks(fallbackNoCoordinator)).To(BeZero())
		expectEnded(hosts...)
	})

	// The controller of a coordinator weighs the load that servers state.
	It("tells the coordinator the load that a server states", func() {
		hosts := fleet(2, 6, 0)
		var told atomic.Uint32
		for _, h := range hosts {
			h.f.permits.loadOf = func(header http.Header) *signal.PermitServerLoad {
				if header.Get("Signed") == "" {
					return nil
				}
				return &signal.PermitServerLoad{Running: 3}
			}
		}
		hosts[0].server.onLoad = func(c *sluice.Controller, _ mooring.Instant, id sluice.RequestID, load *signal.PermitServerLoad) {
			if server, ok := c.ServerOf(id); ok && server.Server == "s" {
				told.Add(load.GetRunning())
			}
		}
		for _, h := range hosts {
			served(<-h.send(context.Background(), h.request(1, time.Second)))
		}
		Eventually(told.Load).Should(BeEquivalentTo(6))
		expectEnded(hosts...)
	})

	It("admits retries, without the servers that were tried", func() {
		hosts := fleet(2, 6, 0)
		hosts[0].serve("rejects", 6, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "y")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		hosts[0].share(hosts[1])
		coordinate(hosts[0], hosts...)
		var results []<-chan timedResult
		for range 20 {
			results = append(results, hosts[1].send(context.Background(), hosts[1].request(2, 3*time.Second)))
		}
		for _, res := range results {
			served(<-res)
		}
		Expect(hosts[1].servers["rejects"].arrived.Load()).To(BeNumerically(">", 0))
		for _, why := range []permitFallback{fallbackNoCoordinator, fallbackServer, fallbackPart} {
			Expect(hosts[1].fallbacks(why)).To(BeZero(), string(why))
		}
		expectEnded(hosts...)
	})

	It("admits the requests that a cut host passes on", func() {
		hosts := fleet(2, 6, 0)
		peer, _ := serveRelay(&relayServer{forwarder: hosts[1].f, stopping: hosts[1].stopping.Load})
		cut, _ := newCutHost(100, peer)
		served(<-cut.send(context.Background(), cut.request(1, time.Second)))
		Expect(hosts[0].f.metrics.Snapshot().Counters()).To(HaveKey(ContainSubstring("permits_total")))
		expectEnded(hosts...)
	})

	// A handover ends at all hosts at once. Without it, each sends what has waited there.
	It("admits requests that have waited for an owner of their key", func() {
		hosts := fleet(3, 1, 20*time.Millisecond)
		var results []<-chan timedResult
		for _, h := range hosts {
			h.service.Divided = true
			h.f.admissions.ownersOf("readings").update(monotonicNow(), &mooring.Table{Service: "readings", NextToken: 1, Assignments: []mooring.Assignment{
				{KeyRange: mooring.KeyRange{From: 0, To: mooring.MaxKey}},
			}}, 1)
		}
		for i := range 12 {
			h := hosts[i%3]
			key := mooring.Key(7)
			r := h.request(1, 3*time.Second)
			r.key = &key
			results = append(results, h.send(context.Background(), r))
		}
		for _, h := range hosts {
			Eventually(func() int { return h.admission().usage().Waiting }).Should(Equal(4))
		}
		for _, h := range hosts {
			owner, _ := h.f.clusterState.catalog().Get("s")
			h.f.admissions.ownersOf("readings").update(monotonicNow(), &mooring.Table{Service: "readings", NextToken: 2, Assignments: []mooring.Assignment{{
				KeyRange: mooring.KeyRange{From: 0, To: mooring.MaxKey}, Token: 1,
				Owner: mooring.ServerInstance{Server: "s", Incarnation: owner.Incarnation, Address: owner.Address},
			}}}, 2)
		}
		for _, res := range results {
			served(<-res)
		}
		granted := int64(0)
		for _, c := range hosts[0].f.metrics.Snapshot().Counters() {
			if c.Name() == metricPrefix+"."+string(metricPermits) && c.Tags()["result"] == "granted" {
				granted += c.Value()
			}
		}
		Expect(granted).To(BeNumerically(">=", 12))
		expectEnded(hosts...)
	})

	It("does not send to a server that the asking host knows to be closed", func() {
		hosts := fleet(2, 1, 20*time.Millisecond)
		hosts[0].serve("closed", 6, work(0))
		hosts[0].share(hosts[1])
		coordinate(hosts[0], hosts...)
		adm := hosts[1].admission()
		adm.setNotice(sluice.ServerInstance{Server: "closed", Incarnation: 1}, sluice.Notice{ClosedUntil: monotonicNow().Add(time.Minute)})
		var results []<-chan timedResult
		for range 10 {
			results = append(results, hosts[1].send(context.Background(), hosts[1].request(1, 3*time.Second)))
		}
		for _, res := range results {
			served(<-res)
		}
		Expect(hosts[1].servers["closed"].arrived.Load()).To(BeZero())
		Expect(hosts[1].fallbacks(fallbackServer)).To(BeZero())
		expectEnded(hosts...)
	})
})
