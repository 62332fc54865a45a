package mooring

import (
	"maps"
	"math"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// recentDecay is the weight that the recent moving average keeps of its old
	// value per second. Half of a change is visible after 1.4 s.
	recentDecay = 0.6
	// steadyDecay is the same for the steady moving average: half of a change is
	// visible after 5 s. At a large site a server gets about 8 requests a second,
	// too few for a reliable rate over a second or two.
	steadyDecay = 0.87
	// steadySamples is the number of seconds whose requests, evenly weighted, give a rate
	// as exact as the steady moving average: twice its time constant.
	steadySamples = 14.4
	// The recent rate of a block of keys differs from the steady one by more
	// than chance if the higher of the two exceeds hotRate, in requests per
	// second, and is more than hotFactor times the lower one.
	hotRate   = 1.0
	hotFactor = 2.0
	// blockSize is the number of keys in a block. It must divide keyCount.
	blockSize = 64
	// evenShare is the fraction of the total load that is added evenly over all
	// keys, because keys without recent requests may receive some.
	evenShare = 0.1
	// coldSpeed is the factor for the speed of a server that is warming up.
	coldSpeed = 0.5
	// minSpeed and maxSpeed bound the effect of a few slow responses. An
	// overloaded server appears slow and must not lose all its keys for that.
	minSpeed = 0.4
	maxSpeed = 1.8
	// limitFraction is the part of a server's limit up to which it gets keys, since the
	// rates are estimates.
	limitFraction = 0.8
	// minLimitedRate is the load, in requests a second, that a server with a lower limit
	// is given. Without keys it would get no requests, whose responses tell that the
	// limit has gone.
	minLimitedRate = 0.4
	// limitMemory is how long a limit still counts that a server names no more, so that
	// keys do not move to and fro.
	limitMemory = 10 * time.Second
)

// namedLimit is a server's limit, in requests a second, and until when it counts.
type namedLimit struct {
	rate  float64
	until Instant
}

// loadModel estimates the request rate of each key and the capacity of the
// servers.
type loadModel struct {
	// recent and steady are moving averages with a short and a long half-life.
	// rates are the estimates derived from them.
	recent []float64
	steady []float64
	rates  []float64
	total  float64
	speeds map[fairway.ServerID]float64
	limits map[fairway.ServerID]namedLimit
}

func newLoadModel() *loadModel {
	return &loadModel{
		recent: make([]float64, keyCount), steady: make([]float64, keyCount), rates: make([]float64, keyCount),
		speeds: make(map[fairway.ServerID]float64), limits: make(map[fairway.ServerID]namedLimit),
	}
}

// observe updates the estimates with a load report.
func (m *loadModel) observe(now Instant, e LoadReported) {
	for id, rate := range e.Limits {
		m.limits[id] = namedLimit{rate: rate, until: now.Add(limitMemory)}
	}
	maps.DeleteFunc(m.limits, func(_ fairway.ServerID, l namedLimit) bool { return now >= l.until })
	if e.Interval <= 0 {
		return
	}
	updateAverages(m.recent, e, recentDecay)
	updateAverages(m.steady, e, steadyDecay)
	m.total = 0
	for first := 0; first < keyCount; first += blockSize {
		m.estimate(first, first+blockSize)
	}
	m.speeds = e.Speeds
}

// estimate sets the rates of the keys from first up to but excluding end. It
// uses the recent average where the two differ by more than chance: in a block
// that has become hot or has cooled down. Whole blocks are compared because
// busy keys lie close to one another.
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

// updateAverages updates moving averages with the counts of a load report.
func updateAverages(rates []float64, e LoadReported, decay float64) {
	kept := math.Pow(decay, e.Interval.Seconds())
	for i := range rates {
		rates[i] *= kept
	}
	scale := (1 - kept) / e.Interval.Seconds()
	for key, n := range e.Requests {
		rates[key] += float64(n) * scale
	}
}

// hasData reports whether there are measured rates to base moves on.
func (m *loadModel) hasData() bool {
	return m.total > 0
}

// rate returns the estimated load of a key, which is the same for all keys as
// long as there are no measured rates.
func (m *loadModel) rate(key Key) float64 {
	if m.total == 0 {
		return 1
	}
	return m.rates[key] + evenShare*m.total/float64(keyCount)
}

// rangeRate returns the estimated load of a key range.
func (m *loadModel) rangeRate(r KeyRange) float64 {
	sum := 0.0
	for key := int(r.From); key <= int(r.To); key++ {
		sum += m.rate(Key(key))
	}
	return sum
}

// prefix returns the longest prefix of r whose load is at most limit, and that
// load. It reports false if the first key alone exceeds the limit.
func (m *loadModel) prefix(r KeyRange, limit float64) (KeyRange, float64, bool) {
	sum := 0.0
	for key := int(r.From); key <= int(r.To); key++ {
		rate := m.rate(Key(key))
		if sum+rate > limit {
			return KeyRange{From: r.From, To: Key(max(key-1, 0))}, sum, key > int(r.From)
		}
		sum += rate
	}
	return r, sum, true
}

// suffix is like prefix for the end of r.
func (m *loadModel) suffix(r KeyRange, limit float64) (KeyRange, float64, bool) {
	sum := 0.0
	for key := int(r.To); key >= int(r.From); key-- {
		rate := m.rate(Key(key))
		if sum+rate > limit {
			return KeyRange{From: Key(min(key+1, int(MaxKey))), To: r.To}, sum, key < int(r.To)
		}
		sum += rate
	}
	return r, sum, true
}

// maxLoad returns the highest load, in requests a second, that a server is given.
func (m *loadModel) maxLoad(id fairway.ServerID) float64 {
	limit, ok := m.limits[id]
	if !ok || !m.hasData() {
		return math.Inf(1)
	}
	return max(limitFraction*limit.rate, minLimitedRate)
}

// capacity returns the capacity of a server relative to others.
func (m *loadModel) capacity(e fairway.Endpoint) float64 {
	speed, ok := m.speeds[e.ID]
	if !ok {
		speed = 1
	}
	speed = min(max(speed, minSpeed), maxSpeed)
	if e.WarmupRemaining > time.Second {
		speed *= coldSpeed
	}
	return float64(max(e.Slots, 1)) * speed
}
