package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	// settings is the path of the settings file.
	settings      string
	callerAddress string
	readyAddress  string
	storeProxy    *faultProxy

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	starts int
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
	settings := platformtest.HostSettings{
		Name: fmt.Sprintf("host-%d", n), IP: loopbackIP(), Domain: fmt.Sprintf("domain-%d", n%domains),
		CallerAddress: h.callerAddress, ReadyAddress: h.readyAddress, InternalPorts: [2]int{ports[2], ports[3]}, StoreAddress: storeProxy.address(),
	}
	return h, os.WriteFile(h.settings, settings.Encode(), 0o600)
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

// start starts a process of the host, whose output is appended to its log file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
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
	exited := make(chan struct{})
	h.process, h.exited = cmd, exited
	r := &reaper{process: cmd, log: log, exited: exited}
	go r.run()
	return nil
}

// reaper waits for a process to exit and closes its log file.
type reaper struct {
	process *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

func (r *reaper) run() {
	// The log of the process shows how it ended.
	_ = r.process.Wait()
	_ = r.log.Close()
	close(r.exited)
}

// signal sends a signal to the current process unless it has exited. The returned
// channel is closed when it has.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
	default:
		_ = h.process.Process.Signal(s)
	}
	return h.exited
}

// processExited returns a channel that is closed when the current process has
// exited.
func (h *host) processExited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// incarnation returns the number of the current process of the host.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
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
