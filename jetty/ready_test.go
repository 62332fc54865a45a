package jetty

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/ledger"
)

// compactingStore loses its history and is then out, once compact is set.
type compactingStore struct {
	*fakeStore

	compact, compacted atomic.Bool
}

// Watch implements ledger.TxnStore.
func (s *compactingStore) Watch(ctx context.Context, prefix string, after ledger.Revision, wait time.Duration) ([]ledger.Change, ledger.Revision, error) {
	if s.compact.Load() {
		s.setUnavailable(true)
		s.compacted.Store(true)
		return nil, 0, &ledger.Error{Op: "watch", Kind: ledger.KindCompacted, Err: errFake}
	}
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

var _ = Describe("A host whose watch has lost its history", func() {
	It("stays ready with what it knows until the store answers a scan", func() {
		s := &compactingStore{fakeStore: newFakeStore()}
		s.set("server/a", "x")
		s.set("config", "123")
		h, err := New(Config{Settings: &Settings{Host: "h"}, Store: s, Protocol: fakeProtocol{}, LogTo: io.Discard})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		DeferCleanup(func() { cancel(); <-done })
		go func() {
			defer close(done)
			h.watcher.run(ctx)
		}()
		Eventually(h.ready).Should(BeTrue())
		s.compact.Store(true)
		Eventually(func() bool { return s.compacted.Load() }).Should(BeTrue())
		Consistently(h.ready).WithTimeout(500 * time.Millisecond).Should(BeTrue())
	})
})
