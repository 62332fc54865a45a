package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// payBeat is the heartbeat of the deployment, and payWorkers the number of its workers.
	payBeat    = 1500 * time.Millisecond
	payWorkers = 4
	payRate    = 100
	payWork    = 100 * time.Millisecond
	// leaveAt is when a worker leaves, and restoreAfter how long after that the store comes back
	// from a copy. The worker goes on serving for servesFor, and then exits.
	leaveAt      = 8 * time.Second
	restoreAfter = 1500 * time.Millisecond
	servesFor    = 6300 * time.Millisecond
	watchLeaver  = 12 * time.Second
	drainS       = 2 * time.Second
	contactS     = 3 * time.Second
)

const payConfig = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"gauge.example","rules":[{"name":"renew-pay","type":"unsafe","target_latency_s":0.8,"priority":1,"match":{"prefix":"/pay/"},
"action":{"service":"cobros","timeout_s":1.5,"max_attempts":2}}]}],
"clusters":[{"name":"cobros","health_check_path":"/healthz","max_connections":52,"protocol":"h1","tls":false}]}`

// playDeparted has a worker leave without draining, and the store come back from a copy that lists
// it.
func playDeparted(rec *record, trouble bool) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := startStore(rec)
	if err != nil {
		return exitFailed
	}
	s.silence = 3 * payBeat
	go s.expireLoop()
	zones := []string{"z0", "z1", "z2"}
	var workers []*worker
	for i := range payWorkers {
		w, err := startWorker(rec, "i-"+string(rune('a'+i)), "cobros", zones[i%len(zones)], false, payWork)
		if err != nil {
			return exitFailed
		}
		go w.beatLoop(s, payBeat)
		workers = append(workers, w)
	}
	s.put("op/config", []byte(payConfig))
	var hosts []*entryHost
	for i := range hostCount {
		h, err := newEntryHost(rec, dir, "front-"+string(rune('0'+i)), zones[i%len(zones)], s.addr)
		if err != nil {
			return exitFailed
		}
		h.heartbeatS = payBeat.Seconds()
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
	t := newTraffic(rec, hosts, "/pay/")
	t.method = "POST"
	go t.loop(payRate)
	time.Sleep(leaveAt - copyAge + restoreAfter)
	early := s.copyNow()
	time.Sleep(copyAge - restoreAfter)
	leaver := workers[payWorkers-1]
	leaver.stopBeats()
	s.remove("servers/" + leaver.id)
	left := time.Now()
	rec.write("%s leaves: its entry is removed, and it goes on serving", leaver.id)
	inTouch := left
	if trouble {
		time.Sleep(time.Until(left.Add(restoreAfter)))
		s.restore(early, storeAway)
		inTouch = time.Now().Add(storeAway + contactS)
		time.Sleep(rewriteIn)
		s.put("op/config", []byte(payConfig))
		for _, w := range workers[:payWorkers-1] {
			w.register(s)
		}
	}
	time.Sleep(time.Until(left.Add(servesFor)))
	leaver.exit()
	time.Sleep(time.Until(left.Add(watchLeaver)))
	t.stop.Store(true)
	time.Sleep(time.Second)
	late := 0
	for _, r := range leaver.allRuns() {
		sent, ok := t.sentAt(r.id)
		if ok && sent.After(left.Add(drainS)) && sent.After(inTouch) {
			late++
			if late <= 5 {
				rec.write("DRAIN: %s runs %s, which was sent %s after its entry was removed and %s after the machines are in touch",
					leaver.id, r.id, sent.Sub(left).Round(time.Millisecond), sent.Sub(inTouch).Round(time.Millisecond))
			}
		}
	}
	rec.write("%s", fmt.Sprintf("%d requests reach %s later than %v after it was gone", late, leaver.id, drainS))
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
