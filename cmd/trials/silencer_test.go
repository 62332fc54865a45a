package trials_test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silencer is a TCP proxy that can make its open connections go silent while
// new ones work, as a middlebox does that has lost track of them.
type silencer struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	pairs []*silencedPair
}

type silencedPair struct {
	mu     sync.Mutex
	silent bool
}

func newSilencer(upstream string) *silencer {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &silencer{listener: listener, upstream: upstream}
	DeferCleanup(listener.Close)
	go s.run()
	return s
}

func (s *silencer) address() string {
	return s.listener.Addr().String()
}

// silence makes every open connection go silent for good. It returns how many
// there were.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.pairs {
		pair.mu.Lock()
		pair.silent = true
		pair.mu.Unlock()
	}
	return len(s.pairs)
}

func (s *silencer) run() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.upstream)
		if err != nil {
			_ = near.Close()
			continue
		}
		pair := &silencedPair{}
		s.mu.Lock()
		s.pairs = append(s.pairs, pair)
		s.mu.Unlock()
		go pair.loop(near, far)
		go pair.loop(far, near)
	}
}

// loop copies from one side to the other until the pair is silent.
func (p *silencedPair) loop(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent {
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
