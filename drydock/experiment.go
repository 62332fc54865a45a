package drydock

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hornbeamwinch.example/berth"
)

// Fault is what happens in one experiment. The set of faults is closed.
type Fault interface {
	fault()
}

// FaultServerLost kills one server for good.
type FaultServerLost struct{}

// FaultRollingRestart restarts the servers one after the other.
type FaultRollingRestart struct{}

// FaultHotKeyMoves gives one key a large part of the load, and another one
// later.
type FaultHotKeyMoves struct{}

// FaultStoreOutage makes the store refuse writes while a server restarts.
type FaultStoreOutage struct{}

func (FaultServerLost) fault()     {}
func (FaultRollingRestart) fault() {}
func (FaultHotKeyMoves) fault()    {}
func (FaultStoreOutage) fault()    {}

// Faults lists the faults with their names.
func Faults() []NamedFault {
	return []NamedFault{
		{Name: "one server lost", Fault: FaultServerLost{}},
		{Name: "rolling restart", Fault: FaultRollingRestart{}},
		{Name: "hot key moves", Fault: FaultHotKeyMoves{}},
		{Name: "store outage", Fault: FaultStoreOutage{}},
	}
}

// NamedFault is a fault with its name in reports.
type NamedFault struct {
	Name  string
	Fault Fault
}

// ExperimentConfig describes one deployment under one fault.
type ExperimentConfig struct {
	Servers int
	Shards  uint32
	Keys    int
	// Rate is the load of the whole service in requests per second.
	Rate   float64
	Policy berth.Policy
	Fault  Fault
	Seed   uint64
	// Duration is the virtual time that the experiment covers.
	Duration time.Duration
}

// Measures are the users' three measures of one experiment.
type Measures struct {
	// Imbalance is the load of the busiest server over the mean, averaged
	// over time.
	Imbalance float64 `json:"imbalance"`
	// Churn is the number of keys that changed their owner, in thousandths of
	// all keys.
	Churn float64 `json:"churn_permille"`
	// Unavailable is the time for which keys had no owner that answers, added
	// up over the keys, in seconds for each thousand keys.
	Unavailable float64 `json:"unavailable_key_s"`
	// Longest is the longest such time of one key, in seconds.
	Longest float64 `json:"longest_s"`
}

// placement assigns keys in an experiment. The set of placements is closed:
// [ownPlacement], [hashPlacement] and [staticPlacement].
type placement interface {
	placement()
}

// Names of the compared placements.
const (
	PlacementOwn    = "hornbeamwinch"
	PlacementHash   = "consistent hashing, eager"
	PlacementStatic = "static"
)

// Placements lists the compared placements.
func Placements() []string {
	return []string{PlacementOwn, PlacementHash, PlacementStatic}
}

const (
	experimentTick = 50 * time.Millisecond
	// refusedAfter is how long it takes to notice a refused connection: one
	// probe interval.
	refusedAfter   = 150 * time.Millisecond
	restartTime    = 1 * time.Second
	restartSpacing = 5 * time.Second
	faultAt        = 20 * time.Second
	hotShare       = 0.15
	hotPeriod      = 60 * time.Second
	outageTime     = 30 * time.Second
	zipfExponent   = 0.6
	virtualNodes   = 100
)

// experiment is the state of one run.
type experiment struct {
	cfg     ExperimentConfig
	now     time.Duration
	servers []berth.ServerID
	// downUntil holds until when a server is down, or zero.
	downUntil []time.Duration
	rates     []float64
	keys      []string
	owners    []int
	down      []time.Duration
	result    Measures
	samples   int
	moved     int
}

// RunExperiment measures one placement. The same configuration always gives
// the same measures.
func RunExperiment(cfg ExperimentConfig, name string) Measures {
	e := newExperiment(cfg)
	p := e.newPlacement(name)
	for e.now = 0; e.now < cfg.Duration; e.now += experimentTick {
		e.injectFault()
		e.advance(p)
		e.sample(p)
	}
	e.result.Imbalance /= float64(max(1, e.samples))
	e.result.Churn = 1000 * float64(e.moved) / float64(cfg.Keys)
	return e.result
}

func newExperiment(cfg ExperimentConfig) *experiment {
	e := &experiment{
		cfg:       cfg,
		downUntil: make([]time.Duration, cfg.Servers),
		rates:     make([]float64, cfg.Keys),
		owners:    make([]int, cfg.Keys),
		down:      make([]time.Duration, cfg.Keys),
	}
	for i := range cfg.Servers {
		e.servers = append(e.servers, berth.ServerID("server-"+strconv.Itoa(i)))
	}
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	total := 0.0
	for i, rank := range random.Perm(cfg.Keys) {
		e.keys = append(e.keys, "key-"+strconv.Itoa(i))
		e.rates[i] = math.Pow(float64(rank+1), -zipfExponent)
		total += e.rates[i]
	}
	for i := range e.rates {
		e.rates[i] *= cfg.Rate / total
		e.owners[i] = -1
	}
	return e
}

// injectFault makes servers go down and keys become hot.
func (e *experiment) injectFault() {
	if e.now < faultAt {
		return
	}
	since := e.now - faultAt
	switch e.cfg.Fault.(type) {
	case FaultServerLost:
		if since == 0 {
			e.downUntil[0] = e.cfg.Duration * 2
		}
	case FaultRollingRestart:
		if turn := int(since / restartSpacing); since%restartSpacing == 0 && turn < len(e.servers) {
			e.downUntil[turn] = e.now + restartTime
		}
	case FaultHotKeyMoves:
		if since%hotPeriod == 0 {
			hot := int(since/hotPeriod) % len(e.rates)
			e.rates[hot] = e.cfg.Rate * hotShare
			if hot > 0 {
				e.rates[hot-1] = e.cfg.Rate / float64(len(e.rates))
			}
		}
	case FaultStoreOutage:
		if since == outageTime/3 {
			e.downUntil[0] = e.now + restartTime
		}
	}
}

func (e *experiment) isDown(server int) bool {
	return server < 0 || e.now < e.downUntil[server]
}

// noticedDown reports whether the loss of a server has been noticed.
func (e *experiment) noticedDown(server int) bool {
	return e.isDown(server) && !e.startsDown(server)
}

// startsDown reports whether a server went down less than a probe ago.
func (e *experiment) startsDown(server int) bool {
	began := e.downUntil[server] - restartTime
	if e.downUntil[server] > e.cfg.Duration {
		began = faultAt
	}
	return e.now-began < refusedAfter
}

// storeDown reports whether the store refuses writes.
func (e *experiment) storeDown() bool {
	_, outage := e.cfg.Fault.(FaultStoreOutage)
	return outage && e.now >= faultAt && e.now < faultAt+outageTime
}

// sample adds the present state to the measures, once the first assignment is
// over.
func (e *experiment) sample(p placement) {
	loads := make([]float64, len(e.servers))
	dark := make([]bool, len(e.keys))
	for i, key := range e.keys {
		owner := e.ownerOf(p, key)
		if owner >= 0 {
			loads[owner] += e.rates[i]
			if e.owners[i] >= 0 && e.owners[i] != owner {
				e.moved++
			}
			e.owners[i] = owner
		}
		dark[i] = e.isDown(owner) || e.moving(p, key)
	}
	if e.now < faultAt {
		e.moved = 0
		return
	}
	for key, isDark := range dark {
		if !isDark {
			e.down[key] = 0
			continue
		}
		e.down[key] += experimentTick
		e.result.Unavailable += 1000 * experimentTick.Seconds() / float64(len(e.keys))
		e.result.Longest = max(e.result.Longest, e.down[key].Seconds())
	}
	live := 0
	total := 0.0
	for i, load := range loads {
		total += load
		if !e.isDown(i) {
			live++
		}
	}
	e.samples++
	e.result.Imbalance += slices.Max(loads) / (total / float64(max(1, live)))
}
