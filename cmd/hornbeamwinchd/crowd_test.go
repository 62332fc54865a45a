package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/platform/platformtest"
)

// Limits of the daemon in these tests, and so the bounds: resident memory at its peak, in MiB, and open descriptors.
const (
	crowdMemoryMB = 96
	crowdFDs      = 600
)

const crowdConfiguration = `{"version":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":16777216,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"crowd.example","rules":[
 {"name":"list","type":"safe","target_latency_s":3.9,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"billing","timeout_s":12,"max_attempts":2}}]}],
"clusters":[{"name":"billing","health_check_path":"/healthz","max_connections":90,"protocol":"h1"}]}`

// crowd is a number of misbehaving clients. Each opens a connection, sends a text in pieces and then only holds the connection.
type crowd struct {
	name    string
	clients int
	// text returns what a client sends to a path.
	text func(path string) string
	// reads has the clients read the answers.
	reads bool
}

func crowds() []crowd {
	const mib = 1 << 20
	head := func(path, fields string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: crowd.example\r\n" + fields
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1000, strings.Repeat("x", 1000))
	fields := func(size int) string {
		var b strings.Builder
		for n := 0; b.Len() < size; n++ {
			b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
		}
		return b.String()
	}
	legal, large := fields(10_000), fields(mib-20_000)
	return []crowd{
		{"bodies in one piece that stop short", 60, func(path string) string {
			return head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*mib)) + strings.Repeat("x", 4*mib-1)
		}, false},
		{"bodies in chunks that stop short", 60, func(path string) string {
			return head(path, "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat(chunk, 4000)
		}, false},
		{"bodies far over the limit", 60, func(path string) string {
			return head(path, "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat(chunk, 30_000)
		}, true},
		{"small bodies that never come", 700, func(path string) string { return head(path, "Content-Length: 100\r\n\r\n") }, false},
		{"many short fields and a body that stops short", 200, func(path string) string {
			return head(path, "Content-Length: 100\r\n"+legal+"\r\n") + "x"
		}, false},
		{"very many short fields without an end", 30, func(path string) string { return head(path, large) }, false},
		{"requests sent ahead whose answers are not read", 150, func(path string) string {
			return strings.Repeat("GET "+path+"?size=1000000 HTTP/1.1\r\nHost: crowd.example\r\n\r\n", 1000)
		}, false},
		{"connections that send nothing", 700, func(string) string { return "" }, false},
		{"heads that stop half-way", 700, func(path string) string { return head(path, "X: y") }, false},
	}
}

// crowdHost is a daemon with a server.
type crowdHost struct {
	*daemon
	ready, peer, admin string
	conns              []net.Conn
	peakFDs            int
}

// crowdHostConfig is how a daemon of these tests is started.
type crowdHostConfig struct {
	binary        string
	configuration string
	memoryMB      int
	maxFDs        int
	// servers is the number of servers, and register, if set, registers others.
	servers  int
	register func(store *platformtest.Store)
}

// startCrowdHost starts a daemon with a memory limit, in MiB, and one server.
func startCrowdHost(binary string, memoryMB int, configuration string) *crowdHost {
	GinkgoHelper()
	return crowdHostConfig{binary: binary, configuration: configuration, memoryMB: memoryMB, maxFDs: crowdFDs, servers: 1}.start()
}

// start starts a daemon.
func (cfg crowdHostConfig) start() *crowdHost {
	GinkgoHelper()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	DeferCleanup(server.Close)
	store.Put("op/config", []byte(cfg.configuration))
	for n := range cfg.servers {
		backend, err := platformtest.StartBackendServer(platformtest.BackendServerConfig{
			Store: store, ID: fmt.Sprintf("b%d", n), Service: "billing", Domain: "zone-a", Slots: 20,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Kill)
	}
	if cfg.register != nil {
		cfg.register(store)
	}
	const addressCount = 4
	addresses := freeAddresses(addressCount)
	text := string(platformtest.HostSettings{
		Name: "host-0", IP: loopbackIP(), Domain: "zone-a", CallerAddress: addresses[0], ReadyAddress: addresses[1],
		InternalPorts: [2]int{portOf(addresses[2]), portOf(addresses[2]) + 1}, StoreAddress: strings.TrimPrefix(server.URL, "http://"), FirstStart: true,
	}.Encode())
	text = strings.Replace(text, "memory_mb: 200", fmt.Sprintf("memory_mb: %d, max_fds: %d", cfg.memoryMB, cfg.maxFDs), 1)
	file := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	h := &crowdHost{daemon: startProcess(cfg.binary, "--platform", "--settings", file), ready: addresses[1], peer: addresses[2]}
	h.callerAddress, h.admin = addresses[0], fmt.Sprintf("%s:%d", loopbackIP(), portOf(addresses[2])+1)
	h.expectServed()
	return h
}

// play has a crowd send to a door, and returns once no client has made progress for a while.
func (h *crowdHost) play(c crowd, address, path string) {
	text := c.text(path)
	var senders sync.WaitGroup
	for range c.clients {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		h.conns = append(h.conns, nc)
		if !c.reads {
			// What a client does not read is then held by the daemon, not by the kernel.
			_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		senders.Go(func() {
			if c.reads {
				go func() { _, _ = bufio.NewReader(nc).WriteTo(nullWriter{}) }()
			}
			const pieceBytes = 64 << 10
			for rest := text; rest != ""; {
				n := min(len(rest), pieceBytes)
				_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := nc.Write([]byte(rest[:n])); err != nil {
					return
				}
				rest = rest[n:]
			}
		})
	}
	done := make(chan struct{})
	go func() { senders.Wait(); close(done) }()
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(20 * time.Millisecond):
		}
		h.countFDs()
	}
	for range 75 {
		time.Sleep(40 * time.Millisecond)
		h.countFDs()
	}
}

// zeros is a reader without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}

type nullWriter struct{}

// Write implements io.Writer.
func (nullWriter) Write(data []byte) (int, error) { return len(data), nil }

func (h *crowdHost) countFDs() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.Command.Process.Pid))
	if err == nil {
		h.peakFDs = max(h.peakFDs, len(entries))
	}
}

// peakMemoryMB returns the largest resident memory so far, in MiB.
func (h *crowdHost) peakMemoryMB() int {
	GinkgoHelper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, text, _ := strings.Cut(string(data), "VmHWM:")
	kib, err := strconv.Atoi(strings.Fields(text)[0])
	Expect(err).NotTo(HaveOccurred())
	return kib >> 10
}

// expectServed checks that an ordinary request and a health check are answered, at once or later.
func (h *crowdHost) expectServed() {
	GinkgoHelper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(url string) func() (int, error) {
		return func() (int, error) {
			r, err := http.NewRequest(http.MethodGet, url, nil)
			if err != nil {
				return 0, err
			}
			r.Host = "crowd.example"
			resp, err := client.Do(r)
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, resp.Body.Close()
		}
	}
	Eventually(get("http://"+h.ready+"/-/readyz")).WithTimeout(endTimeout).Should(Equal(http.StatusOK), "health check")
	Eventually(get("http://"+h.callerAddress+"/list/x")).WithTimeout(endTimeout).Should(Equal(http.StatusOK), "ordinary request")
}

// expectHeld checks the bounds while the crowd holds its connections, and reports the peaks.
func (h *crowdHost) expectHeld() {
	GinkgoHelper()
	Expect(h.ExitCode()).To(Equal(-1), "the daemon has ended; its output:\n%.4000s", h.output())
	memory := h.peakMemoryMB()
	AddReportEntry("peak", fmt.Sprintf("%d MiB, %d descriptors", memory, h.peakFDs))
	fmt.Fprintf(os.Stderr, "peak of %q: %d MiB, %d descriptors\n", CurrentSpecReport().LeafNodeText, memory, h.peakFDs)
	h.expectServed()
	Expect(memory).To(BeNumerically("<=", crowdMemoryMB), "MiB of memory")
	Expect(h.peakFDs).To(BeNumerically("<=", crowdFDs), "descriptors")
}

// The crowds guard against a process that ends for want of memory or descriptors, or serves nobody else any more.
var _ = Describe("A daemon among misbehaving clients", Label("crowd"), Ordered, ContinueOnFailure, func() {
	var binary string
	BeforeAll(func() { binary = buildDaemon() })

	for _, c := range crowds() {
		for _, door := range []struct {
			name, path string
			address    func(h *crowdHost) string
		}{
			{"a route", "/list/x", func(h *crowdHost) string { return h.callerAddress }},
			{"a path without a route", "/none", func(h *crowdHost) string { return h.callerAddress }},
			{"the ready address", "/-/readyz", func(h *crowdHost) string { return h.ready }},
			{"the admin address", "/readyz", func(h *crowdHost) string { return h.admin }},
			{"the peer address", "/", func(h *crowdHost) string { return h.peer }},
		} {
			It("stays within its limits: "+c.name+", at "+door.name, func() {
				h := startCrowdHost(binary, crowdMemoryMB, crowdConfiguration)
				h.play(c, door.address(h), door.path)
				h.expectHeld()
				for _, nc := range h.conns {
					_ = nc.Close()
				}
			})
		}
	}

	// The smallest host of the platform refused the largest body, also when it had nothing else to do.
	for _, chunked := range []bool{false, true} {
		It(fmt.Sprintf("serves a single body of the largest size (in chunks: %t)", chunked), func() {
			const memoryMB, bodyBytes = 144, 64 << 20
			h := startCrowdHost(binary, memoryMB, strings.Replace(crowdConfiguration, "16777216", strconv.Itoa(bodyBytes), 1))
			for range 3 {
				r, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddress+"/list/x", io.LimitReader(zeros{}, bodyBytes))
				Expect(err).NotTo(HaveOccurred())
				r.Host = "crowd.example"
				if !chunked {
					r.ContentLength = bodyBytes
				}
				resp, err := http.DefaultClient.Do(r)
				Expect(err).NotTo(HaveOccurred())
				// The connection is used again once the response is read, and then the body's memory is free. On
				// a new connection the next body could come before that, and be refused.
				text, err := io.ReadAll(resp.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
				Expect(resp.StatusCode).To(Equal(http.StatusOK), "%.100s", text)
			}
			Expect(h.peakMemoryMB()).To(BeNumerically("<=", memoryMB))
			fmt.Fprintf(os.Stderr, "peak of %q: %d MiB\n", CurrentSpecReport().LeafNodeText, h.peakMemoryMB())
		})
	}
})
