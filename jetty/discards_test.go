package jetty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"hornbeamwinch.example/fairway"
)

// A crowd whose bodies were refused had the host read them all, and do nothing else.
var _ = Describe("Bodies that are refused", func() {
	const bodyBytes, burst, callerCount = 8 << 20, 4 << 20, 20
	var address string
	var read atomic.Int64
	var in *ingress
	BeforeEach(func() {
		b := newExchangeBench(0)
		route := &fairway.Route{
			Name: "upload", Host: "example.com", Prefix: "/", Repeat: fairway.RepeatNever, MaxAttempts: 2, Objective: time.Second,
			Destinations: []fairway.Destination{{Service: "readings", Weight: 1}},
		}
		config, err := fairway.NewConfig(1, fairway.Limits{BodyBytes: 64 << 20}, []*fairway.Route{route}, []*fairway.Service{b.service})
		Expect(err).NotTo(HaveOccurred())
		active := b.f.clusterState.activeConfig
		active.SetIfNewer(config)
		b.f.bodies = newBodyBudget(184)
		_, ok := b.f.bodies.reserve(64 << 20)
		Expect(ok).To(BeTrue())
		in = &ingress{
			headers: b.f.headers, activeConfig: active, random: noDelay, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics,
			// No more than the burst within the test.
			discards: &discards{limiter: rate.NewLimiter(1, burst)},
		}
		callers := newCallerConns()
		callers.buffersBounded = true
		l, err := listenConfig{address: "127.0.0.1:0", receiveBytes: callerReceiveBytes}.listen()
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		read.Store(0)
		server := newCallerServer(in, callers, b.f.logs)
		go func() {
			_ = server.Serve(&callerListener{Listener: countingListener{Listener: l, reads: new(atomic.Int64), read: &read}, callers: callers})
		}()
		DeferCleanup(server.Close)
	})
	// upload sends a body, and returns the connection.
	upload := func(n int, deadline time.Duration) net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: example.com\r\nId: request-%d\r\nLeft: %d\r\nContent-Length: %d\r\n\r\n", n, deadline.Milliseconds(), bodyBytes)
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = io.Copy(c, io.LimitReader(endlessReader{}, bodyBytes)) }()
		return c
	}
	expectRefused := func(c net.Conn) {
		GinkgoHelper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(string(reasonNoMemory) + "\n"))
	}

	It("are read no further than all of them together may be, and each caller that reads gets its refusal", func() {
		// A deadline that does not come within the test.
		conns := make([]net.Conn, callerCount)
		for n := range conns {
			conns[n] = upload(n, 20*time.Second)
		}
		for _, c := range conns {
			expectRefused(c)
		}
		const readAheadBytes = 4 << 10
		Consistently(read.Load).WithTimeout(time.Second).Should(BeNumerically("<=", burst+callerCount*(readAheadBytes+1<<10)))
	})

	It("end with their connection where they are not read any more, and their refusal arrives before", func() {
		Expect(in.discards.limiter.AllowN(time.Now(), burst)).To(BeTrue())
		c := upload(0, 20*time.Second)
		expectRefused(c)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, c)
		}()
		Eventually(ended).WithTimeout(10 * time.Second).Should(BeClosed())
	})

	It("let their request end once their connection is reset", func() {
		in.discards.limiter = rate.NewLimiter(rate.Every(time.Second), discardPieceBytes)
		Expect(in.discards.limiter.AllowN(time.Now(), discardPieceBytes)).To(BeTrue())
		ended := make(chan struct{})
		var conn atomic.Pointer[callerConn]
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		server := newCallerServer(http.HandlerFunc(func(_ http.ResponseWriter, hr *http.Request) {
			conn.Store(hr.Context().Value(callerConnKey{}).(*callerConn))
			defer close(ended)
			in.discards.discard(hr, time.Now().Add(24*time.Hour))
		}), newCallerConns(), in.logs)
		go func() { _ = server.Serve(&callerListener{Listener: l, callers: newCallerConns()}) }()
		DeferCleanup(server.Close)
		upload(0, 20*time.Second)
		Eventually(conn.Load).ShouldNot(BeNil())
		Consistently(ended).WithTimeout(200 * time.Millisecond).ShouldNot(BeClosed())
		conn.Load().reset()
		Eventually(ended).Should(BeClosed())
	})
})
