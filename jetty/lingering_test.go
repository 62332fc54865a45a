package jetty

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The kernel kept what callers had not read of responses on closed connections, which nothing counted.
var _ = Describe("A connection that is closed before its caller has the whole response", func() {
	const responseBytes = 60_000
	var callers *callerConns
	var listener *callerListener
	var reasons chan closeReason
	BeforeEach(func() {
		reasons = make(chan closeReason, 10)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		callers = newCallerConns()
		callers.buffersBounded = true
		callers.onClosed = func(reason closeReason) { reasons <- reason }
		listener = &callerListener{Listener: l, callers: callers}
	})
	connect := func() (net.Conn, *callerConn) {
		GinkgoHelper()
		// A small window leaves most of the response with the host.
		client := dialWithReadBuffer(listener.Addr().String(), 4<<10)
		nc, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		return client, nc.(*callerConn)
	}
	// respond writes a response, as far as the kernel takes it, and closes the connection as net/http does.
	respond := func(c *callerConn) (written int) {
		GinkgoHelper()
		Expect(c.Conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		// The kernel may take a part only.
		written, _ = c.Conn.Write(bytes.Repeat([]byte("x"), responseBytes))
		Expect(c.Close()).To(Succeed())
		callers.mu.Lock()
		defer callers.mu.Unlock()
		delete(callers.conns, c)
		return written
	}
	lingering := func() int {
		callers.mu.Lock()
		defer callers.mu.Unlock()
		return len(callers.lingering)
	}

	It("counts until the caller has it, which loses nothing", func() {
		client, c := connect()
		written := respond(c)
		Consistently(lingering).WithTimeout(200 * time.Millisecond).Should(Equal(1))
		data, err := io.ReadAll(client)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(written))
		Eventually(lingering).WithTimeout(5 * time.Second).Should(BeZero())
		Expect(reasons).To(BeEmpty())
	})

	It("is reset for a new one if there are too many", func() {
		callers.setLimit(1)
		client, c := connect()
		respond(c)
		_, next := connect()
		Expect(next).NotTo(BeNil())
		Expect(lingering()).To(BeZero())
		Expect(reasons).To(Receive(Equal(closeFull)))
		_, err := io.ReadAll(client)
		Expect(isClosed(err)).To(BeTrue(), "reset")
	})

	It("is reset after the one that has been idle for longer", func() {
		callers.setLimit(2)
		_, idle := connect()
		_, c := connect()
		respond(c)
		connect()
		_, waits := idle.waitingSince()
		Expect(waits).To(BeFalse(), "it is about to close")
		Expect(lingering()).To(Equal(1))
	})

	It("is reset if the caller reads nothing of it", func() {
		callers.writeProgress = 50 * time.Millisecond
		_, c := connect()
		respond(c)
		Eventually(lingering).WithTimeout(5 * time.Second).Should(BeZero())
		Expect(reasons).To(Receive(Equal(closeUnread)))
	})

	It("does not end like a whole response if it broke off", func() {
		client, c := connect()
		setResetOnClose(context.WithValue(context.Background(), callerConnKey{}, c), true)
		respond(c)
		Expect(lingering()).To(BeZero())
		_, err := io.ReadAll(client)
		Expect(isClosed(err)).To(BeTrue(), "reset")
	})

	It("is reset if the next request is slow to come", func() {
		client, c := connect()
		Expect(c.Conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		// The kernel may take a part only.
		_, _ = c.Conn.Write(bytes.Repeat([]byte("x"), responseBytes))
		c.idle, c.slowSince = false, time.Now().Add(-time.Minute)
		callers.closeSlowHeads(time.Now(), time.Second)
		_, err := io.ReadAll(client)
		Expect(isClosed(err)).To(BeTrue(), "reset")
	})
})

// dialWithReadBuffer connects with a small receive buffer from the start, and so with a small window.
func dialWithReadBuffer(address string, readBuffer int) net.Conn {
	GinkgoHelper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = setReceiveBuffer(fd, readBuffer) })
	}}
	nc, err := dialer.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(nc.Close)
	return nc
}
