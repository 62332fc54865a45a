package main

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/platform/platformtest"
)

var _ = Describe("The check of a request that crashes servers", func() {
	start := time.Now()
	const crash = time.Second
	// recordOf returns the record of a request that crashed servers once a second and
	// ran at some times after the third crash.
	recordOf := func(crashes int, runsAfter ...time.Duration) *crashRecord {
		r := &crashRecord{}
		for i := range crashes {
			// The servers are listed in no order of their crashes.
			r.crashes = append(r.crashes, start.Add(time.Duration(crashes-i)*crash))
		}
		for i, after := range runsAfter {
			r.runs = append(r.runs, platformtest.Execution{ID: fmt.Sprint(i), StartedAt: start.Add(knownCrashes*crash + after)})
		}
		return r
	}
	everyHost := func(platformtest.Execution) bool { return true }
	const before, after = contactTime + drainMargin - time.Millisecond, contactTime + drainMargin + time.Millisecond

	It("counts the runs since contactTime after the third crash", func() {
		Expect(recordOf(3, time.Second, before, after, 2*after).late(everyHost)).To(HaveLen(2))
		Expect(recordOf(5, before, after).late(everyHost)).To(HaveLen(1))
	})

	It("counts none of a request that has crashed two servers", func() {
		Expect(recordOf(2, after, 2*after).late(everyHost)).To(BeEmpty())
	})

	It("counts none of hosts that are not in touch", func() {
		first := func(e platformtest.Execution) bool { return e.ID == "0" }
		Expect(recordOf(3, after, 2*after).late(first)).To(HaveLen(1))
	})

	It("excuses the hosts that a fault disturbs, within its time", func() {
		tb := &testbed{hosts: []*host{{n: 0}, {n: 1}, {n: 2}}, hostFaults: make(map[*host][]interval)}
		at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
		tb.recordHostFault(step{fault: storePath{impairmentSlow}, target: 4}, interval{from: at(1), to: at(2)})
		tb.recordHostFault(step{fault: hostsRoll{}, target: 2}, interval{from: at(11), to: at(12)})
		tb.recordHostFault(step{fault: serverKilled{}}, interval{from: at(0), to: at(20)})
		tb.recordHostFault(step{fault: storeOut{}}, interval{from: at(0), to: at(20)})
		undisturbed := func(from, to int) (hosts []int) {
			for _, h := range tb.hosts {
				if tb.hostUndisturbed(h, interval{from: at(from), to: at(to)}) {
					hosts = append(hosts, h.n)
				}
			}
			return hosts
		}
		Expect(undisturbed(0, 3)).To(Equal([]int{0, 2}))
		Expect(undisturbed(3, 10)).To(Equal([]int{0, 1, 2}))
		Expect(undisturbed(10, 13)).To(Equal([]int{1}))
	})
})

var _ = Describe("Requests that crash servers", func() {
	It("are in every fourth seed, or in each, one or two of them", func() {
		var some, all []int
		for seed := range uint64(9) {
			some, all = append(some, crashingOf(seed, false)), append(all, crashingOf(seed, true))
		}
		Expect(some).To(Equal([]int{1, 0, 0, 0, 2, 0, 0, 0, 1}))
		Expect(all).To(Equal([]int{1, 1, 1, 1, 2, 2, 2, 2, 1}))
	})

	It("are the same for the same seed", func() {
		requests := func(seed uint64) (texts []string) {
			for _, c := range newCrashers(&testbed{cfg: testbedConfig{Seed: seed, Crashing: maxCrashing}}) {
				texts = append(texts, fmt.Sprint(c.method, c.path, c.body, c.key))
			}
			return texts
		}
		Expect(requests(4)).To(Equal(requests(4)))
		Expect(requests(4)).NotTo(Equal(requests(5)))
		Expect(requests(4)[0]).NotTo(Equal(requests(4)[1]))
	})
})
