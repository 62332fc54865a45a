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

func keysOf(update feedUpdate) []string {
	var keys []string
	for _, c := range update.changes {
		keys = append(keys, c.Key)
	}
	return keys
}

// serveFeed serves a change log and returns its address.
func serveFeed(l *changeLog) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	signal.RegisterFeedServer(server, l)
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return listener.Addr().String()
}

var _ = Describe("A feed of the store's changes", func() {
	var l *changeLog
	var f *feedClient
	var address string
	BeforeEach(func() {
		l, f = newChangeLog(), &feedClient{}
		l.reset([]ledger.Entry{change(9).Entry}, 10, true)
		address = serveFeed(l)
		DeferCleanup(func() { f.closeExcept(nil) })
	})
	poll := func(after ledger.Revision) (feedUpdate, error) {
		return f.changes(context.Background(), peerSource{address: address, wait: true}, after)
	}
	// expectUnusable expects that another feeder is asked next.
	expectUnusable := func(err, cause error) {
		GinkgoHelper()
		Expect(err).To(MatchError(cause))
		s := newFeedSources("own", noDelay)
		s.setPlan(feedPlan{feeder: address, fallbacks: []string{"10.0.0.9:1"}}, 3)
		s.peerFailed(0, address, err)
		Expect(s.next(0)).To(Equal(peerSource{address: "10.0.0.9:1"}))
	}

	It("returns the changes after a revision, in order", func() {
		l.add([]ledger.Change{change(11), change(13)}, 14, true)
		update, err := poll(11)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(update)).To(Equal([]string{"k13"}))
		Expect(update.revision).To(Equal(ledger.Revision(14)))
		update, err = poll(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(update)).To(Equal([]string{"k11", "k13"}))
	})

	It("waits for a change", func() {
		time.AfterFunc(50*time.Millisecond, func() { l.add([]ledger.Change{change(11)}, 11, true) })
		began := time.Now()
		update, err := poll(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(update)).To(Equal([]string{"k11"}))
		Expect(time.Since(began)).To(BeNumerically("<", feedPollTimeout))
	})

	It("never goes back when the feeder has an older revision", func() {
		update, err := poll(20)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.revision).To(Equal(ledger.Revision(20)))
	})

	It("becomes unusable when the feeder does not watch the store itself", func() {
		l.add(nil, 11, false)
		_, err := poll(10)
		expectUnusable(err, errNotDirect)
	})

	It("becomes unusable when the store has not answered the feeder for too long", func() {
		l.storeAnsweredAt = time.Now().Add(-feedMaxAge)
		_, err := poll(10)
		expectUnusable(err, errStaleFeed)
	})

	It("returns only the latest of many changes of a key", func() {
		const bytes = 50_000
		var table []ledger.Change
		for r := ledger.Revision(11); r < 411; r++ {
			table = append(table, ledger.Change{Entry: ledger.Entry{Key: "table", Value: make([]byte, bytes), Revision: r}})
		}
		l.add(table, 410, true)
		reply, _ := l.reply(10)
		Expect(proto.Size(reply)).To(BeNumerically("<", 2*bytes))
		Expect(reply.Changes[0].Revision).To(Equal(uint64(410)))
	})

	It("compresses large values", func() {
		table := strings.Repeat(`{"from":1,"to":2,"owner":3},`, 2000)
		l.add([]ledger.Change{{Entry: ledger.Entry{Key: "table", Value: []byte(table), Revision: 11}}}, 11, true)
		reply, _ := l.reply(10)
		Expect(proto.Size(reply)).To(BeNumerically("<", len(table)/5))
		update, err := poll(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(update.changes[0].Value)).To(Equal(table))
		l.add([]ledger.Change{{Entry: ledger.Entry{Key: "table", Value: []byte(table + "x"), Revision: 12}}}, 12, true)
		update, err = poll(11)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(update.changes[0].Value)).To(Equal(table + "x"))
	})

	It("returns removals, and keys that are written again", func() {
		removed := change(11)
		removed.Removed = true
		l.add([]ledger.Change{removed}, 11, true)
		update, err := poll(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.changes[0].Removed).To(BeTrue())
		again := change(11)
		again.Revision = 12
		l.add([]ledger.Change{again}, 12, true)
		update, err = poll(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(update)).To(Equal([]string{"k11"}))
		Expect(update.changes[0].Removed).To(BeFalse())
		Expect(l.removals).To(BeZero())
	})

	It("returns all that exists to a host that may have missed removals", func() {
		update, err := poll(8)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.snapshot).To(BeTrue())
		Expect(keysOf(update)).To(Equal([]string{"k9"}))
		var many []ledger.Change
		for r := ledger.Revision(11); len(many) <= maxRemovals; r++ {
			c := change(r)
			c.Removed = true
			many = append(many, c)
		}
		l.add(many, many[len(many)-1].Revision, true)
		update, err = poll(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.snapshot).To(BeTrue())
		Expect(keysOf(update)).To(Equal([]string{"k9"}))
		update, err = poll(l.compactedRevision)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.snapshot).To(BeFalse())
		Expect(update.changes).To(HaveLen(l.removals))
	})

	It("becomes unusable when the feeder does not answer", func() {
		address = "127.0.0.1:1"
		_, err := poll(10)
		expectUnusable(err, err)
	})
})

var _ = Describe("The feeder of a failure domain", func() {
	var l *loadCollector
	now := time.Now()
	report := func(r *signal.LoadReport, after time.Duration) string {
		r.Address = r.Host + ":1"
		return l.add(r, now.Add(after)).feed.feeder
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
		Expect(report(stale, time.Second)).To(BeEmpty(), "every host calls the store itself")
		Expect(report(&signal.LoadReport{Host: "b", Domain: "x"}, time.Second)).To(BeEmpty(), "it uses a feeder itself")
		Expect(report(direct("b", "x"), time.Second)).To(Equal("b:1"))
		Expect(report(direct("a", "x"), time.Second)).To(Equal("b:1"))
	})
})

var _ = Describe("The summary of all reports", func() {
	It("lists the overloaded servers", func() {
		l := newLoadCollector()
		now := time.Now()
		stats := func(server string, requests, overloadSamples uint32) *signal.ServerPace {
			return &signal.ServerPace{Server: server, Requests: requests, Pressed: overloadSamples}
		}
		for range 5 {
			l.add(&signal.LoadReport{Host: "a", Servers: []*signal.ServerPace{stats("idle", 2, 0), stats("busy", 1, 1)}}, now)
		}
		Expect(l.add(&signal.LoadReport{Host: "b"}, now).overloaded).To(Equal([]fairway.ServerID{"busy"}))
		Expect(l.add(&signal.LoadReport{Host: "b"}, now.Add(10*time.Second)).overloaded).To(BeEmpty())
	})
})
