package drydock

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports are handed out from below the range that the kernel uses for outgoing
// connections, so that a port cannot be taken between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 31999
	// portStride keeps processes that run side by side apart.
	portStride = 400
)

// lastOffset is the offset of the port handed out last in this process.
var lastOffset atomic.Int64

// portSource hands out free ports of the loopback interface. Its error is set
// if one could not be found.
type portSource struct {
	err error
}

func newPortSource() *portSource {
	return &portSource{}
}

var errNoPort = errors.New("no free port on the loopback interface")

// next returns an address that is free and that this process has not handed
// out before.
func (p *portSource) next() string {
	const span = lastPort - firstPort + 1
	start := int64(os.Getpid()) * portStride
	for range span {
		offset := lastOffset.Add(1)
		port := firstPort + (start+offset)%span
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	p.err = &Error{Op: "find a port", Kind: KindListen, Err: errNoPort}
	return "127.0.0.1:0"
}

// FreeAddress returns a free address of the loopback interface.
func FreeAddress() (string, error) {
	source := newPortSource()
	address := source.next()
	return address, source.err
}
