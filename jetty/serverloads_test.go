package jetty

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/sluice"
)

// A load that another server or a broken response told would count for a server that has
// another one.
var _ = Describe("The load in a server's response", func() {
	var b *exchangeBench
	keepLoads := func(b *exchangeBench) {
		b.f.loads = &serverLoads{protocol: fakeProtocol{}, admissions: b.f.admissions, clusterState: b.f.clusterState}
		if b.f.relay != nil {
			b.f.relay.loads = b.f.loads
		}
	}
	toldBy := func(handler func(http.ResponseWriter, *http.Request)) *sluice.ServerLoad {
		GinkgoHelper()
		b.serve("s", 4, handler)
		<-b.send(context.Background(), once(b.request(1, time.Second)))
		statuses := b.f.admissions.get(b.service, b.f.clusterState.catalog()).serverStatuses()
		Expect(statuses).To(HaveLen(1))
		return statuses[0].Load
	}
	BeforeEach(func() {
		b = newExchangeBench(0)
		keepLoads(b)
	})

	It("reaches the controller, and is passed on", func() {
		load := toldBy(tell(http.StatusOK, "Load", "7"))
		Expect(load).To(HaveValue(Equal(sluice.ServerLoad{Waiting: 7, Slots: 1, Pace: sluice.UsualPace})))
		res := <-b.send(context.Background(), once(b.request(1, time.Second)))
		Expect(res.result.(backendResponse).header.Get("Load")).To(Equal("7"))
	})

	It("reaches the controllers of both hosts if a peer has received it", func() {
		p := newRelayPeer()
		p.serve("s", 20, tell(http.StatusOK, "Load", "7"))
		keepLoads(p.exchangeBench)
		b, _ = newCutHost(0, p.address)
		keepLoads(b)
		Expect(toldBy(tell(http.StatusOK))).To(HaveField("Waiting", 7))
		Expect(b.servers["s"].arrived.Load()).To(BeZero())
	})

	It("counts in a rejection", func() {
		Expect(toldBy(tell(http.StatusTooManyRequests, "Load", "7", "Not-Run", "1"))).NotTo(BeNil())
	})

	DescribeTable("does not count",
		func(handler func(http.ResponseWriter, *http.Request)) { Expect(toldBy(handler)).To(BeNil()) },
		Entry("if it cannot be read", tell(http.StatusOK, "Load", "many")),
		Entry("in a trailer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Load")
			answer(w, http.StatusOK, "done")
			w.Header().Set("Load", "7")
		}),
		Entry("in an interim response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Load", "7")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Load")
			answer(w, http.StatusOK, "done")
		}),
		Entry("in the answer to another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", "another")
			tell(http.StatusOK, "Load", "7")(w, r)
		}),
		Entry("in the answer of another server at the address", tell(http.StatusMisdirectedRequest, "Load", "7", "Not-Run", "1")),
	)
})
