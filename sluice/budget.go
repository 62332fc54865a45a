package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// budgetBuckets is the number of buckets of the sliding window.
	budgetBuckets = 10
	// usableFraction is the part of the budget that a host uses. The remainder
	// covers hosts whose share of the traffic has just changed.
	usableFraction = 0.75
)

// RetryBudgetConfig holds the parameters of a [RetryBudget].
type RetryBudgetConfig struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Extra is the number of retries per window that all hosts together may
	// send in addition.
	Extra float64
}

// RetryBudget limits the retries of one service over a sliding window. Each
// send of a request after its first one is a retry.
type RetryBudget struct {
	cfg RetryBudgetConfig
	// known is the latest number of hosts, and hosts the highest one in each bucket. A
	// new placer knows few hosts at first, and the others still use their parts.
	known    int
	hosts    [budgetBuckets]int
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	// current is the number of the current bucket, counted from time 0.
	current int64
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg}
}

// SetHosts sets the number of hosts that share the extra retries. The highest number
// within the window counts. Until one is known, this host has no part of them.
func (b *RetryBudget) SetHosts(now mooring.Instant, n int) {
	at := b.advance(now)
	b.known = n
	b.hosts[at] = max(b.hosts[at], n)
}

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest(now mooring.Instant) {
	b.requests[b.advance(now)]++
}

// Remaining returns the number of retries that are allowed now.
func (b *RetryBudget) Remaining(now mooring.Instant) float64 {
	b.advance(now)
	requests, retries, hosts := 0, 0, 0
	for k := range budgetBuckets {
		requests += b.requests[k]
		retries += b.retries[k]
		hosts = max(hosts, b.hosts[k])
	}
	usable := b.cfg.Ratio * float64(requests)
	if hosts > 0 {
		usable += b.cfg.Extra / float64(hosts)
	}
	return usableFraction*usable - float64(retries)
}

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *RetryBudget) Allow(now mooring.Instant) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (b *RetryBudget) advance(now mooring.Instant) int {
	width := max(b.cfg.Window/budgetBuckets, time.Millisecond)
	current := int64(time.Duration(now) / width)
	for n := 0; b.current < current && n < budgetBuckets; n++ {
		b.current++
		b.requests[b.current%budgetBuckets] = 0
		b.retries[b.current%budgetBuckets] = 0
		b.hosts[b.current%budgetBuckets] = b.known
	}
	b.current = current
	return int(current % budgetBuckets)
}
