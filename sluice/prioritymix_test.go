package sluice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/sluice"
)

var _ = Describe("The priorities of a service's requests", func() {
	var mix *sluice.PriorityMix
	now := start
	record := func(n, priority int) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			mix.Record(now, priority)
		}
	}
	BeforeEach(func() { mix = sluice.NewPriorityMix() })

	// Configurations have routes that nobody calls, whose priorities must not change how the
	// requests of the others are served.
	It("do not differ because of a few probes", func() {
		for range 10 {
			record(99, 2)
			record(1, 0)
		}
		Expect(mix.Mixed()).To(BeFalse())
		urgent, ok := mix.MostUrgent()
		Expect(ok).To(BeTrue())
		Expect(urgent).To(Equal(2))
	})

	It("differ while two kinds of requests come, and no longer once one is left", func() {
		for range 20 {
			record(8, 2)
			record(2, 0)
		}
		Expect(mix.Mixed()).To(BeTrue())
		urgent, _ := mix.MostUrgent()
		Expect(urgent).To(Equal(0))
		record(3000, 2)
		Expect(mix.Mixed()).To(BeFalse())
	})

	It("are not known before there are requests", func() {
		_, ok := mix.MostUrgent()
		Expect(ok).To(BeFalse())
		record(2, 1)
		Expect(mix.Mixed()).To(BeFalse())
	})
})
