package harbor

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/signal"
)

// headStream is a stream with a single response head.
type headStream struct {
	grpc.ClientStream
	status uint32
	ended  bool
}

// Recv implements signal.Peers_ForwardClient.
func (s *headStream) Recv() (*signal.ForwardChunk, error) {
	if s.ended {
		return nil, io.EOF
	}
	s.ended = true
	return &signal.ForwardChunk{Part: &signal.ForwardChunk_Head{Head: &signal.ForwardHead{Status: s.status}}}, nil
}

var _ = Describe("A status that is none", func() {
	for _, status := range []uint32{0, 42, 99, 100, 101, 199, 600, 999, 1 << 31} {
		// Hosts of earlier releases pass on what they got.
		It(fmt.Sprintf("is not taken from another host: %d", status), func() {
			_, err := relay(&headStream{status: status}, discardSink{})
			Expect(err).To(MatchError(quay.ErrInvalidStatus))
		})
	}

	// A server whose response to a probe has such a status counted as alive.
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		It("is no response to a probe: "+status, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			var closed atomic.Bool
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				body := `{"instance":"i","state":"ready"}`
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s text\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				_, _ = io.Copy(io.Discard, c)
				closed.Store(true)
			}()
			p := newProber(nil)
			got, err := p.call(context.Background(), http.MethodGet, l.Addr().String(), "/", nil)
			Expect(err).To(HaveOccurred())
			Expect(err).NotTo(MatchError(errHTTPStatus))
			Expect(got).To(BeZero())
			Eventually(closed.Load).Should(BeTrue(), "connection closed")
		})
	}
})
