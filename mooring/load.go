package mooring

import (
	"math"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// loadMemory is the part of the old rate that a second of counts leaves.
	// Half of a change is seen after 1.4 s, which is less than a hot range takes
	// to move and more than the noise of a second's counts.
	loadMemory = 0.6
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
	rates  []float64
	total  float64
	speeds map[fairway.ServerID]float64
}

func newLoadModel() *loadModel {
	return &loadModel{rates: make([]float64, keyCount), speeds: make(map[fairway.ServerID]float64)}
}

// observe takes a set of counts into the estimate.
func (m *loadModel) observe(e Observed) {
	if e.Over <= 0 {
		return
	}
	memory := math.Pow(loadMemory, e.Over.Seconds())
	for i := range m.rates {
		m.rates[i] *= memory
	}
	scale := (1 - memory) / e.Over.Seconds()
	for key, n := range e.Requests {
		m.rates[key] += float64(n) * scale
	}
	m.total = 0
	for _, rate := range m.rates {
		m.total += rate
	}
	m.speeds = e.Speeds
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
func (m *loadModel) of(s Span) float64 {
	sum := 0.0
	for key := int(s.From); key <= int(s.To); key++ {
		sum += m.rate(Key(key))
	}
	return sum
}

// prefix returns the longest start of s whose weight is at most limit, and its
// weight. It reports false if that is not even one key.
func (m *loadModel) prefix(s Span, limit float64) (Span, float64, bool) {
	sum := 0.0
	for key := int(s.From); key <= int(s.To); key++ {
		rate := m.rate(Key(key))
		if sum+rate > limit {
			return Span{From: s.From, To: Key(max(key-1, 0))}, sum, key > int(s.From)
		}
		sum += rate
	}
	return s, sum, true
}

// suffix is like prefix for the end of s.
func (m *loadModel) suffix(s Span, limit float64) (Span, float64, bool) {
	sum := 0.0
	for key := int(s.To); key >= int(s.From); key-- {
		rate := m.rate(Key(key))
		if sum+rate > limit {
			return Span{From: Key(min(key+1, int(MaxKey))), To: s.To}, sum, key < int(s.To)
		}
		sum += rate
	}
	return s, sum, true
}

// capacity returns how much a server can do relative to others.
func (m *loadModel) capacity(s fairway.Sighting) float64 {
	speed, ok := m.speeds[s.ID]
	if !ok {
		speed = 1
	}
	speed = min(max(speed, minSpeed), maxSpeed)
	if s.WarmIn > time.Second {
		speed *= coldSpeed
	}
	return float64(max(s.Slots, 1)) * speed
}
