package jetty

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("An explanation", func() {
	// Failure: operators are told something else than callers then get, or the question is sent or counted.
	DescribeTable("says what becomes of the request that follows", func(change func(b *exchangeBench), path string, expected ExplainedDecision) {
		b := newExchangeBench(0)
		s := b.serve("s", 4, work(0))
		routes := []*fairway.Route{
			{Name: "list", Host: "h", Prefix: "/x", Objective: time.Second, Timeout: 2 * time.Second, MaxAttempts: 1, Destinations: []fairway.Destination{{Service: "readings", Weight: 3}}},
			{Name: "keyed", Host: "h", Prefix: "/key", Destinations: []fairway.Destination{{Service: "keyed", Weight: 3}, {Service: "readings", Weight: 1}}},
		}
		config, err := fairway.NewConfig(7, fairway.Limits{}, routes, []*fairway.Service{b.service, {Name: "keyed", Divided: true}})
		Expect(err).NotTo(HaveOccurred())
		active := fairway.NewActiveConfig()
		active.SetIfNewer(config)
		in := &ingress{headers: b.f.headers, activeConfig: active, random: noDelay, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		change(b)
		hr := httptest.NewRequest(http.MethodGet, "http://h"+path, nil)
		hr.Header.Set("Id", "1")
		before := b.admission().usage()
		gin.SetMode(gin.ReleaseMode)
		engine, recorder := gin.New(), httptest.NewRecorder()
		engine.GET("/explain", (&Host{ingress: in, cfg: Config{Settings: &Settings{Host: "a"}}}).serveExplanation)
		engine.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/explain?host=h&path="+path, nil))
		var e Explanation
		Expect(json.Unmarshal(recorder.Body.Bytes(), &e)).To(Succeed())
		Expect(e.Host).To(BeEquivalentTo("a"))
		Expect(b.admission().usage()).To(Equal(before))
		Expect(s.arrived.Load()).To(BeZero())
		got := ServiceExplanation{Decision: DecisionRefuse, Refusal: e.Refusal}
		if len(e.Services) > 0 {
			got = e.Services[0]
			Expect(e.ConfigVersion).To(BeEquivalentTo(7))
		}
		Expect(got.Decision).To(Equal(expected))
		_, res := in.handle(httptest.NewRecorder(), hr, time.Now())
		switch v := res.(type) {
		case backendResponse:
			Expect(got.Refusal).To(BeNil())
			Expect(got.Candidates[0].Server).To(Equal(v.server))
			Expect(s.arrived.Load()).To(BeEquivalentTo(1))
		case refusal:
			Expect(got.Refusal.Reason).To(Equal(string(v.reason)))
			Expect(got.Refusal.RetryAfterMS).To(BeNumerically("~", milliseconds(v.retryAfter), 100))
		case clientError:
			Expect(*got.Refusal).To(Equal(ExplainedRefusal{Status: v.status, Reason: string(v.reason)}))
		}
	},
		Entry("sent", func(*exchangeBench) {}, "/x", DecisionSend),
		Entry("waiting for a server with other requests", func(b *exchangeBench) {
			r := b.request(1, time.Minute)
			for decision, _ := b.admission().preview(r); decision != (sluice.Wait{}); decision, _ = b.admission().preview(r) {
				b.admission().acquire(context.Background(), admissionRequest(r, 0))
			}
			time.AfterFunc(300*time.Millisecond, func() {
				b.admission().finish(sluice.ServerInstance{Server: "s", Incarnation: 1}, "", sluice.OutcomeCanceled, 0, 0)
			})
		}, "/x", DecisionWait),
		Entry("refused, since its servers are closed", func(b *exchangeBench) {
			b.admission().setNotice(sluice.ServerInstance{Server: "s", Incarnation: 1}, sluice.Notice{ClosedUntil: monotonicNow().Add(time.Minute)})
		}, "/x", DecisionRefuse),
		Entry("refused in a stop", func(b *exchangeBench) { b.f.drain.begin(time.Now()) }, "/x", DecisionRefuse),
		Entry("without a route", func(*exchangeBench) {}, "/y", DecisionRefuse),
		Entry("without a key", func(*exchangeBench) {}, "/key", DecisionRefuse),
	)
})
