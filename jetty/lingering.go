package jetty

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerPoll and maxLingerPoll bound the time between two looks at a lingering connection.
	lingerPoll    = 10 * time.Millisecond
	maxLingerPoll = time.Second
)

// lingeringConn is a connection of a caller that net/http has closed, and whose caller has not acknowledged the
// whole response. The kernel keeps the rest in memory, so the connection counts toward the limit until its caller has
// the response, makes no progress with it, or the connection is the one that has waited for longest.
type lingeringConn struct {
	*net.TCPConn
	callers *callerConns
	since   time.Time
	// unacked is how many bytes the caller had not acknowledged when the connection began to linger.
	unacked int
}

// linger keeps a connection whose caller has not acknowledged everything, and sends its end. It returns false if the
// connection can be closed.
func (cs *callerConns) linger(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok || !cs.buffersBounded {
		return false
	}
	unacked, err := unackedBytes(tcp)
	if err != nil || unacked == 0 || tcp.CloseWrite() != nil {
		return false
	}
	l := &lingeringConn{TCPConn: tcp, callers: cs, since: time.Now(), unacked: unacked}
	cs.mu.Lock()
	cs.lingering[l] = true
	cs.mu.Unlock()
	go l.run()
	return true
}

// run closes the connection once its caller has the response, and resets it if the caller reads less than
// writePieceBytes within writeProgress.
func (l *lingeringConn) run() {
	defer l.forget()
	unacked, progressAt := l.unacked, l.since
	for wait := lingerPoll; ; wait = min(2*wait, maxLingerPoll) {
		time.Sleep(wait)
		n, err := unackedBytes(l.TCPConn)
		switch {
		case err != nil || n == 0:
			_ = l.Close()
			return
		case unacked-n >= writePieceBytes:
			unacked, progressAt = n, time.Now()
		case time.Since(progressAt) >= l.callers.writeProgress:
			l.callers.closed(closeUnread)
			l.reset()
			return
		}
	}
}

// reset closes the connection. The kernel drops what the caller has not acknowledged.
func (l *lingeringConn) reset() {
	_ = l.SetLinger(0)
	_ = l.Close()
}

func (l *lingeringConn) forget() {
	l.callers.mu.Lock()
	defer l.callers.mu.Unlock()
	delete(l.callers.lingering, l)
}

// unackedBytes returns how much of what was written the other side has not acknowledged, its end included.
func unackedBytes(tcp *net.TCPConn) (int, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return n, ioctlErr
}
