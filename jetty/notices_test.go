package jetty

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// keepNotices has a bench's host keep what servers tell in their responses.
func keepNotices(b *exchangeBench) *notices {
	n := newNotices(&notices{
		protocol: fakeProtocol{}, admissions: b.f.admissions, clusterState: b.f.clusterState, logs: quietLogs(), metrics: newMetrics(), onLeaving: func() {},
	})
	b.f.notices = n
	if b.f.relay != nil {
		b.f.relay.notices = n
	}
	return n
}

// tell answers with headers besides an answer.
func tell(status int, headers ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		answer(w, status, "done")
	}
}

// noticeOf returns what a host knows of the instance 1 of server s.
func noticeOf(n *notices) sluice.Notice {
	return noticeOfInstance(n, sluice.ServerInstance{Server: "s", Incarnation: 1})
}

func noticeOfInstance(n *notices, instance sluice.ServerInstance) sluice.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.records[instance]; r != nil {
		return r.notice
	}
	return sluice.Notice{}
}

var _ = Describe("A notice in a server's response", func() {
	var b *exchangeBench
	var n *notices
	send := func() timedResult { return <-b.send(context.Background(), once(b.request(1, time.Second))) }
	BeforeEach(func() {
		b = newExchangeBench(0)
		n = keepNotices(b)
	})

	It("is passed on with the answer, and has the server get nothing more", func() {
		s := b.serve("s", 4, tell(http.StatusOK, "Leaving", "1", "Retry-After", "7"))
		resp := send().result.(backendResponse)
		Expect(resp.header.Get("Leaving")).To(Equal("1"))
		Expect(resp.header.Get("Retry-After")).To(Equal("7"))
		Expect(noticeOf(n).LeavingSince).NotTo(BeZero())
		other := b.serve("other", 4, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "done") })
		b.f.admissions.refresh(b.f.clusterState.catalog(), 1, 1)
		for range 4 {
			Expect(send().result).To(BeAssignableToTypeOf(backendResponse{}))
		}
		Expect(s.arrived.Load()).To(BeEquivalentTo(1))
		Expect(other.arrived.Load()).To(BeEquivalentTo(4))
	})

	It("has the only server of a service get nothing more after a while", func() {
		s := b.serve("s", 4, tell(http.StatusOK, "Leaving", "1"))
		send()
		Expect(send().result).To(BeAssignableToTypeOf(backendResponse{}))
		time.Sleep(1800 * time.Millisecond)
		Expect(send().result).To(BeAssignableToTypeOf(refusal{}))
		Expect(s.arrived.Load()).To(BeEquivalentTo(2))
	})

	It("counts from when the response was received, however late that was", func() {
		b.serve("s", 4, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			tell(http.StatusServiceUnavailable, "Closed-For", "10s", "Not-Run", "1")(w, r)
		})
		send()
		Expect(noticeOf(n).ClosedFor(monotonicNow())).To(BeNumerically(">", 9800*time.Millisecond))
	})

	DescribeTable("does not count",
		func(handler func(http.ResponseWriter, *http.Request)) {
			b.serve("s", 4, handler)
			send()
			Expect(noticeOf(n)).To(Equal(sluice.Notice{}))
		},
		Entry("in a trailer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Leaving, Closed-For")
			answer(w, http.StatusOK, "done")
			w.Header().Set("Leaving", "1")
			w.Header().Set("Closed-For", "10s")
		}),
		Entry("in an interim response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			w.Header().Set("Closed-For", "10s")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Leaving")
			w.Header().Del("Closed-For")
			answer(w, http.StatusOK, "done")
		}),
		Entry("in the answer to another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", "another")
			tell(http.StatusOK, "Leaving", "1")(w, r)
		}),
		Entry("in the answer of another server at the address", tell(http.StatusMisdirectedRequest, "Leaving", "1", "Not-Run", "1")),
	)

	It("reaches a request that has been admitted already, and leaves the server unsuspected", func() {
		s := b.serve("s", 4, tell(http.StatusOK))
		connecting, connect := make(chan struct{}), make(chan struct{})
		var first sync.Once
		b.f.upstream.dial = func(ctx context.Context, address string) (net.Conn, error) {
			first.Do(func() { close(connecting) })
			<-connect
			return dialTCP(ctx, address)
		}
		results := b.send(context.Background(), once(b.request(1, time.Second)))
		<-connecting
		e, _ := b.f.clusterState.catalog().Get("s")
		n.record("readings", []Notice{ServerCloses{Server: sluice.ServerInstanceOf(e), Until: monotonicNow().Add(200 * time.Millisecond)}})
		close(connect)
		(<-results).mustBeServed()
		Expect(s.arrived.Load()).To(BeEquivalentTo(1))
		Expect(noticeOf(n).ClosedFor(monotonicNow())).To(BeZero())
		b.expectNothingLeft()
	})

	It("has the request of a key come back when its owner is open", func() {
		b.serve("s", 4, tell(http.StatusServiceUnavailable, "Closed-For", "10s", "Not-Run", "1"))
		divide(b)
		key := mooring.Key(9)
		for range 2 {
			r := once(b.request(1, time.Second))
			r.key = &key
			res := (<-b.send(context.Background(), r)).result.(refusal)
			Expect(res.retryAfter).To(And(BeNumerically(">", 9*time.Second), BeNumerically("<", 13*time.Second)))
		}
	})

	It("ends with its incarnation, but for one that the next incarnation wrote before it was listed", func() {
		e := b.serve("s", 4, tell(http.StatusOK))
		endpoint, _ := b.f.clusterState.catalog().Get(e.id)
		old := sluice.ServerInstanceOf(endpoint)
		closeNow := func() {
			n.record("readings", []Notice{
				ServerCloses{Server: old, Until: monotonicNow().Add(10 * time.Second)}, ServerLeaves{Server: old, Since: monotonicNow()},
			})
		}
		list := func(born time.Time) sluice.Notice {
			next := endpoint
			next.Incarnation = fairway.Incarnation(born.UnixMilli())
			b.f.clusterState.servers.Store(b.f.clusterState.catalog().Apply([]fairway.Endpoint{next}, nil))
			n.refresh(monotonicNow())
			return noticeOfInstance(n, sluice.ServerInstanceOf(next))
		}
		closeNow()
		Expect(list(time.Now().Add(time.Second))).To(Equal(sluice.Notice{}))
		Expect(list(time.Now().Add(-time.Second)).ClosedFor(monotonicNow())).To(BeNumerically(">", 9*time.Second))
		Expect(list(time.Now().Add(-time.Second)).LeavingSince).To(BeZero())
	})
})

func (r timedResult) mustBeServed() {
	GinkgoHelper()
	Expect(r.result).To(BeAssignableToTypeOf(backendResponse{}))
}

var _ = Describe("A notice in a relayed response", func() {
	It("is known to both hosts, which pass it on, and a closure to the peer only", func() {
		p := newRelayPeer()
		p.serve("s", 20, tell(http.StatusOK, "Leaving", "1", "Closed-For", "10s"))
		peer := keepNotices(p.exchangeBench)
		b, _ := newCutHost(0, p.address)
		first := keepNotices(b)
		(<-b.send(context.Background(), once(b.request(1, time.Second)))).mustBeServed()
		Expect(noticeOf(peer).LeavingSince).NotTo(BeZero())
		Expect(noticeOf(peer).ClosedFor(monotonicNow())).NotTo(BeZero())
		Expect(noticeOf(first).LeavingSince).NotTo(BeZero())
		Expect(noticeOf(first).ClosedUntil).To(BeZero())
		res := (<-b.send(context.Background(), once(b.request(1, time.Second)))).result
		Expect(res).To(BeAssignableToTypeOf(refusal{}))
		Expect(p.servers["s"].arrived.Load()).To(BeEquivalentTo(1))
	})

	It("is taken to be of the listed incarnation if a peer of the build before does not state one", func() {
		old := &scriptedPeer{handle: func(stream relayServerStream) error {
			if err := awaitGo(stream); err != nil {
				return err
			}
			err := stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Head{Head: &signal.RelayHead{
				Status: http.StatusOK, Server: "s", Headers: []*signal.RelayHeader{
					{Name: "Signed", Value: []byte("y")}, {Name: "Id", Value: []byte("request-1")}, {Name: "Leaving", Value: []byte("1")},
				},
			}}})
			if err != nil {
				return err
			}
			return stream.Send(&signal.RelayReply{Part: &signal.RelayReply_End{End: &signal.RelayEnd{}}})
		}}
		address, _ := serveRelay(old)
		b, _ := newCutHost(0, address)
		b.serve("s", 4, tell(http.StatusOK))
		n := keepNotices(b)
		(<-b.send(context.Background(), once(b.request(1, time.Second)))).mustBeServed()
		Expect(noticeOf(n).LeavingSince).NotTo(BeZero())
	})
})

var _ = Describe("A notice that hosts tell each other", func() {
	var hosts [3]*exchangeBench
	var known [3]*notices
	var placer *loadCollector
	s := sluice.ServerInstance{Server: "s", Incarnation: 1}
	// report has all hosts report to the placer, which is the first.
	report := func() {
		for i, n := range known {
			r := &signal.LoadReport{Host: string(rune('a' + i)), Address: string(rune('a' + i))}
			n.addTo(r, monotonicNow())
			reply, err := placer.Report(context.Background(), r)
			Expect(err).NotTo(HaveOccurred())
			n.merge(reply.LeavingServers, monotonicNow())
		}
	}
	draining := func() bool {
		e, _ := known[0].withLeaving(hosts[0].f.clusterState.catalog()).Get("s")
		return e.Draining
	}
	BeforeEach(func() {
		for i := range hosts {
			hosts[i] = newExchangeBench(0)
			hosts[i].serve("s", 4, tell(http.StatusOK))
			hosts[i].serve("other", 4, tell(http.StatusOK))
			known[i] = keepNotices(hosts[i])
			hosts[i].admission()
		}
		placer = newLoadCollector()
		placer.isPlacer, placer.notices = func() bool { return true }, known[0]
	})

	It("has the placer move the keys, and the others use the server last", func() {
		known[1].record("readings", []Notice{ServerLeaves{Server: s, Since: monotonicNow()}})
		Expect(draining()).To(BeFalse())
		report()
		Expect(draining()).To(BeTrue())
		report()
		for _, i := range []int{0, 2} {
			Expect(noticeOf(known[i])).To(Equal(sluice.Notice{LeavingElsewhere: true}))
		}
		(<-hosts[2].send(context.Background(), once(hosts[2].request(1, time.Second)))).mustBeServed()
		Expect(hosts[2].servers["s"].arrived.Load()).To(BeZero())
	})

	It("is not taken for one of another incarnation", func() {
		other, _ := hosts[1].f.clusterState.catalog().Get("s")
		other.Incarnation = 7
		hosts[1].f.clusterState.servers.Store(hosts[1].f.clusterState.catalog().Apply([]fairway.Endpoint{other}, nil))
		known[1].record("readings", []Notice{ServerLeaves{Server: sluice.ServerInstanceOf(other), Since: monotonicNow()}})
		Expect(known[1].leaving()).To(HaveLen(1))
		report()
		report()
		Expect(draining()).To(BeFalse())
		Expect(noticeOf(known[2])).To(Equal(sluice.Notice{}))
	})

	It("does not become the other hosts' own", func() {
		known[1].record("readings", []Notice{ServerLeaves{Server: s, Since: monotonicNow()}})
		for range 5 {
			report()
		}
		Expect(noticeOf(known[2]).LeavingSince).To(BeZero())
	})

	It("lowers the capacity of a server by the part of the hosts to which it is closed", func() {
		state := hosts[0].f.clusterState
		state.hosts.Store(3)
		capacity := func() (float64, bool) {
			speeds, limits := map[fairway.ServerID]float64{"s": 0.9}, map[fairway.ServerID]float64{}
			known[0].lowerCapacity("readings", speeds, limits)
			_, limited := limits["s"]
			return speeds["s"], limited
		}
		closeTo := func(i int, d time.Duration) {
			known[i].record("readings", []Notice{ServerCloses{Server: s, Until: monotonicNow().Add(d)}})
			report()
		}
		closeTo(1, 500*time.Millisecond)
		speed, _ := capacity()
		Expect(speed).To(Equal(0.9), "it is open again before its keys could move")
		closeTo(1, 10*time.Second)
		speed, limited := capacity()
		Expect(speed).To(BeNumerically("~", 0.6, 0.01))
		Expect(limited).To(BeFalse())
		closeTo(2, 10*time.Second)
		_, limited = capacity()
		Expect(limited).To(BeTrue())
		known[0].addClosures("b", nil, monotonicNow())
		_, limited = capacity()
		Expect(limited).To(BeFalse(), "a host that has restarted knows nothing of it")
		known[0].addClosures("c", nil, monotonicNow().Add(hostTimeout))
		Expect(known[0].closures).To(BeEmpty())
	})
})

// firstNewField is the lowest number of the fields with notices, which 2b38b63 does not know.
const firstNewField = 20

// earlierMessage returns a message type as the build before knows it: without the fields
// from firstNewField on.
func earlierMessage(name protoreflect.FullName) *dynamicpb.Message {
	GinkgoHelper()
	file := protodesc.ToFileDescriptorProto(signal.File_signal_proto)
	for _, m := range file.MessageType {
		var kept []*descriptorpb.FieldDescriptorProto
		for _, f := range m.Field {
			if f.GetNumber() < firstNewField {
				kept = append(kept, f)
			}
		}
		m.Field = kept
	}
	earlier, err := protodesc.NewFile(file, nil)
	Expect(err).NotTo(HaveOccurred())
	return dynamicpb.NewMessage(earlier.Messages().ByName(name.Name()))
}

var _ = Describe("A host of the build before", func() {
	DescribeTable("reads what it knows, and leaves out the notices",
		func(m proto.Message, without func()) {
			encoded, err := proto.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			earlier := earlierMessage(m.ProtoReflect().Descriptor().FullName())
			Expect(proto.Unmarshal(encoded, earlier)).To(Succeed())
			earlier.SetUnknown(nil)
			read, err := proto.MarshalOptions{Deterministic: true}.Marshal(earlier)
			Expect(err).NotTo(HaveOccurred())
			without()
			known, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			Expect(read).To(Equal(known))
			Expect(len(read)).To(BeNumerically("<", len(encoded)))
		},
		messageEntry("in a report", &signal.LoadReport{
			Host: "h", Cut: true, LeavingServers: []*signal.LeavingServer{{Server: "s", Incarnation: 1}}, ClosedServers: []*signal.ClosedServer{{Server: "s"}},
		}, func(m *signal.LoadReport) { m.LeavingServers, m.ClosedServers = nil, nil }),
		messageEntry("in a reply", &signal.LoadReply{Hosts: 3, LeavingServers: []*signal.LeavingServer{{Server: "s", Incarnation: 1}}},
			func(m *signal.LoadReply) { m.LeavingServers = nil }),
		messageEntry("in the head of a relayed response", &signal.RelayHead{Status: 200, Server: "s", ServerIncarnation: 4},
			func(m *signal.RelayHead) { m.ServerIncarnation = 0 }),
	)

	It("tells of no notices, which leaves those of others as they are", func() {
		b := newExchangeBench(0)
		b.serve("s", 4, tell(http.StatusOK))
		n := keepNotices(b)
		n.record("readings", []Notice{ServerLeaves{Server: sluice.ServerInstance{Server: "s", Incarnation: 1}, Since: monotonicNow()}})
		before := noticeOf(n)
		collector := newLoadCollector()
		collector.isPlacer, collector.notices = func() bool { return true }, n
		_, err := collector.Report(context.Background(), &signal.LoadReport{Host: "h"})
		Expect(err).NotTo(HaveOccurred())
		n.merge((&signal.LoadReply{Hosts: 3}).LeavingServers, monotonicNow())
		Expect(noticeOf(n)).To(Equal(before))
	})
})

// messageEntry is an entry for a message, and a function that removes its new fields.
func messageEntry[M proto.Message](name string, m M, without func(M)) TableEntry {
	return Entry(name, m, func() { without(m) })
}
