package main

import (
	"os"
	"syscall"
	"time"
)

const (
	hostCount   = 3
	workerCount = 6
	// copyAge is how old the copy is from which the store comes back, and storeAway how long it
	// is away before.
	copyAge   = 5 * time.Second
	storeAway = 300 * time.Millisecond
	// rewriteIn is how long after the restore the operator and the workers write again what is
	// lost, and restartIn how long after its end a process is started again.
	rewriteIn = 1200 * time.Millisecond
	restartIn = 300 * time.Millisecond
	watchFor  = 12 * time.Second
	// doubleHold is for how long the rule lets two workers hold the same keys.
	doubleHold = 500 * time.Millisecond
)

const gaugeConfig = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"gauge.example","rules":[{"name":"tank-reading","type":"safe","target_latency_s":0.5,"priority":2,"match":{"prefix":"/tank/"},
"action":{"service":"gauge","timeout_s":1.2,"max_attempts":2}}]}],
"clusters":[{"name":"gauge","health_check_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"sharded":true,"warmup_s":3.0,"grants":"call"}]}`

// playRestore has the store come back from a copy that was made before the system started for the
// first time, while the process restarts that leads. With KILL=all, all processes restart.
func playRestore(rec *record, trouble bool) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := startStore(rec)
	if err != nil {
		return exitFailed
	}
	var workers []*worker
	for i := range workerCount {
		w, err := startWorker(rec, "i-"+string(rune('a'+i)), "gauge", []string{"z0", "z1", "z2"}[i%3], true, 20*time.Millisecond)
		if err != nil {
			return exitFailed
		}
		w.register(s)
		workers = append(workers, w)
	}
	s.put("op/config", []byte(gaugeConfig))
	var hosts []*entryHost
	for i := range hostCount {
		h, err := newEntryHost(rec, dir, "front-"+string(rune('0'+i)), []string{"z0", "z1", "z2"}[i%3], s.addr)
		if err != nil {
			return exitFailed
		}
		hosts = append(hosts, h)
	}
	defer func() {
		for _, h := range hosts {
			h.kill()
		}
	}()
	early := s.copyNow()
	copied := time.Now()
	for _, h := range hosts {
		if err := h.start(true); err != nil {
			return exitFailed
		}
	}
	if !awaitReady(hosts, 10*time.Second) {
		rec.write("the machines are not ready")
		return exitFailed
	}
	c := &clients{record: rec, hosts: hosts, path: "/tank/"}
	for range 6 {
		go c.loop()
	}
	time.Sleep(time.Until(copied.Add(copyAge)))
	served := c.ok.Load()
	if served < 50 {
		rec.write("only %d requests are served before the disruption", served)
		return exitFailed
	}
	if trouble {
		placer := string(s.value("hornbeamwinch/placer"))
		rec.write("placer is %s, copy is %v old", placer, time.Since(copied))
		s.restore(early, storeAway)
		for _, h := range hosts {
			if h.peer() == placer || os.Getenv("KILL") == "all" {
				h.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(restartIn)
		for _, h := range hosts {
			select {
			case <-h.exited:
				if err := h.start(false); err != nil {
					return exitFailed
				}
			default:
			}
		}
		time.Sleep(rewriteIn - restartIn)
		s.put("op/config", []byte(gaugeConfig))
		for _, w := range workers {
			w.register(s)
		}
	}
	time.Sleep(watchFor)
	c.stop.Store(true)
	rec.write("%d requests are served, %d are not", c.ok.Load(), c.other.Load())
	double := doublyHeld(workers, doubleHold)
	for _, pair := range double {
		a, b := pair[0], pair[1]
		rec.write("OWNER: %s holds keys %d to %d, fence %d, from %s to %s, and %s keys %d to %d, fence %d, from %s to %s",
			a.worker, a.from, a.to, a.fence, rec.at(a.since), rec.at(a.till), b.worker, b.from, b.to, b.fence, rec.at(b.since), rec.at(b.till))
	}
	if len(double) > 0 {
		return exitBroken
	}
	return exitHeld
}
