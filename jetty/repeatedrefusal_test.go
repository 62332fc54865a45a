package jetty

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// repeatingServer refuses each request that it has not seen yet. When it comes again on the
// same connection, the server writes that refusal once more, and runs the request.
type repeatingServer struct {
	listener net.Listener
	refusal  string

	mu   sync.Mutex
	seen map[string]bool
	runs map[string]int
	// repeated counts the refusals that were written again, and opened the connections.
	repeated int
	opened   int
}

func newRepeatingServer(refusal string) *repeatingServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &repeatingServer{listener: l, refusal: refusal, seen: make(map[string]bool), runs: make(map[string]int)}
	DeferCleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *repeatingServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.opened++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refused := make(map[string]bool)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Id")
		refusal := fmt.Sprintf(s.refusal, id)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		s.mu.Lock()
		switch {
		case !s.seen[id]:
			s.seen[id], refused[id], text = true, true, refusal
		case refused[id]:
			s.repeated++
			s.runs[id]++
			text = refusal + text
		default:
			s.runs[id]++
		}
		s.mu.Unlock()
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func (s *repeatingServer) count(id string) (runs, repeated, opened int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.repeated, s.opened
}

var _ = Describe("A server that writes an earlier refusal once more", func() {
	const (
		full       = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: y\r\nContent-Length: 0\r\n\r\n"
		misdirects = "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
		succeeds   = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nNot-Run: y\r\nContent-Length: 0\r\n\r\n"
		unsigned   = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
	)
	var b *exchangeBench
	serve := func(refusal string) *repeatingServer {
		s := newRepeatingServer(refusal)
		b = newExchangeBench(100)
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "a", Service: "readings", Address: s.listener.Addr().String(), Incarnation: 1, Slots: 4}}))
		return s
	}
	// sendAgain sends a request, and sends it again under its id until it is not refused.
	sendAgain := func(s *repeatingServer, r *request) result {
		GinkgoHelper()
		for range 3 {
			r.sends, r.deadline = 0, time.Now().Add(time.Second)
			var res timedResult
			Eventually(b.send(context.Background(), r), 3*time.Second).Should(Receive(&res))
			runs, _, _ := s.count(r.id)
			if _, refused := res.result.(refusal); !refused {
				Expect(runs).To(BeNumerically("<=", 1))
				return res.result
			}
			Expect(runs).To(BeZero(), "refused as not run")
		}
		Fail("refused three times")
		return nil
	}

	It("has no request answered by it that comes again after an unsigned response", func() {
		s := serve(unsigned)
		for range 20 {
			r := b.request(1, time.Second)
			Expect((<-b.send(context.Background(), r)).result).To(Equal(gatewayError{status: http.StatusBadGateway, reason: reasonUnsigned}))
			r.sends, r.mayHaveRun, r.deadline = 0, false, time.Now().Add(time.Second)
			res := <-b.send(context.Background(), r)
			Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
			Expect(string(res.result.(backendResponse).body)).To(Equal(r.id))
		}
		_, repeated, _ := s.count("")
		Expect(repeated).To(BeZero(), "requests that came again on the connection that had carried them")
	})

	for name, text := range map[string]string{"as full": full, "as misdirected": misdirects, "with a status of success": succeeds} {
		for _, repeat := range []fairway.Repeatability{fairway.RepeatNever, fairway.RepeatAllowed} {
			It(fmt.Sprintf("has no request answered by it that is sent again, %s, repeatability %d", name, repeat), func() {
				s := serve(text)
				for range 20 {
					r := b.request(1, time.Second)
					r.route.Repeat = repeat
					res := sendAgain(s, r)
					Expect(res).To(BeAssignableToTypeOf(backendResponse{}))
					Expect(string(res.(backendResponse).body)).To(Equal(r.id))
				}
				_, repeated, _ := s.count("")
				Expect(repeated).To(BeZero(), "requests that came again on the connection that had carried them")
				b.expectNothingLeft()
			})
		}
	}

	It("costs no connections but for requests that are sent again", func() {
		s := serve(full)
		for range 20 {
			r := b.request(1, time.Second)
			Expect(sendAgain(s, r)).To(BeAssignableToTypeOf(backendResponse{}))
		}
		_, _, opened := s.count("")
		Expect(opened).To(BeNumerically("<=", requestConnections))
	})

	It("has a request that is sent again find a connection where the limit is reached", func() {
		s := serve(full)
		b.f.upstream.minConnections = 1
		r := b.request(1, time.Second)
		Expect(sendAgain(s, r)).To(BeAssignableToTypeOf(backendResponse{}))
		_, _, opened := s.count("")
		Expect(opened).To(Equal(2))
		Expect(b.f.upstream.pools["a"].open).To(Equal(1))
	})

	It("has its connection replaced after many refusals", func() {
		c := &connection{}
		for n := range maxRefusedRequests {
			Expect(c.broken).To(BeFalse())
			c.recordRefused(fmt.Sprintf("request-%d", n))
		}
		Expect(c.broken).To(BeTrue())
		Expect(c.mayConfuse("request-3")).To(BeTrue())
		Expect(c.mayConfuse("request-x")).To(BeFalse())
	})
})
