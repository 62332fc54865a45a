package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// secondWindow is the sliding window of the limit of second sends.
	secondWindow = 10 * time.Second
	// secondBuckets is the number of buckets that the window is divided into.
	secondBuckets = 100
	// usableShare is the part of the limit that a host uses. The remainder covers the
	// differences between the requests of a window and those of one that begins a
	// little later: without it, hosts that used all of their limits had 1,501 second sends
	// in a window that allowed 1,500.
	usableShare = 0.95
	// steadyFraction is the part of the limit that each request adds to the allowance, and
	// burstFraction the part of the limit of 10 s that may be saved up for requests that
	// are slow together, as when a machine is slow for 0.4 s. Without these bounds, a host
	// whose traffic ends could send all of 10 s in the last moment, and a window that
	// begins later would be over the limit. With a burst of a quarter, p99 at 84 hosts in the fleet
	// test fell from 1,615 to 1,145 ms, and with a half to 1,005 ms.
	steadyFraction = 0.75
	burstFraction  = 0.5
	// minBurst is the burst of hosts with few requests, in second sends.
	minBurst = 2.0
)

// MaxSecondSendShare is the highest limit of second sends, as a share of the requests.
const MaxSecondSendShare = 0.2

// SecondSendBudget keeps the second sends of one service on one host within a share of its
// requests. Since each host keeps to its own requests, all hosts together keep to the share
// as well, however many there are and whether or not they are in touch.
//
// In each window of 10 s that ends with a second send, this one included, a host uses at most
// 0.95 of the share. In one that ends later the share holds unless the host's requests have
// become fewer since; then it is exceeded by at most the burst.
type SecondSendBudget struct {
	share float64
	// requests and sends count by buckets of the window. Requests of the oldest
	// bucket, which is partly outside of it, do not count; sends do.
	requests [secondBuckets + 1]int
	sends    [secondBuckets + 1]int
	// totalRequests and totalSends are their sums.
	totalRequests int
	totalSends    int
	// saved is the allowance that requests have added and sends have not used.
	saved float64
	// current is the number of the current bucket, counted from time 0.
	current int64
}

// NewSecondSendBudget returns an unused budget with a limit between 0 and
// [MaxSecondSendShare].
func NewSecondSendBudget(share float64) *SecondSendBudget {
	return &SecondSendBudget{share: share}
}

// RecordRequest counts a request of the service.
func (b *SecondSendBudget) RecordRequest(now mooring.Instant) {
	b.requests[b.advance(now)]++
	b.totalRequests++
	burst := max(minBurst, burstFraction*b.share*float64(b.totalRequests))
	b.saved = min(b.saved+steadyFraction*b.share, burst)
}

// Allows reports whether a second send is within the limit now.
func (b *SecondSendBudget) Allows(now mooring.Instant) bool {
	oldest := (b.advance(now) + 1) % len(b.requests)
	const rounding = 1e-9
	return b.saved >= 1-rounding && float64(b.totalSends+1) <= usableShare*b.share*float64(b.totalRequests-b.requests[oldest])+rounding
}

// RecordSend counts a second send.
func (b *SecondSendBudget) RecordSend(now mooring.Instant) {
	b.sends[b.advance(now)]++
	b.totalSends++
	b.saved--
}

// Used returns the second sends of the window as a part of those that the limit allows.
func (b *SecondSendBudget) Used(now mooring.Instant) float64 {
	b.advance(now)
	if b.totalSends == 0 {
		return 0
	}
	return float64(b.totalSends) / max(b.share*float64(b.totalRequests), 1)
}

// advance clears the buckets that have left the window and returns the index of the
// current one.
func (b *SecondSendBudget) advance(now mooring.Instant) int {
	size := int64(len(b.requests))
	current := int64(time.Duration(now) / (secondWindow / secondBuckets))
	for n := int64(0); b.current < current && n < size; n++ {
		b.current++
		at := b.current % size
		b.totalRequests -= b.requests[at]
		b.totalSends -= b.sends[at]
		b.requests[at], b.sends[at] = 0, 0
	}
	b.current = current
	return int(current % size)
}
