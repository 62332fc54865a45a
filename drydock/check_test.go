package drydock_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/drydock"
)

// checkPair checks two executions for one key on two servers.
func checkPair(first, second drydock.Execution) drydock.CheckResult {
	first.Server, second.Server = "s1", "s2"
	for _, e := range []*drydock.Execution{&first, &second} {
		e.Service, e.Key = "readings", "k"
	}
	return drydock.CheckRecords([]drydock.BackendRecords{
		{Server: "s1", MaxOffered: 6, Executions: []drydock.Execution{first}},
		{Server: "s2", MaxOffered: 7, Executions: []drydock.Execution{second}},
	}, map[berth.ServiceID]bool{"readings": true}, 6)
}

var _ = Describe("The check of the records", func() {
	later := drydock.Execution{BeganNS: 100, EndedNS: 120, Finished: true}

	It("finds executions for one key that overlap", func() {
		Expect(checkPair(drydock.Execution{BeganNS: 50, EndedNS: 101, Finished: true}, later).Overlaps).To(Equal(1))
		Expect(checkPair(drydock.Execution{BeganNS: 50, EndedNS: 100, Finished: true}, later).Overlaps).To(BeZero())
	})

	It("counts a finished execution until its end, whatever its deadline", func() {
		Expect(checkPair(drydock.Execution{BeganNS: 50, EndedNS: 101, DeadlineNS: 90, Finished: true}, later).Overlaps).To(Equal(1))
	})

	It("counts an aborted execution until its deadline at most", func() {
		aborted := drydock.Execution{BeganNS: 50, EndedNS: 300, DeadlineNS: 90}
		Expect(checkPair(aborted, later).Overlaps).To(BeZero())
		aborted.DeadlineNS = 110
		Expect(checkPair(aborted, later).Overlaps).To(Equal(1))
		aborted.DeadlineNS = 0
		Expect(checkPair(aborted, later).Overlaps).To(Equal(1))
	})

	It("finds servers with more requests than slots, and requests that ran twice", func() {
		result := checkPair(drydock.Execution{IdempotencyKey: "c"}, drydock.Execution{IdempotencyKey: "c"})
		Expect(result.OverLimit).To(HaveLen(1))
		Expect(result.DuplicateRuns).To(Equal(1))
		Expect(result.HasViolations()).To(BeTrue())
	})
})
