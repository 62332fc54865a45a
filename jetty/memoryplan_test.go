package jetty

import (
	"fmt"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
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

// Unread bytes grew with the kernel's own buffers, to megabytes a connection.
var _ = Describe("What waits before a host in the kernel", func() {
	var listener net.Listener
	BeforeEach(func() {
		var err error
		listener, err = listenConfig{address: "127.0.0.1:0", receiveBytes: callerReceiveBytes, backlog: minBacklog}.listen()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
	})
	dial := func() net.Conn {
		GinkgoHelper()
		nc, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(nc.Close)
		return nc
	}
	// fill sends until the other side takes no more.
	fill := func(nc net.Conn) {
		GinkgoHelper()
		Expect(nc.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
		for {
			if _, err := nc.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}
	accept := func() net.Conn {
		GinkgoHelper()
		nc, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(nc.Close)
		return nc
	}
	unread := func(nc net.Conn) int {
		GinkgoHelper()
		raw, err := nc.(syscall.Conn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		var n int
		var queueErr error
		Expect(raw.Control(func(fd uintptr) { n, queueErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })).To(Succeed())
		Expect(queueErr).NotTo(HaveOccurred())
		return n
	}

	It("is bounded on connections that wait to be accepted", func() {
		client := dial()
		fill(client)
		Expect(unread(accept())).To(BeNumerically("<=", queuedBytes(callerReceiveBytes)))
	})

	It("is bounded on connections that have been read for long", func() {
		client := dial()
		nc := accept()
		const pieceBytes = 64 << 10
		for range 100 {
			_, err := client.Write(make([]byte, pieceBytes))
			Expect(err).NotTo(HaveOccurred())
			for left := pieceBytes; left > 0; {
				n, err := nc.Read(make([]byte, left))
				Expect(err).NotTo(HaveOccurred())
				left -= n
			}
		}
		fill(client)
		Expect(unread(nc)).To(BeNumerically("<=", queuedBytes(callerReceiveBytes)))
	})

	It("is more for a body that has room, and bounded as well", func() {
		client := dial()
		nc := accept()
		widenReceiveBuffer(nc, bodyReceiveBytes)
		fill(client)
		Expect(unread(nc)).To(And(BeNumerically(">", queuedBytes(callerReceiveBytes)), BeNumerically("<=", queuedBytes(bodyReceiveBytes))))
	})

	It("is bounded in the number of connections", func() {
		opened := 0
		for range 4 * minBacklog {
			nc, err := net.DialTimeout("tcp", listener.Addr().String(), 10*time.Millisecond)
			if err != nil {
				break
			}
			DeferCleanup(nc.Close)
			opened++
		}
		Expect(opened).To(BeNumerically("<=", minBacklog+1))
	})
})
