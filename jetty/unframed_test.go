package jetty

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// A response to a caller of HTTP/1.0 has no chunks: without a length, only the end of its
// connection tells it from one that broke off.
var _ = Describe("A long response to a caller of HTTP/1.0", func() {
	const size = 2 * maxBufferedBytes
	// start serves callers from a server at an address, and returns a connection on which a
	// request has been sent.
	start := func(address string, timeout time.Duration) (*http.Server, net.Conn) {
		GinkgoHelper()
		b := newExchangeBench(0)
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: address, Incarnation: 1, Slots: 20}}))
		in := &ingress{headers: b.f.headers, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			r := b.request(1, timeout)
			in.writeResult(w, hr, r, b.f.forward(hr.Context(), r))
		}), newCallerConns(), b.f.logs)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(&callerListener{Listener: l, callers: newCallerConns()}) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, "GET /x HTTP/1.0\r\nHost: example.com\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		return server, c
	}
	expectReset := func(c net.Conn) {
		GinkgoHelper()
		data, err := io.ReadAll(c)
		Expect(err).To(MatchError(syscall.ECONNRESET), "%d bytes", len(data))
	}

	for _, a := range wholeAnswers() {
		It("ends in order if it is whole: "+a.name, func() {
			_, c := start(a.serve(2*size), 5*time.Second)
			data, err := io.ReadAll(c)
			Expect(err).NotTo(HaveOccurred())
			_, body, _ := strings.Cut(string(data), "\r\n\r\n")
			Expect(body == strings.Repeat("x", size)).To(BeTrue(), "%d bytes", len(body))
		})
	}

	for _, a := range brokenAnswers() {
		if strings.Contains(a.name, "encoding") {
			continue
		}
		It("ends with a reset if the server breaks off: "+a.name, func() {
			_, c := start(a.serve(2*size), 500*time.Millisecond)
			// A stated length tells as well.
			if text := a.header(2 * size); strings.Contains(text, "Content-Length") {
				data, _ := io.ReadAll(c)
				Expect(len(data)).To(BeNumerically("<", 2*size))
				return
			}
			expectReset(c)
		})
	}

	It("ends with a reset if the host stops before it is whole", func() {
		silent := brokenAnswer{header: func(int) string { return fmt.Sprintf("Connection: %s\r\n", "close") }, end: func(net.Conn) { time.Sleep(5 * time.Second) }}
		server, c := start(silent.serve(2*size), 10*time.Second)
		_, err := io.ReadFull(c, make([]byte, size))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Close()).To(Succeed())
		expectReset(c)
	})
})
