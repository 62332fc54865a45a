package jetty

import (
	"io"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hookedConn calls onRead in each Read, before it returns data. Reads that begin
// after the read deadline fail.
type hookedConn struct {
	net.Conn
	onRead   func()
	deadline time.Time
}

// Read implements net.Conn.
func (c *hookedConn) Read(data []byte) (int, error) {
	if !c.deadline.IsZero() && c.deadline.Before(time.Now()) {
		return 0, os.ErrDeadlineExceeded
	}
	c.onRead()
	return copy(data, "GET / HTTP/1.1\r\n"), nil
}

// SetReadDeadline implements net.Conn.
func (c *hookedConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

var _ = Describe("A kept connection of a caller", func() {
	const limit = time.Second
	var hooked *hookedConn
	var c *callerConn
	sweep := func() { c.closeIdle(time.Now(), limit, limit) }
	expectOpen := func() {
		GinkgoHelper()
		n, err := c.Read(make([]byte, 64))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeNumerically(">", 0))
	}
	// net/http closes a connection once its read ends.
	expectClosed := func() {
		GinkgoHelper()
		n, err := c.Read(make([]byte, 64))
		Expect(n).To(BeZero())
		Expect(err).To(MatchError(io.EOF))
	}
	BeforeEach(func() {
		hooked = &hookedConn{onRead: func() {}}
		c = &callerConn{Conn: hooked, idle: true, idleSince: time.Now().Add(-2 * limit)}
	})

	It("is closed when it has been unused for too long", func() {
		sweep()
		expectClosed()
	})

	It("is not closed before", func() {
		c.setAnswered()
		sweep()
		expectOpen()
	})

	It("is not closed once a request is being read", func() {
		expectOpen()
		sweep()
		expectOpen()
	})

	It("keeps a request that was read while it was being closed, and stays open", func() {
		hooked.onRead = sweep
		expectOpen()
		hooked.onRead = func() {}
		expectOpen()
	})

	It("stays closed when net/http sets a deadline for its next read", func() {
		sweep()
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		expectClosed()
	})

	It("has the deadline that net/http has set, after a request was read while it was being closed", func() {
		deadline := time.Now().Add(time.Hour)
		Expect(c.SetReadDeadline(deadline)).To(Succeed())
		hooked.onRead = sweep
		expectOpen()
		Expect(hooked.deadline).To(Equal(deadline))
	})
})
