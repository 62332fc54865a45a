package mooring_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A grant without an answer", func() {
	It("does not cost the owner its keys while writes are lost", func() {
		sim := newSimulation(5)
		sim.run(2 * time.Second)
		sim.losesWrites = true
		owner := sim.servers["s1"]
		owner.dropsResponses = true
		sim.run(timing.RenewInterval + 100*time.Millisecond)
		owner.dropsResponses = false
		for began := sim.now; sim.now.Sub(began) < 2*timing.Hold; {
			sim.run(100 * time.Millisecond)
			for key, n := range sim.holderCounts() {
				Expect(n).To(Equal(1), "holders of key %d after %v", key, sim.now.Sub(began))
			}
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("costs no write", func() {
		sim := newSimulation(5)
		sim.run(2 * time.Second)
		written := sim.revision
		owner := sim.servers["s1"]
		owner.dropsResponses = true
		sim.run(timing.RenewInterval + 100*time.Millisecond)
		owner.dropsResponses = false
		sim.run(2 * timing.Hold)
		expectAllKeysHeld(sim)
		Expect(sim.revision).To(Equal(written))
	})

	It("is given again under a token that no later placer gives out", func() {
		sim := newSimulation(5)
		sim.run(2 * time.Second)
		sim.losesWrites = true
		owner := sim.servers["s1"]
		for range 3 {
			owner.dropsResponses = true
			sim.run(timing.RenewInterval + 100*time.Millisecond)
			owner.dropsResponses = false
			sim.run(time.Second)
		}
		sim.losesWrites = false
		sim.killPlacer()
		sim.servers["s1"].draining = true
		sim.run(recoveryTime)
		expectAllKeysHeld(sim)
	})
})
