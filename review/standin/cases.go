package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const readyTimeout = 15 * time.Second

// rule returns a route of the configuration.
func rule(name, kind, prefix, service string, timeoutS float64, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "type": kind, "target_latency_s": 0.6, "priority": 1,
		"match":  map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeout_s": timeoutS, "max_attempts": maxAttempts},
	}
}

// configuration returns a configuration with one host and service.
func configuration(service string, sharded bool, maxBodyBytes int, rules ...map[string]any) map[string]any {
	return map[string]any{
		"version": "r7",
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{
			map[string]any{"host": "one.example", "rules": rules},
		},
		"clusters": []any{
			map[string]any{
				"name": service, "health_check_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false,
				"sharded": sharded, "warmup_s": 3.0, "grants": "call",
			},
		},
	}
}

// startWorkers starts workers of a service.
func (p *play) startWorkers(count int, cfg workerConfig) ([]*worker, error) {
	var workers []*worker
	for i := range count {
		c := cfg
		c.Store, c.Record, c.Zone = p.store, p.rec, "zone-a"
		c.ID, c.Seed = fmt.Sprintf("i-%d", i+1), uint64(i+1)
		if i >= garbledWorkers {
			c.LateCopies = nil
		}
		w, err := startWorker(c)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// awaitServed waits until each of the machines answers requests for some keys with 200.
func (p *play) awaitServed(path string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		served := true
		for _, h := range p.hosts {
			c := &client{address: h.front}
			for key := 0; key < 65536 && served; key += 6000 {
				o := c.send(clientRequest{id: fmt.Sprintf("warm-%s-%d-%d", h.cfg.Name, key, time.Now().UnixNano()), method: http.MethodPost, host: "one.example", path: path, key: key, deadline: 2 * time.Second})
				served = o.status == http.StatusOK
			}
			c.close()
		}
		if served {
			return nil
		}
	}
	return fmt.Errorf("not all keys are served after %v", readyTimeout)
}

// garbledWorkers of the 20 workers of a service garble, at most the share 0.6.
const garbledWorkers = 12

// lateRejection has clients send requests that must not be repeated to a service that is
// divided by key, with more load than it has room for. Some workers send second copies of
// some of their answers.
func (p *play) lateRejection() (bool, error) {
	const (
		workerCount = 20
		clients     = 150
		playTime    = 100 * time.Second
		// The largest dose of garble with extra late on ctp-gateway: the share 0.6 of
		// the workers, 0.03 of their answers, 5 s. It comes again and again.
		lateShare   = 0.03
		lateTime    = 4900 * time.Millisecond
		lateRepeats = 7 * time.Second
	)
	p.store.set("op/config", configuration("desk", true, 1<<20, rule("r-order", "unsafe", "/order/", "desk", 3, 2)))
	cfg := workerConfig{Service: "desk", Slots: 2, Queue: 2, Sharded: true, Work: 20 * time.Millisecond}
	if p.trouble {
		began := time.Now()
		cfg.LateCopies = func() (float64, int) {
			elapsed := time.Since(began)
			span := int(elapsed/lateRepeats) + 1
			if elapsed%lateRepeats < lateTime {
				return lateShare, span
			}
			return 0, span
		}
	}
	workers, err := p.startWorkers(workerCount, cfg)
	if err != nil {
		return false, err
	}
	if err := p.startHosts(6); err != nil {
		return false, err
	}
	if err := p.awaitServed("/order/"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var outcomes []outcome
	var loops sync.WaitGroup
	end := time.Now().Add(playTime)
	for n := range clients {
		loops.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			c := &client{address: p.hosts[n%len(p.hosts)].front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				o := c.send(clientRequest{
					id: fmt.Sprintf("c%d-%d", n, i), method: http.MethodPost, host: "one.example", path: fmt.Sprintf("/order/%d", i),
					key: rng.IntN(65536), body: []byte("amount=7"), deadline: 3 * time.Second,
				})
				p.rec.add("client %d at %s: %v", n, p.hosts[n%len(p.hosts)].cfg.Name, o)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		})
	}
	loops.Wait()
	time.Sleep(time.Second)
	broken := false
	counts := make(map[int]int)
	for _, o := range outcomes {
		runs := 0
		for _, w := range workers {
			runs += w.countRuns(o.id)
		}
		counts[o.status]++
		if runs > 1 {
			broken = true
			p.rec.add("TWICE: %s ran %d times", o.id, runs)
		}
		if o.err == nil && promisesNotRun(o.status) && runs > 0 {
			broken = true
			p.rec.add("REFUSED: %s was answered %d and ran %d times", o.id, o.status, runs)
		}
	}
	p.rec.add("answers by status: %v", counts)
	return broken, nil
}
