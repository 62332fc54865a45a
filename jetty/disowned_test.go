package jetty

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

var _ = Describe("A request whose key its owner does not hold", func() {
	var b *exchangeBench
	var former, next *exchangeServer
	key := mooring.Key(7)
	own := func(s *exchangeServer, token mooring.Token) {
		e, _ := b.f.clusterState.catalog().Get(s.id)
		t := mooring.NewTable("readings")
		t.Assignments[0].Owner = mooring.ServerInstance{Server: e.ID, Incarnation: e.Incarnation, Address: e.Address}
		t.Assignments[0].Token, t.NextToken = token, token+1
		b.f.admissions.ownersOf("readings").update(monotonicNow(), t, mooring.StoreRevision(token))
		b.admission().reevaluate()
	}
	send := func() <-chan timedResult {
		r := b.request(3, time.Second)
		r.key = &key
		return b.send(context.Background(), r)
	}
	BeforeEach(func() {
		b = newExchangeBench(100)
		b.service = &fairway.Service{Name: "readings", Divided: true}
		former = b.serve("former", 4, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
		next = b.serve("next", 4, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Signed", "yes") })
		own(former, 1)
	})

	It("is not sent to it again, and is refused soon", func() {
		var res timedResult
		Eventually(send()).Should(Receive(&res))
		Expect(res.result).To(BeAssignableToTypeOf(refusal{}))
		Expect(res.result.(refusal).reason).To(Equal(reasonServerRejected))
		Expect(res.after).To(BeNumerically("<", ownerChangeTimeout+200*time.Millisecond))
		Expect(former.arrived.Load()).To(Equal(int64(1)))
	})

	It("is sent to the next owner once that is known", func() {
		results := send()
		Eventually(former.arrived.Load).Should(Equal(int64(1)))
		own(next, 2)
		var res timedResult
		Eventually(results).Should(Receive(&res))
		Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(next.arrived.Load()).To(Equal(int64(1)))
		Expect(former.arrived.Load()).To(Equal(int64(1)))
	})
})
