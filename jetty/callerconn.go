package jetty

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// callerConn is one connection of a caller. Closing it while idle never loses a
// request: closeIdle interrupts the read in progress, and net/http closes the
// connection if that has read nothing. Otherwise a request has begun to arrive, and
// the connection stays open.
//
// That net/http calls a connection idle is not enough: its buffer may hold a
// request that arrived with the one before, or the start of one, since it reads
// ahead by one byte while a handler runs. So a connection is idle once net/http
// waits for a request with an empty buffer. It then reads into the whole buffer, as
// it does first on each connection, and otherwise into what is left of it.
type callerConn struct {
	net.Conn
	callers *callerConns
	// cancel ends the context of the requests. It is set before the first one.
	cancel context.CancelFunc

	mu sync.Mutex
	// head is the memory of the present request's head, which is complete once headRead is set.
	head     callerHead
	headRead bool
	// receiveBuffer is the memory of a larger receive buffer, which the connection keeps once it has it: the
	// caller may fill the window that it has been told.
	receiveBuffer *bodyReservation
	// slowSince is when the connection began to wait for the caller to send a head or a body or to read
	// a response; zero if it does not wait for any of them.
	slowSince time.Time
	// progressAt is when the caller last sent or read something.
	progressAt time.Time
	// writeDeadline is that which net/http has set.
	writeDeadline time.Time
	// idle means that no request is being read or answered, and unused that
	// there has not been a request yet.
	idle   bool
	unused bool
	// answered means that the last request has been answered, and that the next
	// one has not begun as far as is known.
	answered   bool
	bufferSize int
	idleSince  time.Time
	// closing means that reads are interrupted, so that the connection is
	// closed, in spite of readDeadline, which net/http has set.
	closing      bool
	readDeadline time.Time
	// resetOnClose means that the connection is reset when it is closed, and closed that it has been.
	resetOnClose bool
	closed       bool
}

// Close implements net.Conn. A connection whose caller has not got the whole response lingers.
func (c *callerConn) Close() error {
	c.mu.Lock()
	closed, reset := c.closed, c.resetOnClose
	c.closed = true
	c.mu.Unlock()
	if closed || !reset && c.callers.linger(c.Conn) {
		return nil
	}
	return c.Conn.Close()
}

func (c *callerConn) setResetOnClose(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = reset
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	c.beginRead(len(data))
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0:
		c.idle, c.unused, c.answered = false, false, false
		c.progressAt = time.Now()
		if c.closing {
			c.closing = false
			err = errors.Join(err, c.Conn.SetReadDeadline(c.readDeadline))
		}
		if !c.headRead && err == nil {
			if err = c.head.add(data[:n]); err != nil {
				c.callers.closed(closeNoMemory)
				return 0, err
			}
		}
		return n, err
	case c.closing:
		return 0, io.EOF
	default:
		return n, err
	}
}

// Write implements net.Conn. It fails if the caller does not read a piece within writeProgress.
func (c *callerConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, err := c.writePiece(data[written:min(len(data), written+writePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *callerConn) writePiece(piece []byte) (int, error) {
	limit := time.Now().Add(c.callers.writeProgress)
	c.mu.Lock()
	unread := c.writeDeadline.IsZero() || limit.Before(c.writeDeadline)
	if !unread {
		limit = c.writeDeadline
	}
	wasSlow := c.slowSince
	c.slowSince = time.Now()
	err := c.Conn.SetWriteDeadline(limit)
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(piece)
	c.mu.Lock()
	c.slowSince = wasSlow
	if n > 0 {
		c.progressAt = time.Now()
	}
	c.mu.Unlock()
	if unread && errors.Is(err, os.ErrDeadlineExceeded) {
		c.callers.closed(closeUnread)
		c.reset()
	}
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// beginRequest states that the head of a request is complete, and reserves the memory of what came
// together with the request before. It returns false if there is none.
func (c *callerConn) beginRequest(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead, c.slowSince = true, time.Time{}
	return c.head.atLeast(bytes)
}

func (c *callerConn) setSlow(slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowSince = time.Time{}
	if slow {
		c.slowSince = time.Now()
	}
}

// widenReceiveBuffer has the kernel receive more ahead, if there is memory for it.
func (c *callerConn) widenReceiveBuffer() {
	if !c.callers.buffersBounded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiveBuffer.bytes == 0 && c.receiveBuffer.extend(int64(queuedBytes(bodyReceiveBytes))) {
		widenReceiveBuffer(c.Conn, bodyReceiveBytes)
	}
}

// setClosed gives back the memory of the connection.
func (c *callerConn) setClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.end()
	c.receiveBuffer.release()
	c.headRead = true
}

// waitingSince returns since when the connection has been idle, or has waited for its caller. It reports
// false if the host is at work on a request, or if the connection is about to close.
func (c *callerConn) waitingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return time.Time{}, false
	case c.idle:
		return c.idleSince, true
	default:
		return c.slowSince, !c.slowSince.IsZero()
	}
}

// stalledSince returns since when the connection has waited for its caller, which has neither sent nor read
// anything. It reports false if the connection does not wait, or holds no memory.
func (c *callerConn) stalledSince() (time.Time, bool) {
	since, waiting := c.waitingSince()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !waiting || c.idle && c.receiveBuffer.bytes == 0 {
		return time.Time{}, false
	}
	if c.progressAt.After(since) {
		since = c.progressAt
	}
	return since, true
}

// abort closes a connection that is idle or waits for its caller. It returns false if the host is at work
// on a request by now, or if the connection ends later, unless a request has begun to arrive.
func (c *callerConn) abort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.closing = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
		return false
	}
	if c.slowSince.IsZero() {
		return false
	}
	c.reset()
	return true
}

// reset closes the connection and ends its request. The kernel drops what the caller has not read.
func (c *callerConn) reset() {
	if c.cancel != nil {
		c.cancel()
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// closeSlowHead closes the connection if a head has been on its way for longer than limit. It reports
// whether it does.
func (c *callerConn) closeSlowHead(now time.Time, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.headRead || c.slowSince.IsZero() || now.Sub(c.slowSince) < limit {
		return false
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.callers.buffersBounded {
		if n, err := unackedBytes(tcp); err == nil && n > 0 {
			// The kernel would keep what the caller has not read of an earlier response.
			_ = tcp.SetLinger(0)
		}
	}
	_ = c.Conn.Close()
	c.headRead = true
	return true
}

// beginRead marks the connection as idle if this read, of up to size bytes, waits
// for the first byte of a request.
func (c *callerConn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	if c.answered && size == c.bufferSize {
		c.idle = true
	}
	if !c.idle && !c.headRead && c.slowSince.IsZero() {
		c.slowSince = time.Now()
	}
}

// SetReadDeadline implements net.Conn. After an answer, net/http sets a deadline
// only for the headers of the next request, whose start it has then.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if !t.IsZero() {
		c.answered = false
	}
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) setAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.idleSince = time.Now()
	c.slowSince, c.writeDeadline = time.Time{}, time.Time{}
	c.head.end()
	c.headRead = false
}

// closeIdle has the connection closed if it has been idle for too long.
func (c *callerConn) closeIdle(now time.Time, idleLimit, firstLimit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := idleLimit
	if c.unused {
		limit = firstLimit
	}
	if c.closing || !c.idle || now.Sub(c.idleSince) < limit {
		return
	}
	c.closing = true
	// This fails only if the connection is closed already.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}
