package jetty

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("A host that reads of evacuations", func() {
	var s *fakeStore
	var w *watcher
	var written bytes.Buffer
	step := func() {
		GinkgoHelper()
		Expect(w.step(context.Background())).To(Succeed())
	}
	evacuated := func() []fairway.ServerID {
		ids := []fairway.ServerID{}
		for id, e := range w.clusterState.catalog().All() {
			if e.Evacuated {
				ids = append(ids, id)
			}
		}
		return ids
	}
	start := func() {
		w = &watcher{
			store: s, protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: newLogs(&written, &Settings{}), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool),
			sources: newFeedSources("own", noDelay), evacuationBound: 5 * time.Second,
		}
		step()
	}
	BeforeEach(func() {
		s = newFakeStore()
		written.Reset()
		s.set("server/a", "x")
		s.set("server/b", "x")
		start()
	})
	It("marks the servers of the domain, also those that register again or later, until the key is removed", func() {
		s.set("evacuate/domain-a", "{}")
		step()
		Expect(evacuated()).To(ConsistOf(fairway.ServerID("a")))
		// Owners reject requests until the host has read the table that follows.
		Expect(w.batchDelay(nil)).To(Equal(tableBatchDelay))
		s.remove("evacuate/domain-b")
		s.set("evacuate/domain-b", "{}")
		s.remove("evacuate/domain-b")
		s.set("evacuate/domain-c", "anything")
		s.set("server/a", "y")
		s.set("server/c", "x")
		step()
		Expect(evacuated()).To(ConsistOf(fairway.ServerID("a"), fairway.ServerID("c")))
		s.remove("evacuate/domain-a")
		step()
		Expect(evacuated()).To(ConsistOf(fairway.ServerID("c")))
		w.logs.close()
		Expect(written.String()).To(And(ContainSubstring("evacuation_began"), ContainSubstring("evacuation_ended")))
	})

	// Such an evacuation had no end: the removal of its key is not among the changes.
	It("ends an evacuation whose key is not in a snapshot, and keeps it while the store is lost", func() {
		s.set("evacuate/domain-a", "{}")
		step()
		w.lastContact = time.Now().Add(-2 * outageThreshold)
		w.recordFailure(errFake)
		Expect(evacuated()).To(ConsistOf(fairway.ServerID("a")))
		s.remove("evacuate/domain-a")
		s.changes = nil
		step()
		Expect(evacuated()).To(BeEmpty())
	})

	// The time of owners began anew at each start of a host, beyond the bound.
	It("lets owners be used within the bound of the last contact before the key, and not at all after a start", func() {
		contact := time.Now().Add(-500 * time.Millisecond)
		w.lastContact = contact
		s.set("evacuate/domain-a", "{}")
		step()
		Expect(w.clusterState.ownersUntil()).To(Equal(sluice.Evacuations{"domain-a": instantOf(contact.Add(4 * time.Second))}))
		start()
		Expect(w.clusterState.ownersUntil()).To(Equal(sluice.Evacuations{"domain-a": 0}))
		Expect(evacuated()).To(ConsistOf(fairway.ServerID("a")))
	})
})

var _ = Describe("A request whose server is evacuated after its admission", func() {
	// It was sent to the evacuated server once its connection was open.
	It("goes to another server", func() {
		b := newExchangeBench(0)
		answers := func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "done") }
		servers := map[string]*exchangeServer{}
		for _, id := range []fairway.ServerID{"a", "b"} {
			s := b.serve(id, 4, answers)
			e, _ := b.f.clusterState.catalog().Get(id)
			e.Domain = fairway.Domain(e.Address)
			b.f.clusterState.servers.Store(b.f.clusterState.catalog().Apply([]fairway.Endpoint{e}, nil))
			servers[e.Address] = s
		}
		opening, opened := make(chan string, 1), make(chan struct{})
		b.f.upstream.dial = func(ctx context.Context, address string) (net.Conn, error) {
			select {
			case opening <- address:
				<-opened
			default:
			}
			return dialTCP(ctx, address)
		}
		result := b.send(context.Background(), b.request(1, 2*time.Second))
		first := <-opening
		b.f.clusterState.setEvacuations(map[fairway.Domain]evacuation{fairway.Domain(first): {}})
		b.f.admissions.cfg.Evacuations = b.f.clusterState.ownersUntil
		b.f.admissions.refresh(b.f.clusterState.catalog(), 1, 1)
		close(opened)
		Expect((<-result).result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(servers[first].arrived.Load()).To(BeZero(), "requests at the evacuated server")
	})
})
