package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault that a schedule may inject: one of the types below.
type fault interface{ fault() }

type (
	// hostKilled kills a host with SIGKILL; it is restarted after the duration of
	// the fault.
	hostKilled struct{}
	// hostStopped stops a host with SIGTERM; it is restarted once it has exited.
	hostStopped struct{}
	// hostPaused suspends a host with SIGSTOP for the duration of the fault.
	hostPaused struct{}
	// hostReloads makes a host reload its settings, with SIGHUP.
	hostReloads struct{}
	// hostsRoll stops several hosts one after the other and restarts each of them.
	hostsRoll struct{}
	// hostReloadsOften makes a host reload its settings again and again, for the
	// duration of the fault.
	hostReloadsOften struct{}
	// hostStopsReloading stops a host and restarts it once it has exited, and makes
	// it reload its settings again and again until it has started.
	hostStopsReloading struct{}
	// configChanges puts several configurations in force one after the other.
	configChanges struct{}
	// storePath impairs the connections of one host to the store.
	storePath struct{ impairment impairment }
	// storeOut makes the store reject all calls.
	storeOut struct{}
	// storeLosesAnswers makes the store apply half of the writes without
	// responding.
	storeLosesAnswers struct{}
	// storeForgets compacts the store's change history.
	storeForgets struct{}
	// storeRestored has the store come back from a copy that is some seconds old. The
	// operator and the servers write again what it has lost.
	storeRestored struct{}
	// serverKilled kills a server. Its registration is removed 2.6 s later, and
	// another server replaces it.
	serverKilled struct{}
	// serverReborn kills a server and restarts it at once under the same id and at the
	// same address. It registers up to maxRegisterDelay later.
	serverReborn struct{}
	// serverLeaves drains a server and stops it later; another server replaces it.
	serverLeaves struct{}
	// serverPath impairs the connections to one server.
	serverPath struct{ impairment impairment }
	// serverMute makes a server execute requests and close their connections
	// without responding.
	serverMute struct{}
	// serverCloses makes a server turn requests away, and name a time for which it wants
	// none.
	serverCloses struct{}
)

func (hostKilled) fault()         {}
func (hostStopped) fault()        {}
func (hostPaused) fault()         {}
func (hostReloads) fault()        {}
func (hostsRoll) fault()          {}
func (hostReloadsOften) fault()   {}
func (hostStopsReloading) fault() {}
func (configChanges) fault()      {}
func (storePath) fault()          {}
func (storeOut) fault()           {}
func (storeLosesAnswers) fault()  {}
func (storeForgets) fault()       {}
func (storeRestored) fault()      {}
func (serverKilled) fault()       {}
func (serverReborn) fault()       {}
func (serverLeaves) fault()       {}
func (serverPath) fault()         {}
func (serverMute) fault()         {}
func (serverCloses) fault()       {}

// impairment is what a proxy does to connections.
type impairment string

const (
	impairmentSlow    impairment = "slow"
	impairmentReset   impairment = "reset"
	impairmentSilent  impairment = "silent"
	impairmentOneWay  impairment = "silent one way"
	impairmentRefused impairment = "refused"
)

var faultKinds = []fault{
	hostKilled{},
	hostStopped{},
	hostPaused{},
	hostReloads{},
	storePath{impairmentSlow},
	storePath{impairmentReset},
	storePath{impairmentSilent},
	storePath{impairmentOneWay},
	storePath{impairmentRefused},
	storeOut{},
	storeLosesAnswers{},
	storeForgets{},
	serverKilled{},
	serverReborn{},
	serverLeaves{},
	serverMute{},
	serverPath{impairmentSlow},
	serverPath{impairmentReset},
	serverPath{impairmentSilent},
	serverPath{impairmentOneWay},
}

// noticeShare is one in how many seeds has servers that close, if the faults are not only
// planned ones, and servers that announce in their answers that they leave.
const noticeShare = 2

// givesNotice reports whether the servers of a seed give notices in their answers.
func givesNotice(seed uint64) bool {
	return seed%noticeShare == 0
}

// closures draws closures of servers, beside the other faults.
func closures(seed uint64, duration time.Duration) []step {
	rng := rand.New(rand.NewPCG(seed, noticeShare))
	var steps []step
	for at := time.Duration(0); at < duration; at += minDuration + time.Duration(rng.Int64N(int64(maxDuration))) {
		steps = append(steps, step{at: at, duration: maxClosed/4 + time.Duration(rng.Int64N(int64(maxClosed))), fault: serverCloses{}, target: rng.IntN(maxTarget)})
	}
	return steps
}

// plannedKinds are the faults of schedules of planned faults only.
var plannedKinds = []fault{
	hostStopped{},
	hostsRoll{},
	hostReloads{},
	hostReloadsOften{},
	hostStopsReloading{},
	configChanges{},
	serverLeaves{},
}

// restoreKinds are the faults of schedules in which the store comes back from older
// copies, several times and also during planned work.
var restoreKinds = slices.Concat(faultKinds, []fault{hostsRoll{}, configChanges{}, storeRestored{}, storeRestored{}, storeRestored{}})

// mix selects the kinds of faults of a schedule.
type mix string

const (
	mixAny      mix = "any"
	mixPlanned  mix = "planned"
	mixRestores mix = "restores"
)

// isPlanned reports whether a fault is planned work, in which no request may be
// lost.
func isPlanned(f fault) bool {
	return slices.Contains(plannedKinds, f)
}

// plannedShare is one in how many seeds has planned faults only.
const plannedShare = 3

// mixOf returns the mix of a seed, unless the command line says another one.
func mixOf(seed uint64) mix {
	if seed%plannedShare == 0 {
		return mixPlanned
	}
	return mixAny
}

// step is one fault of a schedule.
type step struct {
	at       time.Duration
	duration time.Duration
	fault    fault
	// target selects the host or the server: its remainder by their number is the
	// index.
	target int
}

func (s step) String() string {
	return fmt.Sprintf("%T%v target %d for %v", s.fault, s.fault, s.target, s.duration)
}

const (
	// meanGap is the mean time between the starts of two faults. With durations
	// from minDuration to maxDuration, two or three faults overlap.
	meanGap = 900 * time.Millisecond
	// plannedGap is that time in a schedule of planned faults only. A stop takes
	// longer than most other faults, and some hosts should serve meanwhile.
	plannedGap  = 1400 * time.Millisecond
	minDuration = 300 * time.Millisecond
	maxDuration = 6 * time.Second
	maxClosed   = 2 * time.Second
	maxTarget   = 1000
)

// newSchedule draws the faults of a run from the seed. Some are followed by further
// faults against the same target, planned ones more often.
func newSchedule(seed uint64, m mix, duration time.Duration, hosts int) []step {
	rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
	kinds, gap, series := faultKinds, meanGap, 5
	switch m {
	case mixPlanned:
		kinds, gap, series = plannedKinds, plannedGap, 3
	case mixRestores:
		kinds = restoreKinds
	default:
	}
	var steps []step
	for at := time.Duration(0); at < duration; at += time.Duration(rng.Int64N(int64(2 * gap))) {
		s := step{
			at: at, duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
			fault: kinds[rng.IntN(len(kinds))], target: rng.IntN(maxTarget),
		}
		steps = append(steps, s)
		for rng.IntN(series) == 0 {
			s.at += time.Duration(rng.Int64N(int64(time.Second)))
			s.fault = kinds[rng.IntN(len(kinds))]
			steps = append(steps, s)
		}
	}
	if givesNotice(seed) && m != mixPlanned {
		steps = append(steps, closures(seed, duration)...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}
