package jetty

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

var _ = Describe("The reach of a host", func() {
	const began = mooring.Instant(time.Hour)
	var s *reachState
	BeforeEach(func() {
		s = newReachState(began)
		s.setPeers(began, []peerAddress{"p", "q"}, nil)
	})
	fail := func(after time.Duration, servers ...fairway.ServerID) {
		for _, id := range servers {
			s.failed(began.Add(after), id)
		}
	}

	It("is cut after failures at several servers, until the first response", func() {
		fail(100*time.Millisecond, "a", "b", "a")
		Expect(s.cut(began.Add(cutSilence - 1))).To(BeFalse())
		Expect(s.cut(began.Add(cutSilence))).To(BeTrue())
		Expect(s.cut(began.Add(time.Minute))).To(BeTrue())
		s.responded(began.Add(time.Minute), "a")
		Expect(s.cut(began.Add(time.Minute))).To(BeFalse())
		Expect(s.cut(began.Add(2*time.Minute))).To(BeFalse(), "the failures came before the response")
	})

	It("is restored by the first response after failures at several servers", func() {
		s.setPeers(began, nil, nil)
		fail(100*time.Millisecond, "a", "b", "a")
		Expect(s.responded(began.Add(cutSilence), "a")).To(BeTrue())
		Expect(s.responded(began.Add(2*cutSilence), "a")).To(BeFalse())
		fail(time.Second, "a")
		Expect(s.responded(began.Add(2*time.Second), "a")).To(BeFalse(), "one server had failed")
	})

	It("is not cut by a single server", func() {
		fail(100*time.Millisecond, "a", "a", "a", "a")
		Expect(s.cut(began.Add(time.Second))).To(BeFalse())
	})

	It("is not cut while no other host is known to have responses", func() {
		fail(100*time.Millisecond, "a", "b", "c")
		Expect(s.cut(began.Add(peersMaxAge + 1))).To(BeFalse())
		s.setPeers(began.Add(peersMaxAge+1), nil, nil)
		Expect(s.cut(began.Add(peersMaxAge + 1))).To(BeFalse())
	})

	It("names peers for a server only if it answers others", func() {
		s.setPeers(began, []peerAddress{"p", "q"}, []fairway.ServerID{"a"})
		Expect(s.relayPeers(began, "")).To(Equal([]peerAddress{"p", "q"}))
		Expect(s.relayPeers(began, "a")).To(Equal([]peerAddress{"p", "q"}))
		Expect(s.relayPeers(began, "b")).To(BeEmpty())
		Expect(s.relayPeers(began.Add(peersMaxAge+1), "")).To(BeEmpty())
	})

	// A host that is cut had no peers until a new placer had heard from them.
	It("keeps the peers that the last placer named until the next one has heard from all hosts", func() {
		r := &reach{state: newReachState(bootTimeNow())}
		r.applySummary(loadSummary{peers: []peerAddress{"p", "q"}, answering: []fairway.ServerID{"a"}})
		r.applySummary(loadSummary{counting: true})
		Expect(r.relayPeers("a")).To(Equal([]peerAddress{"p", "q"}))
		r.applySummary(loadSummary{counting: true, peers: []peerAddress{"q", "r"}, answering: []fairway.ServerID{"b"}})
		Expect(r.relayPeers("a")).To(Equal([]peerAddress{"q", "r", "p"}))
		Expect(r.relayPeers("b")).To(Equal([]peerAddress{"q", "r", "p"}))
		r.applySummary(loadSummary{peers: []peerAddress{"r"}})
		Expect(r.relayPeers("")).To(Equal([]peerAddress{"r"}))
		Expect(r.relayPeers("a")).To(BeEmpty())
	})

	It("forgets the peers that an earlier placer named, in time", func() {
		s.addPeers(began.Add(peersMaxAge), nil, nil)
		Expect(s.relayPeers(began.Add(peersMaxAge), "")).To(Equal([]peerAddress{"p", "q"}))
		Expect(s.relayPeers(began.Add(peersMaxAge+1), "")).To(BeEmpty())
		s.addPeers(began.Add(peersMaxAge+1), []peerAddress{"r"}, nil)
		Expect(s.relayPeers(began.Add(peersMaxAge+1), "")).To(Equal([]peerAddress{"r"}))
	})

	It("leaves out a peer that has not answered for a while", func() {
		s.hop(began, "p", false)
		Expect(s.relayPeers(began, "")).To(Equal([]peerAddress{"q"}))
		Expect(s.relayPeers(began.Add(hopExclusion), "")).To(Equal([]peerAddress{"p", "q"}))
	})

	It("is to few servers when most fail that answer others", func() {
		s.setPeers(began, []peerAddress{"p"}, []fairway.ServerID{"a", "b", "c"})
		s.responded(began, "d")
		Expect(s.reachesFew(began)).To(BeFalse())
		fail(0, "a", "b")
		Expect(s.reachesFew(began)).To(BeTrue())
		s.responded(began, "e")
		s.responded(began, "f")
		Expect(s.reachesFew(began)).To(BeFalse())
	})

	It("lists the servers that fail", func() {
		fail(0, "b", "a", "c")
		s.responded(began, "c")
		Expect(s.failing(began)).To(Equal([]fairway.ServerID{"a", "b"}))
		Expect(s.failing(began.Add(failingMaxAge + 1))).To(BeEmpty())
	})

	It("counts responses once", func() {
		s.responded(began, "a")
		s.responded(began, "a")
		Expect(s.takeSigns()).To(Equal(map[fairway.ServerID]int{"a": 2}))
		Expect(s.takeSigns()).To(BeEmpty())
	})

	It("looks for a way back at one server after the other, less often in time", func() {
		fail(100*time.Millisecond, "a", "b", "c")
		var probed []fairway.ServerID
		var gaps []time.Duration
		last := began
		for now := began; now < began.Add(5*time.Second); now = now.Add(reachInterval) {
			if id, due := s.nextProbe(now, []fairway.ServerID{"a", "b", "c"}); due {
				probed = append(probed, id)
				gaps = append(gaps, now.Sub(last))
				last = now
			}
		}
		Expect(probed[:4]).To(Equal([]fairway.ServerID{"a", "b", "c", "a"}))
		Expect(gaps[1]).To(Equal(2 * minProbeInterval))
		Expect(gaps[len(gaps)-1]).To(Equal(maxProbeInterval))
	})

	It("opens no connection while servers respond", func() {
		for now := began; now < began.Add(5*time.Second); now = now.Add(reachInterval) {
			s.responded(now, "a")
			_, due := s.nextProbe(now, []fairway.ServerID{"a", "b"})
			Expect(due).To(BeFalse())
		}
	})
})
