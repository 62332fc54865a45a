package jetty

import (
	"context"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// noDelay is a source of random numbers that adds nothing to delays.
func noDelay() float64 { return 0 }

func quietLogs() *logs {
	return newLogs(io.Discard, &Settings{Host: "h"})
}

var _ = Describe("The watcher", func() {
	var s *fakeStore
	var w *watcher
	var changes int
	step := func() error { return w.step(context.Background()) }
	known := func() []string {
		var ids []string
		for id := range w.clusterState.catalog().All() {
			ids = append(ids, string(id))
		}
		return ids
	}
	BeforeEach(func() {
		s = newFakeStore()
		changes = 0
		w = &watcher{
			store: s, protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() { changes++ }, missing: make(map[fairway.ServerID]bool), sources: newFeedSources("own", noDelay),
		}
		s.set("server/a", "x")
		s.set("server/b", "x")
		s.set("config", "123")
		Expect(step()).To(Succeed())
	})
	// outage simulates a store that has failed for longer than the time to live
	// of registrations.
	outage := func() {
		w.lastContact = time.Now().Add(-2 * outageThreshold)
		w.recordFailure(errFake)
	}

	It("reads everything at first", func() {
		Expect(known()).To(ConsistOf("a", "b"))
		Expect(w.clusterState.activeConfig.Current().Version).To(Equal(fairway.Version(3)))
		Expect(changes).To(BeNumerically(">", 0))
	})

	It("drops a server whose entry is removed", func() {
		s.remove("server/a")
		Expect(step()).To(Succeed())
		Expect(known()).To(ConsistOf("b"))
	})

	It("takes the last of several changes of a server", func() {
		s.remove("server/a")
		s.set("server/a", "y")
		s.set("server/b", "y")
		s.remove("server/b")
		Expect(step()).To(Succeed())
		Expect(known()).To(ConsistOf("a"))
	})

	It("keeps servers that are missing right after an outage until they have had time to register again", func() {
		outage()
		s.remove("server/a")
		Expect(step()).To(Succeed())
		Expect(known()).To(ConsistOf("a", "b"))
		a, _ := w.clusterState.catalog().Get("a")
		b, _ := w.clusterState.catalog().Get("b")
		Expect([]bool{a.Unconfirmed, b.Unconfirmed}).To(Equal([]bool{true, false}))
		w.unconfirmedUntil = time.Now()
		w.removeMissing()
		Expect(known()).To(ConsistOf("b"))
	})

	It("keeps a server that comes back after an outage", func() {
		outage()
		s.remove("server/a")
		Expect(step()).To(Succeed())
		s.set("server/a", "y")
		Expect(step()).To(Succeed())
		w.unconfirmedUntil = time.Now()
		w.removeMissing()
		Expect(known()).To(ConsistOf("a", "b"))
	})

	It("reads everything again after an outage, not each change that it missed", func() {
		outage()
		s.remove("server/a")
		s.changes = nil
		Expect(step()).To(Succeed())
		w.unconfirmedUntil = time.Now()
		w.removeMissing()
		Expect(known()).To(ConsistOf("b"))
	})

	It("reads everything again when the store has dropped its history", func() {
		s.failNext(ledger.KindCompacted)
		err := step()
		Expect(ledger.IsKind(err, ledger.KindCompacted)).To(BeTrue())
		w.scanned.Store(false)
		delete(s.entries, "server/a")
		Expect(step()).To(Succeed())
		Expect(known()).To(ConsistOf("b"))
	})

	It("never takes an older configuration", func() {
		s.set("config", "12345")
		Expect(step()).To(Succeed())
		s.set("config", "1234")
		Expect(step()).To(Succeed())
		Expect(w.clusterState.activeConfig.Current().Version).To(Equal(fairway.Version(5)))
	})

	It("tells the rest of the host nothing of a table, or of a registration that says the same again", func() {
		table, err := mooring.NewTable("readings").Encode()
		Expect(err).NotTo(HaveOccurred())
		former, catalog := changes, w.clusterState.catalog()
		s.set("server/a", "x")
		s.set(tableKey("readings"), string(table))
		Expect(step()).To(Succeed())
		Expect(w.admissions.ownersOf("readings").current.Load()).NotTo(BeNil())
		Expect(changes).To(Equal(former))
		Expect(w.clusterState.catalog()).To(BeIdenticalTo(catalog))
		s.set("server/c", "x")
		Expect(step()).To(Succeed())
		Expect(changes).To(Equal(former + 1))
		Expect(known()).To(ConsistOf("a", "b", "c"))
	})

	It("confirms a server that is missing by a registration that says the same again", func() {
		outage()
		s.remove("server/a")
		Expect(step()).To(Succeed())
		s.set("server/a", "x")
		former := changes
		Expect(step()).To(Succeed())
		a, _ := w.clusterState.catalog().Get("a")
		Expect(a.Unconfirmed).To(BeFalse())
		Expect(changes).To(Equal(former + 1))
	})

	It("has requests that wait for an owner admitted with the table that names one", func() {
		service := &fairway.Service{Name: "readings", Divided: true}
		server := fairway.Endpoint{ID: "a", Service: "readings", Address: "10.0.0.1:80", Incarnation: 1, Slots: 4}
		a := w.admissions.get(service, fairway.NewCatalog([]fairway.Endpoint{server}))
		table := mooring.NewTable("readings")
		set := func(revision ledger.Revision) {
			data, err := table.Encode()
			Expect(err).NotTo(HaveOccurred())
			w.apply([]ledger.Change{{Entry: ledger.Entry{Key: tableKey("readings"), Value: data, Revision: revision}}})
		}
		set(100)
		key := mooring.Key(7)
		decided := make(chan sluice.Decision, 1)
		go func() {
			decided <- a.acquire(context.Background(), &sluice.Request{ID: 1, Key: &key, Deadline: monotonicNow().Add(time.Minute)})
		}()
		Eventually(func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.controller.Waiting()
		}).Should(Equal(1))
		table.Assignments[0].Owner = mooring.ServerInstance{Server: "a", Incarnation: 1, Address: "10.0.0.1:80"}
		table.Assignments[0].Token, table.NextToken = 1, 2
		set(101)
		Eventually(decided).Should(Receive(BeAssignableToTypeOf(sluice.Dispatch{})))
	})

	It("follows the placer and the tables, never back", func() {
		s.set(placerKey, "10.0.0.1:1")
		table, err := mooring.NewTable("readings").Encode()
		Expect(err).NotTo(HaveOccurred())
		s.set(tableKey("readings"), string(table))
		Expect(step()).To(Succeed())
		Expect(w.clusterState.currentPlacer().address).To(Equal("10.0.0.1:1"))
		revision := w.admissions.ownersOf("readings").current.Load().revision
		w.applyHostRecord(ledger.Change{Entry: ledger.Entry{Key: tableKey("readings"), Value: table, Revision: 1}})
		Expect(w.admissions.ownersOf("readings").current.Load().revision).To(Equal(revision))
		s.remove(placerKey)
		Expect(step()).To(Succeed())
		Expect(w.clusterState.currentPlacer().address).To(BeEmpty())
	})
})

var _ = Describe("Metrics", func() {
	It("are served as text", func() {
		m := newMetrics()
		m.requestAnswered(&request{route: &fairway.Route{Name: "r"}}, refusal{reason: "overload"}, time.Millisecond)
		text := metricsText(m)
		Expect(text).To(ContainSubstring("requests_total"))
		Expect(strings.Count(text, `reason="overload"`)).To(Equal(1))
	})
})

var _ = Describe("The placer's assigners", func() {
	It("do not take an entry of an unknown service at an owner's address as proof of its end", func() {
		owner := fairway.Endpoint{ID: "a", Service: "readings", Address: "10.0.0.1:80", Incarnation: 1, Slots: 4}
		forged := fairway.Endpoint{ID: "f", Service: "forged", Address: owner.Address, Incarnation: 2, Slots: 4}
		config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{{Name: "readings", Divided: true}})
		Expect(err).NotTo(HaveOccurred())
		e := &election{
			clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			loadCollector: newLoadCollector(), maxHold: grantHold,
		}
		e.clusterState.activeConfig.SetIfNewer(config)
		e.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{owner, forged}))
		r := &termRunner{
			election: e, term: &term{began: bootTimeNow()}, actions: newActionQueue(),
			assigners: make(map[fairway.ServiceName]*mooring.Assigner),
		}
		r.updateServers()
		table := mooring.NewTable("readings")
		table.Assignments[0].Owner = mooring.ServerInstance{Server: "gone", Incarnation: 1, Address: owner.Address}
		table.Assignments[0].Token, table.NextToken = 1, 2
		r.step("readings", mooring.TableLoaded{Table: table, Revision: 1})
		var written *mooring.Table
		for next, ok := r.actions.tryTake(); ok; next, ok = r.actions.tryTake() {
			if w, ok := next.action.(mooring.WriteTable); ok {
				written = w.Table
			}
		}
		Expect(written).NotTo(BeNil())
		r.step("readings", mooring.WriteSucceeded{Revision: 2})
		for next, ok := r.actions.tryTake(); ok; next, ok = r.actions.tryTake() {
			Expect(next.action).NotTo(BeAssignableToTypeOf(mooring.WriteTable{}), "the former owner was cleared")
		}
	})
	It("plan once for results that have arrived together, and lose none of them", func() {
		config, err := fairway.NewConfig(1, fairway.Limits{}, nil, []*fairway.Service{{Name: "meters", Divided: true}, {Name: "readings", Divided: true}})
		Expect(err).NotTo(HaveOccurred())
		e := &election{
			clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			loadCollector: newLoadCollector(), maxHold: grantHold, logs: quietLogs(),
		}
		e.clusterState.activeConfig.SetIfNewer(config)
		for _, services := range [][]fairway.ServiceName{{"readings"}, {"readings", "meters"}} {
			r := &termRunner{
				election: e, term: &term{began: bootTimeNow()}, actions: newActionQueue(), path: newPathEvidence(bootTimeNow()),
				assigners: make(map[fairway.ServiceName]*mooring.Assigner), events: make(chan assignerEvent, 2*maxEvents),
			}
			r.updateServers()
			const results = 2*maxEvents - 7
			for n := range results {
				r.events <- assignerEvent{service: services[n%len(services)], event: mooring.OrderCompleted{
					Order: mooring.Order{To: mooring.ServerInstance{Server: "a"}}, Result: mooring.ResultNoResponse, Ended: bootTimeNow(),
				}}
			}
			for len(r.events) > 0 {
				r.handle(<-r.events)
			}
			Expect(r.path.servers["a"].failures).To(Equal(results))
		}
	})
})
