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
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool),
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
		peer.removed(time.Now(), left.Endpoint)
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
