package jetty

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// cutHeads are heads of answers, in which ID stands for the id of the request. The body that
// would follow them is never sent.
var cutHeads = map[string]string{
	"with a length":              "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 50000\r\n\r\n",
	"with a length first":        "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\nSigned: y\r\nId: ID\r\n\r\n",
	"in chunks":                  "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n",
	"with lines that end in LF":  "HTTP/1.1 200 OK\nId: ID\nSigned: y\nContent-Length: 50000\n\n",
	"of a closing connection":    "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nConnection: close\r\nContent-Length: 50000\r\n\r\n",
	"with a continued line":      "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length:\r\n 50000\r\n\r\n",
	"after an interim answer":    "HTTP/1.1 103 Early Hints\r\nSigned: y\r\nId: ID\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 50000\r\n\r\n",
	"of HTTP/1.0":                "HTTP/1.0 200 OK\r\nId: ID\r\nSigned: y\r\nContent-Length: 50000\r\n\r\n",
	"of a rejection":             "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: y\r\nContent-Length: 50000\r\n\r\n",
	"of a status without a body": "HTTP/1.1 204 No Content\r\nId: ID\r\nSigned: y\r\n\r\n",
}

// serveCutHead answers each request with the first bytes of a head, as many as cut says, and
// ends the connection, with a reset if reset is set.
func serveCutHead(head string, cut *atomic.Int64, reset *atomic.Bool) string {
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
				text := strings.ReplaceAll(head, "ID", r.Header.Get("Id"))
				_, _ = io.WriteString(c, text[:cut.Load()])
				if reset.Load() {
					// What has been sent arrives before a reset.
					time.Sleep(time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("An answer that ends within its head", func() {
	expectNoAnswer := func(res result, method string, at int) {
		GinkgoHelper()
		switch res := res.(type) {
		case gatewayError:
			Expect(res.status).To(Equal(http.StatusBadGateway), "%s, %d bytes", method, at)
		default:
			Fail(fmt.Sprintf("%s, %d bytes: %T %v", method, at, res, res))
		}
	}
	for name, head := range cutHeads {
		It("is no answer, wherever it ends: "+name, func() {
			var cut atomic.Int64
			var reset atomic.Bool
			address := serveCutHead(head, &cut, &reset)
			b := newExchangeBench(1000)
			b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: address, Incarnation: 1, Slots: 20}}))
			const id = "id-123456"
			for at := range len(strings.ReplaceAll(head, "ID", id)) {
				for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
					for _, byReset := range []bool{false, true} {
						cut.Store(int64(at))
						reset.Store(byReset)
						r := b.request(1, time.Second)
						r.id, r.route.Repeat = id, fairway.RepeatNever
						r.outgoingRequest.Method = method
						r.outgoingRequest.Header.Set("Id", id)
						endpoint, _ := b.f.clusterState.catalog().Get("s")
						resp, err := b.f.roundTrip(context.Background(), r, endpoint)
						Expect(err).To(HaveOccurred(), "%s, %d bytes, %v", method, at, resp)
						Expect(kindOf(err)).To(Or(Equal(KindReset), Equal(KindInvalidResponse)), "%s, %d bytes: may have run", method, at)
					}
				}
			}
			Expect(b.connectionsInUse()).To(BeZero())
		})
	}

	It("leaves the outcome of the request unknown", func() {
		head := strings.ReplaceAll(cutHeads["with a length"], "ID", "request-1")
		for at := range head {
			var cut atomic.Int64
			var reset atomic.Bool
			cut.Store(int64(at))
			b := newExchangeBench(100)
			b.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: serveCutHead(cutHeads["with a length"], &cut, &reset), Incarnation: 1, Slots: 20}}))
			r := b.request(3, time.Second)
			r.route.Repeat = fairway.RepeatNever
			var res timedResult
			Eventually(b.send(context.Background(), r), 3*time.Second).Should(Receive(&res))
			expectNoAnswer(res.result, r.outgoingRequest.Method, at)
			b.expectNothingLeft()
		}
	})

	It("reaches no caller through a peer", func() {
		head := strings.ReplaceAll(cutHeads["with a length"], "ID", "request-1")
		for at := 0; at < len(head); at += 7 {
			var cut atomic.Int64
			var reset atomic.Bool
			cut.Store(int64(at))
			p := newRelayPeer()
			p.f.clusterState.servers.Store(fairway.NewCatalog([]fairway.Endpoint{{ID: "s", Service: "readings", Address: serveCutHead(cutHeads["with a length"], &cut, &reset), Incarnation: 1, Slots: 20}}))
			b, _ := newCutHost(0, p.address)
			r := b.request(1, time.Second)
			r.route.Repeat = fairway.RepeatNever
			var res timedResult
			Eventually(b.send(context.Background(), r), 3*time.Second).Should(Receive(&res))
			expectNoAnswer(res.result, "through a peer", at)
			p.expectNothingLeft()
		}
	})
})
