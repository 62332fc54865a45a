package jetty

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

// orderPath records orders to three servers at given times.
type orderPath struct {
	evidence *pathEvidence
	catalog  *fairway.Catalog
	began    mooring.Instant
}

func newOrderPath() *orderPath {
	began := mooring.Instant(time.Hour)
	return &orderPath{
		evidence: newPathEvidence(began), began: began,
		catalog: fairway.NewCatalog([]fairway.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}),
	}
}

func (p *orderPath) at(d time.Duration) mooring.Instant {
	return p.began.Add(d)
}

// ordered records an order to each of some servers that ended with a result.
func (p *orderPath) ordered(d time.Duration, result mooring.Result, servers ...fairway.ServerID) {
	for _, id := range servers {
		p.evidence.record(mooring.OrderCompleted{
			Order: mooring.Order{To: mooring.ServerInstance{Server: id}}, Result: result, Ended: p.at(d),
		})
	}
}

func (p *orderPath) expectLost(d time.Duration, lost bool) {
	GinkgoHelper()
	Expect(p.evidence.lost(p.at(d), p.catalog)).To(Equal(lost), "%v after the term began", d)
}

var _ = Describe("The path from the placer to the servers", func() {
	var p *orderPath
	BeforeEach(func() {
		p = newOrderPath()
		p.ordered(0, mooring.ResultAccepted, "a", "b", "c")
	})

	It("is lost when orders to most servers have failed repeatedly", func() {
		p.ordered(700*time.Millisecond, mooring.ResultNoResponse, "a", "b", "c")
		p.expectLost(900*time.Millisecond, false)
		p.ordered(900*time.Millisecond, mooring.ResultNoResponse, "a", "b", "c")
		p.expectLost(recentAcceptance, true)
	})

	It("is not lost before a server that accepted its last order has been sent another", func() {
		p.ordered(300*time.Millisecond, mooring.ResultNotSent, "a", "b")
		p.ordered(400*time.Millisecond, mooring.ResultNotSent, "a", "b")
		p.expectLost(pathSilence, false)
		p.ordered(time.Second, mooring.ResultAccepted, "c")
		p.expectLost(1500*time.Millisecond, false)
	})

	It("is not lost while one server of many fails", func() {
		p.ordered(300*time.Millisecond, mooring.ResultNotSent, "a")
		p.ordered(500*time.Millisecond, mooring.ResultNotSent, "a")
		p.expectLost(3*time.Second, false)
	})

	It("is not lost for orders that this host could not send", func() {
		for d := range 10 {
			p.ordered(time.Duration(d)*100*time.Millisecond, mooring.ResultNotTried, "a", "b", "c")
		}
		p.expectLost(2*time.Second, false)
	})

	It("is lost to most servers while some answer", func() {
		Expect(p.evidence.mostFailing(p.catalog)).To(BeNil())
		p.ordered(700*time.Millisecond, mooring.ResultNotSent, "a", "b")
		Expect(p.evidence.mostFailing(p.catalog)).To(BeNil(), "one order may be lost")
		p.ordered(800*time.Millisecond, mooring.ResultAccepted, "c")
		p.ordered(900*time.Millisecond, mooring.ResultNotSent, "a", "b")
		Expect(p.evidence.mostFailing(p.catalog)).To(Equal(map[fairway.ServerID]mooring.Instant{
			"a": p.at(700 * time.Millisecond), "b": p.at(700 * time.Millisecond),
		}))
		p.expectLost(1500*time.Millisecond, false)
		p.ordered(1500*time.Millisecond, mooring.ResultAccepted, "a")
		Expect(p.evidence.mostFailing(p.catalog)).To(BeNil())
	})

	It("is there again with the first answer", func() {
		p.ordered(700*time.Millisecond, mooring.ResultNotSent, "a", "b", "c")
		p.ordered(800*time.Millisecond, mooring.ResultNotSent, "a", "b", "c")
		p.expectLost(1300*time.Millisecond, true)
		Expect(p.evidence.failedSince()).To(HaveLen(3))
		Expect(p.evidence.failedSince()).To(HaveEach(p.at(700 * time.Millisecond)))
		p.ordered(1400*time.Millisecond, mooring.ResultAccepted, "b")
		p.expectLost(1400*time.Millisecond, false)
		Expect(p.evidence.failedSince()).To(BeEmpty())
	})
})

var _ = Describe("The resignation of a placer", func() {
	const began = mooring.Instant(time.Hour)
	var r *resignation
	BeforeEach(func() { r = &resignation{} })

	It("needs a lost path and servers that answer other hosts", func() {
		now := began.Add(minTermLength)
		Expect(r.due(now, began, true, true)).To(BeTrue())
		Expect(r.due(now, began, false, true)).To(BeFalse())
		Expect(r.due(now, began, true, false)).To(BeFalse(), "the servers may have ended")
	})

	It("does not come soon after the claim", func() {
		Expect(r.due(began.Add(minTermLength-1), began, true, true)).To(BeFalse())
	})

	It("comes less often each time", func() {
		now := began
		for _, interval := range []time.Duration{minResignInterval, 2 * minResignInterval, 4 * minResignInterval} {
			r.resigned(now)
			Expect(r.due(now.Add(interval-1), began.Add(-time.Minute), true, true)).To(BeFalse())
			now = now.Add(interval)
			Expect(r.due(now, began.Add(-time.Minute), true, true)).To(BeTrue())
		}
		now = now.Add(maxResignInterval)
		r.resigned(now)
		Expect(r.due(now.Add(minResignInterval), began, true, true)).To(BeTrue())
	})

	It("leaves the claim to others for a while, as does a host that is cut", func() {
		Expect(r.claimDelay(began, true, false)).To(BeZero())
		Expect(r.claimDelay(began, true, true)).To(Equal(cutClaimDelay))
		Expect(r.claimDelay(began.Add(time.Second), true, true)).To(Equal(cutClaimDelay - time.Second))
		Expect(r.claimDelay(began.Add(cutClaimDelay), true, true)).To(BeZero(), "no other host has claimed")
		Expect(r.claimDelay(began.Add(cutClaimDelay), false, true)).To(BeZero())
		r.resigned(began)
		now := began.Add(cutClaimDelay)
		Expect(r.claimDelay(now, true, false)).To(Equal(cutClaimDelay))
		Expect(r.claimDelay(now.Add(minResignInterval), true, false)).To(BeZero())
	})
})

var _ = Describe("What the hosts report of their reach", func() {
	var l *loadCollector
	now := time.Now()
	BeforeEach(func() { l = newLoadCollector() })

	report := func(host string, domain string, servers ...string) *signal.LoadReport {
		r := &signal.LoadReport{Host: host, Domain: domain, Address: host, IntervalMillis: 500}
		for _, s := range servers {
			r.Servers = append(r.Servers, &signal.ServerPace{Server: s, SignsOfLife: 1})
		}
		return r
	}

	It("names peers with responses, most of them of the own failure domain", func() {
		for _, h := range []string{"a1", "a2", "a3", "a4", "a5"} {
			l.add(report(h, "a", "s"), now)
		}
		l.add(report("b1", "b", "s"), now)
		l.add(report("b2", "b"), now)
		peers := l.add(report("a0", "a"), now).peers
		Expect(peers).To(HaveLen(maxRelayPeers))
		Expect(peers).To(ContainElement(peerAddress("b1")))
		Expect(peers).NotTo(ContainElement(peerAddress("b2")), "it has no responses")
		Expect(l.add(report("a0", "a"), now.Add(feederTimeout+time.Millisecond)).peers).To(BeEmpty())
	})

	It("does not count the hosts before a new placer has heard from them", func() {
		l.beginTerm(now, 79, 78)
		summary := l.add(&signal.LoadReport{Host: "a"}, now)
		Expect(summary.counting).To(BeTrue())
		Expect(summary.hosts).To(Equal(79), "a host of the build before uses it")
		Expect(summary.reaching).To(Equal(78))
		summary = l.add(&signal.LoadReport{Host: "a"}, now.Add(countingTime))
		Expect(summary.counting).To(BeFalse())
		Expect(summary.hosts).To(Equal(1))
	})

	It("names no host that is cut", func() {
		cut := report("a1", "a", "s")
		cut.Cut = true
		l.add(cut, now)
		summary := l.add(report("a0", "a"), now)
		Expect(summary.peers).To(BeEmpty())
		Expect(summary.hosts).To(Equal(2))
		Expect(summary.reaching).To(Equal(1))
	})

	It("tells which of the failing servers answer others", func() {
		l.add(report("a1", "a", "s", "t"), now)
		failing := report("a0", "a", "u")
		failing.Failing = []string{"t", "u"}
		Expect(l.add(failing, now).answering).To(Equal([]fairway.ServerID{"t"}))
	})

	It("counts the servers that have answered others after they had failed", func() {
		l.add(report("a1", "a", "s", "t"), time.Now())
		l.add(report("a0", "a", "u"), time.Now())
		before, after := bootTimeNow().Add(-time.Second), bootTimeNow().Add(-300*time.Millisecond)
		Expect(l.respondingSince(map[fairway.ServerID]mooring.Instant{"s": before}, "a0")).To(BeZero())
		Expect(l.answeringSince(map[fairway.ServerID]mooring.Instant{"s": before, "t": after, "u": before}, "a0")).To(Equal(1))
	})
})
