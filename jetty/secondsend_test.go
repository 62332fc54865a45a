package jetty

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

type handler = func(w http.ResponseWriter, r *http.Request)

// newSecondBench returns three servers, the first and the second request to which are handled as
// given, and a host whose route takes 20 ms as a rule. Its requests allow 10 second sends.
func newSecondBench(first, second handler) *exchangeBench {
	GinkgoHelper()
	b := newExchangeBench(100)
	b.f.admissions.cfg.SecondSendShare = 0.1
	h := byArrival(first, second)
	for _, id := range []fairway.ServerID{"s", "t", "u"} {
		b.serve(id, 20, h)
	}
	for range 100 {
		b.admission().recordArrival("list", nil)
		b.admission().recordTime("list", 20*time.Millisecond)
	}
	return b
}

func serverError(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusInternalServerError, "broken")
}

// arrived returns the number of requests that the servers got.
func (b *exchangeBench) arrived() int64 {
	n := int64(0)
	for _, s := range b.servers {
		n += s.arrived.Load()
	}
	return n
}

// expectSecondSends checks the metric of second sends.
func (b *exchangeBench) expectSecondSends(kind string, n int) {
	GinkgoHelper()
	count := func() int {
		for _, c := range b.f.metrics.Snapshot().Counters() {
			if strings.HasSuffix(c.Name(), string(metricSecondSends)) && c.Tags()["kind"] == kind {
				return int(c.Value())
			}
		}
		return 0
	}
	Eventually(count).Should(Equal(n), "second sends that were %s", kind)
}

var _ = Describe("A second send", func() {
	// Failure: the caller waits for a slow server until the deadline, or its work goes on without a use.
	It("counts if it is answered first, and the first one is canceled at once", func() {
		b := newSecondBench(work(time.Minute), work(0))
		var log bytes.Buffer
		b.f.logs = newLogs(&log, &Settings{})
		r := b.request(2, 2*time.Second)
		res := <-b.send(context.Background(), r)
		Expect(res.result.(backendResponse).status).To(Equal(http.StatusOK))
		Expect(res.after).To(BeNumerically("<", 500*time.Millisecond))
		Eventually(func() int64 { return b.servers[r.second.first].left.Load() }).WithTimeout(300 * time.Millisecond).Should(BeEquivalentTo(1))
		b.expectNothingLeft()
		b.expectSecondSends(secondWon, 1)
		b.expectSecondSends(secondCanceled, 1)
		Expect(b.admission().usage().extraWork).To(BeNumerically("~", res.after, 50*time.Millisecond))
		b.f.logs.requestAnswered(r, res.result, res.after)
		b.f.logs.close()
		Expect(log.String()).To(ContainSubstring(`"first_server":"` + string(r.second.first) + `"`))
		Expect(log.String()).To(ContainSubstring(`"counted_server":"` + string(r.second.second) + `"`))
	})

	// Failure: the second answer is passed on although the first came before, or its server is suspected.
	It("is canceled if the first one is answered first", func() {
		b := newSecondBench(work(200*time.Millisecond), work(time.Minute))
		res := <-b.send(context.Background(), b.request(2, 2*time.Second))
		Expect(res.result.(backendResponse).status).To(Equal(http.StatusOK))
		b.expectNothingLeft()
		b.expectSecondSends(secondSent, 1)
		b.expectSecondSends(secondCanceled, 1)
		b.expectSecondSends(secondWon, 0)
	})

	// Failure: a failure of one send ends the request while the other is at work, or its outcome is
	// said to be a refusal.
	It("leaves the outcome unknown if both fail", func() {
		b := newSecondBench(abort(200*time.Millisecond), abort(100*time.Millisecond))
		res := <-b.send(context.Background(), b.request(2, 2*time.Second))
		b.expectSecondSends(secondSent, 1)
		Expect(res.result).To(BeAssignableToTypeOf(gatewayError{}))
		Expect(b.arrived()).To(BeEquivalentTo(2))
		b.expectNothingLeft()
	})

	// Failure: a send that fails beside another one has a third one follow, outside of the limit.
	DescribeTable("is enough if one of the two answers is a server's error", func(first, second handler) {
		b := newSecondBench(first, second)
		res := <-b.send(context.Background(), b.request(3, 2*time.Second))
		Expect(res.result.(backendResponse).status).To(Equal(http.StatusOK))
		Expect(b.arrived()).To(BeEquivalentTo(2))
		b.expectNothingLeft()
	},
		Entry("the second one", work(200*time.Millisecond), serverError),
		Entry("the first one", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			serverError(w, r)
		}, work(200*time.Millisecond)),
	)

	// Failure: servers work for a caller that has left.
	It("is canceled with the first one when the caller leaves", func() {
		b := newSecondBench(work(time.Minute), work(time.Minute))
		ctx, cancel := context.WithCancel(context.Background())
		results := b.send(ctx, b.request(2, 2*time.Second))
		Eventually(b.arrived).Should(BeEquivalentTo(2))
		cancel()
		Expect((<-results).result).To(Equal(callerLeft{}))
		b.expectSecondSends(secondSent, 1)
		b.expectNothingLeft()
	})

	// Failure: a request is sent twice that must not be, or beyond its attempts, the limit or the budget of retries.
	DescribeTable("does not take place", func(change func(b *exchangeBench, r *request)) {
		b := newSecondBench(work(300*time.Millisecond), work(0))
		r := b.request(2, 2*time.Second)
		change(b, r)
		res := <-b.send(context.Background(), r)
		Expect(res.result.(backendResponse).status).To(Equal(http.StatusOK))
		Expect(b.arrived()).To(BeEquivalentTo(1))
		b.expectSecondSends(secondSent, 0)
		b.expectNothingLeft()
	},
		Entry("for a request that must not be repeated", func(_ *exchangeBench, r *request) { r.route.Repeat = fairway.RepeatNever }),
		Entry("on a route with one attempt", func(_ *exchangeBench, r *request) { r.route.MaxAttempts = 1 }),
		Entry("without a limit", func(b *exchangeBench, _ *request) {
			b.f.admissions.cfg.SecondSendShare = 0
			delete(b.f.admissions.admissions, b.service.Name)
		}),
		Entry("when the limit is used up", func(b *exchangeBench, _ *request) {
			for range 10 {
				ended := b.request(2, time.Second)
				c := sluice.SecondSendRequest{Repeatable: true, Sends: 1, MaxAttempts: 2, SentAt: instantOf(ended.arrived.Add(-time.Second)), Deadline: instantOf(ended.deadline)}
				if e, d := b.admission().sendSecond("list", c, &sluice.Request{}); d == (sluice.SecondSendNow{}) {
					b.admission().finish(sluice.ServerInstanceOf(e), "", sluice.OutcomeCanceled, 0, 0)
				}
			}
		}),
		Entry("when the budget of retries is used up", func(b *exchangeBench, _ *request) {
			for b.admission().allowRetry() {
			}
		}),
	)

	// Failure: a request is sent again although its answer has come.
	It("does not begin once the first one has ended", func() {
		b := newSecondBench(work(0), work(0))
		r := b.request(2, 2*time.Second)
		e := &exchange{forwarder: b.f, r: r, adm: b.admission(), req: &sluice.Request{}, over: make(chan struct{}), ended: make(chan *attempt)}
		r.sends = 1
		first := &attempt{exchange: e, began: time.Now().Add(-time.Second)}
		first.done, first.setDone = context.WithCancel(context.Background())
		first.setDone()
		e.pending = []*attempt{first}
		e.trySecond(context.Background())
		Expect(e.pending).To(HaveLen(1))
		b.expectNothingLeft()
	})
})
