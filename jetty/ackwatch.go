package jetty

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackPollInterval is the time between two looks of an [ackWatch] at its connection.
	ackPollInterval = 250 * time.Millisecond
	// unansweredProbes is how many probes of a closed window in a row count as a loss. Linux
	// does not answer one that comes within 0.5 s of another (net.ipv4.tcp_invalid_ratelimit).
	unansweredProbes = 2
)

// ackWatch interrupts a connection on which a long request body is sent, once the other side
// has acknowledged nothing for userTimeout. The kernel's TCP_USER_TIMEOUT would also end a
// connection whose other side acknowledges each probe of its closed window, as a server does
// that reads a body late.
type ackWatch struct {
	conn *connection
	raw  syscall.RawConn
	stop chan struct{}
	done chan struct{}
}

// startAckWatch starts a watch in place of the kernel's timeout. It returns nil where the
// kernel does not tell what has been acknowledged; its timeout then stays in force.
func startAckWatch(c *connection) *ackWatch {
	socket, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	w := &ackWatch{conn: c, raw: raw, stop: make(chan struct{}), done: make(chan struct{})}
	if _, err := w.state(); err != nil {
		return nil
	}
	if err := setUserTimeout(raw, 0); err != nil {
		return nil
	}
	go w.run()
	return w
}

// end stops the watch and puts the kernel's timeout in force again.
func (w *ackWatch) end() {
	if w == nil {
		return
	}
	close(w.stop)
	<-w.done
	// This fails only if the connection is closed.
	_ = setUserTimeout(w.raw, userTimeout)
}

func (w *ackWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	s := ackSilence{since: time.Now()}
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		state, err := w.state()
		if err != nil {
			return
		}
		if s.step(time.Now(), state) {
			w.conn.interrupt()
			return
		}
	}
}

// state reads the state of the connection from the kernel.
func (w *ackWatch) state() (ackState, error) {
	var info *unix.TCPInfo
	var infoErr error
	if err := w.raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return ackState{}, err
	}
	if infoErr != nil {
		return ackState{}, infoErr
	}
	return ackStateOf(info), nil
}

// setUserTimeout sets for how long the kernel waits for an acknowledgement; 0 stands for its
// default.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); err != nil {
		return err
	}
	return optErr
}

// ackState is what the kernel knows of the acknowledgements of the other side.
type ackState struct {
	// awaiting is set while nothing has come since data, or probes of a closed window, were
	// last sent. Data that the other side had no room for is sent again at growing intervals.
	awaiting bool
	// sinceAck is how long ago the other side last acknowledged anything.
	sinceAck time.Duration
}

func ackStateOf(info *unix.TCPInfo) ackState {
	return ackState{
		awaiting: info.Probes >= unansweredProbes || info.Unacked > 0 && info.Last_data_sent < info.Last_ack_recv,
		sinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}
}

// ackSilence measures for how long the other side has acknowledged nothing although it had to.
type ackSilence struct {
	since time.Time
}

// step returns whether the silence lasts for userTimeout.
func (s *ackSilence) step(now time.Time, state ackState) bool {
	if !state.awaiting || now.Add(-state.sinceAck).After(s.since) {
		s.since = now
		return false
	}
	return now.Sub(s.since) >= userTimeout
}
