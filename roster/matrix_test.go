package roster_test

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hornbeamwinch.example/berth"
)

// scenario runs a shard through all its transitions: first grant, renewals, a
// planned move, replacement of a stopped owner, a change of the rules, and a
// change of the placer.
func scenario(sim *simulation) {
	sim.run(2500 * time.Millisecond)
	sim.leaving = "s1"
	sim.run(1 * time.Second)
	sim.stopServer(sim.server("s2"))
	sim.run(1 * time.Second)
	sim.addRules("route readings * to d1 # test: home\nroute readings zz* to d2 # test: away")
	sim.run(1 * time.Second)
	if holder := sim.host(sim.leaseHolder); holder != nil {
		holder.kill()
	}
	sim.run(1500 * time.Millisecond)
}

// recoverAll ends all faults, restarts what has stopped, and gives the system
// time to recover.
func recoverAll(sim *simulation) {
	sim.faults = nil
	for _, h := range sim.hosts {
		if h.stopped {
			h.start()
		}
	}
	for _, s := range sim.servers {
		if s.stopped {
			s.restart()
		}
	}
	sim.run(faultTime + 7*time.Second)
}

// checkRecovered returns an error if a violation occurred during the simulation
// or if, after [recoverAll], a shard is not served, the newest rules are not
// opened, or a host does not dispatch under the recorded table.
func checkRecovered(sim *simulation) error {
	if len(sim.violations) > 0 {
		return fmt.Errorf("%v", sim.violations)
	}
	for i, assignment := range sim.table.Shards(service).Shards {
		if !assignment.Placed() || sim.table.Server(assignment.Owner).State != berth.ServerLive {
			return fmt.Errorf("shard %d is not served: %+v", i, assignment)
		}
	}
	if int(sim.table.Rules.Opened) != len(sim.rules) {
		return fmt.Errorf("rules are opened up to revision %d, want %d", sim.table.Rules.Opened, len(sim.rules))
	}
	for _, h := range sim.hosts {
		view := h.gate.View()
		if !view.MayDispatch || view.Table.Version != sim.table.Version {
			return fmt.Errorf("%s does not dispatch under version %d", h.id, sim.table.Version)
		}
	}
	return nil
}

// runTrial runs the scenario with the given faults, keyed by the interaction at
// which they are injected, and checks the recovery.
func runTrial(checksGrants bool, faults map[int]faultKind) error {
	sim := newSimulation(checksGrants)
	sim.faults = faults
	scenario(sim)
	recoverAll(sim)
	if err := checkRecovered(sim); err != nil {
		return fmt.Errorf("faults %v: %w", faults, err)
	}
	return nil
}

// expectSafeAtEveryStep runs one trial for each interaction of the scenario,
// with fault injected there. The trials are independent and run in parallel.
func expectSafeAtEveryStep(checksGrants bool, fault faultKind) {
	GinkgoHelper()
	steps := countSteps(checksGrants)
	errs := make([]error, steps)
	var group sync.WaitGroup
	for worker := range runtime.NumCPU() {
		group.Go(func() {
			for step := worker; step < steps; step += runtime.NumCPU() {
				errs[step] = runTrial(checksGrants, map[int]faultKind{step + 1: fault})
			}
		})
	}
	group.Wait()
	Expect(errors.Join(errs...)).NotTo(HaveOccurred())
}

// countSteps returns the number of interactions of the scenario.
func countSteps(checksGrants bool) int {
	sim := newSimulation(checksGrants)
	scenario(sim)
	return sim.steps
}

var _ = Describe("Ownership", func() {
	for _, checksGrants := range []bool{true, false} {
		Context(fmt.Sprintf("with servers that check grants: %v", checksGrants), func() {
			It("is single and complete without faults", func() {
				Expect(runTrial(checksGrants, nil)).To(Succeed())
			})
			for fault := lostRequest; fault < faultKinds; fault++ {
				It(fmt.Sprintf("is single with %q at every step", fault), func() {
					expectSafeAtEveryStep(checksGrants, fault)
				})
			}
			It("stays with a majority that holds while the placer alone reaches the store", func() {
				sim := newSimulation(checksGrants)
				sim.run(2500 * time.Millisecond)
				until := sim.now.Add(5 * time.Second)
				for _, h := range sim.hosts {
					if h.id == sim.leaseHolder {
						h.peersCutUntil = until
						continue
					}
					h.storeCutUntil = until
				}
				sim.leaving = "s1"
				sim.run(5 * time.Second)
				Expect(sim.violations).To(BeEmpty())
				served := 0
				for _, h := range sim.hosts {
					served += len(h.inFlight)
				}
				Expect(served).To(BeNumerically(">", 0))
				recoverAll(sim)
				Expect(checkRecovered(sim)).To(Succeed())
			})
			It("is taken over by a placer whose host is not in the table yet", func() {
				sim := newSimulation(checksGrants)
				sim.run(2500 * time.Millisecond)
				alone := sim.host(sim.leaseHolder)
				for _, h := range sim.hosts {
					if h != alone {
						h.kill()
					}
				}
				sim.run(2 * time.Second)
				Expect(sim.table.Hosts).To(HaveLen(1))
				alone.pausedUntil = sim.now.Add(2 * placerLease)
				for _, h := range sim.hosts {
					if h != alone {
						h.start()
						break
					}
				}
				sim.run(2 * placerLease)
				Expect(sim.leaseHolder).NotTo(Equal(alone.id))
				Expect(sim.table.Host(sim.leaseHolder)).To(BeNil())
				sim.run(faultTime)
				Expect(sim.table.Host(sim.leaseHolder)).NotTo(BeNil())
				recoverAll(sim)
				Expect(checkRecovered(sim)).To(Succeed())
			})
			It("is single with pairs of faults", func() {
				steps := countSteps(checksGrants)
				rapid.Check(GinkgoTB(), func(t *rapid.T) {
					faults := make(map[int]faultKind)
					for range rapid.IntRange(2, 4).Draw(t, "faults") {
						step := rapid.IntRange(1, steps).Draw(t, "step")
						faults[step] = faultKind(rapid.IntRange(1, int(faultKinds)-1).Draw(t, "kind"))
					}
					if err := runTrial(checksGrants, faults); err != nil {
						t.Fatal(err)
					}
				})
			})
		})
	}
})
