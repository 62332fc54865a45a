package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// budgetBuckets is the number of parts in which a budget's window slides.
	budgetBuckets = 10
	// budgetPart is the part of the allowed sends that is used. The rest
	// covers hosts whose share of the traffic has just changed.
	budgetPart = 0.75
)

// RetryBudgetConfig configures a [RetryBudget].
type RetryBudgetConfig struct {
	// Window is the time over which sends are counted.
	Window time.Duration
	// Ratio is the number of further sends that each request allows.
	Ratio float64
	// Extra is allowed besides, by all hosts together.
	Extra float64
}

// RetryBudget bounds the sends of one service beyond the first of each request, over
// a sliding window.
type RetryBudget struct {
	cfg     RetryBudgetConfig
	hosts   int
	first   [budgetBuckets]int
	further [budgetBuckets]int
	at      int64
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, hosts: 1}
}

// SetHosts sets the number of hosts that share the extra sends.
func (b *RetryBudget) SetHosts(n int) {
	b.hosts = max(n, 1)
}

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest(now mooring.Instant) {
	b.first[b.slide(now)]++
}

// Remaining returns the number of further sends that are allowed now.
func (b *RetryBudget) Remaining(now mooring.Instant) float64 {
	b.slide(now)
	requests, sends := 0, 0
	for k := range budgetBuckets {
		requests += b.first[k]
		sends += b.further[k]
	}
	return budgetPart*(b.cfg.Ratio*float64(requests)+b.cfg.Extra/float64(b.hosts)) - float64(sends)
}

// Allow allows one further send, or reports false.
func (b *RetryBudget) Allow(now mooring.Instant) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.further[b.slide(now)]++
	return true
}

// slide clears the buckets that have left the window and returns the current
// one.
func (b *RetryBudget) slide(now mooring.Instant) int {
	width := max(b.cfg.Window/budgetBuckets, time.Millisecond)
	at := int64(time.Duration(now) / width)
	for n := 0; b.at < at && n < budgetBuckets; n++ {
		b.at++
		b.first[b.at%budgetBuckets] = 0
		b.further[b.at%budgetBuckets] = 0
	}
	b.at = at
	return int(at % budgetBuckets)
}
