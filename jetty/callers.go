package jetty

import (
	"context"
	"net"
	"net/http"
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
	// lingering has those that are closed and whose callers have not got the whole response yet.
	lingering map[*lingeringConn]bool
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
	return &callerConns{writeProgress: writeProgress, conns: make(map[*callerConn]bool), lingering: make(map[*lingeringConn]bool)}
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
	if cs.limit > 0 && cs.count() >= cs.limit {
		cs.closeOldest()
		if cs.count() >= cs.limit+closingSlack {
			return false
		}
	}
	cs.conns[c] = true
	return true
}

// count returns the number of connections, the lingering ones included. The caller holds mu.
func (cs *callerConns) count() int { return len(cs.conns) + len(cs.lingering) }

// closeOldest closes the connection that has been idle, slow or lingering for longest. The caller holds mu.
func (cs *callerConns) closeOldest() {
	var oldest *callerConn
	var since time.Time
	for c := range cs.conns {
		if t, ok := c.waitingSince(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = c, t
		}
	}
	var lingering *lingeringConn
	for l := range cs.lingering {
		if lingering == nil && oldest == nil || l.since.Before(since) {
			lingering, since = l, l.since
		}
	}
	if lingering != nil {
		cs.closed(closeFull)
		lingering.reset()
		delete(cs.lingering, lingering)
		return
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
	c.setResetOnClose(reset)
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
