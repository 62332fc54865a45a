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
	takeAll := func(b *sluice.RetryBudget, after time.Duration) int {
		n := 0
		for b.Allow(start.Add(after)) {
			n++
		}
		return n
	}

	It("shares the extra sends between the hosts", func() {
		Expect(takeAll(newBudget(), 0)).To(BeNumerically("<=", 40/4))
	})

	It("allows a part of the requests", func() {
		b := newBudget()
		for range 1000 {
			b.RecordRequest(start)
		}
		n := takeAll(b, time.Second)
		Expect(n).To(BeNumerically(">", 100))
		Expect(n).To(BeNumerically("<=", 1000/5+40/4))
	})

	It("slides its window", func() {
		b := newBudget()
		first := takeAll(b, 0)
		Expect(takeAll(b, 8*time.Second)).To(BeZero())
		Expect(takeAll(b, 11*time.Second)).To(Equal(first))
		Expect(takeAll(b, time.Hour)).To(Equal(first))
	})
})
