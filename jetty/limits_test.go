package jetty

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("A limit that hosts tell each other", func() {
	const delay = 30 * time.Millisecond
	server := fairway.Endpoint{ID: "s", Service: "readings", Address: "10.0.0.1:80", Incarnation: 1, Slots: 4}
	named := http.Header{"Limit": {"7"}}
	newHost := func(address string) *limits {
		state := newClusterState(fairway.NewActiveConfig())
		state.servers.Store(fairway.NewCatalog([]fairway.Endpoint{server}))
		return newLimits(&limits{
			protocol: fakeProtocol{}, clusterState: state, admissions: newAdmissionSet(admissionSetConfig{}), logs: quietLogs(), address: address,
		})
	}
	var placer, a, b *limits
	var now mooring.Instant
	// report has the hosts report to the placer and take its reply, each message delayed.
	report := func() {
		for _, h := range []*limits{a, b} {
			sent := h.reports(now)
			now = now.Add(delay)
			placer.merge(sent, now)
			reply := placer.reports(now)
			now = now.Add(delay)
			h.merge(reply, now)
		}
		now = now.Add(reportInterval)
	}
	limited := func(h *limits) bool { return len(h.limited("readings")) > 0 }
	observe := func(h *limits, header http.Header) {
		h.observe(server, now, now.Add(delay), header)
		now = now.Add(delay)
	}
	BeforeEach(func() {
		now = mooring.Instant(time.Minute)
		placer, a, b = newHost("10.0.0.8:1"), newHost("10.0.0.9:1"), newHost("10.0.0.10:1")
		observe(a, named)
		report()
	})

	It("is known to all", func() {
		Expect([]bool{limited(placer), limited(a), limited(b)}).To(Equal([]bool{true, true, true}))
		Expect(b.limited("readings")).To(HaveKeyWithValue(server.ID, 7.0))
	})

	It("stays gone once it is gone, however often it is told", func() {
		observe(b, http.Header{})
		for range 50 {
			report()
			Expect([]bool{limited(placer), limited(b)}).To(Equal([]bool{false, false}))
		}
		Expect(limited(a)).To(BeFalse())
	})

	It("does not become newer by being told", func() {
		before := placer.records[sluice.ServerInstanceOf(server)].evidence
		for range 50 {
			report()
		}
		Expect(placer.records[sluice.ServerInstanceOf(server)].evidence).To(Equal(before))
	})

	It("leaves nothing at the admission of its service when its instance is gone", func() {
		adm := a.admissions.get(&fairway.Service{Name: "readings"}, a.clusterState.catalog())
		a.refresh(now)
		Expect(adm.controller.Limited()).To(BeTrue())
		a.clusterState.servers.Store(fairway.NewCatalog(nil))
		a.refresh(now)
		Expect(adm.controller.Limited()).To(BeFalse())
	})

	It("is forgotten with its instance", func() {
		next := server
		next.Incarnation++
		placer.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{next}))
		placer.refresh(now)
		Expect(limited(placer)).To(BeFalse())
		placer.merge(a.reports(now), now)
		Expect(limited(placer)).To(BeFalse(), "a host that has not heard of it yet")
	})
})
