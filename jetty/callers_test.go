package jetty

import (
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hookedConn calls onRead in each Read, before it returns the data.
type hookedConn struct {
	net.Conn
	onRead func()
	closed bool
}

func (c *hookedConn) Read(data []byte) (int, error) {
	c.onRead()
	return copy(data, "GET / HTTP/1.1\r\n"), nil
}

func (c *hookedConn) Close() error {
	c.closed = true
	return nil
}

var _ = Describe("A kept connection of a caller", func() {
	const limit = time.Second
	var hooked *hookedConn
	var c *callerConn
	expectClosed := func(closed bool) {
		GinkgoHelper()
		Expect(hooked.closed).To(Equal(closed))
	}
	BeforeEach(func() {
		hooked = &hookedConn{onRead: func() {}}
		c = &callerConn{Conn: hooked, discarded: &atomic.Int64{}, idle: true, idleSince: time.Now().Add(-2 * limit)}
	})

	It("is closed when it has been unused for too long", func() {
		Expect(c.closeIdle(time.Now(), limit, limit)).To(BeTrue())
		expectClosed(true)
	})

	It("is not closed before", func() {
		c.setAnswered()
		Expect(c.closeIdle(time.Now(), limit, limit)).To(BeFalse())
		expectClosed(false)
	})

	It("is not closed once a request is being read", func() {
		n, err := c.Read(make([]byte, 64))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeNumerically(">", 0))
		Expect(c.closeIdle(time.Now(), limit, limit)).To(BeFalse())
		expectClosed(false)
	})

	It("reads no request that arrives while it is closed", func() {
		hooked.onRead = func() { c.closeIdle(time.Now(), limit, limit) }
		n, err := c.Read(make([]byte, 64))
		Expect(n).To(BeZero())
		Expect(err).To(HaveOccurred())
		Expect(c.discarded.Load()).To(Equal(int64(1)))
		expectClosed(true)
	})
})
