package mooring_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// settleTime is enough for every fault to pass: the lease, a hold, and late
// orders.
const settleTime = 20 * time.Second

// expectSound asserts that no promise was broken and every key has its owner.
func expectSound(w *world) {
	GinkgoHelper()
	Expect(w.broken).To(BeEmpty())
	Expect(w.unheld()).To(BeEmpty())
}

// disturb makes moves of every kind: a drained server, a lost one, and load.
func disturb(w *world) {
	w.run(2 * time.Second)
	w.servers["s1"].draining = true
	w.sightingsChanged()
	w.run(time.Second)
	hot := map[mooring.Key]int{}
	for k := 30000; k < 30200; k++ {
		hot[mooring.Key(k)] = 10
	}
	w.step(w.term, mooring.LoadReported{Requests: hot, Interval: time.Second})
	w.run(time.Second)
	lost := w.servers["s2"]
	lost.up = false
	w.at(2600*time.Millisecond, func() { lost.listed = false; w.sightingsChanged() })
	w.run(5 * time.Second)
}

var _ = Describe("Keeper", func() {
	It("assigns every key once the servers have appeared", func() {
		w := newWorld(5)
		w.run(2 * time.Second)
		expectSound(w)
	})

	It("waits for servers that appear one after the other", func() {
		w := newWorld(1)
		for i := range 5 {
			w.run(300 * time.Millisecond)
			w.addServer(fairway.ServerID(fmt.Sprintf("late%d", i)), fmt.Sprintf("10.0.1.%d:80", i))
			w.sightingsChanged()
		}
		w.run(time.Second)
		expectSound(w)
		Expect(w.recorded.Assignments).To(HaveLen(6))
	})

	It("moves the keys of a draining server within a second", func() {
		w := newWorld(5)
		w.run(2 * time.Second)
		w.servers["s1"].draining = true
		w.sightingsChanged()
		w.run(time.Second)
		expectSound(w)
		for _, r := range w.recorded.Assignments {
			Expect(r.Owner.Server).NotTo(Equal(fairway.ServerID("s1")))
		}
	})

	It("serves the keys of a lost server again after its hold", func() {
		w := newWorld(5)
		w.run(2 * time.Second)
		w.servers["s1"].up = false
		w.run(timing.Hold + timing.RenewInterval + time.Second)
		expectSound(w)
	})

	It("serves the keys of a restarted server again at once", func() {
		w := newWorld(5)
		w.run(2 * time.Second)
		w.strike(w.servers["s1"], faultServerBack)
		w.run(time.Second)
		expectSound(w)
	})

	It("keeps every key held while nothing can be written", func() {
		w := newWorld(5)
		w.run(2 * time.Second)
		w.step(w.term, mooring.WritesAllowed{Allowed: false})
		before, written := w.calls, w.revision
		w.servers["s1"].draining = true
		w.sightingsChanged()
		w.servers["s1"].draining = false
		w.sightingsChanged()
		for range 8 {
			w.run(time.Second)
			expectSound(w)
		}
		Expect(w.calls).To(Equal(before), "calls to the store")
		w.step(w.term, mooring.WritesAllowed{Allowed: true})
		w.servers["s1"].draining = true
		w.sightingsChanged()
		w.run(time.Second)
		Expect(w.revision).To(BeNumerically(">", written))
		expectSound(w)
	})

	It("waits for the grants of a predecessor that cannot be asked", func() {
		w := newWorld(4)
		w.run(2 * time.Second)
		w.partition(reach - time.Second)
		w.run(reach)
		Expect(w.broken).To(BeEmpty())
		w.run(settleTime)
		expectSound(w)
	})

	It("waits for the hold of a grant without an answer", func() {
		w := newWorld(4)
		w.run(2 * time.Second)
		s := w.servers["s1"]
		s.mute = true
		for before := w.revision; w.revision == before; {
			w.run(step)
		}
		s.cutUntil = w.now.Add(time.Minute)
		w.at(time.Second, func() { s.listed = false; w.sightingsChanged() })
		w.run(settleTime)
		expectSound(w)
	})

	It("keeps a server that answers requests though its orders get no answer", func() {
		w := newWorld(4)
		w.run(2 * time.Second)
		before := w.revision
		for range 16 {
			w.servers["s1"].mute = !w.servers["s1"].mute
			for range 2 {
				w.step(w.term, mooring.LoadReported{
					Interval: 500 * time.Millisecond, Answered: map[fairway.ServerID]bool{"s0": true, "s1": true, "s2": true, "s3": true},
				})
				w.run(500 * time.Millisecond)
			}
		}
		Expect(w.revision).To(Equal(before))
		expectSound(w)
	})

	It("replaces a silent server that nobody hears of", func() {
		w := newWorld(4)
		w.run(2 * time.Second)
		w.servers["s1"].cutUntil = w.now.Add(time.Minute)
		for range 10 {
			w.step(w.term, mooring.LoadReported{
				Interval: 500 * time.Millisecond, Answered: map[fairway.ServerID]bool{"s0": true, "s2": true, "s3": true},
			})
			w.run(500 * time.Millisecond)
		}
		w.run(timing.RenewInterval)
		for _, r := range w.recorded.Assignments {
			Expect(r.Owner.Server).NotTo(Equal(fairway.ServerID("s1")))
		}
		expectSound(w)
	})

	It("sends at most three orders to a server at a time", func() {
		w := newWorld(4)
		disturb(w)
		w.run(settleTime)
		Expect(w.mostInFlight).To(BeNumerically("<=", 3))
	})

	It("does not replace a server because an order could not be sent", func() {
		w := newWorld(3)
		w.run(2 * time.Second)
		before := w.revision
		for range 10 {
			w.step(w.term, mooring.OrderCompleted{
				Order:  mooring.Order{To: w.servers["s1"].holder, Release: true},
				Result: mooring.ResultNotTried,
			})
			w.run(200 * time.Millisecond)
		}
		Expect(w.revision).To(Equal(before))
		expectSound(w)
	})

	It("keeps the number of rows bounded while the load wanders", func() {
		w := newWorld(8)
		w.run(2 * time.Second)
		for i := range 60 {
			hot := map[mooring.Key]int{}
			for k := range 200 {
				hot[mooring.Key((i/3*9973+k*17)%65536)] += 5
			}
			w.step(w.term, mooring.LoadReported{Requests: hot, Interval: time.Second})
			w.run(time.Second)
		}
		Expect(len(w.recorded.Assignments)).To(BeNumerically("<=", 8*6))
		expectSound(w)
	})
})

var _ = Describe("Ownership under faults", func() {
	undisturbed := newWorld(5)
	disturb(undisturbed)
	total := undisturbed.interactions

	for _, f := range faults {
		It("holds when at any interaction: "+string(f), func() {
			for n := range total {
				w := newWorld(5)
				w.faultAt[n] = f
				disturb(w)
				w.run(settleTime)
				Expect(w.broken).To(BeEmpty(), "fault at interaction %d of %d", n, total)
				Expect(w.unheld()).To(BeEmpty(), "fault at interaction %d of %d", n, total)
			}
		})
	}

	It("holds under several faults at random", func() {
		for seed := range uint64(150) {
			rng := rand.New(rand.NewPCG(20261204, seed))
			w := newWorld(9 + rng.IntN(4))
			placed := ""
			for range 2 + rng.IntN(4) {
				n, f := rng.IntN(total), faults[rng.IntN(len(faults))]
				w.faultAt[n] = f
				placed += fmt.Sprintf(" %d:%s", n, f)
			}
			disturb(w)
			w.run(settleTime)
			Expect(w.broken).To(BeEmpty(), "seed %d:%s", seed, placed)
			Expect(w.unheld()).To(BeEmpty(), "seed %d:%s", seed, placed)
		}
	})
})

// hotLoad is the load of a large service: an even part on all keys and 200 hot
// neighbours that take the rest.
func hotLoad(perS int, hotPart float64, first int) map[mooring.Key]int {
	const hotKeys, spacing = 200, 61
	load := map[mooring.Key]int{}
	hot := int(hotPart * float64(perS))
	for i := range hot {
		load[mooring.Key(first+i%hotKeys)]++
	}
	for i := range perS - hot {
		load[mooring.Key(i*spacing%65536)]++
	}
	return load
}

// busiest returns the load of the busiest server over the mean.
func busiest(w *world, load map[mooring.Key]int, servers int) float64 {
	sums := map[fairway.ServerID]int{}
	total := 0
	for key, n := range load {
		sums[w.recorded.Find(key).Owner.Server] += n
		total += n
	}
	most := 0
	for _, n := range sums {
		most = max(most, n)
	}
	return float64(most) * float64(servers) / float64(total)
}

var _ = Describe("Hot neighbours", func() {
	// The servers of a large site can bear twice the mean each.
	const bearable = 2.0
	for _, servers := range []int{21, 168} {
		It(fmt.Sprintf("are spread over %d servers within 3 s", servers), func() {
			w := newWorld(servers)
			w.run(2 * time.Second)
			perS := 8 * servers
			for _, first := range []int{20000, 50000} {
				load := hotLoad(perS, 0.44, first)
				for range 6 {
					w.step(w.term, mooring.LoadReported{Requests: load, Interval: time.Second})
					w.run(500 * time.Millisecond)
				}
				Expect(busiest(w, load, servers)).To(BeNumerically("<=", bearable), "hot from key %d on", first)
			}
			w.run(time.Second)
			expectSound(w)
		})
	}

	It("are spread while a range waits for a server that cannot be reached", func() {
		w := newWorld(21)
		w.run(2 * time.Second)
		w.servers["s1"].cutUntil = w.now.Add(time.Minute)
		w.at(time.Second, func() { w.servers["s1"].listed = false; w.sightingsChanged() })
		w.run(1500 * time.Millisecond)
		load := hotLoad(160, 0.44, 50000)
		for range 6 {
			w.step(w.term, mooring.LoadReported{Requests: load, Interval: time.Second})
			w.run(500 * time.Millisecond)
		}
		Expect(busiest(w, load, 21)).To(BeNumerically("<=", bearable))
	})
})
