package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// answerCrowd is a number of clients that send requests ahead on a connection and read no answer.
type answerCrowd struct {
	name     string
	clients  int
	memoryMB int
	// query is that of the requests, and ahead how many of them a client sends.
	query string
	ahead int
	// closes has the clients ask for their connection to be closed after the answer.
	closes bool
	// bodies has a crowd of large bodies that stop short beside it.
	bodies int
}

func answerCrowds() []answerCrowd {
	return []answerCrowd{
		{name: "answers with a length", clients: 1200, memoryMB: 96, query: "?size=600000", ahead: 100},
		{name: "answers without a length", clients: 1200, memoryMB: 96, query: "?size=600000&form=unframed", ahead: 100},
		{name: "answers with a length, at a host of 144 MiB", clients: 1500, memoryMB: 144, query: "?size=600000", ahead: 100},
		{name: "answers with a length, beside large bodies that stop short", clients: 1200, memoryMB: 144, query: "?size=600000", ahead: 100, bodies: 300},
		{name: "one answer for each client", clients: 1200, memoryMB: 96, query: "?size=60000", ahead: 1},
		{name: "one answer for each client, beside large bodies that stop short", clients: 600, memoryMB: 144, query: "?size=60000", ahead: 1, bodies: 10},
		{name: "answers on connections that the host is asked to close", clients: 3000, memoryMB: 96, query: "?size=60000", ahead: 1, closes: true},
	}
}

// play has the crowd send, and returns once no client makes progress any more. The connections stay open.
func (c answerCrowd) play(h *crowdHost) {
	const sendTimeout, settleTime = 3 * time.Second, 3 * time.Second
	fields := ""
	if c.closes {
		fields = "Connection: close\r\n"
	}
	var senders sync.WaitGroup
	for n := range c.clients {
		nc, err := net.DialTimeout("tcp", h.callerAddress, time.Second)
		if err != nil {
			continue
		}
		h.conns = append(h.conns, nc)
		// What a client does not read is then held by the host.
		_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		var text strings.Builder
		for i := range c.ahead {
			fmt.Fprintf(&text, "GET /list/x%s HTTP/1.1\r\nHost: crowd.example\r\nHornbeamwinch-Request-Id: crowd-%d-%d\r\n%s\r\n", c.query, n, i, fields)
		}
		senders.Go(func() {
			_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
			// The host may have closed the connection.
			_, _ = nc.Write([]byte(text.String()))
		})
	}
	if c.bodies > 0 {
		bodyCrowd{clients: c.bodies, bodyBytes: 64 << 20}.play(h)
	}
	senders.Wait()
	time.Sleep(settleTime)
	h.countFDs()
}

var _ = Describe("A daemon among clients that do not read their answers", Label("crowd"), Ordered, ContinueOnFailure, func() {
	const maxFDs = 3075
	var binary string
	BeforeAll(func() { binary = buildDaemon() })

	for _, c := range answerCrowds() {
		It("holds no more memory than its host has, in the kernel too: "+c.name, func() {
			configuration := strings.NewReplacer("16777216", "67108864", `"max_connections":90`, `"max_connections":590`).Replace(crowdConfiguration)
			h := crowdHostConfig{binary: binary, configuration: configuration, memoryMB: c.memoryMB, maxFDs: maxFDs, servers: 10}.start()
			w := h.watchMemory()
			c.play(h)
			h.expectHeldWithin(w, c.memoryMB, maxFDs)
		})
	}
})
