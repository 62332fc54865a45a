package harbor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/signal"
)

// peerHost is another entry host, which records the requests that it gets.
type peerHost struct {
	signal.UnimplementedPeersServer
	server  *grpc.Server
	address string

	mu  sync.Mutex
	got map[string]bool
}

func startPeerHost() *peerHost {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peerHost{server: grpc.NewServer(grpc.WaitForHandlers(true)), address: l.Addr().String(), got: make(map[string]bool)}
	signal.RegisterPeersServer(p.server, p)
	go func() { _ = p.server.Serve(l) }()
	DeferCleanup(p.server.Stop)
	return p
}

// Forward implements signal.PeersServer.
func (p *peerHost) Forward(r *signal.ForwardRequest, stream signal.Peers_ForwardServer) error {
	p.mu.Lock()
	p.got[r.GetRequestId()] = true
	p.mu.Unlock()
	return stream.Send(&signal.ForwardChunk{Part: &signal.ForwardChunk_End{End: encodeOutcome(quay.Whole{Status: http.StatusOK})}})
}

func (p *peerHost) has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got[id]
}

// discardSink is a sink for responses without a body.
type discardSink struct{}

// Head implements quay.Sink.
func (discardSink) Head(int, http.Header) error { return nil }

// Write implements quay.Sink.
func (discardSink) Write(data []byte) (int, error) { return len(data), nil }

// forwardResult is the result of a request that has no outcome.
type forwardResult struct {
	id  string
	err error
}

func (r forwardResult) notRun() bool {
	var e *quay.Error
	return errors.As(r.err, &e) && e.Kind == quay.KindNotRun
}

// forwardUntilGone forwards requests until one has no outcome.
func forwardUntilGone(f *forwarder, p *peerHost, name string) forwardResult {
	for n := 0; ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		id := fmt.Sprintf("%s-%d", name, n)
		_, err := f.Forward(ctx, berth.Host{Address: p.address}, &quay.Request{ID: id}, discardSink{})
		cancel()
		if err != nil {
			return forwardResult{id: id, err: err}
		}
	}
}

// Requests that were forwarded to a host that had just closed its connections ended as
// unknown, although no byte of them had been sent.
var _ = Describe("A request that is forwarded to a host that stops", func() {
	DescribeTable("is known not to have run if that host has not got it", func(stop func(*grpc.Server), processesAll bool) {
		const rounds, callers = 30, 16
		for round := range rounds {
			p := startPeerHost()
			f := &forwarder{clients: newPeerClients()}
			DeferCleanup(f.clients.close)
			var results [callers]forwardResult
			var running sync.WaitGroup
			for n := range callers {
				running.Go(func() { results[n] = forwardUntilGone(f, p, fmt.Sprintf("r%d-c%d", round, n)) })
			}
			time.Sleep(time.Duration(10+round) * time.Millisecond)
			stop(p.server)
			running.Wait()
			for _, r := range results {
				if p.has(r.id) || processesAll {
					Expect(r.notRun()).To(Equal(!p.has(r.id)), "%s: %v", r.id, r.err)
				}
			}
		}
	},
		Entry("and processes what it has been sent", (*grpc.Server).GracefulStop, true),
		Entry("and cuts what it has been sent", (*grpc.Server).Stop, false),
	)
})
