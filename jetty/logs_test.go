package jetty

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/mooring"
)

// blockingWriter blocks in Write until release is closed.
type blockingWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

// Write implements io.Writer.
func (w *blockingWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(data)
}

var _ = Describe("The log", func() {
	It("does not block its callers while its writer blocks, and counts the dropped lines", func() {
		w := &blockingWriter{release: make(chan struct{})}
		q := newLogQueue(w)
		start := time.Now()
		for range 3 * maxQueuedLines {
			_, err := q.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(q.dropped.Load()).To(BeNumerically(">=", 2*maxQueuedLines-1))
		close(w.release)
		q.close()
		Expect(bytes.Count(w.written.Bytes(), []byte("\n"))).To(BeNumerically(">=", maxQueuedLines))
	})

	It("accepts lines after it is closed", func() {
		var b bytes.Buffer
		l := newLogs(&b, &Settings{Host: "h"})
		l.stopping()
		l.close()
		l.stopped(stopSummary{})
		Expect(b.String()).To(ContainSubstring("host_stopping"))
	})

	It("says at the begin of a term whether it is continued and which earlier placers it waits for", func() {
		for _, continued := range []bool{true, false} {
			var b bytes.Buffer
			l := newLogs(&b, &Settings{Host: "h"})
			t := &term{predecessors: placerList{Addresses: []string{"10.0.0.9:1"}, Incomplete: !continued}}
			if continued {
				t.continued = &formerTerm{}
			}
			l.placerTermBegan(t)
			l.close()
			Expect(b.String()).To(ContainSubstring(`"event":"began"`))
			Expect(b.String()).To(ContainSubstring(fmt.Sprintf(`"continued":%v`, continued)))
			Expect(b.String()).To(ContainSubstring(`"earlier":["10.0.0.9:1"]`))
			Expect(b.String()).To(ContainSubstring(fmt.Sprintf(`"earlier_incomplete":%v`, !continued)))
		}
	})

	It("shortens the error of an entry that quotes it", func() {
		var b bytes.Buffer
		l := newLogs(&b, &Settings{Host: "h"})
		long := fmt.Errorf("address %q has no port", strings.Repeat("1", 700_000))
		l.serverUpdated(ServerRecord{ID: "s", Err: long})
		l.recordUnreadable(UnreadableRecord{Key: "op/config", Err: long})
		l.close()
		Expect(bytes.Count(b.Bytes(), []byte("\n"))).To(Equal(2))
		Expect(b.Len()).To(BeNumerically("<", 4*maxErrorText))
	})

	It("names the proof that a former owner holds none of the keys", func() {
		var b bytes.Buffer
		l := newLogs(&b, &Settings{Host: "h"})
		l.keysMoved("gauges", []mooring.Move{
			{Reason: mooring.ReasonFormerOwnerCleared, Proof: mooring.ProofHoldExpired},
			{Reason: mooring.ReasonLoadBalancing},
		}, 7)
		l.close()
		Expect(b.String()).To(ContainSubstring(`"reason":"former_owner_cleared","proof":"hold_expired"`))
		Expect(strings.Count(b.String(), "proof")).To(Equal(1))
	})

	It("names the token that a range had before, and the eras of both", func() {
		var b bytes.Buffer
		l := newLogs(&b, &Settings{Host: "h"})
		const secondEra = mooring.Token(2) << 40
		l.keysMoved("gauges", []mooring.Move{{Token: secondEra + 7, FormerToken: 7}}, 7)
		l.close()
		Expect(b.String()).To(ContainSubstring(`"fence":2199023255559,"fence_era":2,"former_fence":7,"former_fence_era":0`))
	})

	It("limits the lines of each second and counts the dropped ones", func() {
		limiter := lineLimiter{limit: 3}
		now := time.Unix(100, 0)
		for range 3 {
			_, ok := limiter.allow(now)
			Expect(ok).To(BeTrue())
		}
		for range 5 {
			_, ok := limiter.allow(now)
			Expect(ok).To(BeFalse())
		}
		dropped, ok := limiter.allow(now.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(dropped).To(Equal(5))
	})
})
