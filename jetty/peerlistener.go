package jetty

import (
	"net"
	"sync"
	"sync/atomic"
)

// peerListener accepts the connections of other hosts, and closes those above a limit.
type peerListener struct {
	net.Listener
	// limit is 0 if there is none.
	limit    int64
	open     atomic.Int64
	onClosed func(closeReason)
}

func newPeerListener(l net.Listener, limit int, onClosed func(closeReason)) *peerListener {
	return &peerListener{Listener: l, limit: int64(limit), onClosed: onClosed}
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit || l.limit == 0 {
			return &peerConn{Conn: nc, listener: l}, nil
		}
		l.open.Add(-1)
		l.onClosed(closeRefused)
		_ = nc.Close()
	}
}

// peerConn is one connection of another host.
type peerConn struct {
	net.Conn
	listener *peerListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
