package drydock

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports are allocated below the kernel's range of ephemeral ports, so that no
// outgoing connection takes a port between its allocation and its use.
const (
	firstPort = 12000
	lastPort  = 31999
	// portStride is the distance between the first ports of processes with
	// consecutive ids, so that concurrent processes try different ports.
	portStride = 400
)

// lastOffset is the offset of the last port tried in this process.
var lastOffset atomic.Int64

// portAllocator allocates free ports of the loopback interface. It sets err if it
// finds none.
type portAllocator struct {
	err error
}

func newPortAllocator() *portAllocator {
	return &portAllocator{}
}

var errNoPort = errors.New("no free port on the loopback interface")

// nextAddress returns a free address that this process has not allocated before.
// If there is none, it sets err and returns an address with port 0.
func (p *portAllocator) nextAddress() string {
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
	ports := newPortAllocator()
	address := ports.nextAddress()
	return address, ports.err
}
