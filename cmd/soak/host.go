package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"

	"hornbeamwinch.example/platform"
	"hornbeamwinch.example/platform/platformtest"
)

// host is an entry host that runs in a process of its own and may be restarted.
type host struct {
	n      int
	daemon string
	dir    string
	// settings is the path of the settings file, and content what it has.
	settings      string
	content       platformtest.HostSettings
	callerAddress string
	readyAddress  string
	storeProxy    *faultProxy

	mu sync.Mutex
	// processes has all processes of the host; the last one may be running.
	processes []*process
}

// process is one process of a host. The host's mutex guards its fields.
type process struct {
	host *host
	n    int
	cmd  *exec.Cmd
	log  *os.File
	// exited is closed when the process has ended.
	exited chan struct{}
	// terminatedAt is when it was first sent a SIGTERM; zero if it was not.
	terminatedAt time.Time
	killed       bool
	// signaledEarly is whether the last signal was sent before the process listened,
	// when its default action may end the process.
	signaledEarly bool
	exitedAt      time.Time
}

// domains is the number of failure domains.
const domains = 2

// The hosts listen on ports from firstPort up to lastPort, below the range from
// which the kernel assigns ephemeral ports to outgoing connections.
const (
	firstPort = 21000
	lastPort  = 32000
)

// loopbackIP returns an address of the loopback network that depends on the id of
// this process. With a shared address, concurrent soaks would take each other's
// ports while a host restarts.
func loopbackIP() string {
	const values = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/values%values, 1+os.Getpid()%values)
}

func newHost(n int, cfg testbedConfig, storeAddress string) (*host, error) {
	storeProxy, err := newFaultProxy(fmt.Sprintf("store of host %d", n), storeAddress)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{
		n: n, daemon: cfg.Daemon, dir: cfg.Dir, storeProxy: storeProxy,
		callerAddress: fmt.Sprintf("%s:%d", loopbackIP(), ports[0]), readyAddress: fmt.Sprintf("%s:%d", loopbackIP(), ports[1]),
		settings: filepath.Join(cfg.Dir, fmt.Sprintf("seed-%d-host-%d.yaml", cfg.Seed, n)),
	}
	h.content = platformtest.HostSettings{
		Name: fmt.Sprintf("host-%d", n), IP: loopbackIP(), Domain: fmt.Sprintf("domain-%d", n%domains),
		CallerAddress: h.callerAddress, ReadyAddress: h.readyAddress, InternalPorts: [2]int{ports[2], ports[3]}, StoreAddress: storeProxy.address(), FirstStart: true,
	}
	return h, nil
}

var nextPort = firstPort

// freePorts returns consecutive ports that nothing listens on.
func freePorts(count int) ([]int, error) {
	for ; nextPort+count < lastPort; nextPort += count {
		var ports []int
		for p := nextPort; p < nextPort+count; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackIP(), p))
			if err != nil {
				break
			}
			_ = l.Close()
			ports = append(ports, p)
		}
		if len(ports) == count {
			nextPort += count
			return ports, nil
		}
	}
	nextPort = firstPort
	return nil, errors.New("no free ports")
}

// restart starts a process of the host, whose output is appended to its log file, unless
// one is running.
func (h *host) restart() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.processes) > 0 {
		select {
		case <-h.processes[len(h.processes)-1].exited:
		default:
			return nil
		}
	}
	if err := os.WriteFile(h.settings, h.content.Encode(), 0o600); err != nil {
		return err
	}
	h.content.FirstStart = false
	log, err := os.OpenFile(h.settings[:len(h.settings)-len("yaml")]+"log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.daemon, "--platform", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p := &process{host: h, n: len(h.processes) + 1, cmd: cmd, log: log, exited: make(chan struct{})}
	h.processes = append(h.processes, p)
	go p.run()
	return nil
}

// run waits for the process to exit and closes its log.
func (p *process) run() {
	// cmd.ProcessState shows how it ended.
	_ = p.cmd.Wait()
	_ = p.log.Close()
	p.host.mu.Lock()
	defer p.host.mu.Unlock()
	p.exitedAt = time.Now()
	close(p.exited)
}

// findFault returns what was wrong with the exit of the process, which has ended, or
// an empty string.
func (p *process) findFault() string {
	switch {
	case p.killed || p.signaledEarly:
		return ""
	case p.terminatedAt.IsZero() || !p.cmd.ProcessState.Success():
		return fmt.Sprintf("ended by itself: %v", p.cmd.ProcessState)
	case p.exitedAt.Sub(p.terminatedAt) > gracePeriod:
		return fmt.Sprintf("exited %v after SIGTERM", p.exitedAt.Sub(p.terminatedAt))
	default:
		return ""
	}
}

// signal sends a signal to the current process unless it has exited. The returned
// channel is closed when it has.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	seen := h.incarnation()
	early := (s == syscall.SIGHUP || s == syscall.SIGTERM) && !h.listens()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.processes[len(h.processes)-1]
	// What listened may have been the process before.
	early = early || p.n != seen
	select {
	case <-p.exited:
		return p.exited
	default:
	}
	if p.terminatedAt.IsZero() {
		p.signaledEarly = early
	}
	switch {
	case s == syscall.SIGTERM && p.terminatedAt.IsZero():
		p.terminatedAt = time.Now()
	case s == syscall.SIGKILL:
		p.killed = true
	}
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// listens reports whether the host accepts connections of callers.
func (h *host) listens() bool {
	nc, err := net.DialTimeout("tcp", h.callerAddress, dialTimeout)
	if err != nil {
		return false
	}
	_ = nc.Close()
	return true
}

// terminatedAt returns when a process was first sent a SIGTERM; zero if it was not.
func (h *host) terminatedAt(process int) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processes[process-1].terminatedAt
}

// ended returns the processes that have exited, which no longer change.
func (h *host) ended() []*process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.processes), func(p *process) bool { return p.exitedAt.IsZero() })
}

// incarnation returns the number of the current process of the host.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.processes)
}

// isReady reports whether the load balancer would send callers to this host.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.readyAddress + platform.Protocol{}.ReadyPath())
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// kill kills the process, waits until it has exited and closes the proxy.
func (h *host) kill() {
	// SIGKILL also ends a process that is suspended by SIGSTOP.
	<-h.signal(syscall.SIGKILL)
	h.storeProxy.close()
}

// faultProxy is a proxy in front of one address that can impair its connections.
type faultProxy struct {
	proxy *toxiproxy.Proxy
}

func newFaultProxy(name, upstream string) (*faultProxy, error) {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", upstream
	return &faultProxy{proxy: p}, p.Start()
}

func (p *faultProxy) address() string {
	return p.proxy.Listen
}

func (p *faultProxy) close() {
	p.proxy.Stop()
}

// toxics has the toxics that an impairment adds to a proxy, one for each stream.
var toxics = map[impairment][]string{
	impairmentSlow: {
		`{"name":"down","type":"latency","stream":"downstream","attributes":{"latency":80,"jitter":60}}`,
		`{"name":"up","type":"latency","stream":"upstream","attributes":{"latency":80,"jitter":60}}`,
	},
	impairmentReset: {`{"name":"down","type":"reset_peer","stream":"downstream","attributes":{"timeout":40}}`},
	impairmentSilent: {
		`{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
		`{"name":"up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`,
	},
	impairmentOneWay: {`{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`},
}
