package jetty

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Responses that callers did not read took a host over its memory.
var _ = Describe("The memory of a response", func() {
	const size = 300_000
	var b *exchangeBench
	var s *exchangeServer
	var r *request
	BeforeEach(func() {
		b = newExchangeBench(0)
		b.f.bodies = newBodyBudget(8)
		s = b.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, strings.Repeat("x", size)) })
		r = b.request(1, time.Second)
	})
	send := func() *backendResponse {
		GinkgoHelper()
		endpoint, _ := b.f.clusterState.catalog().Get(s.id)
		resp, err := b.f.roundTrip(context.Background(), r, endpoint)
		Expect(err).NotTo(HaveOccurred())
		return resp
	}

	It("is kept until the request ends", func() {
		Expect(send().body).To(HaveLen(size))
		Expect(b.f.bodies.bytesReserved()).To(BeEquivalentTo(size))
		r.answers.end()
		Expect(b.f.bodies.bytesReserved()).To(BeZero())
	})

	It("is not taken beyond the budget: the response is passed on as it comes", func() {
		_, ok := b.f.bodies.reserve(b.f.bodies.largest())
		Expect(ok).To(BeTrue())
		resp := send()
		Expect(resp.body).To(HaveLen(unreservedBytes + 1))
		rest, err := io.ReadAll(resp.remaining)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(HaveLen(size - unreservedBytes - 1))
		resp.finish(true)
		b.expectNothingLeft()
	})
})

// Requests went on to servers without limit, and what their responses took in buffers counted for nothing.
var _ = Describe("The memory to forward a request", func() {
	var b *exchangeBench
	BeforeEach(func() {
		b = newExchangeBench(0)
		b.f.bodies = newBodyBudget(8)
	})
	serve := func() {
		GinkgoHelper()
		b.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "x") })
	}
	// fill takes room up to some bytes.
	fill := func(left int64) {
		GinkgoHelper()
		room := &bodyReservation{budget: b.f.bodies}
		Expect(room.extendWithin(b.f.bodies.limit-left, 0)).To(BeTrue())
	}

	It("is reserved before it is sent, also beside bodies that take all their part", func() {
		serve()
		fill(forwardBytes)
		r := b.request(1, time.Second)
		res := b.f.forward(context.Background(), r)
		Expect(res).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(b.f.bodies.bytesReserved()).To(Equal(b.f.bodies.limit))
		r.answers.end()
		Expect(b.f.bodies.bytesReserved()).To(Equal(b.f.bodies.limit - forwardBytes))
	})

	// A host with more callers than its servers could serve refused requests for want of memory that none of them used,
	// and collected garbage that there was not.
	It("is not held by requests that wait for a server, and leaves no garbage", func() {
		const requests = 8
		var arrived atomic.Int64
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		b.serve("s", 1, func(w http.ResponseWriter, hr *http.Request) {
			arrived.Add(1)
			select {
			case <-release:
			case <-hr.Context().Done():
			}
			answer(w, http.StatusOK, "x")
		})
		for range requests {
			r := b.request(1, 400*time.Millisecond)
			go func() {
				b.f.forward(context.Background(), r)
				r.answers.end()
			}()
		}
		Eventually(arrived.Load).Should(BeNumerically(">", 0))
		Consistently(func() bool { return b.f.bodies.bytesReserved() <= requests/2*forwardBytes }).WithTimeout(200 * time.Millisecond).Should(BeTrue())
		Eventually(b.f.bodies.bytesReserved).WithTimeout(5 * time.Second).Should(BeZero())
		Expect(b.f.bodies.garbage).To(BeZero())
	})

	It("has the request refused, which does not run, if there is none", func() {
		serve()
		fill(forwardBytes - 1)
		r := b.request(1, time.Second)
		res := b.f.forward(context.Background(), r)
		Expect(res).To(BeAssignableToTypeOf(refusal{}))
		Expect(res.(refusal).reason).To(Equal(reasonNoMemory))
		Expect(res.(refusal).retryAfter).To(BeNumerically(">", 0))
		Expect(r.sends).To(BeZero())
	})
})

var _ = Describe("A body of unknown length on a small host", func() {
	const memoryMB, limit = 144, 64 << 20
	// Doubling buffers never had room for the largest body.
	for _, size := range []int64{1, 300_000, 1 << 20, 48 << 20, limit} {
		It("is read whole, and then takes no more than four times its size", func() {
			b := &bodyReader{reader: io.LimitReader(endlessReader{}, size), length: -1, limit: limit, budget: newBodyBudget(memoryMB)}
			body, err := b.read()
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(HaveLen(int(size)))
			Expect(b.budget.bytesReserved()).To(BeNumerically("<=", max(4*size, smallBodyBytes)))
		})
	}
})
