package jetty

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// firstRequestGrace is how long a new connection may take to send its first
// request while the host shuts down. Callers send right after they have
// connected.
const firstRequestGrace = time.Second

const (
	// writeProgress and writePieceBytes are the least progress that a caller makes with a response. The
	// kernel takes the next piece once a third of its buffer is free, so less time would cut callers that read
	// 12 KB/s of a response of 1 MB.
	writeProgress   = 30 * time.Second
	writePieceBytes = 16 << 10
	// closingSlack is how many connections above the limit are accepted while those that were chosen to
	// be closed end.
	closingSlack = 16
	// stalledTime is how long a caller may neither send nor read while other requests lack the memory that its
	// connection holds.
	stalledTime = time.Second
)

// callerConns tracks the connections of callers, so that idle ones can be
// closed without losing a request that is just arriving.
type callerConns struct {
	// limit bounds the connections; 0 means no bound.
	limit int
	// writeProgress is how long a caller may take to read a piece of writePieceBytes.
	writeProgress time.Duration
	// budget has the memory for the heads of requests; nil means no limit.
	budget *bodyBudget
	// buffersBounded is set if connections are accepted with a small receive buffer.
	buffersBounded bool
	// onClosed, if set, is called with the reason for which a connection is closed early.
	onClosed func(closeReason)

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// closeReason says why a connection is closed early.
type closeReason string

const (
	// closeFull means that the limit of connections was reached, and that this one had been idle or slow
	// for longest; closeRefused that no other one could be closed.
	closeFull    closeReason = "full"
	closeRefused closeReason = "refused"
	// closeNoMemory means that there was no memory for the head of a request.
	closeNoMemory closeReason = "no_memory"
	// closeSlowHead means that the head of a request did not come in time.
	closeSlowHead closeReason = "slow_head"
	// closeStalled means that the host needed the memory of a connection whose caller neither sent nor read.
	closeStalled closeReason = "stalled"
	// closeUnread means that the caller did not read its response.
	closeUnread closeReason = "unread"
)

func newCallerConns() *callerConns {
	return &callerConns{writeProgress: writeProgress, conns: make(map[*callerConn]bool)}
}

// closed reports a connection that is closed early.
func (cs *callerConns) closed(reason closeReason) {
	if cs != nil && cs.onClosed != nil {
		cs.onClosed(reason)
	}
}

// setLimit sets the bound of the connections.
func (cs *callerConns) setLimit(limit int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.limit = limit
}

// add tracks a new connection. If the limit is reached, it first closes the connection that has been
// idle or slow for longest. It returns false if there is none.
func (cs *callerConns) add(c *callerConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.limit > 0 && len(cs.conns) >= cs.limit {
		cs.closeOldest()
		if len(cs.conns) >= cs.limit+closingSlack {
			return false
		}
	}
	cs.conns[c] = true
	return true
}

// closeOldest closes the connection that has been idle or slow for longest. The caller holds mu.
func (cs *callerConns) closeOldest() {
	var oldest *callerConn
	var since time.Time
	for c := range cs.conns {
		if t, ok := c.waitingSince(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = c, t
		}
	}
	if oldest == nil {
		return
	}
	cs.closed(closeFull)
	if oldest.abort() {
		delete(cs.conns, oldest)
	}
}

// resetStalled resets the connection that holds memory and whose caller has neither sent nor read anything
// for longest, if for stalledTime at least. It reports whether there is one.
func (cs *callerConns) resetStalled(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var oldest *callerConn
	since := now.Add(-stalledTime)
	for c := range cs.conns {
		if t, ok := c.stalledSince(); ok && t.Before(since) {
			oldest, since = c, t
		}
	}
	if oldest == nil {
		return false
	}
	cs.closed(closeStalled)
	if oldest.abort() {
		delete(cs.conns, oldest)
	}
	return true
}

// callerListener accepts connections and tracks them.
type callerListener struct {
	net.Listener
	callers *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: nc, callers: l.callers, idle: true, unused: true, idleSince: time.Now()}
		c.head.room = &bodyReservation{budget: l.callers.budget}
		c.receiveBuffer = &bodyReservation{budget: l.callers.budget, reused: true}
		if l.callers.add(c) {
			if l.callers.buffersBounded {
				limitUnsent(nc)
			}
			return c, nil
		}
		l.callers.closed(closeRefused)
		_ = nc.Close()
	}
}

// onStateChange is the http.Server.ConnState hook.
func (cs *callerConns) onStateChange(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setAnswered()
	case http.StateClosed, http.StateHijacked:
		c.setClosed()
		cs.mu.Lock()
		delete(cs.conns, c)
		cs.mu.Unlock()
	default:
	}
}

// closeIdle has the connections closed that have been idle for longer than
// idleLimit, or that have not sent their first request within firstLimit. It
// returns the number of connections that were open.
func (cs *callerConns) closeIdle(idleLimit, firstLimit time.Duration) int {
	cs.mu.Lock()
	conns := make([]*callerConn, 0, len(cs.conns))
	for c := range cs.conns {
		conns = append(conns, c)
	}
	cs.mu.Unlock()
	now := time.Now()
	for _, c := range conns {
		c.closeIdle(now, idleLimit, firstLimit)
	}
	return len(conns)
}

// closeSlowHeads closes the connections on which a head has been on its way for longer than limit.
func (cs *callerConns) closeSlowHeads(now time.Time, limit time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.conns {
		if c.closeSlowHead(now, limit) {
			cs.closed(closeSlowHead)
		}
	}
}

// callerConnKey is the key of the connection in the context of a request.
type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext hook. The context ends once the connection is reset.
func withCallerConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*callerConn); ok {
		ctx, c.cancel = context.WithCancel(ctx)
	}
	return context.WithValue(ctx, callerConnKey{}, nc)
}

// setResetOnClose sets whether the connection of a request is reset when it is closed, also
// when the process ends.
func setResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		linger := -1
		if reset {
			linger = 0
		}
		// This fails only if the connection is closed already.
		_ = tcp.SetLinger(linger)
	}
}

// beginRequest states that the head of a request is complete. It returns false if there is no memory
// for it.
func beginRequest(hr *http.Request) bool {
	c, ok := hr.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return true
	}
	fields := 0
	for _, values := range hr.Header {
		fields += len(values)
	}
	return c.beginRequest(int64(fields*headFieldBytes + headerBytes(hr)*headTextCopies))
}

// setSlow states whether the connection of a request waits for its caller, which sends a body. Such
// connections are closed if there are too many.
func setSlow(ctx context.Context, slow bool) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.setSlow(slow)
	}
}

// widenReceiveBufferFor has the body of a request, whose length is negative if it is not known, come in with
// a larger window.
func widenReceiveBufferFor(ctx context.Context, length int64) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok && (length < 0 || length > callerReceiveBytes) {
		c.widenReceiveBuffer()
	}
}

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
