package jetty

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// firstRequestGrace is how long a new connection may take to send its first
// request while the host shuts down. Callers send right after they have
// connected.
const firstRequestGrace = time.Second

// callerConns tracks the connections of callers, so that idle ones can be
// closed without losing a request that is just arriving.
type callerConns struct {
	mu    sync.Mutex
	conns map[*callerConn]bool
	// discarded counts the reads whose data was dropped, since the connection
	// had been closed as idle.
	discarded atomic.Int64
}

func newCallerConns() *callerConns {
	return &callerConns{conns: make(map[*callerConn]bool)}
}

// callerListener accepts connections and tracks them.
type callerListener struct {
	net.Listener
	callers *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, discarded: &l.callers.discarded, idle: true, unused: true, idleSince: time.Now()}
	l.callers.mu.Lock()
	l.callers.conns[c] = true
	l.callers.mu.Unlock()
	return c, nil
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
		cs.mu.Lock()
		delete(cs.conns, c)
		cs.mu.Unlock()
	default:
	}
}

// closeIdle closes the connections that have been idle for longer than
// idleLimit, or that have not sent their first request within firstLimit. It
// returns the number of connections left.
func (cs *callerConns) closeIdle(idleLimit, firstLimit time.Duration) int {
	cs.mu.Lock()
	conns := make([]*callerConn, 0, len(cs.conns))
	for c := range cs.conns {
		conns = append(conns, c)
	}
	cs.mu.Unlock()
	now := time.Now()
	left := 0
	for _, c := range conns {
		if !c.closeIdle(now, idleLimit, firstLimit) {
			left++
		}
	}
	return left
}

// callerConn is one connection of a caller. Closing it while idle never loses a
// request that was passed on: either it is closed, and data that arrives later is
// discarded, or a request has begun to arrive, and it stays open.
//
// That net/http calls a connection idle is not enough: its buffer may hold a
// request that arrived with the one before, or the start of one, since it reads
// ahead by one byte while a handler runs. So a connection is idle once net/http
// waits for a request with an empty buffer. It then reads into the whole buffer, as
// it does first on each connection, and otherwise into what is left of it.
type callerConn struct {
	net.Conn
	discarded *atomic.Int64

	mu sync.Mutex
	// idle means that no request is being read or answered, and unused that
	// there has not been a request yet.
	idle   bool
	unused bool
	// answered means that the last request has been answered, and that the next
	// one has not begun as far as is known.
	answered   bool
	bufferSize int
	closed     bool
	idleSince  time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	c.beginRead(len(data))
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.discarded.Add(1)
		return 0, io.EOF
	}
	c.idle, c.unused, c.answered = false, false, false
	return n, err
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
}

// SetReadDeadline implements net.Conn. After an answer, net/http sets a deadline
// only for the headers of the next request, whose start it has then.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.mu.Lock()
		c.answered = false
		c.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) setAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.idleSince = time.Now()
}

// closeIdle closes the connection if it has been idle for too long, and reports
// whether it did.
func (c *callerConn) closeIdle(now time.Time, idleLimit, firstLimit time.Duration) bool {
	limit := idleLimit
	c.mu.Lock()
	if c.unused {
		limit = firstLimit
	}
	expired := c.idle && now.Sub(c.idleSince) >= limit
	c.closed = c.closed || expired
	c.mu.Unlock()
	if expired {
		_ = c.Close()
	}
	return expired
}
