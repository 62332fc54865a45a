package jetty

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

// crashesOf returns the crashes of a host that is alone.
func crashesOf(address string) *crashes {
	return newCrashes(&crashes{
		clusterState: newClusterState(fairway.NewActiveConfig()), conns: newPeerConns(), logs: quietLogs(), metrics: newMetrics(),
		address: address, mayGive: func() bool { return true },
	})
}

// crashingRequest returns an attempt of a request, as it comes again.
func crashingRequest(id string) *request {
	return &request{
		id: id, service: &fairway.Service{Name: "readings"}, route: &fairway.Route{Repeat: fairway.RepeatAllowed}, callerHost: "10.9.0.1",
		outgoingRequest: outgoingRequest{
			Method: http.MethodPost, Target: "/read/7?x=1", Host: "one.example", Body: []byte("amount=7"),
			Header: http.Header{"X-Request-Id": {id}, "X-Time-Left": {"120" + id}, "Cookie": {"session=4"}},
		},
	}
}

// endedServer is an instance of a server that has ended.
func endedServer(n int) fairway.Endpoint {
	return fairway.Endpoint{ID: "s", Incarnation: fairway.Incarnation(n), Service: "readings", Version: "v1"}
}

// makeCertain has a host see enough servers end under a request.
func makeCertain(c *crashes) {
	for n := range 3 {
		c.serverEnded(crashingRequest("1"), endedServer(n), true)
	}
}

// suspicionOf returns what a host knows of the request once that has settled.
func suspicionOf(c *crashes) sluice.Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Suspicion(monotonicNow().Add(time.Second), digestOf(crashingRequest("2")), "v1")
}

// report has a host report to a placer once.
func report(host, placer *crashes) {
	r, reply := &signal.LoadReport{}, &signal.LoadReply{Placer: true}
	told := host.report(r)
	placer.reply(r, reply)
	host.reported(told, reply)
}

var _ = Describe("The digest of a request", func() {
	same := func(change func(r *request)) (content, caller bool) {
		r := crashingRequest("2")
		change(r)
		before, after := digestOf(crashingRequest("1")), digestOf(r)
		return before.Content == after.Content, before.ByCaller == after.ByCaller
	}

	It("is the same when the request comes again under another id and deadline", func() {
		content, caller := same(func(*request) {})
		Expect(content).To(BeTrue())
		Expect(caller).To(BeTrue())
		Expect(digestOf(crashingRequest("1")).Target).To(Equal(digestOf(crashingRequest("2")).Target))
	})

	DescribeTable("differs", func(change func(r *request)) {
		content, caller := same(change)
		Expect(content).To(BeFalse())
		Expect(caller).To(BeFalse())
	},
		Entry("by method", func(r *request) { r.outgoingRequest.Method = http.MethodPut }),
		Entry("by host", func(r *request) { r.outgoingRequest.Host = "two.example" }),
		Entry("by target", func(r *request) { r.outgoingRequest.Target = "/read/7?x=2" }),
		Entry("by body", func(r *request) { r.outgoingRequest.Body = []byte("amount=8") }),
		Entry("by where a part ends", func(r *request) {
			r.outgoingRequest.Target, r.outgoingRequest.Body = "/read/7?x=1a", []byte("mount=7")
		}),
	)

	DescribeTable("tells callers apart", func(change func(r *request)) {
		content, caller := same(change)
		Expect(content).To(BeTrue())
		Expect(caller).To(BeFalse())
	},
		Entry("by address", func(r *request) { r.callerHost = "10.9.0.2" }),
		Entry("by cookie", func(r *request) { r.outgoingRequest.Header.Set("Cookie", "session=5") }),
		Entry("by authorization", func(r *request) { r.outgoingRequest.Header.Set("Authorization", "Bearer 5") }),
	)
})

var _ = Describe("Hosts that have seen servers end under a request", func() {
	It("tell the placer, which tells the others", func() {
		first, second, placer := crashesOf("a"), crashesOf("b"), crashesOf("c")
		makeCertain(first)
		Expect(suspicionOf(second)).To(Equal(sluice.SuspicionNone))
		report(first, placer)
		report(second, placer)
		Expect(suspicionOf(second)).To(Equal(sluice.SuspicionCertain))
	})

	It("tell the next placer all that they know", func() {
		first, second, placer, next := crashesOf("a"), crashesOf("b"), crashesOf("c"), crashesOf("d")
		makeCertain(first)
		report(first, placer)
		report(first, placer)
		for range 2 {
			report(first, next)
		}
		report(second, next)
		Expect(suspicionOf(second)).To(Equal(sluice.SuspicionCertain))
	})

	It("tell each change once", func() {
		host, placer := crashesOf("a"), crashesOf("b")
		makeCertain(host)
		for range 4 {
			report(host, placer)
		}
		r, reply := &signal.LoadReport{}, &signal.LoadReply{}
		host.report(r)
		placer.reply(r, reply)
		Expect(r.Crashes).To(BeEmpty())
		Expect(reply.Crashes).To(BeEmpty())
	})

	It("clear it on all when one has a response", func() {
		first, second, placer := crashesOf("a"), crashesOf("b"), crashesOf("c")
		makeCertain(first)
		for range 2 {
			report(first, placer)
			report(second, placer)
		}
		second.answered(crashingRequest("3"))
		report(second, placer)
		report(first, placer)
		Expect(suspicionOf(first)).To(Equal(sluice.SuspicionNone))
	})

	It("keep it beside a placer of an earlier build, which ignores and answers nothing of it", func() {
		host, next := crashesOf("a"), crashesOf("b")
		makeCertain(host)
		// A host of that build leaves out fields that it does not know.
		told := host.report(&signal.LoadReport{})
		host.reported(told, &signal.LoadReply{Placer: true})
		Expect(suspicionOf(host)).To(Equal(sluice.SuspicionCertain))
		for range 2 {
			report(host, next)
		}
		Expect(suspicionOf(next)).To(Equal(sluice.SuspicionCertain))
	})
})

var _ = Describe("A trial of a request that may crash servers", func() {
	trial := func(server fairway.ServerID) sluice.Trial {
		return sluice.Trial{Content: digestOf(crashingRequest("1")).Content, Server: server}
	}
	// servePlacer serves what register registers at the address of the placer of a host.
	servePlacer := func(host *crashes, register func(*grpc.Server)) {
		GinkgoHelper()
		address := startPeerServer(register)
		host.clusterState.setPlacer(placerRecord{address: address, revision: 1})
		DeferCleanup(host.conns.close)
	}
	begin := func(c *crashes, server fairway.ServerID) sluice.TrialDecision {
		return c.beginTrial(context.Background(), trial(server), time.Second)
	}

	It("is had from the placer, one for all hosts", func() {
		first, second, placer := crashesOf("a"), crashesOf("b"), crashesOf("c")
		placer.pool = sluice.NewTrialPool(0)
		for _, host := range []*crashes{first, second} {
			servePlacer(host, func(s *grpc.Server) { signal.RegisterTrialsServer(s, placer) })
		}
		Expect(begin(first, "s1")).To(Equal(sluice.TrialGranted{}))
		Expect(begin(second, "s2")).To(BeAssignableToTypeOf(sluice.TrialRefused{}))
		first.endTrial(trial("s1"), false)
		Expect(begin(second, "s2")).To(Equal(sluice.TrialGranted{}))
	})

	It("is had from this host beside a placer of an earlier build", func() {
		host := crashesOf("a")
		servePlacer(host, func(*grpc.Server) {})
		Expect(begin(host, "s1")).To(Equal(sluice.TrialGranted{}))
		Expect(begin(host, "s2")).To(BeAssignableToTypeOf(sluice.TrialRefused{}))
		host.endTrial(trial("s1"), false)
		Expect(begin(host, "s2")).To(Equal(sluice.TrialGranted{}))
	})

	It("is not had without a placer, from a host that is not it, or from one that has just become it", func() {
		host, placer := crashesOf("a"), crashesOf("c")
		Expect(begin(host, "s1")).To(BeAssignableToTypeOf(sluice.TrialRefused{}))
		servePlacer(host, func(s *grpc.Server) { signal.RegisterTrialsServer(s, placer) })
		Expect(begin(host, "s1")).To(BeAssignableToTypeOf(sluice.TrialRefused{}))
		placer.mayGive = func() bool { return false }
		Expect(begin(host, "s1")).To(BeAssignableToTypeOf(sluice.TrialRefused{}))
	})

	It("does not risk the last server of a service for a request that has crashed several", func() {
		host := crashesOf("a")
		last, other := fairway.Endpoint{ID: "s1", Service: "readings", Version: "v1"}, fairway.Endpoint{ID: "s2", Service: "readings", Version: "v1"}
		host.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{last}))
		host.serverEnded(crashingRequest("1"), endedServer(1), false)
		Expect(host.mayRisk(crashingRequest("2"), last)).To(BeTrue())
		host.serverEnded(crashingRequest("1"), endedServer(2), true)
		Expect(host.mayRisk(crashingRequest("2"), last)).To(BeFalse())
		host.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{last, other}))
		Expect(host.mayRisk(crashingRequest("2"), last)).To(BeTrue())
	})
})

var _ = Describe("The stored record of requests that crash servers", func() {
	It("has those that are certain, and is read by a host that starts", func() {
		host, started := crashesOf("a"), crashesOf("b")
		_, _, changed := host.unstored()
		Expect(changed).To(BeFalse())
		host.serverEnded(crashingRequest("1"), endedServer(9), false)
		_, _, changed = host.unstored()
		Expect(changed).To(BeFalse())
		makeCertain(host)
		data, replaced, changed := host.unstored()
		Expect(changed).To(BeTrue())
		Expect(replaced).To(BeZero())
		for _, c := range []*crashes{host, started} {
			Expect(c.applyStored(ledger.Change{Entry: ledger.Entry{Key: crashesKey, Value: data, Revision: 7}})).To(Succeed())
			Expect(suspicionOf(c)).To(Equal(sluice.SuspicionCertain))
			_, _, changed = c.unstored()
			Expect(changed).To(BeFalse())
		}
	})

	It("is written again without a request that was cleared, and after it was lost", func() {
		host := crashesOf("a")
		makeCertain(host)
		data, _, _ := host.unstored()
		stored := ledger.Entry{Key: crashesKey, Value: data, Revision: 7}
		Expect(host.applyStored(ledger.Change{Entry: stored})).To(Succeed())
		Expect(host.applyStored(ledger.Change{Entry: ledger.Entry{Key: crashesKey, Revision: 8}, Removed: true})).To(Succeed())
		again, replaced, changed := host.unstored()
		Expect(changed).To(BeTrue())
		Expect(replaced).To(BeZero())
		Expect(again).To(Equal(data))
		Expect(host.applyStored(ledger.Change{Entry: stored})).To(Succeed())
		host.answered(crashingRequest("3"))
		_, replaced, changed = host.unstored()
		Expect(changed).To(BeTrue())
		Expect(replaced).To(Equal(ledger.Revision(7)))
	})

	It("changes nothing if it cannot be read", func() {
		host := crashesOf("a")
		Expect(host.applyStored(ledger.Change{Entry: ledger.Entry{Key: crashesKey, Value: []byte("{"), Revision: 7}})).NotTo(Succeed())
		Expect(host.applyStored(ledger.Change{Entry: ledger.Entry{Key: crashesKey, Value: []byte(`{"requests":[{"fingerprint":"AA=="}]}`), Revision: 8}})).To(Succeed())
		Expect(host.size.Load()).To(BeZero())
	})
})

var _ = Describe("An operator", func() {
	var h *Host
	BeforeEach(func() {
		h = &Host{crashes: crashesOf("a"), metrics: newMetrics()}
		makeCertain(h.crashes)
	})
	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.adminHandler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}

	It("sees the requests that crash servers", func() {
		body := call(http.MethodGet, "/crashing_requests").Body.String()
		Expect(body).To(ContainSubstring(`"rejected":true`))
		Expect(body).To(ContainSubstring(`{"server":"s","version":"v1","alone":true}`))
	})

	It("clears one by its fingerprint", func() {
		known := h.crashes.requests()
		Expect(call(http.MethodDelete, "/crashing_requests/"+known[0].Fingerprint).Code).To(Equal(http.StatusOK))
		Expect(suspicionOf(h.crashes)).To(Equal(sluice.SuspicionNone))
		Expect(call(http.MethodDelete, "/crashing_requests/"+known[0].Fingerprint).Code).To(Equal(http.StatusNotFound))
		Expect(call(http.MethodDelete, "/crashing_requests/12").Code).To(Equal(http.StatusBadRequest))
	})
})
