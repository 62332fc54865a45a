package sluice_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("A preview of an admission", func() {
	// Failure: operators are told another decision than requests get, or the question takes room.
	It("is the decision that follows, and changes nothing, in drawn states", func() {
		random := rand.New(rand.NewPCG(11, 12))
		seen := make(map[string]int)
		for range 300 {
			owned := owners{}
			var all []fairway.Endpoint
			for n := range 1 + random.IntN(16) {
				e := endpoint(fairway.ServerID(fmt.Sprint("s", n)), []fairway.Domain{"a", "b"}[random.IntN(2)])
				e.Draining, e.Unconfirmed = random.IntN(6) == 0, random.IntN(6) == 0
				all = append(all, e)
				owned[mooring.Key(n)] = mooring.ServerInstance{Server: e.ID, Incarnation: 1, Address: e.Address}
			}
			c := sluice.NewController(sluice.ControllerConfig{Service: "invoices", Domain: "a", Owners: owned})
			hosts := 1 + random.IntN(100)
			c.SetServers(start, all, hosts)
			var sent []sluice.ServerInstance
			now := start
			for id := range sluice.RequestID(60) {
				now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
				at := firstInstance(all[random.IntN(len(all))].ID)
				switch random.IntN(12) {
				case 0:
					c.SetNotice(at, sluice.Notice{LeavingElsewhere: random.IntN(2) == 0, ClosedUntil: now.Add(200 * time.Millisecond)})
				case 1:
					c.SetLimit(at, sluice.Rate(1+random.IntN(40)), random.IntN(2) == 0)
				case 2:
					c.SetOverloaded(now, map[fairway.ServerID]bool{at.Server: true})
				}
				if len(sent) > 0 && random.IntN(2) == 0 {
					c.Finish(now, sent[0], sluice.Outcome(1+random.IntN(9)), time.Duration(random.IntN(900))*time.Millisecond, objective)
					sent = sent[1:]
				}
				r := newRequest(id, now)
				if random.IntN(2) == 0 {
					key := mooring.Key(random.IntN(18))
					r.Key = &key
				}
				before, first := c.Usage(), c.Preview(now, r)
				candidates := c.Candidates(now, r)
				Expect(c.Usage()).To(Equal(before))
				decision := c.Admit(now, r)
				Expect(first).To(Equal(decision))
				seen[fmt.Sprintf("%T", decision)]++
				if d, ok := decision.(sluice.Dispatch); ok {
					Expect(candidates[0].Server).To(Equal(d.Server.ID))
					Expect(candidates[0].Room).To(BeTrue())
					sent = append(sent, sluice.ServerInstanceOf(d.Server))
				} else if len(candidates) > 0 {
					Expect(candidates[0].Room).To(BeFalse())
				}
			}
		}
		GinkgoWriter.Printf("decisions %v\n", seen)
		Expect(seen).To(HaveLen(3), "kinds of decisions")
	})
})
