package main

import (
	"os"
	"syscall"
	"time"
)

const (
	beatWorkers = 12
	// beatInterval is how often a worker writes to the store: about every 0.87 s.
	beatInterval = 880 * time.Millisecond
	// beatStagger is the time between the starts of two workers.
	beatStagger = 10 * time.Millisecond
	// outage is how long the store is down. The platform's pages and the site file have longer
	// ones.
	outage      = 1800 * time.Millisecond
	recoveryS   = 15 * time.Second
	measureFor  = 12 * time.Second
	gaugeWork   = 160 * time.Millisecond
	perSecond   = 260
	steadyUntil = 9 * time.Second
)

// playBeats kills all processes, and has the store be down for less than three heartbeats when
// they are back. With KILL=0, the store is down and no process is killed.
func playBeats(rec *record, trouble bool) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := startStore(rec)
	if err != nil {
		return exitFailed
	}
	go s.expireLoop()
	zones := []string{"z0", "z1", "z2"}
	var workers []*worker
	for i := range beatWorkers {
		w, err := startWorker(rec, "i-"+string(rune('a'+i)), "gauge", zones[i%len(zones)], true, gaugeWork)
		if err != nil {
			return exitFailed
		}
		go w.beatLoop(s, beatInterval)
		workers = append(workers, w)
		time.Sleep(beatStagger)
	}
	s.put("op/config", []byte(gaugeConfig))
	var hosts []*entryHost
	for i := range hostCount {
		h, err := newEntryHost(rec, dir, "front-"+string(rune('0'+i)), zones[i%len(zones)], s.addr)
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
	for _, h := range hosts {
		if err := h.start(true); err != nil {
			return exitFailed
		}
	}
	if !awaitReady(hosts, 10*time.Second) {
		rec.write("the machines are not ready")
		return exitFailed
	}
	t := newTraffic(rec, hosts, "/tank/")
	go t.loop(perSecond)
	time.Sleep(steadyUntil)
	before := t.share(time.Now().Add(-4*time.Second), time.Now().Add(-time.Second))
	rec.write("share served before: %.3f", before)
	if before < 0.5 {
		return exitFailed
	}
	if trouble {
		if os.Getenv("KILL") != "0" {
			for _, h := range hosts {
				h.signal(syscall.SIGKILL)
			}
			time.Sleep(restartIn)
			for _, h := range hosts {
				<-h.exited
				if err := h.start(false); err != nil {
					return exitFailed
				}
			}
			if !awaitReady(hosts, 5*time.Second) {
				rec.write("the machines are not back")
				return exitFailed
			}
		}
		// The outage begins after a round of heartbeats.
		workers[beatWorkers-1].awaitBeat()
		s.down(outage)
	}
	back := time.Now()
	time.Sleep(recoveryS + measureFor + 2*time.Second)
	after := t.share(back.Add(recoveryS), back.Add(recoveryS+measureFor))
	t.stop.Store(true)
	rec.write("share served later than %v after the machines are back: %.3f", recoveryS, after)
	const quarter = 0.25
	if after < quarter {
		rec.write("RECOVER: less than a quarter is served, and %.3f was before", before)
		return exitBroken
	}
	return exitHeld
}
