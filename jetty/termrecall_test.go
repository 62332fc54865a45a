package jetty

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

// A placer that has started since the store came back gives keys to others that a server holds,
// if only the hosts that ran on know that server.
var _ = Describe("The first placer of an era that does not know the one before", func() {
	const tellEra, termEra = 1, 2
	g9 := fairway.Endpoint{ID: "g9", Service: "readings", Address: "10.0.0.9:80", Incarnation: 7}
	instance := mooring.ServerInstance{Server: "g9", Incarnation: 7, Address: "10.0.0.9:80"}

	// recalled has hosts report to the placer, which asks them, and returns what they tell.
	recalled := func(hosts ...*memory) []assignerEvent {
		GinkgoHelper()
		l := newLoadCollector()
		l.isPlacer = func() bool { return true }
		for n, m := range hosts {
			address := startPeerServer(func(s *grpc.Server) {
				if m != nil {
					signal.RegisterMemoryServer(s, m)
				}
			})
			l.add(&signal.LoadReport{Host: string(rune('a' + n)), Address: address}, time.Now())
		}
		events := make(chan assignerEvent, 100)
		r := &termRecall{loadCollector: l, logs: quietLogs(), address: "own", era: termEra, until: bootTimeNow().Add(2 * termRecallInterval), events: events}
		r.run(context.Background())
		close(events)
		var all []assignerEvent
		for e := range events {
			all = append(all, e)
		}
		return all
	}
	// knowing returns the memory of a host that knows a table, and servers, of an era.
	knowing := func(era ledger.Era) *memory {
		GinkgoHelper()
		m := &memory{}
		revision, err := ledger.NewRevision(era, 9)
		Expect(err).NotTo(HaveOccurred())
		data, err := mooring.NewTable("readings").Encode()
		Expect(err).NotTo(HaveOccurred())
		m.setTable(ledger.Entry{Key: tableKey("readings"), Value: data, Revision: revision})
		m.eraEnded(era, map[fairway.ServerID]fairway.Endpoint{"g9": g9})
		return m
	}

	It("asks the hosts that report to it for tables and servers", func() {
		Expect(recalled(&memory{}, knowing(tellEra))).To(ConsistOf(
			assignerEvent{service: "readings", event: mooring.TableRecalled{Table: mooring.NewTable("readings")}},
			assignerEvent{service: "readings", event: mooring.ServersRecalled{Servers: []mooring.ServerInstance{instance}}},
		))
	})

	It("takes nothing of its own era", func() {
		Expect(recalled(knowing(termEra))).To(BeEmpty())
	})

	It("goes on without hosts that do not answer, as those of a build without the call", func() {
		Expect(recalled(nil, &memory{})).To(BeEmpty())
	})

	It("asks no more hosts than are needed", func() {
		var hosts []*memory
		for range 3 * maxAskedAtOnce {
			hosts = append(hosts, knowing(tellEra))
		}
		const eventsOfHost = 2
		Expect(recalled(hosts...)).To(HaveLen(eventsOfHost * maxAskedAtOnce))
	})

	It("goes by the servers that it knew itself when the store came back", func() {
		m := knowing(tellEra)
		Expect(m.serversBefore(termEra, "readings")).To(ConsistOf(instance))
		Expect(m.serversBefore(termEra, "billing")).To(BeEmpty())
		Expect(m.serversBefore(tellEra, "readings")).To(BeEmpty())
	})
})
