package mooring_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// speedFleet has servers of different speeds that own skewed keys, with 6 slots each.
type speedFleet struct {
	sim    *simulation
	rng    *rand.Rand
	speeds map[fairway.ServerID]float64
	// told is set if the servers tell their load, by which hosts leave out the wait there.
	told bool
	// slots has when each slot of a server is free, in seconds.
	slots   map[fairway.ServerID][]float64
	present map[fairway.ServerID][]sentRequest
	// sums and counts are those of the responses since the last report.
	sums     map[fairway.ServerID]float64
	counts   map[fairway.ServerID]int
	slowness map[fairway.ServerID]float64
	mean     float64
	at       float64
	// answered, late and rejected count the requests, and work sums their work by server.
	answered, late, rejected int
	work                     map[fairway.ServerID]float64
}

const (
	// meanWork is the mean time of a request at a server of speed 1, and speedObjective its
	// latency objective, in seconds.
	meanWork       = 0.3
	speedObjective = 1.0
	fleetSlots     = 6
	fleetQueue     = 24
	// slownessHalfLife is the one by which the placer smooths the slowness of servers.
	slownessHalfLife = 20
)

func newSpeedFleet(servers int, speeds []float64, told bool) *speedFleet {
	f := &speedFleet{
		sim: newSimulation(servers), rng: rand.New(rand.NewPCG(20261206, uint64(servers))), speeds: make(map[fairway.ServerID]float64), told: told,
		slots: make(map[fairway.ServerID][]float64), present: make(map[fairway.ServerID][]sentRequest), slowness: make(map[fairway.ServerID]float64), mean: meanWork,
		work: make(map[fairway.ServerID]float64),
	}
	for i := range servers {
		id := fairway.ServerID(fmt.Sprintf("s%d", i))
		f.speeds[id], f.slots[id] = speeds[i%len(speeds)], make([]float64, fleetSlots)
	}
	f.sim.run(2 * time.Second)
	return f
}

// drawKey draws a key: a third of the requests are for an eightieth of the keys.
func (f *speedFleet) drawKey() mooring.Key {
	if f.rng.IntN(3) == 0 {
		return mooring.Key(30000 + f.rng.IntN(800))
	}
	return mooring.Key(f.rng.IntN(int(mooring.MaxKey) + 1))
}

// play sends requests at a part of the capacity for some seconds, and reports the load each
// half of a second.
func (f *speedFleet) play(seconds int, fraction float64) {
	const interval = 0.5
	rate := 0.0
	for _, speed := range f.speeds {
		rate += fraction * fleetSlots * speed / meanWork
	}
	for range 2 * seconds {
		requests := make(map[mooring.Key]int)
		f.sums, f.counts = make(map[fairway.ServerID]float64), make(map[fairway.ServerID]int)
		for at := f.at; at < f.at+interval; at += f.rng.ExpFloat64() / rate {
			key := f.drawKey()
			requests[key]++
			f.send(at, f.sim.recorded.Find(key).Owner.Server)
		}
		f.at += interval
		reported := make(map[fairway.ServerID]float64)
		for id := range f.speeds {
			if n := f.counts[id]; n > 0 {
				fresh, weight := f.sums[id]/float64(n), float64(n)/float64(n+slownessHalfLife)
				if f.slowness[id] == 0 {
					weight = 1
				}
				f.slowness[id] += weight * (fresh - f.slowness[id])
			}
			if f.slowness[id] > 0 {
				reported[id] = 1 / f.slowness[id]
			}
		}
		f.sim.step(f.sim.term, mooring.LoadReported{Requests: requests, Interval: 500 * time.Millisecond, Speeds: reported})
		f.sim.run(500 * time.Millisecond)
	}
}

// sentRequest is a request at a server.
type sentRequest struct {
	at, start, end float64
}

// send sends a request to a server.
func (f *speedFleet) send(at float64, id fairway.ServerID) {
	const sigma = 0.4
	if id == "" {
		return
	}
	f.recordEnded(at, id)
	work := meanWork * math.Exp(sigma*f.rng.NormFloat64()-sigma*sigma/2)
	f.work[id] += work
	first := 0
	slots := f.slots[id]
	for i := range slots {
		if slots[i] < slots[first] {
			first = i
		}
	}
	if len(f.present[id]) >= fleetSlots+fleetQueue {
		f.rejected++
		return
	}
	r := sentRequest{at: at, start: max(slots[first], at)}
	r.end = r.start + work/f.speeds[id]
	slots[first] = r.end
	f.present[id] = append(f.present[id], r)
	f.answered++
	if r.end-r.at > speedObjective {
		f.late++
	}
}

// recordEnded measures the requests that a server has answered by an instant.
func (f *speedFleet) recordEnded(now float64, id fairway.ServerID) {
	f.present[id] = slices.DeleteFunc(f.present[id], func(r sentRequest) bool {
		if r.end > now {
			return false
		}
		took := r.end - r.at
		if f.told {
			waiting := 0
			for _, other := range f.present[id] {
				if other.at < r.end && other.start > r.end {
					waiting++
				}
			}
			// As sluice.ServerLoad.WithoutWait computes it.
			took /= 1 + float64(waiting)/fleetSlots
		}
		f.sums[id] += took / f.mean
		f.counts[id]++
		f.mean += 0.05 * (took - f.mean)
		return true
	})
}

// settled plays a load until the division has settled, and returns the part of the keys
// that moves in a minute after that, and the utilization of the servers in it, lowest first.
func (f *speedFleet) settled(fraction float64) (moved float64, utilizations []float64) {
	f.play(40, fraction)
	f.answered, f.late, f.rejected = 0, 0, 0
	clear(f.work)
	const seconds = 40
	n, keys := 0, 0
	for range seconds {
		before := *f.sim.recorded
		f.play(1, fraction)
		keys = 0
		for key := 0; key <= int(mooring.MaxKey); key += 16 {
			keys++
			if before.Find(mooring.Key(key)).Owner != f.sim.recorded.Find(mooring.Key(key)).Owner {
				n++
			}
		}
	}
	for id, speed := range f.speeds {
		utilizations = append(utilizations, f.work[id]/speed/fleetSlots/seconds)
	}
	slices.Sort(utilizations)
	return float64(n) / float64(keys) * 60 / seconds, utilizations
}

// lateShare returns the part of the answers that came after the objective.
func (f *speedFleet) lateShare() float64 {
	return float64(f.late) / float64(f.answered)
}

// Slowness that contains the wait at the servers has a busy server look slow and an idle one
// fast, so that keys move to and fro.
var _ = DescribeTable("Keys of servers whose load is told are divided by speed and hardly move",
	func(servers int, speeds ...float64) {
		const fraction = 0.85
		today, told := newSpeedFleet(servers, speeds, false), newSpeedFleet(servers, speeds, true)
		movedToday, _ := today.settled(fraction)
		moved, utilizations := told.settled(fraction)
		AddReportEntry(fmt.Sprintf("%d servers %v: moved in a minute %.2f, before %.2f; utilization %.2f to %.2f; late %.3f, before %.3f",
			servers, speeds, moved, movedToday, utilizations[0], utilizations[servers-1], told.lateShare(), today.lateShare()))
		Expect(moved).To(BeNumerically("<", movedToday/2))
		Expect(utilizations[0]).To(BeNumerically(">", 0.65))
		Expect(utilizations[servers*9/10]).To(BeNumerically("<", 1))
		Expect(told.lateShare()).To(BeNumerically("<", today.lateShare()+0.04))
	},
	Entry("at 6 servers", 6, 0.7, 0.7, 1.7),
	Entry("at 6 servers of three speeds", 6, 0.6, 1.0, 1.4),
	Entry("at 12 servers", 12, 0.7, 0.7, 1.7),
	Entry("at 12 servers of three speeds", 12, 0.6, 1.0, 1.4),
	Entry("at 84 servers", 84, 0.7, 0.7, 1.7),
)
