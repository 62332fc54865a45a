package jetty

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

var _ = Describe("A request whose connection its server closes", func() {
	var b *exchangeBench
	BeforeEach(func() { b = newExchangeBench(0) })

	// send sends a request to a server that closes the connection, and returns the kind of
	// the failure.
	send := func(ends bool) Kind {
		GinkgoHelper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var server *http.Server
		server = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if ends {
				_ = server.Close()
			}
			panic(http.ErrAbortHandler)
		})}
		loop := &serverLoop{serve: server.Serve, listener: listener, logs: quietLogs()}
		go loop.run()
		DeferCleanup(server.Close)
		b.f.endChecks = newEndChecks(b.f.upstream)
		r := &request{
			id: "1", route: &fairway.Route{}, service: b.service, deadline: time.Now().Add(time.Second),
			outgoingRequest: outgoingRequest{Method: http.MethodGet, Target: "/", Header: make(http.Header)},
		}
		_, err = b.f.roundTrip(context.Background(), r, fairway.Endpoint{ID: "s", Address: listener.Addr().String()})
		return kindOf(err)
	}

	It("has failed with the server if that refuses new connections", func() {
		Expect(send(true)).To(Equal(KindServerEnded))
	})

	It("has failed alone if the server accepts new connections", func() {
		Expect(send(false)).To(Equal(KindReset))
	})

	It("has the server checked once for all requests that were there", func() {
		server := newOrderServer()
		u := newUpstream(requestConnections, nil)
		checks := newEndChecks(u)
		var requests sync.WaitGroup
		for range 8 {
			requests.Go(func() { checks.ended(fairway.Endpoint{ID: "s", Address: server.address}, nil) })
		}
		requests.Wait()
		_, opened := u.count()
		Expect(opened).To(Equal(map[opening]int64{{reason: openProbe}: 1}))
	})
})
