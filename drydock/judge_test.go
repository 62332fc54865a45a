package drydock_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/drydock"
)

// judged returns the verdict on one key's executions on two servers.
func judged(first, second drydock.Execution) drydock.CheckResult {
	first.Server, second.Server = "s1", "s2"
	for _, e := range []*drydock.Execution{&first, &second} {
		e.Service, e.Key = "readings", "k"
	}
	return drydock.CheckRecords([]drydock.BackendRecords{
		{Server: "s1", MaxOffered: 6, Executions: []drydock.Execution{first}},
		{Server: "s2", MaxOffered: 7, Executions: []drydock.Execution{second}},
	}, map[berth.ServiceID]bool{"readings": true}, 6)
}

var _ = Describe("The judge", func() {
	later := drydock.Execution{BeganNS: 100, EndedNS: 120, Finished: true}

	It("finds executions of one key that overlap", func() {
		Expect(judged(drydock.Execution{BeganNS: 50, EndedNS: 101, Finished: true}, later).Overlaps).To(Equal(1))
		Expect(judged(drydock.Execution{BeganNS: 50, EndedNS: 100, Finished: true}, later).Overlaps).To(BeZero())
	})

	It("counts a finished execution to its end, whatever its deadline", func() {
		Expect(judged(drydock.Execution{BeganNS: 50, EndedNS: 101, DeadlineNS: 90, Finished: true}, later).Overlaps).To(Equal(1))
	})

	It("counts one that was given up to its deadline at most", func() {
		frozen := drydock.Execution{BeganNS: 50, EndedNS: 300, DeadlineNS: 90}
		Expect(judged(frozen, later).Overlaps).To(BeZero())
		frozen.DeadlineNS = 110
		Expect(judged(frozen, later).Overlaps).To(Equal(1))
		frozen.DeadlineNS = 0
		Expect(judged(frozen, later).Overlaps).To(Equal(1))
	})

	It("finds servers that were sent too much, and requests that ran twice", func() {
		v := judged(drydock.Execution{IdempotencyKey: "c"}, drydock.Execution{IdempotencyKey: "c"})
		Expect(v.OverLimit).To(HaveLen(1))
		Expect(v.DuplicateRuns).To(Equal(1))
		Expect(v.HasViolations()).To(BeTrue())
	})
})
