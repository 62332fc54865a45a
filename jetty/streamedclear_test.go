package jetty

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/sluice"
)

// A long response never cleared its request of the suspicion that it crashes servers.
var _ = Describe("A suspected request with a response that is not held whole", func() {
	// end has a request suspected while its response is streamed, and returns what is known of
	// it once the response has ended.
	end := func(whole bool) sluice.Suspicion {
		GinkgoHelper()
		b := newExchangeBench(0)
		b.f.crashes = crashesOf("a")
		b.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signed", "y")
			_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedBytes))
		})
		r := b.request(1, 5*time.Second)
		resp, ok := (<-b.send(context.Background(), r)).result.(backendResponse)
		Expect(ok).To(BeTrue())
		Expect(resp.remaining).NotTo(BeNil())
		b.f.crashes.serverEnded(r, endedServer(1), false)
		_, err := io.Copy(io.Discard, resp.remaining)
		Expect(err).NotTo(HaveOccurred())
		resp.finish(whole)
		return b.f.crashes.suspicion(r, "v1")
	}

	It("is cleared once the response has been passed on whole", func() {
		Expect(end(true)).To(Equal(sluice.SuspicionNone))
	})

	It("is not cleared by a part of it", func() {
		Expect(end(false)).To(Equal(sluice.SuspicionPossible))
	})
})
