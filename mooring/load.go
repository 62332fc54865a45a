package mooring

import (
	"math"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// recentMemory is the part of the old rate that a second of counts leaves in
	// the short memory. Half of a change is seen after 1.4 s.
	recentMemory = 0.6
	// steadyMemory is the same for the long memory: half is seen after 5 s. At a
	// large site a server gets some 8 requests a second, whose number in a second
	// or two says little.
	steadyMemory = 0.87
	// hotRate, in requests a second, and hotFactor say from when the recent rate
	// of a block of keys differs from the steady one by more than chance.
	hotRate   = 1.0
	hotFactor = 2.0
	// blockSize is the number of keys of a block. It divides that of all keys.
	blockSize = 64
	// evenPart is the part of the load that is taken as spread evenly over the
	// keys, since keys without recent requests may get some.
	evenPart = 0.1
	// coldSpeed is the speed of a server that has just started.
	coldSpeed = 0.5
	// minSpeed and maxSpeed bound what a few slow answers can do. A server that
	// is overloaded looks slow, and must not lose all its keys for it.
	minSpeed = 0.4
	maxSpeed = 1.8
)

// loadModel estimates the requests a second of each key, and how fast the
// servers are.
type loadModel struct {
	// recent and steady are the rates by a short and by a long memory, and rates
	// what the keeper goes by.
	recent []float64
	steady []float64
	rates  []float64
	total  float64
	speeds map[fairway.ServerID]float64
}

func newLoadModel() *loadModel {
	return &loadModel{
		recent: make([]float64, keyCount), steady: make([]float64, keyCount), rates: make([]float64, keyCount),
		speeds: make(map[fairway.ServerID]float64),
	}
}

// observe takes a set of counts into the estimate.
func (m *loadModel) observe(e LoadReported) {
	if e.Interval <= 0 {
		return
	}
	remember(m.recent, e, recentMemory)
	remember(m.steady, e, steadyMemory)
	m.total = 0
	for first := 0; first < keyCount; first += blockSize {
		m.estimate(first, first+blockSize)
	}
	m.speeds = e.Speeds
}

// estimate sets the rates of a block of neighbouring keys. The short memory is
// believed where the difference cannot be chance: a busy block that has become
// hot, or has cooled. Busy keys are close to one another.
func (m *loadModel) estimate(first, end int) {
	recent, steady := 0.0, 0.0
	for i := first; i < end; i++ {
		recent += m.recent[i]
		steady += m.steady[i]
	}
	from := m.steady
	if max(recent, steady) > hotRate && max(recent, steady) > hotFactor*min(recent, steady) {
		from = m.recent
	}
	for i := first; i < end; i++ {
		m.rates[i] = from[i]
		m.total += from[i]
	}
}

// remember takes counts into moving averages.
func remember(rates []float64, e LoadReported, memory float64) {
	kept := math.Pow(memory, e.Interval.Seconds())
	for i := range rates {
		rates[i] *= kept
	}
	scale := (1 - kept) / e.Interval.Seconds()
	for key, n := range e.Requests {
		rates[key] += float64(n) * scale
	}
}

// known reports whether enough was measured to move keys for it.
func (m *loadModel) known() bool {
	return m.total > 0
}

// rate returns the weight of a key.
func (m *loadModel) rate(key Key) float64 {
	if m.total == 0 {
		return 1
	}
	return m.rates[key] + evenPart*m.total/float64(keyCount)
}

// of returns the weight of a span.
func (m *loadModel) of(s KeyRange) float64 {
	sum := 0.0
	for key := int(s.From); key <= int(s.To); key++ {
		sum += m.rate(Key(key))
	}
	return sum
}

// prefix returns the longest start of s whose weight is at most limit, and its
// weight. It reports false if that is not even one key.
func (m *loadModel) prefix(s KeyRange, limit float64) (KeyRange, float64, bool) {
	sum := 0.0
	for key := int(s.From); key <= int(s.To); key++ {
		rate := m.rate(Key(key))
		if sum+rate > limit {
			return KeyRange{From: s.From, To: Key(max(key-1, 0))}, sum, key > int(s.From)
		}
		sum += rate
	}
	return s, sum, true
}

// suffix is like prefix for the end of s.
func (m *loadModel) suffix(s KeyRange, limit float64) (KeyRange, float64, bool) {
	sum := 0.0
	for key := int(s.To); key >= int(s.From); key-- {
		rate := m.rate(Key(key))
		if sum+rate > limit {
			return KeyRange{From: Key(min(key+1, int(MaxKey))), To: s.To}, sum, key < int(s.To)
		}
		sum += rate
	}
	return s, sum, true
}

// capacity returns how much a server can do relative to others.
func (m *loadModel) capacity(s fairway.Endpoint) float64 {
	speed, ok := m.speeds[s.ID]
	if !ok {
		speed = 1
	}
	speed = min(max(speed, minSpeed), maxSpeed)
	if s.WarmupRemaining > time.Second {
		speed *= coldSpeed
	}
	return float64(max(s.Slots, 1)) * speed
}
