package jetty

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// What the kernel held for connections was in no part of the memory.
var _ = Describe("The parts of a host's memory", func() {
	const mib = 1 << 20
	for _, memoryMB := range []int{96, 144, 184, 284, 424, 536, 2048} {
		It(fmt.Sprintf("fit into it together, with %d MiB", memoryMB), func() {
			p := newMemoryPlan(memoryMB)
			total := float64(memoryMB) * mib
			heap := p.requests + int64(p.callerConnections)*connectionHeapBytes
			Expect(float64(heap)).To(BeNumerically("<=", memoryLimitFraction*total))
			unread := queuedBytes(callerReceiveBytes)
			sockets := p.callerConnections*(unread+connectionUnsentBytes) + (p.backlog+2*sideAddresses*sideConnections)*unread
			Expect(float64(programBytes + sockets)).To(BeNumerically("<=", (1-memoryLimitFraction)*total))
		})
	}

	It("have no bounds if it is not known", func() {
		Expect(newMemoryPlan(0)).To(BeZero())
	})
})
