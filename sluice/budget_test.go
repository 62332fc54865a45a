package sluice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/sluice"
)

var _ = Describe("Budget", func() {
	newBudget := func() *sluice.RetryBudget {
		b := sluice.NewRetryBudget(sluice.RetryBudgetConfig{Window: 10 * time.Second, Ratio: 0.2, Extra: 40})
		b.SetHosts(4)
		return b
	}
	countAllowed := func(b *sluice.RetryBudget, after time.Duration) int {
		n := 0
		for b.Allow(start.Add(after)) {
			n++
		}
		return n
	}

	It("shares the extra sends between the hosts", func() {
		Expect(countAllowed(newBudget(), 0)).To(BeNumerically("<=", 40/4))
	})

	It("allows a part of the requests", func() {
		b := newBudget()
		for range 1000 {
			b.RecordRequest(start)
		}
		n := countAllowed(b, time.Second)
		Expect(n).To(BeNumerically(">", 100))
		Expect(n).To(BeNumerically("<=", 1000/5+40/4))
	})

	It("slides its window", func() {
		b := newBudget()
		first := countAllowed(b, 0)
		Expect(countAllowed(b, 8*time.Second)).To(BeZero())
		Expect(countAllowed(b, 11*time.Second)).To(Equal(first))
		Expect(countAllowed(b, time.Hour)).To(Equal(first))
	})
})
