package quay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/quay"
)

// A host kept all of a head without an end, until it had no memory left.
var _ = Describe("The head of a response that does not end", func() {
	const (
		maxTaken = 8 << 20
		timeout  = 5 * time.Second
	)
	for name, text := range map[string][2]string{
		"in its status line":                   {"HTTP/1.1 200 ", "O"},
		"in a header":                          {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"in many headers":                      {"HTTP/1.1 200 OK\r\n", "x:\r\n"},
		"in the header of an interim response": {"HTTP/1.1 103 Early Hints\r\nX: ", "x"},
	} {
		It("closes its connection: "+name, func() {
			sent := make(chan int, 100)
			f := newRouterFixture(func(c net.Conn, _ *http.Request) bool {
				_ = c.SetDeadline(time.Now().Add(timeout))
				n := 0
				piece := strings.Repeat(text[1], (32<<10)/len(text[1]))
				for data := text[0]; n < maxTaken; data = piece {
					written, err := io.WriteString(c, data)
					n += written
					if err != nil {
						break
					}
				}
				sent <- n
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			sink := &statusSink{}
			outcome := f.router.Route(ctx, &quay.Request{ID: "r1", Service: readings, Key: "tank-1", Method: http.MethodPost, Header: make(http.Header)}, sink)
			Expect(outcome).To(BeAssignableToTypeOf(quay.Unknown{}))
			Expect(sink.status).To(BeZero())
			Eventually(sent, timeout).Should(Receive(BeNumerically("<", maxTaken)))
		})
	}
})
