package jetty

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The kernel grows the buffers of a socket by itself, to megabytes, and what it holds counts toward the memory
// of a host. So hosts whose memory is known set them.
const (
	// callerReceiveBytes is the receive buffer of a caller's connection. One whose body has room has a larger
	// one, bodyReceiveBytes, since a caller sends no more than that in a round trip.
	callerReceiveBytes = 8 << 10
	bodyReceiveBytes   = 64 << 10
	// peerReceiveBytes is the receive buffer of a connection that another host has opened.
	peerReceiveBytes = 64 << 10
	// serverReceiveBytes is the receive buffer of a connection to a backend server.
	serverReceiveBytes = 32 << 10
	// unsentBytes is how much of a response or a body the kernel takes before it can send it. What is on its
	// way does not count, so the other side gets it no later.
	unsentBytes = 8 << 10
	// maxSegmentBytes is the largest segment, which the kernel takes beyond that.
	maxSegmentBytes = 64 << 10
	// maxWindowBytes is the largest window of a connection that was accepted with a small buffer: the scale of
	// its window is then 1.
	maxWindowBytes = 1<<16 - 1
)

// queuedBytes returns how much a receive buffer of some bytes can hold: Linux doubles it, for its own overhead.
func queuedBytes(buffer int) int { return 2 * buffer }

// listenConfig describes a listener.
type listenConfig struct {
	address string
	// receiveBytes is the receive buffer of the connections, and backlog the number of those that wait to
	// be accepted; 0 leaves the choice to the kernel.
	receiveBytes int
	backlog      int
}

// listen opens a listener. Options that the system does not know stay as they are.
func (cfg listenConfig) listen() (net.Listener, error) {
	var lc net.ListenConfig
	if cfg.receiveBytes > 0 {
		// Connections inherit the option, and need it before they are accepted.
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = setReceiveBuffer(fd, cfg.receiveBytes) })
		}
	}
	l, err := lc.Listen(context.Background(), "tcp", cfg.address)
	if err != nil || cfg.backlog == 0 {
		return l, err
	}
	sc, ok := l.(syscall.Conn)
	if !ok {
		return l, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return l, nil
	}
	// On a socket that listens already, this only sets the backlog.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), cfg.backlog) })
	return l, nil
}

func setReceiveBuffer(fd uintptr, bytes int) error {
	return unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// limitUnsent bounds what the kernel takes from writes before it can send it.
func limitUnsent(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = setUnsentLimit(fd) })
	}
}

func setUnsentLimit(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
}

// widenReceiveBuffer sets the receive buffer of an accepted connection, and lets its window grow with it.
func widenReceiveBuffer(nc net.Conn, bytes int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if setReceiveBuffer(fd, bytes) == nil {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, min(bytes, maxWindowBytes))
		}
	})
}

// dialServer is the [DialFunc] of a host whose memory is known.
func dialServer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = setReceiveBuffer(fd, serverReceiveBytes)
			_ = setUnsentLimit(fd)
		})
	}}
	return dialer.DialContext(ctx, "tcp", address)
}
