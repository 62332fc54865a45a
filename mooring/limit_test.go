package mooring_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

var _ = Describe("Servers that name a limit", func() {
	const (
		perSecond = 400
		hotRate   = 36
		hotKey    = mooring.Key(30000)
		limit     = 7.0
	)
	// report reports half a second of requests, of which one key has many.
	report := func(sim *simulation, rng *rand.Rand, limits map[fairway.ServerID]float64) {
		load := map[mooring.Key]int{hotKey: hotRate / 2}
		for range (perSecond - hotRate) / 2 {
			load[mooring.Key(rng.IntN(65536))]++
		}
		sim.step(sim.term, mooring.LoadReported{Requests: load, Interval: 500 * time.Millisecond, Limits: limits})
		sim.run(500 * time.Millisecond)
	}
	loadOf := func(sim *simulation, id fairway.ServerID) float64 {
		sum := 0.0
		for _, r := range sim.recorded.Assignments {
			if r.Owner.Server != id {
				continue
			}
			sum += float64(perSecond-hotRate) * float64(r.Size()) / 65536
			if r.Contains(hotKey) {
				sum += hotRate
			}
		}
		return sum
	}

	It("lose keys beyond it within 5 s, the hottest as well, and no more to and fro", func() {
		sim := newSimulation(21)
		rng := rand.New(rand.NewPCG(26, 1))
		sim.run(2 * time.Second)
		for range 16 {
			report(sim, rng, nil)
		}
		hot := sim.recorded.Find(hotKey).Owner.Server
		limits := map[fairway.ServerID]float64{hot: limit}
		for id := range sim.servers {
			if len(limits) < 4 {
				limits[id] = limit
			}
		}
		for range 10 {
			report(sim, rng, limits)
		}
		Expect(sim.recorded.Find(hotKey).Owner.Server).NotTo(Equal(hot))
		for id := range limits {
			Expect(loadOf(sim, id)).To(BeNumerically("<=", 1.25*limit), "%s", id)
		}
		for range 10 {
			report(sim, rng, limits)
		}
		settled := sim.revision
		for range 20 {
			report(sim, rng, limits)
		}
		Expect(sim.revision-settled).To(BeNumerically("<=", 20), "writes in 10 s")
		expectAllKeysHeld(sim)
	})

	It("move few keys if all of them do, since none has room", func() {
		sim := newSimulation(21)
		rng := rand.New(rand.NewPCG(26, 3))
		busy := rand.NewZipf(rng, 1.1, 10, 4000)
		sim.run(2 * time.Second)
		limits := make(map[fairway.ServerID]float64)
		zipf := func(l map[fairway.ServerID]float64) {
			load := make(map[mooring.Key]int)
			for range perSecond / 2 {
				load[mooring.Key(16*busy.Uint64())]++
			}
			sim.step(sim.term, mooring.LoadReported{Requests: load, Interval: 500 * time.Millisecond, Limits: l})
			sim.run(500 * time.Millisecond)
		}
		for range 20 {
			zipf(nil)
		}
		for id := range sim.servers {
			limits[id] = limit
		}
		moves := 0
		before := ownersOf(sim)
		for range 60 {
			zipf(limits)
			after := ownersOf(sim)
			for key, owner := range after {
				if before[key] != owner {
					moves++
				}
			}
			before = after
		}
		Expect(moves).To(BeNumerically("<=", len(sampledKeys)), "sampled keys that moved in 30 s")
		Expect(sim.violations).To(BeEmpty())
	})

	It("keep some keys at a limit of 0, or nobody learns that it has gone", func() {
		sim := newSimulation(5)
		rng := rand.New(rand.NewPCG(26, 2))
		sim.run(2 * time.Second)
		for range 20 {
			report(sim, rng, map[fairway.ServerID]float64{"s1": 0})
		}
		Expect(loadOf(sim, "s1")).To(And(BeNumerically(">", 0), BeNumerically("<=", perSecond/5/20.0)), "a twentieth of an even part")
	})
})
