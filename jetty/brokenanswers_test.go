package jetty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// brokenAnswer is an answer that ends before it is whole: it has half of a body.
type brokenAnswer struct {
	name string
	// header are the header lines for a whole body of a size.
	header func(size int) string
	// chunked bodies come in one chunk of the whole size.
	chunked bool
	// end ends the answer, on a connection that is closed then.
	end func(c net.Conn)
}

// hold keeps the connection open for longer than the deadline of the request.
func hold(net.Conn) { time.Sleep(700 * time.Millisecond) }

func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

func brokenAnswers() []brokenAnswer {
	stated := func(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size) }
	chunked := func(int) string { return "Transfer-Encoding: chunked\r\n" }
	closing := func(int) string { return "Connection: close\r\n" }
	encoded := func(size int) string { return stated(size/2) + "Content-Encoding: gzip\r\n" }
	unframed := func(int) string { return "" }
	closed := func(net.Conn) {}
	return []brokenAnswer{
		{name: "shorter than stated, then closed", header: stated, end: closed},
		{name: "shorter than stated, then reset", header: stated, end: reset},
		{name: "shorter than stated, then silent", header: stated, end: hold},
		{name: "shorter than stated, on a connection that is to be closed", header: func(size int) string { return stated(size) + closing(size) }, end: closed},
		{name: "within a chunk, then closed", header: chunked, chunked: true, end: closed},
		{name: "within a chunk, then reset", header: chunked, chunked: true, end: reset},
		{name: "within a chunk, then silent", header: chunked, chunked: true, end: hold},
		{name: "without a length, reset midway", header: closing, end: reset},
		{name: "without a length, then silent", header: closing, end: hold},
		{name: "without a length and the word that it closes, reset midway", header: unframed, end: reset},
		{name: "without a length and the word that it closes, then silent", header: unframed, end: hold},
		{name: "with an encoding that was not asked for", header: encoded, end: closed},
	}
}

// wholeAnswers are answers with half of a body, which is all that their heads promise.
func wholeAnswers() []brokenAnswer {
	closed := func(net.Conn) {}
	return []brokenAnswer{
		{name: "with a length", header: func(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size/2) }, end: closed},
		{name: "without a length", header: func(int) string { return "Connection: close\r\n" }, end: closed},
		{name: "without a length and the word that it closes", header: func(int) string { return "" }, end: closed},
	}
}

// serve answers each request on a connection with half of a body of a size.
func (a brokenAnswer) serve(size int) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\n%s\r\n", r.Header.Get("Id"), a.header(size))
				if a.chunked {
					text += fmt.Sprintf("%x\r\n", size)
				}
				if _, err := io.WriteString(c, text+strings.Repeat("x", size/2)); err != nil {
					return
				}
				// What has been sent arrives before a reset.
				time.Sleep(20 * time.Millisecond)
				a.end(c)
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("An answer that breaks off", func() {
	// call has a caller send a request to a host, and returns the status, the body and the
	// error of its end.
	call := func(b *exchangeBench, closing bool, repeat fairway.Repeatability) (int, string, error) {
		GinkgoHelper()
		route := &fairway.Route{
			Name: "list", Host: "example.com", Prefix: "/", Repeat: repeat, MaxAttempts: 2, Objective: 300 * time.Millisecond,
			Destinations: []fairway.Destination{{Service: "readings", Weight: 1}},
		}
		config, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{route}, []*fairway.Service{b.service})
		Expect(err).NotTo(HaveOccurred())
		active := fairway.NewActiveConfig()
		active.SetIfNewer(config)
		in := &ingress{headers: b.f.headers, activeConfig: active, random: noDelay, forwarder: b.f, logs: b.f.logs, metrics: b.f.metrics}
		server := httptest.NewServer(in)
		defer server.Close()
		req, err := http.NewRequest(http.MethodGet, server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host, req.Close = "example.com", closing
		req.Header.Set("Id", fmt.Sprintf("request-%d", b.n.Add(1)))
		req.Header.Set("Left", "500")
		req.Header.Set("Key", "7")
		resp, err := server.Client().Do(req)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data), err
	}
	expectBroken := func(b *exchangeBench, closing bool, repeat fairway.Repeatability, address string) {
		GinkgoHelper()
		b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: address, Incarnation: 1, Slots: 20}}))
		status, body, err := call(b, closing, repeat)
		if err == nil {
			Expect(status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusGatewayTimeout)), "%d bytes", len(body))
			Expect(body).NotTo(ContainSubstring("x"))
		} else if status != 0 {
			Expect(status).To(Equal(http.StatusOK))
		}
		b.expectNothingLeft()
	}
	// carried returns a host whose requests a carrier sends to a server at an address.
	carried := func(address string) (*exchangeBench, *relayPeer) {
		GinkgoHelper()
		p := newRelayPeer()
		b, _ := newCarriedHost(p.address)
		for _, host := range []*exchangeBench{p.exchangeBench, b} {
			host.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: address, Incarnation: 1, Slots: 20}}))
			divideAt(host, address)
		}
		return b, p
	}
	expectCarried := func(p *relayPeer) {
		GinkgoHelper()
		_, opened := p.f.upstream.count()
		Expect(opened).NotTo(BeEmpty(), "connections of the carrier")
		p.expectNothingLeft()
	}
	for _, a := range brokenAnswers() {
		for _, size := range []int{10, 40_000, 4 * maxBufferedBytes} {
			It(fmt.Sprintf("reaches the caller as broken off: %s, %d bytes", a.name, size), func() {
				address := a.serve(size)
				for _, closing := range []bool{false, true} {
					for _, repeat := range []fairway.Repeatability{fairway.RepeatNever, fairway.RepeatAllowed} {
						expectBroken(newExchangeBench(100), closing, repeat, address)
					}
				}
			})

			It(fmt.Sprintf("reaches the caller as broken off through a peer: %s, %d bytes", a.name, size), func() {
				p := newRelayPeer()
				p.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: a.serve(size), Incarnation: 1, Slots: 20}}))
				b, _ := newCutHost(0, p.address)
				status, body, err := call(b, false, fairway.RepeatNever)
				if err == nil {
					Expect(status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusGatewayTimeout)), "%d bytes", len(body))
					Expect(body).NotTo(ContainSubstring("x"))
				}
				p.expectNothingLeft()
			})

			It(fmt.Sprintf("reaches the caller as broken off through a carrier: %s, %d bytes", a.name, size), func() {
				address := a.serve(size)
				b, p := carried(address)
				expectBroken(b, false, fairway.RepeatAllowed, address)
				expectCarried(p)
			})
		}
	}

	expectWhole := func(b *exchangeBench, closing bool, repeat fairway.Repeatability, size int) {
		GinkgoHelper()
		status, body, err := call(b, closing, repeat)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body == strings.Repeat("x", size/2)).To(BeTrue(), "%d bytes", len(body))
		b.expectNothingLeft()
	}
	for _, a := range wholeAnswers() {
		for _, size := range []int{10, 40_000, 4 * maxBufferedBytes} {
			It(fmt.Sprintf("is told apart from one that is whole: %s, %d bytes", a.name, size), func() {
				address := a.serve(size)
				for _, closing := range []bool{false, true} {
					for _, repeat := range []fairway.Repeatability{fairway.RepeatNever, fairway.RepeatAllowed} {
						b := newExchangeBench(0)
						b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: address, Incarnation: 1, Slots: 20}}))
						expectWhole(b, closing, repeat, size)
					}
				}
			})

			It(fmt.Sprintf("is told apart through a peer from one that is whole: %s, %d bytes", a.name, size), func() {
				p := newRelayPeer()
				p.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: a.serve(size), Incarnation: 1, Slots: 20}}))
				b, _ := newCutHost(0, p.address)
				expectWhole(b, false, fairway.RepeatNever, size)
				p.expectNothingLeft()
			})

			It(fmt.Sprintf("is told apart through a carrier from one that is whole: %s, %d bytes", a.name, size), func() {
				b, p := carried(a.serve(size))
				expectWhole(b, false, fairway.RepeatAllowed, size)
				expectCarried(p)
			})
		}
	}
})
