package main

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/platform/platformtest"
)

// lossCase is a request whose times are given from the SIGTERM of its host on.
type lossCase struct {
	sent, ended time.Duration
	status      int
	// executions have their end times from the SIGTERM on.
	executions []lossExecution
	lost       bool
}

type lossExecution struct {
	ended time.Duration
	end   platformtest.ExecutionEnd
}

func (c lossCase) expect() {
	GinkgoHelper()
	term := time.Now()
	h := &host{processes: []*process{{terminatedAt: term}}}
	r := failedRequest{
		id: "q1", host: h, process: 1, sentAt: term.Add(c.sent), writtenAt: term.Add(c.sent),
		endedAt: term.Add(c.ended), timeLeft: 4 * time.Second, status: c.status,
	}
	var executions []platformtest.Execution
	for _, e := range c.executions {
		execution := platformtest.Execution{Server: "s1", ID: "q1", StartedAt: r.sentAt, End: e.end}
		if e.end != platformtest.EndNone {
			execution.EndedAt = term.Add(e.ended)
		}
		executions = append(executions, execution)
	}
	if c.lost {
		Expect(r.findLoss(executions)).NotTo(BeEmpty())
	} else {
		Expect(r.findLoss(executions)).To(BeEmpty())
	}
}

// Times of the cases in milliseconds.
const ms = time.Millisecond

var _ = Describe("A request without a server's response", func() {
	abandoned := func(at time.Duration) []lossExecution { return []lossExecution{{at, platformtest.EndAbandoned}} }
	DescribeTable("is lost, or not", lossCase.expect,
		Entry("cut at work", lossCase{sent: 0, ended: 3000 * ms, executions: abandoned(3000 * ms), lost: true}),
		Entry("cut before the SIGTERM", lossCase{sent: -3000 * ms, ended: -1000 * ms, executions: abandoned(-1000 * ms), lost: true}),
		Entry("cut although its server had completed it", lossCase{sent: 0, ended: 3000 * ms, executions: []lossExecution{{2000 * ms, platformtest.EndCompleted}}, lost: true}),
		Entry("its time was up", lossCase{sent: 0, ended: 4000 * ms, executions: abandoned(4000 * ms)}),
		Entry("cut in the last sixth", lossCase{sent: 2900 * ms, ended: 5100 * ms, executions: abandoned(5100 * ms)}),
		Entry("cut just before the last sixth", lossCase{sent: 2900 * ms, ended: 4900 * ms, executions: abandoned(4900 * ms), lost: true}),
		Entry("sent too late to be cut", lossCase{sent: 3100 * ms, ended: 5400 * ms, executions: abandoned(5400 * ms), lost: true}),
		Entry("cut in the last sixth while it waited", lossCase{sent: 2900 * ms, ended: 5400 * ms, lost: true}),
		Entry("crossed the close", lossCase{sent: 2900 * ms, ended: 3050 * ms}),
		Entry("held and not run", lossCase{sent: 2900 * ms, ended: 3150 * ms, lost: true}),
		Entry("its server broke off", lossCase{sent: 0, ended: 1000 * ms, executions: []lossExecution{{1000 * ms, platformtest.EndFailed}}}),
		Entry("its first server broke off, the second was at work", lossCase{
			sent: 0, ended: 2000 * ms, lost: true,
			executions: []lossExecution{{1000 * ms, platformtest.EndFailed}, {2000 * ms, platformtest.EndAbandoned}},
		}),
		Entry("given up for a response of the host", lossCase{sent: -500 * ms, ended: 2000 * ms, status: 502, executions: abandoned(2000 * ms), lost: true}),
		Entry("refused by the host after a server was given up", lossCase{sent: -500 * ms, ended: 2000 * ms, status: 503, executions: abandoned(1000 * ms), lost: true}),
		Entry("answered by the host while its server still works", lossCase{sent: -500 * ms, ended: 2000 * ms, status: 504, executions: []lossExecution{{end: platformtest.EndNone}}, lost: true}),
		Entry("answered by the host before its server completed it", lossCase{sent: -500 * ms, ended: 2000 * ms, status: 504, executions: []lossExecution{{2500 * ms, platformtest.EndCompleted}}, lost: true}),
		Entry("given up before the SIGTERM", lossCase{sent: -3000 * ms, ended: 500 * ms, status: 502, executions: abandoned(-1000 * ms)}),
		Entry("refused without being run", lossCase{sent: 0, ended: 2000 * ms, status: 503}),
	)
})
