package jetty

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

func change(revision ledger.Revision) ledger.Change {
	return ledger.Change{Entry: ledger.Entry{Key: fmt.Sprintf("k%d", revision), Revision: revision}}
}

func keysOf(told feedUpdate) []string {
	var keys []string
	for _, c := range told.changes {
		keys = append(keys, c.Key)
	}
	return keys
}

// serveFeed serves a mirror and returns its address.
func serveFeed(m *changeLog) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	signal.RegisterFeedServer(server, m)
	go func() { _ = server.Serve(l) }()
	DeferCleanup(server.Stop)
	return l.Addr().String()
}

var _ = Describe("A feed of the store's changes", func() {
	var m *changeLog
	var f *feedClient
	var address string
	BeforeEach(func() {
		m, f = newChangeLog(), &feedClient{}
		m.reset([]ledger.Entry{change(9).Entry}, 10, true)
		address = serveFeed(m)
		DeferCleanup(func() { f.closeConn() })
	})
	ask := func(after ledger.Revision) (feedUpdate, error) {
		return f.changes(context.Background(), address, after)
	}
	expectLeft := func(err, cause error) {
		GinkgoHelper()
		Expect(err).To(MatchError(cause))
		Expect(f.usable(address)).To(BeFalse())
		Expect(f.usable("10.0.0.9:1")).To(BeTrue())
	}

	It("brings the changes after a revision, in order", func() {
		m.add([]ledger.Change{change(11), change(13)}, 14, true)
		told, err := ask(11)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(told)).To(Equal([]string{"k13"}))
		Expect(told.revision).To(Equal(ledger.Revision(14)))
		told, err = ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(told)).To(Equal([]string{"k11", "k13"}))
	})

	It("waits for a change", func() {
		time.AfterFunc(50*time.Millisecond, func() { m.add([]ledger.Change{change(11)}, 11, true) })
		began := time.Now()
		told, err := ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(told)).To(Equal([]string{"k11"}))
		Expect(time.Since(began)).To(BeNumerically("<", feedPollTimeout))
	})

	It("never goes back when the feeder knows less", func() {
		told, err := ask(20)
		Expect(err).NotTo(HaveOccurred())
		Expect(told.revision).To(Equal(ledger.Revision(20)))
	})

	It("is left when the feeder follows another host itself", func() {
		m.add(nil, 11, false)
		_, err := ask(10)
		expectLeft(err, errNotDirect)
	})

	It("is left when the store has not answered the feeder for too long", func() {
		m.storeAnsweredAt = time.Now().Add(-feedMaxAge)
		_, err := ask(10)
		expectLeft(err, errStaleFeed)
	})

	It("brings only the latest of many changes of a key", func() {
		const bytes = 50_000
		var table []ledger.Change
		for r := ledger.Revision(11); r < 411; r++ {
			table = append(table, ledger.Change{Entry: ledger.Entry{Key: "table", Value: make([]byte, bytes), Revision: r}})
		}
		m.add(table, 410, true)
		reply, _ := m.reply(10)
		Expect(proto.Size(reply)).To(BeNumerically("<", 2*bytes))
		Expect(reply.Changes[0].Revision).To(Equal(uint64(410)))
	})

	It("compresses large values", func() {
		table := strings.Repeat(`{"from":1,"to":2,"owner":3},`, 2000)
		m.add([]ledger.Change{{Entry: ledger.Entry{Key: "table", Value: []byte(table), Revision: 11}}}, 11, true)
		reply, _ := m.reply(10)
		Expect(proto.Size(reply)).To(BeNumerically("<", len(table)/5))
		told, err := ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(told.changes[0].Value)).To(Equal(table))
		m.add([]ledger.Change{{Entry: ledger.Entry{Key: "table", Value: []byte(table + "x"), Revision: 12}}}, 12, true)
		told, err = ask(11)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(told.changes[0].Value)).To(Equal(table + "x"))
	})

	It("brings removals, and keys that are written again", func() {
		removed := change(11)
		removed.Removed = true
		m.add([]ledger.Change{removed}, 11, true)
		told, err := ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(told.changes[0].Removed).To(BeTrue())
		again := change(11)
		again.Revision = 12
		m.add([]ledger.Change{again}, 12, true)
		told, err = ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(told)).To(Equal([]string{"k11"}))
		Expect(told.changes[0].Removed).To(BeFalse())
		Expect(m.removals).To(BeZero())
	})

	It("brings all that exists to a host that may have missed removals", func() {
		told, err := ask(8)
		Expect(err).NotTo(HaveOccurred())
		Expect(told.snapshot).To(BeTrue())
		Expect(keysOf(told)).To(Equal([]string{"k9"}))
		var many []ledger.Change
		for r := ledger.Revision(11); len(many) <= maxRemovals; r++ {
			c := change(r)
			c.Removed = true
			many = append(many, c)
		}
		m.add(many, many[len(many)-1].Revision, true)
		told, err = ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(told.snapshot).To(BeTrue())
		Expect(keysOf(told)).To(Equal([]string{"k9"}))
		told, err = ask(m.compactedRevision)
		Expect(err).NotTo(HaveOccurred())
		Expect(told.snapshot).To(BeFalse())
		Expect(told.changes).To(HaveLen(m.removals))
	})

	It("is left when the feeder does not answer", func() {
		address = "127.0.0.1:1"
		_, err := ask(10)
		Expect(err).To(HaveOccurred())
		Expect(f.usable(address)).To(BeFalse())
	})
})

var _ = Describe("The feeder of a failure domain", func() {
	var l *loadCollector
	now := time.Now()
	report := func(r *signal.LoadReport, after time.Duration) string {
		r.Address = r.Host + ":1"
		return l.add(r, now.Add(after)).feeder
	}
	direct := func(host, domain string) *signal.LoadReport {
		return &signal.LoadReport{Host: host, Domain: domain, Direct: true}
	}
	BeforeEach(func() { l = newLoadCollector() })

	It("is the host that has reported longest", func() {
		Expect(report(direct("b", "x"), 0)).To(Equal("b:1"))
		Expect(report(direct("a", "x"), time.Second)).To(Equal("b:1"))
		Expect(report(direct("c", "y"), time.Second)).To(Equal("c:1"))
		Expect(report(direct("a", "x"), time.Second+feederTimeout)).To(Equal("a:1"))
		Expect(report(direct("b", "x"), 2*time.Second+feederTimeout)).To(Equal("a:1"))
	})

	It("is one with a fast link", func() {
		l.reportingHosts["fast"] = reportingHost{domain: "x", address: "fast:1", firstReport: now, lastReport: now, storeAnsweredAt: now, linkMbps: 200}
		slow := direct("slow", "x")
		slow.LinkMbps = 10
		Expect(report(slow, 0)).To(Equal("fast:1"))
	})

	It("is replaced when the store does not answer it", func() {
		Expect(report(direct("a", "x"), 0)).To(Equal("a:1"))
		stale := direct("a", "x")
		stale.StoreAgeMillis = uint32(feedMaxAge.Milliseconds()) + 1
		Expect(report(stale, time.Second)).To(BeEmpty(), "every host tries for itself")
		Expect(report(&signal.LoadReport{Host: "b", Domain: "x"}, time.Second)).To(BeEmpty(), "it is fed itself")
		Expect(report(direct("b", "x"), time.Second)).To(Equal("b:1"))
		Expect(report(direct("a", "x"), time.Second)).To(Equal("b:1"))
	})
})

var _ = Describe("What all hosts know together", func() {
	It("tells which servers are crowded", func() {
		l := newLoadCollector()
		now := time.Now()
		pace := func(server string, requests, pressed uint32) *signal.ServerPace {
			return &signal.ServerPace{Server: server, Requests: requests, Pressed: pressed}
		}
		for range 5 {
			l.add(&signal.LoadReport{Host: "a", Servers: []*signal.ServerPace{pace("idle", 2, 0), pace("busy", 1, 1)}}, now)
		}
		Expect(l.add(&signal.LoadReport{Host: "b"}, now).overloaded).To(Equal([]fairway.ServerID{"busy"}))
		Expect(l.add(&signal.LoadReport{Host: "b"}, now.Add(10*time.Second)).overloaded).To(BeEmpty())
	})
})
