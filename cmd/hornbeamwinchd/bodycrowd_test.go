package main

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bodyCrowd is a number of clients whose bodies have a legal size and stop one byte short of their end.
type bodyCrowd struct {
	name     string
	clients  int
	memoryMB int
	// bodyBytes is the largest body that the configuration allows, and what each client begins to send.
	bodyBytes int
	chunked   bool
	// pieceBytes is how much a client sends before the next one goes on; 0 means all of it.
	pieceBytes int
	suspension suspension
	// rounds is how often a client whose connection is closed connects again and sends anew.
	rounds int
	// whole has the clients send the last byte too, and query is that of their requests.
	whole bool
	query string
	// door is the address to which the clients connect; nil means that for callers.
	door func(h *crowdHost) (address, path string)
}

// suspension says when the process is suspended for a while.
type suspension int

const (
	// suspendedLate means once all clients have begun to send, and suspendedEarly before they connect. The zero
	// value means never.
	suspendedLate suspension = iota + 1
	suspendedEarly
)

func bodyCrowds() []bodyCrowd {
	const mib = 1 << 20
	return []bodyCrowd{
		{name: "bodies in one piece", clients: 200, memoryMB: 96, bodyBytes: 16 * mib},
		{name: "bodies in chunks", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, chunked: true},
		{name: "bodies piece by piece", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, pieceBytes: 64 << 10},
		{name: "bodies in chunks, piece by piece", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, chunked: true, pieceBytes: 64 << 10},
		{name: "bodies in one piece, to a process that is suspended meanwhile", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, suspension: suspendedLate},
		{name: "bodies in chunks, to a process that is suspended meanwhile", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, chunked: true, suspension: suspendedLate},
		{name: "bodies of clients that connect to a process that is suspended", clients: 1500, memoryMB: 96, bodyBytes: 16 * mib, suspension: suspendedEarly},
		{name: "bodies of clients that come back when they are refused", clients: 100, memoryMB: 96, bodyBytes: 16 * mib, rounds: 10},
		{name: "whole bodies, which servers read late", clients: 200, memoryMB: 96, bodyBytes: mib, whole: true, query: "?late=1&work=3s"},
		{name: "bodies of requests without a route", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, door: func(h *crowdHost) (string, string) { return h.callerAddress, "/none" }},
		{name: "bodies at the ready address", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, door: func(h *crowdHost) (string, string) { return h.ready, "/-/readyz" }},
		{name: "bodies at the admin address", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, door: func(h *crowdHost) (string, string) { return h.admin, "/readyz" }},
		{name: "bodies at the peer address", clients: 200, memoryMB: 96, bodyBytes: 16 * mib, door: func(h *crowdHost) (string, string) { return h.peer, "/" }},
		{name: "small bodies", clients: 200, memoryMB: 96, bodyBytes: mib},
		{name: "bodies in one piece, at a host of 144 MiB", clients: 300, memoryMB: 144, bodyBytes: 64 * mib},
		{name: "bodies in one piece, at a host of 284 MiB", clients: 300, memoryMB: 284, bodyBytes: 64 * mib},
	}
}

// text returns what each client sends.
func (c bodyCrowd) text(path string) []byte {
	size := c.bodyBytes - 1
	if c.whole {
		size++
	}
	head := "POST " + path + " HTTP/1.1\r\nHost: crowd.example\r\nHornbeamwinch-Request-Id: crowd\r\n"
	if !c.chunked {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", c.bodyBytes)
		return append([]byte(head), bytes.Repeat([]byte("x"), size)...)
	}
	const chunkBytes = 1000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	return append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte(chunk), c.bodyBytes/chunkBytes)...)
}

// play has the crowd send, and returns once no client makes progress any more. The connections stay open.
func (c bodyCrowd) play(h *crowdHost) {
	const suspendAfter = 100 * time.Millisecond
	address, path := h.callerAddress, "/list/x"
	if c.door != nil {
		address, path = c.door(h)
	}
	text := c.text(path + c.query)
	if c.suspension == suspendedEarly {
		h.suspend()
	}
	for range c.clients {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			// The queue of connections is full, or the host has closed the connection.
			continue
		}
		h.conns = append(h.conns, nc)
	}
	var senders sync.WaitGroup
	for i, nc := range h.conns {
		senders.Go(func() {
			for round := 0; !c.send(nc, text) && round < c.rounds; round++ {
				_ = nc.Close()
				next, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					return
				}
				nc, h.conns[i] = next, next
			}
		})
	}
	if c.suspension == suspendedLate {
		time.Sleep(suspendAfter)
		h.suspend()
	}
	senders.Wait()
	h.countFDs()
}

// send sends a text, and reports whether all of it was sent.
func (c bodyCrowd) send(nc net.Conn, text []byte) bool {
	const sendTimeout = 3 * time.Second
	for rest := text; len(rest) > 0; time.Sleep(time.Millisecond) {
		piece := rest
		if c.pieceBytes > 0 {
			piece = rest[:min(len(rest), c.pieceBytes)]
		}
		_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
		if _, err := nc.Write(piece); err != nil {
			return false
		}
		rest = rest[len(piece):]
	}
	return true
}

// suspend stops the process for a while.
func (h *crowdHost) suspend() {
	const duration = 2 * time.Second
	h.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { h.Signal(syscall.SIGCONT) })
}

var _ = Describe("A daemon among clients whose large bodies stop short", Label("crowd"), Ordered, ContinueOnFailure, func() {
	var binary string
	BeforeAll(func() { binary = buildDaemon() })

	for _, c := range bodyCrowds() {
		It("holds no more memory than its host has, in the kernel too: "+c.name, func() {
			h := startCrowdHost(binary, c.memoryMB, strings.Replace(crowdConfiguration, "16777216", strconv.Itoa(c.bodyBytes), 1))
			w := h.watchMemory()
			c.play(h)
			h.expectHeldWithin(w, c.memoryMB, crowdFDs)
		})
	}

	It("ends in order when it is told to", func() {
		h := startCrowdHost(binary, crowdMemoryMB, crowdConfiguration)
		bodyCrowd{clients: 200, bodyBytes: 16 << 20}.play(h)
		h.Terminate().Wait(endTimeout)
		Expect(h.ExitCode()).To(BeZero(), "its output:\n%.4000s", h.output())
		for _, nc := range h.conns {
			_ = nc.Close()
		}
	})
})
