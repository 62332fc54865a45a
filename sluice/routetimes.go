package sluice

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hornbeamwinch.example/mooring"
)

const (
	// The window of a route's times has timesParts parts, the last of which is not
	// complete: it covers 45 to 60 s. A route with 1.5 requests a second at a host
	// then has the 40 times that a 0.95 quantile needs.
	timesParts      = 4
	timesPartLength = 15 * time.Second
	// maxTime bounds the recorded times. Deadlines end at 12 s.
	maxTime = 30 * time.Second
	// timeDigits is the resolution in significant digits: a quantile is at most 1/16 too
	// high, and a route takes 8 KB. Two digits would take 46 KB.
	timeDigits = 1
	// mergeInterval is how long a merged histogram is used for quantiles.
	mergeInterval = 250 * time.Millisecond
	// samplesBeyond is the number of times that are expected beyond a quantile, at least.
	samplesBeyond = 2
)

// RouteTimes is the distribution of the times that sends on one route take, over a sliding
// window.
type RouteTimes struct {
	histogram *hdrhistogram.WindowedHistogram
	// part is the number of the current part, counted from time 0.
	part int64
	// merged has the times of all parts as of mergedAt.
	merged   *hdrhistogram.Histogram
	mergedAt mooring.Instant
}

// NewRouteTimes returns a distribution without times.
func NewRouteTimes() *RouteTimes {
	return &RouteTimes{histogram: hdrhistogram.NewWindowed(timesParts, 1, maxTime.Milliseconds(), timeDigits)}
}

// Record adds the time of a send. A send that was canceled beside a second one counts with
// the time until then. It began the second one at a quantile or later, so it stays beyond the
// quantile; without it, quantiles would fall with each second send that wins.
func (t *RouteTimes) Record(now mooring.Instant, took time.Duration) {
	t.advance(now)
	// The value is within the bounds of the histogram, so that there is no error.
	_ = t.histogram.Current.RecordValue(min(max(took, 0), maxTime).Milliseconds())
}

// Quantile returns the time that a fraction of the sends is expected not to exceed, or false
// if there are too few times to tell.
func (t *RouteTimes) Quantile(now mooring.Instant, fraction float64) (time.Duration, bool) {
	if t.advance(now) || t.merged == nil || now.Sub(t.mergedAt) >= mergeInterval {
		t.merged, t.mergedAt = t.histogram.Merge(), now
	}
	if float64(t.merged.TotalCount())*(1-fraction) < samplesBeyond-1e-6 {
		return 0, false
	}
	return time.Duration(t.merged.ValueAtQuantile(100*fraction)) * time.Millisecond, true
}

// advance drops the parts that have left the window, and reports whether any has.
func (t *RouteTimes) advance(now mooring.Instant) bool {
	part := int64(math.Floor(float64(now) / float64(timesPartLength)))
	if part == t.part {
		return false
	}
	for n := 0; t.part < part && n < timesParts; n++ {
		t.part++
		t.histogram.Rotate()
	}
	t.part = part
	return true
}
