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

// scenario goes through every step of a shard's life: first grant, renewals, a
// planned move, a loss with replacement, a change of the placer, and a change
// of the rules.
func scenario(w *world) {
	w.run(2500 * time.Millisecond)
	w.leaving = "s1"
	w.run(1 * time.Second)
	w.die(w.server("s2"))
	w.run(1 * time.Second)
	w.addRules("route readings * to d1 # test: home\nroute readings zz* to d2 # test: away")
	w.run(1 * time.Second)
	if holder := w.host(w.leaseHolder); holder != nil {
		holder.kill()
	}
	w.run(1500 * time.Millisecond)
}

// settle ends all faults and gives the system time to recover.
func settle(w *world) {
	w.faults = nil
	for _, h := range w.hosts {
		if h.dead {
			h.start()
		}
	}
	for _, s := range w.servers {
		if s.dead {
			s.revive()
		}
	}
	w.run(faultTime + 7*time.Second)
}

// faultOf returns what is wrong with a world after it has settled: a violation
// on the way, a shard that is not served, or a host that does not dispatch
// under the recorded table and the newest rules.
func faultOf(w *world) error {
	if len(w.violations) > 0 {
		return fmt.Errorf("%v", w.violations)
	}
	for i, row := range w.table.Shards(service).Shards {
		if !row.Placed() || w.table.Server(row.Owner).State != berth.ServerLive {
			return fmt.Errorf("shard %d is not served: %+v", i, row)
		}
	}
	if int(w.table.Rules.Opened) != len(w.rules) {
		return fmt.Errorf("rules are opened up to %d of %d", w.table.Rules.Opened, len(w.rules))
	}
	for _, h := range w.hosts {
		view := h.gate.View()
		if !view.MayDispatch || view.Table.Version != w.table.Version {
			return fmt.Errorf("%s does not dispatch under version %d", h.id, w.table.Version)
		}
	}
	return nil
}

// trial runs the scenario with the given faults.
func trial(checking bool, faults map[int]faultKind) error {
	w := newWorld(checking)
	w.faults = faults
	scenario(w)
	settle(w)
	if err := faultOf(w); err != nil {
		return fmt.Errorf("faults %v: %w", faults, err)
	}
	return nil
}

// expectSoundAtEveryStep injects fault at each interaction of the scenario in
// turn. The trials are independent and run side by side.
func expectSoundAtEveryStep(checking bool, fault faultKind) {
	GinkgoHelper()
	steps := countSteps(checking)
	errs := make([]error, steps)
	var group sync.WaitGroup
	for worker := range runtime.NumCPU() {
		group.Go(func() {
			for step := worker; step < steps; step += runtime.NumCPU() {
				errs[step] = trial(checking, map[int]faultKind{step + 1: fault})
			}
		})
	}
	group.Wait()
	Expect(errors.Join(errs...)).NotTo(HaveOccurred())
}

// countSteps returns the number of interactions of the scenario.
func countSteps(checking bool) int {
	w := newWorld(checking)
	scenario(w)
	return w.steps
}

var _ = Describe("Ownership", func() {
	for _, checking := range []bool{true, false} {
		Context(fmt.Sprintf("with servers that check grants: %v", checking), func() {
			It("is single and complete without faults", func() {
				Expect(trial(checking, nil)).To(Succeed())
			})
			for fault := lostRequest; fault < faultKinds; fault++ {
				It(fmt.Sprintf("is single with %q at every step", fault), func() {
					expectSoundAtEveryStep(checking, fault)
				})
			}
			It("stays with a majority that holds while the placer alone reaches the store", func() {
				w := newWorld(checking)
				w.run(2500 * time.Millisecond)
				until := w.now.Add(5 * time.Second)
				for _, h := range w.hosts {
					if h.id == w.leaseHolder {
						h.peersCut = until
						continue
					}
					h.storeCut = until
				}
				w.leaving = "s1"
				w.run(5 * time.Second)
				Expect(w.violations).To(BeEmpty())
				served := 0
				for _, h := range w.hosts {
					served += len(h.open)
				}
				Expect(served).To(BeNumerically(">", 0))
				settle(w)
				Expect(faultOf(w)).To(Succeed())
			})
			It("is single with pairs of faults", func() {
				steps := countSteps(checking)
				rapid.Check(GinkgoTB(), func(t *rapid.T) {
					faults := make(map[int]faultKind)
					for range rapid.IntRange(2, 4).Draw(t, "faults") {
						step := rapid.IntRange(1, steps).Draw(t, "step")
						faults[step] = faultKind(rapid.IntRange(1, int(faultKinds)-1).Draw(t, "kind"))
					}
					if err := trial(checking, faults); err != nil {
						t.Fatal(err)
					}
				})
			})
		})
	}
})
