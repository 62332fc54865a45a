package trials_test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stallingProxy is a TCP proxy that can stall its open connections while new ones
// work, like a middlebox that has lost its connection state.
type stallingProxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	conns []*proxiedConn
}

type proxiedConn struct {
	mu      sync.Mutex
	stalled bool
}

func newStallingProxy(upstream string) *stallingProxy {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &stallingProxy{listener: listener, upstream: upstream}
	DeferCleanup(listener.Close)
	go p.run()
	return p
}

func (p *stallingProxy) address() string {
	return p.listener.Addr().String()
}

// stall stops forwarding on all open connections for good and returns their
// number.
func (p *stallingProxy) stall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.mu.Lock()
		conn.stalled = true
		conn.mu.Unlock()
	}
	return len(p.conns)
}

func (p *stallingProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		backend, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &proxiedConn{}
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		go conn.loop(client, backend)
		go conn.loop(backend, client)
	}
}

// loop copies from one side to the other. Once the connection is stalled, it
// discards what it reads.
func (c *proxiedConn) loop(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		stalled := c.stalled
		c.mu.Unlock()
		if stalled {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
