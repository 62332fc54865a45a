package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one kind of trouble. The set is closed.
type fault interface{ fault() }

type (
	// hostKilled ends a host by SIGKILL; it starts again after the fault.
	hostKilled struct{}
	// hostStopped ends a host by SIGTERM; it starts again once it has ended.
	hostStopped struct{}
	// hostPaused stops a host's processor for the time of the fault.
	hostPaused struct{}
	// hostReloads sends SIGHUP.
	hostReloads struct{}
	// storePath harms the connections of one host to the store.
	storePath struct{ harm harm }
	// storeOut makes the store refuse all calls.
	storeOut struct{}
	// storeLosesAnswers makes half of the writes take effect without an answer.
	storeLosesAnswers struct{}
	// storeForgets drops the store's history.
	storeForgets struct{}
	// serverKilled ends a server. Its entry goes 2.6 s later, and another server
	// takes its place.
	serverKilled struct{}
	// serverReborn ends a server, which starts again under its id at once.
	serverReborn struct{}
	// serverLeaves drains a server, which ends later; another takes its place.
	serverLeaves struct{}
	// serverPath harms the connections to one server.
	serverPath struct{ harm harm }
	// serverMute makes a server run requests and close their connections.
	serverMute struct{}
)

func (hostKilled) fault()        {}
func (hostStopped) fault()       {}
func (hostPaused) fault()        {}
func (hostReloads) fault()       {}
func (storePath) fault()         {}
func (storeOut) fault()          {}
func (storeLosesAnswers) fault() {}
func (storeForgets) fault()      {}
func (serverKilled) fault()      {}
func (serverReborn) fault()      {}
func (serverLeaves) fault()      {}
func (serverPath) fault()        {}
func (serverMute) fault()        {}

// harm is what a proxy does to connections.
type harm string

const (
	harmSlow    harm = "slow"
	harmReset   harm = "reset"
	harmSilent  harm = "silent"
	harmOneWay  harm = "silent one way"
	harmRefused harm = "refused"
)

var kinds = []fault{
	hostKilled{},
	hostStopped{},
	hostPaused{},
	hostReloads{},
	storePath{harmSlow},
	storePath{harmReset},
	storePath{harmSilent},
	storePath{harmOneWay},
	storePath{harmRefused},
	storeOut{},
	storeLosesAnswers{},
	storeForgets{},
	serverKilled{},
	serverReborn{},
	serverLeaves{},
	serverMute{},
	serverPath{harmSlow},
	serverPath{harmReset},
	serverPath{harmSilent},
	serverPath{harmOneWay},
}

// step is one fault of a schedule.
type step struct {
	at    time.Duration
	lasts time.Duration
	fault fault
	// target picks the host or the server, by its remainder.
	target int
}

func (s step) String() string {
	return fmt.Sprintf("%T%v target %d for %v", s.fault, s.fault, s.target, s.lasts)
}

const (
	// meanGap is the time between two faults: with their length, two or three
	// overlap.
	meanGap   = 900 * time.Millisecond
	shortest  = 300 * time.Millisecond
	longest   = 6 * time.Second
	maxTarget = 1000
)

// newSchedule draws the faults of a run. Some come in series against one target.
func newSchedule(seed uint64, lasts time.Duration, hosts int) []step {
	rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
	var steps []step
	for at := time.Duration(0); at < lasts; at += time.Duration(rng.Int64N(int64(2 * meanGap))) {
		s := step{
			at: at, lasts: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
			fault: kinds[rng.IntN(len(kinds))], target: rng.IntN(maxTarget),
		}
		steps = append(steps, s)
		for rng.IntN(5) == 0 {
			s.at += time.Duration(rng.Int64N(int64(time.Second)))
			s.fault = kinds[rng.IntN(len(kinds))]
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}
