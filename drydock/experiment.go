package drydock

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hornbeamwinch.example/berth"
)

// Fault is the fault injected in one experiment. The set of faults is
// closed.
type Fault interface {
	fault()
}

// FaultServerLost stops one server permanently.
type FaultServerLost struct{}

// FaultRollingRestart restarts the servers one after the other.
type FaultRollingRestart struct{}

// FaultHotKeyMoves gives one key a large fraction of the load, and later moves
// this fraction on to other keys.
type FaultHotKeyMoves struct{}

// FaultStoreOutage makes the store unavailable. A server restarts during the
// outage.
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

// NamedFault is a fault and its name in reports.
type NamedFault struct {
	Name  string
	Fault Fault
}

// ExperimentConfig holds the parameters of one experiment: a deployment, its load
// and a fault.
type ExperimentConfig struct {
	Servers int
	Shards  uint32
	Keys    int
	// Rate is the total load of the service in requests per second.
	Rate   float64
	Policy berth.Policy
	Fault  Fault
	Seed   uint64
	// Duration is the simulated time that the experiment covers.
	Duration time.Duration
}

// Measures are the results of one experiment: imbalance, churn and
// unavailability.
type Measures struct {
	// Imbalance is the load of the most loaded server divided by the mean load
	// of the servers that are up, averaged over time.
	Imbalance float64 `json:"imbalance"`
	// Churn is the number of changes of a key's owner, for each thousand keys.
	Churn float64 `json:"churn_permille"`
	// Unavailable is the time for which keys had no responding owner, summed
	// over the keys, in seconds for each thousand keys.
	Unavailable float64 `json:"unavailable_key_s"`
	// Longest is the longest time without a responding owner of any key, in
	// seconds.
	Longest float64 `json:"longest_s"`
}

// placement assigns keys to servers in an experiment. It is one of
// [placerPlacement], [hashPlacement] and [staticPlacement].
type placement interface {
	placement()
}

// Names of the compared placements.
const (
	PlacementHornbeamwinch = "hornbeamwinch"
	PlacementHash          = "consistent hashing, eager"
	PlacementStatic        = "static"
)

// Placements lists the compared placements.
func Placements() []string {
	return []string{PlacementHornbeamwinch, PlacementHash, PlacementStatic}
}

const (
	experimentTick = 50 * time.Millisecond
	// detectionDelay is the time until a server's refused connections are
	// detected: one probe interval.
	detectionDelay  = 150 * time.Millisecond
	restartDuration = 1 * time.Second
	// restartSpacing is the time between the starts of two restarts.
	restartSpacing = 5 * time.Second
	faultStart     = 20 * time.Second
	// hotShare is the fraction of the load that the hot key receives.
	hotShare = 0.15
	// hotPeriod is the time after which another key becomes the hot key.
	hotPeriod      = 60 * time.Second
	outageDuration = 30 * time.Second
	// zipfExponent is the exponent of the Zipf distribution of the load over the
	// keys.
	zipfExponent = 0.6
	// virtualNodes is the number of points of each server on the hash ring.
	virtualNodes = 100
)

// experiment is the state of one experiment.
type experiment struct {
	cfg     ExperimentConfig
	now     time.Duration
	servers []berth.ServerID
	// downUntil holds, by server, the time at which it is up again, or zero if
	// it was never down.
	downUntil []time.Duration
	// rates holds the load of each key in requests per second.
	rates []float64
	keys  []string
	// owners holds the last known owner of each key, or -1.
	owners []int
	// unavailableFor holds, by key, how long it has had no responding owner.
	unavailableFor []time.Duration
	result         Measures
	samples        int
	moved          int
}

// RunExperiment measures the placement of the given name, one of [Placements].
// The result is deterministic.
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
		cfg:            cfg,
		downUntil:      make([]time.Duration, cfg.Servers),
		rates:          make([]float64, cfg.Keys),
		owners:         make([]int, cfg.Keys),
		unavailableFor: make([]time.Duration, cfg.Keys),
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

// injectFault stops servers and changes the load of keys as the fault requires.
func (e *experiment) injectFault() {
	if e.now < faultStart {
		return
	}
	since := e.now - faultStart
	switch e.cfg.Fault.(type) {
	case FaultServerLost:
		if since == 0 {
			e.downUntil[0] = e.cfg.Duration * 2
		}
	case FaultRollingRestart:
		if index := int(since / restartSpacing); since%restartSpacing == 0 && index < len(e.servers) {
			e.downUntil[index] = e.now + restartDuration
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
		if since == outageDuration/3 {
			e.downUntil[0] = e.now + restartDuration
		}
	}
}

func (e *experiment) isDown(server int) bool {
	return server < 0 || e.now < e.downUntil[server]
}

// detectedDown reports whether a server is down and this has been detected.
func (e *experiment) detectedDown(server int) bool {
	return e.isDown(server) && !e.undetectedDown(server)
}

// undetectedDown reports whether less than detectionDelay has passed since a
// server went down.
func (e *experiment) undetectedDown(server int) bool {
	began := e.downUntil[server] - restartDuration
	if e.downUntil[server] > e.cfg.Duration {
		began = faultStart
	}
	return e.now-began < detectionDelay
}

// storeDown reports whether the store is unavailable.
func (e *experiment) storeDown() bool {
	_, outage := e.cfg.Fault.(FaultStoreOutage)
	return outage && e.now >= faultStart && e.now < faultStart+outageDuration
}

// sample adds the current state to the measures. Until faultStart, while the
// initial assignment takes place, it only tracks the owners.
func (e *experiment) sample(p placement) {
	loads := make([]float64, len(e.servers))
	unavailable := make([]bool, len(e.keys))
	for i, key := range e.keys {
		owner := e.ownerOf(p, key)
		if owner >= 0 {
			loads[owner] += e.rates[i]
			if e.owners[i] >= 0 && e.owners[i] != owner {
				e.moved++
			}
			e.owners[i] = owner
		}
		unavailable[i] = e.isDown(owner) || e.isMoving(p, key)
	}
	if e.now < faultStart {
		e.moved = 0
		return
	}
	for key, isUnavailable := range unavailable {
		if !isUnavailable {
			e.unavailableFor[key] = 0
			continue
		}
		e.unavailableFor[key] += experimentTick
		e.result.Unavailable += 1000 * experimentTick.Seconds() / float64(len(e.keys))
		e.result.Longest = max(e.result.Longest, e.unavailableFor[key].Seconds())
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
