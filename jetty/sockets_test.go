package jetty

import (
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// queueOf returns the bytes in a queue of a connection.
func queueOf(nc net.Conn, request uint) int {
	GinkgoHelper()
	raw, err := nc.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var n int
	var queueErr error
	Expect(raw.Control(func(fd uintptr) { n, queueErr = unix.IoctlGetInt(int(fd), request) })).To(Succeed())
	Expect(queueErr).NotTo(HaveOccurred())
	return n
}

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
	unread := func(nc net.Conn) int { return queueOf(nc, unix.TIOCINQ) }

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

// Responses that nobody read were taken by the kernel, by the megabyte.
var _ = Describe("What a host has written and cannot send", func() {
	It("is bounded, also if the other side has read fast before", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		callers := newCallerConns()
		callers.buffersBounded = true
		client, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		accepted, err := (&callerListener{Listener: l, callers: callers}).Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		nc := accepted.(*callerConn).Conn
		const pieceBytes = 1 << 20
		for range 20 {
			go func() { _, _ = nc.Write(make([]byte, pieceBytes)) }()
			for left := pieceBytes; left > 0; {
				n, err := client.Read(make([]byte, left))
				Expect(err).NotTo(HaveOccurred())
				left -= n
			}
		}
		received := queueOf(client, unix.TIOCINQ)
		Expect(nc.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
		written := 0
		for err == nil {
			var n int
			n, err = nc.Write(make([]byte, pieceBytes))
			written += n
		}
		unsent := written - (queueOf(client, unix.TIOCINQ) - received)
		Expect(unsent).To(BeNumerically("<=", unsentBytes+maxSegmentBytes))
	})
})
