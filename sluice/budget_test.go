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
		b.SetHosts(start, 4)
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

	It("has no part of the extra sends before the number of hosts is known", func() {
		b := sluice.NewRetryBudget(sluice.RetryBudgetConfig{Window: 10 * time.Second, Ratio: 0.2, Extra: 40})
		Expect(countAllowed(b, 0)).To(BeZero())
	})

	DescribeTable("keeps the fleet within the rule",
		func(perSecond int, hostsAt func(host int, at time.Duration) int) {
			const hosts, ratio, extra, window = 79, 0.2, 198.0, 10 * time.Second
			const step = 100 * time.Millisecond
			budgets := make([]*sluice.RetryBudget, hosts)
			for i := range budgets {
				budgets[i] = sluice.NewRetryBudget(sluice.RetryBudgetConfig{Window: window, Ratio: ratio, Extra: extra})
			}
			var requests, retries []int
			for at := time.Duration(0); at < 40*time.Second; at += step {
				sent, again := 0, 0
				for i, b := range budgets {
					now := start.Add(at)
					if n := hostsAt(i, at); n > 0 {
						b.SetHosts(now, n)
					}
					if (i+len(requests))%10 < perSecond {
						b.RecordRequest(now)
						sent++
					}
					for b.Allow(now) {
						again++
					}
				}
				requests, retries = append(requests, sent), append(retries, again)
			}
			sum := func(counts []int, from int) int {
				total := 0
				for i := max(from, 0); i < min(from+int(window/step), len(counts)); i++ {
					total += counts[i]
				}
				return total
			}
			n := int(window / step)
			for from := range retries {
				most := max(sum(requests, from), sum(requests, from-n), sum(requests, from-n/2))
				Expect(sum(retries, from)).To(BeNumerically("<=", int(ratio*float64(most)+extra)), "from %v on", time.Duration(from)*step)
			}
		},
		Entry("in a calm fleet", 9, func(int, time.Duration) int { return 79 }),
		Entry("while a new placer counts the hosts", 9, func(host int, at time.Duration) int {
			if at >= 20*time.Second && at < 20500*time.Millisecond {
				return 1 + host
			}
			return 79
		}),
		Entry("while two placers in a row count the hosts", 9, func(host int, at time.Duration) int {
			if at >= 20*time.Second && at < 20500*time.Millisecond || at >= 24*time.Second && at < 24500*time.Millisecond {
				return 1 + host
			}
			return 79
		}),
		Entry("while half of the hosts are heard late", 9, func(host int, at time.Duration) int {
			if at < 3*time.Second {
				return 0
			}
			return 79
		}),
	)

	It("slides its window", func() {
		b := newBudget()
		first := countAllowed(b, 0)
		Expect(countAllowed(b, 8*time.Second)).To(BeZero())
		Expect(countAllowed(b, 11*time.Second)).To(Equal(first))
		Expect(countAllowed(b, time.Hour)).To(Equal(first))
	})
})
