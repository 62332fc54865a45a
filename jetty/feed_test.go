package jetty

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

func change(revision ledger.Revision) ledger.Change {
	return ledger.Change{Entry: ledger.Entry{Key: fmt.Sprintf("k%d", revision), Revision: revision}}
}

// serveFeed serves a mirror and returns its address.
func serveFeed(m *mirror) string {
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
	var m *mirror
	var f *feed
	var address string
	BeforeEach(func() {
		m, f = newMirror(), &feed{}
		m.reset(10)
		m.add(nil, 10, true)
		address = serveFeed(m)
		DeferCleanup(func() { f.hangUp() })
	})
	ask := func(after ledger.Revision) ([]ledger.Change, ledger.Revision, error) {
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
		changes, revision, err := ask(11)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Key).To(Equal("k13"))
		Expect(revision).To(Equal(ledger.Revision(14)))
	})

	It("waits for a change", func() {
		time.AfterFunc(50*time.Millisecond, func() { m.add([]ledger.Change{change(11)}, 11, true) })
		began := time.Now()
		changes, _, err := ask(10)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(time.Since(began)).To(BeNumerically("<", feedWait))
	})

	It("never goes back when the feeder knows less", func() {
		_, revision, err := ask(20)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(ledger.Revision(20)))
	})

	It("is left when the feeder follows another host itself", func() {
		m.add(nil, 11, false)
		_, _, err := ask(10)
		expectLeft(err, errNotDirect)
	})

	It("is left when the store has not answered the feeder for too long", func() {
		m.answeredAt = time.Now().Add(-feedMaxAge)
		_, _, err := ask(10)
		expectLeft(err, errStaleFeed)
	})

	It("is left when changes are missing", func() {
		var many []ledger.Change
		for r := ledger.Revision(11); len(many) <= mirrorHistory; r++ {
			many = append(many, change(r))
		}
		m.add(many, many[len(many)-1].Revision, true)
		_, _, err := ask(10)
		expectLeft(err, errMissed)
		f.until = time.Time{}
		_, _, err = ask(11)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is left when the feeder does not answer", func() {
		address = "127.0.0.1:1"
		_, _, err := ask(10)
		Expect(err).To(HaveOccurred())
		Expect(f.usable(address)).To(BeFalse())
	})
})

var _ = Describe("The placer", func() {
	It("names the host of a failure domain that has reported longest as its feeder", func() {
		l := newLoads()
		now := time.Now()
		report := func(host, domain string, after time.Duration) string {
			_, feeder := l.add(&signal.LoadReport{Host: host, Domain: domain, Address: host + ":1"}, now.Add(after))
			return feeder
		}
		Expect(report("b", "x", 0)).To(Equal("b:1"))
		Expect(report("a", "x", time.Second)).To(Equal("b:1"))
		Expect(report("c", "y", time.Second)).To(Equal("c:1"))
		Expect(report("a", "x", time.Second+feederTimeout)).To(Equal("a:1"))
		Expect(report("b", "x", 2*time.Second+feederTimeout)).To(Equal("a:1"))
	})
})
