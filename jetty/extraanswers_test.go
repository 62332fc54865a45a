package jetty

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// extraMoment is when a server sends an extra answer, after the first answer on a
// connection.
type extraMoment int

const (
	extraAtOnce extraMoment = iota
	extraAfterMillisecond
	extraWhileIdle
	// extraAsNextBegins is as soon as a byte of the next request is there, and
	// extraAfterNext once it has been read.
	extraAsNextBegins
	extraAfterNext
)

func (m extraMoment) String() string {
	return [...]string{"at once", "a millisecond later", "300 ms later", "at the first byte of the next request", "after the next request"}[m]
}

// extraServer answers each request with its id as the body. After its first answer it sends
// an extra text once, in which ID stands for the id of that answer.
type extraServer struct {
	listener net.Listener
	extra    string
	moment   extraMoment

	mu sync.Mutex
	// runs counts the executions by request.
	runs map[string]int
	// sent is set once the extra text has been sent.
	sent bool
}

func newExtraServer(extra string, moment extraMoment) *extraServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &extraServer{listener: l, extra: extra, moment: moment, runs: make(map[string]int)}
	DeferCleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *extraServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *extraServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	first := ""
	for n := 0; ; n++ {
		if n == 1 && s.moment == extraAsNextBegins {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			s.sendExtra(c, first)
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Id")
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		if n == 1 && s.moment == extraAfterNext {
			s.sendExtra(c, first)
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nContent-Length: %d\r\n\r\n", id, len(id))
		if r.Method != http.MethodHead {
			text += id
		}
		if n == 0 {
			first = id
			if s.moment == extraAtOnce && s.takeExtra() {
				text += strings.ReplaceAll(s.extra, "ID", id)
			}
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		switch {
		case n > 0:
		case s.moment == extraAfterMillisecond:
			time.Sleep(time.Millisecond)
			s.sendExtra(c, id)
		case s.moment == extraWhileIdle:
			time.AfterFunc(300*time.Millisecond, func() { s.sendExtra(c, id) })
		}
	}
}

// takeExtra reports whether the extra text is still to be sent.
func (s *extraServer) takeExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := !s.sent
	s.sent = true
	return taken
}

func (s *extraServer) sendExtra(c net.Conn, id string) {
	if !s.takeExtra() {
		return
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(s.extra, "ID", id))
}

func (s *extraServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// extraAnswers are what servers may send besides their answers.
var extraAnswers = map[string]string{
	"a copy":                         "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 4\r\n\r\ncopy",
	"a copy without its id":          "HTTP/1.1 200 OK\r\nSigned: y\r\nContent-Length: 4\r\n\r\ncopy",
	"a copy in chunks":               "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncopy\r\n0\r\n\r\n",
	"a copy with two lengths":        "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ncopy",
	"a copy without a length":        "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\n\r\ncopy",
	"a copy that is cut":             "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 400\r\n\r\ncopy",
	"a copy after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 4\r\n\r\ncopy",
	"a 204 with a body":              "HTTP/1.1 204 No Content\r\nId: ID\r\nSigned: y\r\nContent-Length: 4\r\n\r\ncopy",
	"a 304 with a body":              "HTTP/1.1 304 Not Modified\r\nId: ID\r\nSigned: y\r\nContent-Length: 4\r\n\r\ncopy",
	"a rejection":                    "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: y\r\nContent-Length: 0\r\n\r\n",
	"a rejection without its id":     "HTTP/1.1 503 Service Unavailable\r\nNot-Run: y\r\nContent-Length: 0\r\n\r\n",
	"a 421 without its id":           "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"an interim answer":              "HTTP/1.1 100 Continue\r\n\r\n",
	"a body":                         "copy",
	"a line":                         "\r\n",
}

var _ = Describe("A server that sends more than its answers", func() {
	// play sends two requests one after the other, and checks what the second one gets.
	play := func(extra string, moment extraMoment, method string, repeat fairway.Repeatability) {
		GinkgoHelper()
		s := newExtraServer(extra, moment)
		b := newExchangeBench(100)
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "a", Service: "readings", Address: s.listener.Addr().String(), Incarnation: 1, Slots: 4}}))
		for n := range 3 {
			r := b.request(3, time.Second)
			r.route = &fairway.Route{Name: "list", Repeat: repeat, MaxAttempts: 3, Objective: time.Second}
			r.outgoingRequest.Method = method
			var res timedResult
			Eventually(b.send(context.Background(), r), 3*time.Second).Should(Receive(&res))
			switch res := res.result.(type) {
			case backendResponse:
				want := r.id
				if method == http.MethodHead {
					want = ""
				}
				Expect(res.status).To(Equal(http.StatusOK), "request %d", n)
				Expect(string(res.body)).To(Equal(want), "request %d", n)
				Expect(res.header.Get("Id")).To(Equal(r.id), "request %d", n)
			case refusal:
				Expect(s.runsOf(r.id)).To(BeZero(), "request %d was refused as not run, %v", n, res)
			case gatewayError:
				Expect(n).To(Equal(1), "only the request beside the extra answer may fail: %v", res)
			default:
				Fail(fmt.Sprintf("%T", res))
			}
			if repeat == fairway.RepeatNever {
				Expect(s.runsOf(r.id)).To(BeNumerically("<=", 1), "request %d", n)
			}
			if n == 0 && moment == extraAfterMillisecond {
				time.Sleep(5 * time.Millisecond)
			}
			if n == 0 && moment == extraWhileIdle {
				time.Sleep(400 * time.Millisecond)
			}
		}
		b.expectNothingLeft()
	}
	for _, moment := range []extraMoment{extraAtOnce, extraAfterMillisecond, extraWhileIdle, extraAsNextBegins, extraAfterNext} {
		for name, extra := range extraAnswers {
			It(fmt.Sprintf("gives no other caller anything of it: %s, %v", name, moment), func() {
				for _, repeat := range []fairway.Repeatability{fairway.RepeatAllowed, fairway.RepeatNever} {
					methods := []string{http.MethodGet, http.MethodHead, http.MethodPost}
					if moment == extraWhileIdle {
						// It takes long, and the connection is not used again.
						methods = methods[:1]
					}
					for _, method := range methods {
						play(extra, moment, method, repeat)
					}
				}
			})
		}
	}
})
