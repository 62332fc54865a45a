package jetty

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
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
	c := &callerConn{Conn: nc, idle: true, unused: true, idleSince: time.Now()}
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

// callerConnKey is the key of the connection in the context of a request.
type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext hook.
func withCallerConn(ctx context.Context, nc net.Conn) context.Context {
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

	mu sync.Mutex
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
		if c.closing {
			c.closing = false
			err = errors.Join(err, c.Conn.SetReadDeadline(c.readDeadline))
		}
		return n, err
	case c.closing:
		return 0, io.EOF
	default:
		return n, err
	}
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
