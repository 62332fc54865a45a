package mooring_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// Keys get a second holder if a server that only other hosts know is neither released nor
// waited for after a restore.
var _ = Describe("An assigner of a new era that knows nothing of the one before", func() {
	const knownIn = 2200 * time.Millisecond
	unlisted := mooring.ServerInstance{Server: "s9", Incarnation: 7, Address: "10.0.0.9:80"}

	// recovered returns the table that the assigner writes after events.
	recovered := func(events ...mooring.Event) *mooring.Table {
		GinkgoHelper()
		now := mooring.Instant(time.Hour)
		a := mooring.NewAssigner(mooring.AssignerConfig{
			Service: "readings", Now: now, PredecessorUntil: now.Add(predecessorOrderLimit), Timing: timing, Era: 2,
			Recovery: mooring.Recovery{Restored: true, ServersKnownAt: now.Add(knownIn)},
		})
		a.Step(now, mooring.CatalogUpdated{Catalog: fairway.NewCatalog([]fairway.Endpoint{
			{ID: "s1", Service: "readings", Address: "10.0.0.1:80", Incarnation: 1, Slots: 6},
		})}, mooring.TableLoaded{})
		for _, e := range events {
			Expect(a.Step(now, e)).To(BeEmpty(), "before all servers are known")
		}
		var written *mooring.Table
		for _, action := range a.Step(now.Add(knownIn), mooring.Tick{}) {
			if w, ok := action.(mooring.WriteTable); ok {
				written = w.Table
			}
		}
		Expect(written).NotTo(BeNil())
		return written
	}
	expectFormerOwner := func(t *mooring.Table) {
		GinkgoHelper()
		for i := range t.Assignments {
			Expect(t.Assignments[i].FormerOwners).To(ContainElement(unlisted))
		}
	}

	It("lists a server that another host knew when the store came back as a former owner of all keys", func() {
		expectFormerOwner(recovered(mooring.ServersRecalled{Servers: []mooring.ServerInstance{unlisted}}))
	})

	It("goes on from the newest table that another host knows", func() {
		older, newer := mooring.NewTable("readings"), mooring.NewTable("readings")
		older.NextToken, newer.NextToken = 5, 9
		newer.Assignments[0].Owner, newer.Assignments[0].Token = mooring.ServerInstance{Server: "s1", Incarnation: 1, Address: "10.0.0.1:80"}, 8
		older.Assignments[0].Owner, older.Assignments[0].Token = unlisted, 4
		t := recovered(mooring.TableRecalled{Table: newer}, mooring.TableRecalled{Table: older})
		Expect(t.Assignments).To(HaveLen(1))
		Expect(t.Assignments[0].Owner).To(Equal(newer.Assignments[0].Owner))
		expectFormerOwner(t)
	})

	It("lists the registered servers if nobody knows more", func() {
		Expect(recovered().Assignments[0].FormerOwners).To(ConsistOf(mooring.ServerInstance{Server: "s1", Incarnation: 1, Address: "10.0.0.1:80"}))
	})
})
