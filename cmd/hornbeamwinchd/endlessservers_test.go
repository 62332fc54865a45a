package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/platform/platformtest"
)

// endlessConfiguration has a service whose servers send without end, one that is divided by key,
// so that its servers get orders, and a sound one.
const endlessConfiguration = `{"version":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":16777216,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"crowd.example","rules":[
 {"name":"list","type":"safe","target_latency_s":3.9,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"billing","timeout_s":12,"max_attempts":2}},
 {"name":"read","type":"safe","target_latency_s":3.9,"priority":1,"match":{"prefix":"/read/"},"action":{"service":"gauges","timeout_s":12,"max_attempts":2}},
 {"name":"faulty","type":"safe","target_latency_s":3.9,"priority":1,"match":{"prefix":"/faulty/"},"action":{"service":"faulty","timeout_s":12,"max_attempts":2}}]}],
"clusters":[
 {"name":"billing","health_check_path":"/healthz","max_connections":90,"protocol":"h1"},
 {"name":"gauges","health_check_path":"/healthz","max_connections":90,"protocol":"h1","sharded":true,"warmup_s":1,"grants":"call"},
 {"name":"faulty","health_check_path":"/healthz","max_connections":90,"protocol":"h1"}]}`

// endlessReply is what a faulty server sends to each request, until its connection is closed. ID
// stands for the id of the request.
type endlessReply struct {
	name, start, repeat string
}

func endlessReplies() []endlessReply {
	const (
		signed  = "HTTP/1.1 200 OK\r\nHornbeamwinch-Request-Id: ID\r\nHornbeamwinch-Server-Signature: y\r\n"
		chunked = signed + "Transfer-Encoding: chunked\r\n\r\n"
	)
	return []endlessReply{
		{"a status line", "HTTP/1.1 200 ", "O"},
		{"a header", signed + "X: ", "x"},
		{"many short headers", signed, "x:\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"a body without a length", signed + "\r\n", "x"},
		{"a body in chunks", chunked, "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"a chunk's extension", chunked + "1;", "x"},
		{"trailers", chunked + "0\r\n", "x:\r\n"},
	}
}

// endlessServer is a backend server that sends a reply without end to each request and order.
type endlessServer struct {
	listener net.Listener
	reply    endlessReply
	sent     *atomic.Int64
}

// startEndlessServer starts a server and registers it.
func startEndlessServer(store *platformtest.Store, service, id string, reply endlessReply, sent *atomic.Int64) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	store.Put("servers/"+id, fmt.Appendf(nil, `{"address":"%s","info":{"service":"%s","version":"v1","zone":"zone-a","slots":20},`+
		`"status":{"state":"ready","sequence":1,"cold_remaining_s":0},"born":%d}`, l.Addr(), service, time.Now().UnixMilli()))
	s := &endlessServer{listener: l, reply: reply, sent: sent}
	go s.run()
}

func (s *endlessServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *endlessServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	const pieceBytes = 16 << 10
	text := strings.ReplaceAll(s.reply.start, "ID", r.Header.Get("Hornbeamwinch-Request-Id"))
	piece := strings.Repeat(s.reply.repeat, 1+pieceBytes/len(s.reply.repeat))
	for {
		n, err := io.WriteString(c, text)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		text = piece
	}
}

// endlessCallers send requests to faulty servers until stop is set.
type endlessCallers struct {
	address string
	stop    atomic.Bool
	running sync.WaitGroup
}

func (e *endlessCallers) start(count int) {
	for n := range count {
		e.running.Go(func() { e.run(n) })
	}
}

// run sends one request after another, and reads what it gets for up to a second.
func (e *endlessCallers) run(n int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; !e.stop.Load(); i++ {
		path := "/faulty/x"
		if n%4 == 0 {
			path = "/read/x"
		}
		r, err := http.NewRequest(http.MethodGet, "http://"+e.address+path, nil)
		if err != nil {
			return
		}
		r.Host = "crowd.example"
		r.Header.Set("Hornbeamwinch-Request-Id", fmt.Sprintf("endless-%d-%d", n, i))
		r.Header.Set("Hornbeamwinch-Shard-Key", fmt.Sprint(n*97%65536))
		resp, err := client.Do(r)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// Many servers at once that send without end, each within the bounds of one response, may not
// take a process out of its memory, nor keep other callers from their answers.
var _ = Describe("A daemon whose servers send without end", Label("crowd"), Ordered, ContinueOnFailure, func() {
	const (
		faultyServers = 30
		keyServers    = 10
		callers       = 400
		playTime      = 6 * time.Second
		descriptors   = 3000
	)
	var binary string
	BeforeAll(func() { binary = buildDaemon() })

	for _, reply := range endlessReplies() {
		It("stays within its memory and serves other callers: "+reply.name, func() {
			var sent atomic.Int64
			h := crowdHostConfig{
				binary: binary, configuration: endlessConfiguration, memoryMB: crowdMemoryMB, maxFDs: descriptors, servers: 1,
				register: func(store *platformtest.Store) {
					for n := range faultyServers {
						startEndlessServer(store, "faulty", fmt.Sprintf("f%d", n), reply, &sent)
					}
					for n := range keyServers {
						startEndlessServer(store, "gauges", fmt.Sprintf("g%d", n), reply, &sent)
					}
				},
			}.start()
			e := &endlessCallers{address: h.callerAddress}
			e.start(callers)
			for began := time.Now(); time.Since(began) < playTime; time.Sleep(200 * time.Millisecond) {
				h.countFDs()
				h.expectServed()
			}
			Expect(h.ExitCode()).To(Equal(-1), "the daemon has ended; its output:\n%.4000s", h.output())
			memory := h.peakMemoryMB()
			fmt.Fprintf(os.Stderr, "peak of %q: %d MiB, %d descriptors, %d MiB sent\n", CurrentSpecReport().LeafNodeText, memory, h.peakFDs, sent.Load()>>20)
			e.stop.Store(true)
			e.running.Wait()
			Expect(sent.Load()).To(BeNumerically(">", crowdMemoryMB<<20), "bytes sent")
			Expect(memory).To(BeNumerically("<=", crowdMemoryMB), "MiB of memory")
		})
	}
})
