package drydock_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/drydock"
	"hornbeamwinch.example/ledger"
)

func TestDrydock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Drydock Suite")
}

func expectKind(err error, kind ledger.Kind) {
	GinkgoHelper()
	Expect(ledger.IsKind(err, kind)).To(BeTrue(), "%v", err)
}

var _ = Describe("The platform's service and its client", func() {
	var platform *drydock.Platform
	var store *ledger.HTTP
	ctx := context.Background()

	BeforeEach(func() {
		platform = drydock.NewPlatform(drydock.PlatformConfig{})
		server := httptest.NewServer(platform)
		DeferCleanup(server.Close)
		store = ledger.NewHTTP(ledger.HTTPConfig{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second})
		DeferCleanup(store.Close)
	})

	It("swap values only at the current revision", func() {
		first, err := store.Swap(ctx, ledger.Swap{Key: "a/b", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Swap(ctx, ledger.Swap{Key: "a/b", Value: []byte("2")})
		expectKind(err, ledger.KindConflict)
		second, err := store.Swap(ctx, ledger.Swap{Key: "a/b", Revision: first, Value: []byte("2")})
		Expect(err).NotTo(HaveOccurred())
		entry, err := store.Get(ctx, "a/b")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(ledger.Entry{Key: "a/b", Value: []byte("2"), Revision: second}))
		Expect(store.Unchanged(ctx, "a/b", second)).To(BeTrue())
		Expect(store.Unchanged(ctx, "a/b", first)).To(BeFalse())
		Expect(store.Unchanged(ctx, "none", 0)).To(BeTrue())
		_, err = store.Get(ctx, "none")
		expectKind(err, ledger.KindNotFound)
	})

	It("report a write whose response is lost as unknown, and one during an outage as not done", func() {
		platform.SetControl(drydock.PlatformControl{LoseResponses: 1})
		_, err := store.Swap(ctx, ledger.Swap{Key: "k", Value: []byte("1")})
		expectKind(err, ledger.KindUnknown)
		entry, err := store.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Value).To(Equal([]byte("1")))
		platform.SetControl(drydock.PlatformControl{Outage: true})
		_, err = store.Swap(ctx, ledger.Swap{Key: "k", Value: []byte("2")})
		expectKind(err, ledger.KindUnavailable)
	})

	It("refuse values over a megabyte", func() {
		_, err := store.Swap(ctx, ledger.Swap{Key: "k", Value: make([]byte, ledger.MaxValueBytes+1)})
		expectKind(err, ledger.KindTooLarge)
	})

	It("remove the keys of a revoked lease and wake watches", func() {
		lease, err := store.GrantLease(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Swap(ctx, ledger.Swap{Key: "w/1", Value: []byte("x"), Lease: lease})
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Watch(ctx, "w/", 0, time.Minute)).To(HaveLen(1))
		Expect(store.RenewLease(ctx, lease)).To(Succeed())
		Expect(store.RevokeLease(ctx, lease)).To(Succeed())
		Expect(store.List(ctx, "w/")).To(BeEmpty())
		expectKind(store.RenewLease(ctx, lease), ledger.KindNotFound)
		Expect(platform.Counts().Watches).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Placement experiments", func() {
	It("give the same measures on each run", func() {
		cfg := drydock.ExperimentConfig{
			Servers: 4, Shards: 16, Keys: 100, Rate: 100, Fault: drydock.FaultServerLost{}, Seed: 1, Duration: 40 * time.Second,
		}
		for _, name := range drydock.Placements() {
			Expect(drydock.RunExperiment(cfg, name)).To(Equal(drydock.RunExperiment(cfg, name)))
		}
	})
})
