package jetty

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("The coordinators that the placer names", func() {
	var (
		l   *loadCollector
		now time.Time
	)
	BeforeEach(func() {
		l = newLoadCollector()
		now = time.Now()
	})
	report := func(i int, r *signal.LoadReport) loadSummary {
		r.Host, r.Address, r.Domain = fmt.Sprintf("host-%03d", i), fmt.Sprintf("10.0.0.%d:1", i), "a"
		return l.add(r, now)
	}
	// fleet has hosts report that know no coordinators, and returns what the last one is told.
	fleet := func(hosts int) loadSummary {
		var told loadSummary
		for i := range hosts {
			told = report(i, &signal.LoadReport{CarryingCapacity: 80, CoordinatorsVersion: noCoordinators})
		}
		now = now.Add(coordinatorPlanAge)
		return told
	}
	decide := func(wanted bool, perSecond int) {
		for range 10 {
			l.decideCoordinators(wanted, perSecond/2, 500*time.Millisecond)
		}
	}
	names := func(s loadSummary) []string {
		return newCoordinatorTable(s.coordinators, s.coordinatorsVersion).names()
	}

	It("are none unless a service is to have some, and none of a single host", func() {
		fleet(12)
		Expect(fleet(12).coordinators).To(BeEmpty())
		decide(true, 500)
		Expect(fleet(12).coordinators).To(HaveLen(3))
		decide(false, 0)
		Expect(fleet(12).coordinatorsVersion).To(BeZero())
		l = newLoadCollector()
		decide(true, 500)
		Expect(fleet(1).coordinators).To(BeEmpty())
	})

	It("are as many as the rate needs, and the same for all hosts", func() {
		decide(true, 2000)
		fleet(84)
		first, second := fleet(84), fleet(84)
		Expect(first.coordinators).To(HaveLen(7))
		Expect(second.coordinatorsVersion).To(Equal(first.coordinatorsVersion))
	})

	// A host of the last release states what it can carry, and fails calls for permits.
	It("are not hosts of the last release", func() {
		decide(true, 500)
		for i := range 5 {
			report(i, &signal.LoadReport{CarryingCapacity: 80})
		}
		report(7, &signal.LoadReport{CarryingCapacity: 16, CoordinatorsVersion: noCoordinators})
		now = now.Add(coordinatorPlanAge)
		Expect(names(report(8, &signal.LoadReport{CarryingCapacity: 16, CoordinatorsVersion: noCoordinators}))).To(Equal([]string{"host-007", "host-008"}))
	})

	It("are replaced when they leave, at once, and when they are silent or cut", func() {
		decide(true, 500)
		fleet(4)
		gone := names(fleet(4))[0]
		var index int
		_, err := fmt.Sscanf(gone, "host-%03d", &index)
		Expect(err).NotTo(HaveOccurred())
		report(index, &signal.LoadReport{Leaving: true})
		Expect(names(report((index+1)%4, &signal.LoadReport{CarryingCapacity: 80, CoordinatorsVersion: noCoordinators}))).NotTo(ContainElement(gone))
		cut := names(fleet(4))[0]
		_, err = fmt.Sscanf(cut, "host-%03d", &index)
		Expect(err).NotTo(HaveOccurred())
		report(index, &signal.LoadReport{CarryingCapacity: 80, CoordinatorsVersion: noCoordinators, Cut: true})
		now = now.Add(coordinatorPlanAge)
		Expect(names(report((index+1)%4, &signal.LoadReport{CarryingCapacity: 80, CoordinatorsVersion: noCoordinators}))).NotTo(ContainElement(cut))
	})

	// Otherwise each change of the placer moves all servers to other coordinators and back.
	It("are kept while a new placer has not heard from all hosts, and as many afterwards", func() {
		l.continueCoordinators(7)
		l.beginTerm(now, 84, 84)
		told := report(0, &signal.LoadReport{CarryingCapacity: 80, CoordinatorsVersion: 77})
		Expect(told.coordinatorsVersion).To(BeEquivalentTo(77))
		Expect(told.coordinators).To(BeNil())
		fleet(84)
		now = now.Add(countingTime)
		Expect(fleet(84).coordinators).To(HaveLen(7))
	})

	It("are forgotten at the word of a placer of the last release", func() {
		r := &reporter{coordinators: newCoordinators("host-0", quietLogs())}
		r.coordinators.set(newCoordinatorTable([]*signal.Carrier{{Host: "host-0", Address: "10.0.0.1:1", Capacity: 1}}, 7))
		Expect(r.coordinators.isNamed()).To(BeTrue())
		Expect(r.applyCoordinators(loadSummary{})).To(BeTrue())
		Expect(r.coordinators.isNamed()).To(BeFalse())
		Expect(r.applyCoordinators(loadSummary{})).To(BeFalse())
	})
})

var _ = Describe("The admission of the requests of all hosts", func() {
	It("keeps to the limits that servers name and to leaving servers, and not to what is closed to this host", func() {
		h := newPermitHost("host-0", false)
		h.serve("s", 6, work(0))
		coordinate(h, h)
		adm := h.f.admissions.coordinated.get(h.service, h.f.clusterState.catalog())
		e, _ := h.f.clusterState.catalog().Get("s")
		limits := newLimits(&limits{protocol: fakeProtocol{}, admissions: h.f.admissions, clusterState: h.f.clusterState, logs: quietLogs()})
		limits.observe(e, monotonicNow(), monotonicNow(), http.Header{"Limit": {"6"}})
		Expect(adm.controller.Limited()).To(BeTrue())
		limits.observe(e, monotonicNow()+1, monotonicNow()+1, http.Header{})
		Expect(adm.controller.Limited()).To(BeFalse())
		server := sluice.ServerInstanceOf(e)
		for _, own := range h.f.admissions.of("readings") {
			own.setNotice(server, sluice.Notice{ClosedUntil: monotonicNow().Add(time.Minute)})
		}
		Expect(adm.unusable(1)).To(BeEmpty())
		adm.setNotice(server, sluice.Notice{LeavingSince: monotonicNow()})
		Expect(adm.unusable(1)).To(Equal([]fairway.ServerID{"s"}))
	})
})
