package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdHosts is the number of machines, of the smallest class of the site.
	crowdHosts    = 2
	crowdMemoryMB = 144
	crowdFDs      = 3075
	crowdCPU      = 0.12
	// crowdClients is the number of misbehaving clients of each machine. Each sends crowdAhead
	// requests ahead on a connection, reads no answer, and leaves after crowdStay.
	crowdClients = 1500
	crowdAhead   = 200
	crowdStay    = 6 * time.Second
	crowdBytes   = 1_000_000
	// crowdFor bounds the time of the crowd. ends is how often the process of a machine has to
	// end for the rule.
	crowdFor  = 85 * time.Second
	crowdRate = 20
	ends      = 3
)

const crowdConfig = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"gauge.example","rules":[{"name":"order-history","type":"safe","target_latency_s":3,"priority":2,"match":{"prefix":"/orders/"},
"action":{"service":"settlement","timeout_s":12,"max_attempts":2}}]}],
"clusters":[{"name":"settlement","health_check_path":"/healthz","max_connections":590,"protocol":"h1","tls":false}]}`

// playCrowd has clients send requests ahead and not read the answers. It kills a process that
// exceeds its memory, as the platform does, and starts it again.
func playCrowd(rec *record, trouble bool) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := startStore(rec)
	if err != nil {
		return exitFailed
	}
	const workerCount = 10
	for i := range workerCount {
		w, err := startWorker(rec, "i-"+string(rune('a'+i)), "settlement", "z0", false, 50*time.Millisecond)
		if err != nil {
			return exitFailed
		}
		w.quiet = true
		w.register(s)
	}
	s.put("op/config", []byte(crowdConfig))
	var hosts []*entryHost
	for i := range crowdHosts {
		h, err := newEntryHost(rec, dir, "front-"+string(rune('0'+i)), "z0", s.addr)
		if err != nil {
			return exitFailed
		}
		h.memoryMB, h.maxFDs, h.cpuShare = crowdMemoryMB, crowdFDs, crowdCPU
		hosts = append(hosts, h)
	}
	defer killStarted()
	for _, h := range hosts {
		if err := h.start(true); err != nil {
			return exitFailed
		}
	}
	if !awaitReady(hosts, 10*time.Second) {
		rec.write("the machines are not ready")
		return exitFailed
	}
	t := newTraffic(rec, hosts, "/orders/")
	go t.loop(crowdRate)
	var guards []*memoryGuard
	for _, h := range hosts {
		g := &memoryGuard{host: h}
		go g.loop()
		guards = append(guards, g)
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(crowdFor)
	if trouble {
		rec.write("%d clients at each machine send %d requests ahead and read no answer", crowdClients, crowdAhead)
		for _, h := range hosts {
			for range crowdClients {
				go crowdLoop(h.front, until)
			}
		}
	} else {
		until = time.Now().Add(30 * time.Second)
	}
	broken := 0
	for broken < crowdHosts && time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		broken = 0
		for _, g := range guards {
			if g.kills.Load() >= ends {
				broken++
			}
		}
	}
	t.stop.Store(true)
	for _, g := range guards {
		g.stop.Store(true)
		rec.write("%s: at most %d kB of anonymous memory of %d kB, ended %d times", g.host.name, g.peak.Load(), g.limit(), g.kills.Load())
	}
	if broken >= crowdHosts {
		rec.write("Fault: the processes of %d of %d machines have ended %d times, over their memory", broken, crowdHosts, ends)
		return exitBroken
	}
	return exitHeld
}

// crowdLoop is one misbehaving client.
func crowdLoop(address string, until time.Time) {
	for time.Now().Before(until) {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		// What the client does not read is then held by the machine.
		_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		_ = nc.SetWriteDeadline(time.Now().Add(crowdStay))
		_, _ = nc.Write([]byte(requestsAhead()))
		time.Sleep(crowdStay)
		_ = nc.Close()
	}
}

// crowdIDs numbers the requests of the crowd.
var crowdIDs atomic.Int64

// requestsAhead returns the requests that a client sends on one connection, each with its own id.
func requestsAhead() string {
	var b strings.Builder
	for range crowdAhead {
		fmt.Fprintf(&b, "GET /orders/1?size=%d HTTP/1.1\r\nHost: %s\r\nHornbeamwinch-Request-Id: crowd-%d\r\nHornbeamwinch-Deadline-Ms: 12000\r\n\r\n",
			crowdBytes, frontHost, crowdIDs.Add(1))
	}
	return b.String()
}

// memoryGuard kills the process of a machine once it exceeds its memory, as the platform does,
// and starts it again. What is read of files does not count, nor what the kernel holds.
type memoryGuard struct {
	host  *entryHost
	stop  atomic.Bool
	kills atomic.Int64
	peak  atomic.Int64
}

// limit returns the memory of the machine in kB.
func (g *memoryGuard) limit() int64 {
	return int64(g.host.memoryMB) << 10
}

func (g *memoryGuard) loop() {
	for !g.stop.Load() {
		used := g.anonymous()
		g.peak.Store(max(g.peak.Load(), used))
		if used > g.limit() {
			g.kills.Add(1)
			g.host.record.write("%s: %d kB of anonymous memory exceed %d kB", g.host.name, used, g.limit())
			g.host.signal(syscall.SIGKILL)
			<-g.host.exited
			time.Sleep(restartIn)
			if g.stop.Load() || g.host.start(false) != nil {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// anonymous returns the anonymous memory of the process in kB, or 0 if it has ended.
func (g *memoryGuard) anonymous() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.host.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}
