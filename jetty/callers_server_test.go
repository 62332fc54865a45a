package jetty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countingListener counts the reads from its connections that have begun, and the
// bytes that were read.
type countingListener struct {
	net.Listener
	reads, read *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: nc, reads: l.reads, read: l.read}, nil
}

type countingConn struct {
	net.Conn
	reads, read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	c.reads.Add(1)
	n, err := c.Conn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// callerServer is an HTTP server on loopback whose connections are tracked.
type callerServer struct {
	callers *callerConns
	address string
	// onIdle is called after a connection was marked as idle.
	onIdle func()
	// arrived receives the path of each request, and release lets one request
	// be answered.
	arrived chan string
	release chan struct{}
	// reads is the number of reads that the server has begun, and read the number
	// of bytes that it has read.
	reads, read atomic.Int64
}

func startCallerServer() *callerServer {
	GinkgoHelper()
	s := &callerServer{
		callers: newCallerConns(), onIdle: func() {},
		arrived: make(chan string, 10), release: make(chan struct{}, 10),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ConnState: s.onStateChange, ReadHeaderTimeout: headerTimeout}
	counting := countingListener{Listener: l, reads: &s.reads, read: &s.read}
	go func() { _ = server.Serve(&callerListener{Listener: counting, callers: s.callers}) }()
	DeferCleanup(server.Close)
	return s
}

func (s *callerServer) onStateChange(nc net.Conn, state http.ConnState) {
	s.callers.onStateChange(nc, state)
	if state == http.StateIdle {
		s.onIdle()
	}
}

// ServeHTTP implements http.Handler.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrived <- r.URL.Path
	select {
	case <-s.release:
		_, _ = io.WriteString(w, r.URL.Path)
	case <-r.Context().Done():
	}
}

// sendUntilClosed sends requests on one connection, one after the other, until the
// server closes it or done is closed, and returns the number of answers.
func (s *callerServer) sendUntilClosed(done <-chan struct{}) int64 {
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	reader := bufio.NewReader(nc)
	for answered := int64(0); ; answered++ {
		select {
		case <-done:
			return answered
		default:
		}
		if _, err := io.WriteString(nc, requestText("/first")); err != nil {
			return answered
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answered
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			return answered
		}
	}
}

// sweep closes the unused connections as a stop does.
func (s *callerServer) sweep() int {
	return s.callers.closeIdle(0, 0)
}

// send sends one request for each path in a single write.
func send(nc net.Conn, paths ...string) {
	GinkgoHelper()
	var text string
	for _, path := range paths {
		text += requestText(path)
	}
	sendText(nc, text)
}

func requestText(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: test\r\n\r\n", path)
}

func sendText(nc net.Conn, text string) {
	GinkgoHelper()
	_, err := io.WriteString(nc, text)
	Expect(err).NotTo(HaveOccurred())
}

func expectAnswer(reader *bufio.Reader, path string) {
	GinkgoHelper()
	resp, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred(), "answer to %s", path)
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(body)).To(Equal(path))
}

var _ = Describe("A sweep for unused connections", func() {
	var s *callerServer
	var nc net.Conn
	var reader *bufio.Reader
	BeforeEach(func() {
		s = startCallerServer()
		var err error
		nc, err = net.Dial("tcp", s.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(nc.Close)
		reader = bufio.NewReader(nc)
	})

	It("closes a connection whose only request has been answered", func() {
		send(nc, "/first")
		s.release <- struct{}{}
		expectAnswer(reader, "/first")
		Eventually(s.sweep).Should(BeZero())
		_, err := reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("spares a connection whose request was read together with the one before", func() {
		send(nc, "/first", "/second")
		s.release <- struct{}{}
		expectAnswer(reader, "/first")
		Eventually(s.arrived).Should(Receive(Equal("/first")))
		Eventually(s.arrived).Should(Receive(Equal("/second")))
		Expect(s.sweep()).To(Equal(1))
		s.release <- struct{}{}
		expectAnswer(reader, "/second")
	})

	It("spares a connection whose next request has begun to arrive", func() {
		swept := make(chan int, 1)
		s.onIdle = func() {
			s.onIdle = func() {}
			swept <- s.sweep()
		}
		send(nc, "/first")
		Eventually(s.arrived).Should(Receive(Equal("/first")))
		before := s.read.Load()
		send(nc, "/second")
		// net/http reads the first byte while the handler runs.
		Eventually(s.read.Load).Should(BeNumerically(">", before))
		s.release <- struct{}{}
		expectAnswer(reader, "/first")
		Expect(<-swept).To(Equal(1))
		s.release <- struct{}{}
		expectAnswer(reader, "/second")
	})

	It("spares a connection of whose next request only the first byte has arrived", func() {
		send(nc, "/first")
		Eventually(s.arrived).Should(Receive(Equal("/first")))
		before := s.read.Load()
		text := requestText("/second")
		sendText(nc, text[:1])
		Eventually(s.read.Load).Should(Equal(before + 1))
		reads := s.reads.Load()
		s.release <- struct{}{}
		expectAnswer(reader, "/first")
		// net/http waits for the rest.
		Eventually(s.reads.Load).Should(Equal(reads + 1))
		Expect(s.sweep()).To(Equal(1))
		sendText(nc, text[1:])
		s.release <- struct{}{}
		expectAnswer(reader, "/second")
	})

	DescribeTable("spares a connection whose request was read in part with the one before", func(part string) {
		text := requestText("/second")
		Expect(text).To(HavePrefix(part))
		s.release <- struct{}{}
		sendText(nc, requestText("/first")+part)
		expectAnswer(reader, "/first")
		// The reads are for the first request, ahead of the second one, and for
		// the rest of it.
		Eventually(s.reads.Load).Should(Equal(int64(3)))
		Expect(s.sweep()).To(Equal(1))
		sendText(nc, strings.TrimPrefix(text, part))
		s.release <- struct{}{}
		expectAnswer(reader, "/second")
	},
		Entry("up to the middle of the method", "GE"),
		Entry("up to the end of a line", "GET /second HTTP/1.1\r\n"),
	)

	It("loses no request that it has read while connections are closed all the time", func() {
		const clients, duration = 4, 500 * time.Millisecond
		close(s.release)
		var arrived, answered atomic.Int64
		var wg sync.WaitGroup
		done := make(chan struct{})
		for range clients {
			wg.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						answered.Add(s.sendUntilClosed(done))
					}
				}
			})
		}
		collected := make(chan struct{})
		go func() {
			defer close(collected)
			for range s.arrived {
				arrived.Add(1)
			}
		}()
		for began := time.Now(); time.Since(began) < duration; {
			s.sweep()
		}
		close(done)
		wg.Wait()
		close(s.arrived)
		<-collected
		Expect(answered.Load()).To(BeNumerically(">", 0))
		Expect(answered.Load()).To(Equal(arrived.Load()))
		Expect(s.read.Load()).To(Equal(arrived.Load() * int64(len(requestText("/first")))))
	})
})
