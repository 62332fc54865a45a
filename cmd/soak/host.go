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

// host is an entry host, a process of its own that is started again and again.
type host struct {
	n      int
	daemon string
	dir    string
	// settings is the path of its settings file.
	settings string
	callers  string
	ready    string
	path     *link

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	starts int
}

// domains is the number of failure domains.
const domains = 2

// Ports that hosts listen on are below those that the kernel gives to outgoing
// connections.
const (
	portBase = 21000
	portLast = 32000
)

// ownIP is an address of the loopback network that depends on the process.
// Soaks that run side by side would take each other's ports while a host starts
// again.
func ownIP() string {
	const values = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/values%values, 1+os.Getpid()%values)
}

func newHost(n int, cfg worldConfig, store string) (*host, error) {
	path, err := newLink(fmt.Sprintf("store of host %d", n), store)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{
		n: n, daemon: cfg.Daemon, dir: cfg.Dir, path: path,
		callers: fmt.Sprintf("%s:%d", ownIP(), ports[0]), ready: fmt.Sprintf("%s:%d", ownIP(), ports[1]),
		settings: filepath.Join(cfg.Dir, fmt.Sprintf("seed-%d-host-%d.yaml", cfg.Seed, n)),
	}
	settings := platformtest.HostSettings{
		Name: fmt.Sprintf("host-%d", n), IP: ownIP(), Domain: fmt.Sprintf("domain-%d", n%domains),
		CallerAddress: h.callers, ReadyAddress: h.ready, InternalPorts: [2]int{ports[2], ports[3]}, StoreAddress: path.address(),
	}
	return h, os.WriteFile(h.settings, settings.Encode(), 0o600)
}

var nextPort = portBase

// freePorts returns neighbouring ports that nothing listens on.
func freePorts(count int) ([]int, error) {
	for ; nextPort+count < portLast; nextPort += count {
		var ports []int
		for p := nextPort; p < nextPort+count; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ownIP(), p))
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
	nextPort = portBase
	return nil, errors.New("no free ports")
}

// start starts the process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	log, err := os.OpenFile(h.settings[:len(h.settings)-len("yaml")]+"log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(h.daemon, "--platform", "--settings", h.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = c, exited
	l := &reaper{process: c, log: log, exited: exited}
	go l.run()
	return nil
}

// reaper waits for the end of a process.
type reaper struct {
	process *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

func (r *reaper) run() {
	// How it ended is in its log.
	_ = r.process.Wait()
	_ = r.log.Close()
	close(r.exited)
}

// signal sends a signal to the process that runs now.
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

// exitedNow returns a channel that is closed when the process that runs now has
// ended.
func (h *host) exitedNow() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// incarnation numbers the processes of the host.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// isReady reports whether the balancer would send callers here.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	w, err := c.Get("http://" + h.ready + platform.Protocol{}.ReadyPath())
	if err != nil {
		return false
	}
	defer func() { _ = w.Body.Close() }()
	return w.StatusCode == http.StatusOK
}

// end kills the process and waits for it.
func (h *host) end() {
	// A paused process ends only by SIGKILL, which also wakes it.
	<-h.signal(syscall.SIGKILL)
	h.path.close()
}

// link is a proxy before one address.
type link struct {
	proxy *toxiproxy.Proxy
}

func newLink(name, upstream string) (*link, error) {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", upstream
	return &link{proxy: p}, p.Start()
}

func (l *link) address() string {
	return l.proxy.Listen
}

func (l *link) close() {
	l.proxy.Stop()
}

// toxics are what a harm adds to a proxy: the attributes by stream.
var toxics = map[harm][]string{
	harmSlow: {
		`{"name":"down","type":"latency","stream":"downstream","attributes":{"latency":80,"jitter":60}}`,
		`{"name":"up","type":"latency","stream":"upstream","attributes":{"latency":80,"jitter":60}}`,
	},
	harmReset: {`{"name":"down","type":"reset_peer","stream":"downstream","attributes":{"timeout":40}}`},
	harmSilent: {
		`{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
		`{"name":"up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`,
	},
	harmOneWay: {`{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`},
}
