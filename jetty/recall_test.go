package jetty

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

var _ = Describe("A host that starts", func() {
	var w *watcher
	revision := func(era ledger.Era, number uint64) ledger.Revision {
		GinkgoHelper()
		r, err := ledger.NewRevision(era, number)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	entry := func(key, value string, r ledger.Revision) ledger.Entry {
		return ledger.Entry{Key: key, Value: []byte(value), Revision: r}
	}
	BeforeEach(func() {
		w = &watcher{
			protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool), sources: newFeedSources("own", noDelay),
			address: "own",
		}
	})

	// storeWith is a store whose copy names a placer.
	storeWith := func(placer string) []ledger.Entry {
		return []ledger.Entry{
			entry("config", "123", revision(2, 5)), entry("server/a", "", revision(2, 6)), entry(placerKey, placer, revision(2, 7)),
		}
	}

	version := func() int { return int(w.clusterState.activeConfig.Current().Version) }

	It("takes the newer configuration and the departures of the placer before the copy", func() {
		peer := &memory{}
		peer.setConfig(entry("config", "1234", revision(1, 9)))
		left, ok := fakeProtocol{}.Decode(entry("server/a", "", revision(1, 6)), time.Now()).(ServerRecord)
		Expect(ok).To(BeTrue())
		peer.removed(time.Now(), left.Endpoint, 1)
		entries := storeWith(startPeerServer(func(s *grpc.Server) { signal.RegisterMemoryServer(s, peer) }))
		w.recall(context.Background(), entries, revision(2, 7))
		w.applySnapshot(entries, revision(2, 7), true)
		Expect(version()).To(Equal(4))
		e, listed := w.clusterState.catalog().Get("a")
		Expect(listed).To(BeTrue())
		Expect(e.Draining).To(BeTrue())
	})

	It("goes on with the copy if the placer is of an earlier build, or is gone", func() {
		for _, placer := range []string{startPeerServer(func(*grpc.Server) {}), "127.0.0.1:1", "own", ""} {
			entries := storeWith(placer)
			w.recall(context.Background(), entries, revision(2, 7))
			w.applySnapshot(entries, revision(2, 7), true)
			Expect(version()).To(Equal(3))
		}
	})

	// told returns what a peer tells of departures.
	told := func(m *memory) []*signal.Departure {
		GinkgoHelper()
		reply, err := m.Recall(context.Background(), &signal.RecallRequest{})
		Expect(err).NotTo(HaveOccurred())
		return reply.GetDepartures()
	}
	instance := func(incarnation fairway.Incarnation) fairway.Endpoint {
		return fairway.Endpoint{ID: "a", Incarnation: incarnation}
	}

	It("believes the store about a server whose departure a peer has learned in the same era", func() {
		peer := &memory{}
		left, ok := fakeProtocol{}.Decode(entry("server/a", "", revision(2, 3)), time.Now()).(ServerRecord)
		Expect(ok).To(BeTrue())
		peer.removed(time.Now(), left.Endpoint, 2)
		entries := storeWith(startPeerServer(func(s *grpc.Server) { signal.RegisterMemoryServer(s, peer) }))
		w.recall(context.Background(), entries, revision(2, 7))
		w.applySnapshot(entries, revision(2, 7), true)
		e, listed := w.clusterState.catalog().Get("a")
		Expect(listed).To(BeTrue())
		Expect(e.Draining).To(BeFalse())
	})

	encoded := func(next mooring.Token) string {
		GinkgoHelper()
		t := mooring.NewTable("readings")
		t.NextToken = next
		data, err := t.Encode()
		Expect(err).NotTo(HaveOccurred())
		return string(data)
	}
	knownToken := func() mooring.Token { return w.admissions.ownersOf("readings").current.Load().table.NextToken }

	DescribeTable("goes by the table of owners that is newer", func(told ledger.Entry, expected mooring.Token) {
		peer := &memory{}
		peer.setTable(told)
		entries := append(storeWith(startPeerServer(func(s *grpc.Server) { signal.RegisterMemoryServer(s, peer) })),
			entry(tableKey("readings"), encoded(7), revision(2, 6)))
		w.recall(context.Background(), entries, revision(2, 7))
		w.applySnapshot(entries, revision(2, 7), true)
		Expect(knownToken()).To(Equal(expected))
		w.advance([]ledger.Change{{Entry: entry(tableKey("readings"), encoded(11), revision(2, 8))}}, revision(2, 8), true)
		Expect(knownToken()).To(Equal(mooring.Token(11)))
	},
		Entry("that of a peer, of the era before", entry(tableKey("readings"), encoded(9), revision(1, 90)), mooring.Token(9)),
		Entry("the store's, if the peer's has earlier tokens", entry(tableKey("readings"), encoded(5), revision(1, 90)), mooring.Token(7)),
		Entry("the store's, if the peer's is of the same era", entry(tableKey("readings"), encoded(9), revision(2, 5)), mooring.Token(7)),
		Entry("the store's, if the peer's cannot be read", entry(tableKey("readings"), "{", revision(1, 90)), mooring.Token(7)),
	)

	It("keeps the later departure if a peer tells an earlier one of the same id", func() {
		first, second := &memory{}, &memory{}
		now := time.Now()
		first.removed(now.Add(-time.Second), instance(2000), 1)
		second.removed(now.Add(-40*time.Second), instance(1000), 1)
		w.memory.addDepartures(now, told(first), 2)
		w.memory.addDepartures(now, told(second), 2)
		Expect(w.memory.hasLeft(instance(2000))).To(BeTrue())
	})

	It("neither tells nor believes a departure of long ago", func() {
		peer := &memory{}
		peer.removed(time.Now().Add(-time.Hour), instance(1000), 1)
		Expect(told(peer)).To(BeEmpty())
		w.memory.addDepartures(time.Now(), []*signal.Departure{{Server: "a", Incarnation: 1000, AgeMillis: 3_600_000, Era: 1}}, 2)
		Expect(w.memory.hasLeft(instance(1000))).To(BeFalse())
	})

	It("waits for hosts that do not answer all at a time", func() {
		var silent []string
		for range maxRecallPeers {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			silent = append(silent, l.Addr().String())
		}
		began := time.Now()
		w.recallFrom(context.Background(), silent)
		Expect(time.Since(began)).To(BeNumerically("<", 2*recallTimeout))
	})

	It("asks the peers that the placer names if it was the placer itself", func() {
		peer := &memory{}
		peer.setConfig(entry("config", "1234", revision(1, 9)))
		entries := storeWith("own")
		w.recall(context.Background(), entries, revision(2, 7))
		w.applySnapshot(entries, revision(2, 7), true)
		Expect(version()).To(Equal(3))
		w.recallOnce(context.Background(), []peerAddress{
			peerAddress(startPeerServer(func(s *grpc.Server) { signal.RegisterMemoryServer(s, peer) })),
		})
		Expect(version()).To(Equal(4))
	})

	It("asks no host if the store states no era", func() {
		asked := false
		peer := startPeerServer(func(s *grpc.Server) { signal.RegisterMemoryServer(s, askedMemory{asked: &asked}) })
		w.recall(context.Background(), storeWith(peer), revision(0, 7))
		Expect(asked).To(BeFalse())
	})
})

// startPeerServer starts a host that serves what register registers, and returns its
// address.
func startPeerServer(register func(*grpc.Server)) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := grpc.NewServer()
	register(s)
	loop := &serverLoop{serve: s.Serve, listener: l, logs: quietLogs()}
	go loop.run()
	DeferCleanup(s.Stop)
	return l.Addr().String()
}

// askedMemory records that it was asked.
type askedMemory struct {
	signal.UnimplementedMemoryServer

	asked *bool
}

// Recall implements signal.MemoryServer.
func (m askedMemory) Recall(context.Context, *signal.RecallRequest) (*signal.RecallReply, error) {
	*m.asked = true
	return &signal.RecallReply{}, nil
}
