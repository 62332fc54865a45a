package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lostAllowed is how many requests of kept connections the rule LOST allows a machine to lose.
const lostAllowed = 3

// largeBodies has a few clients upload bodies within max_body_bytes at one machine, beside
// other clients with small requests. The platform kills a process that exceeds memory_mb.
// Without the trouble the clients upload the same bodies one after the other.
func (p *play) largeBodies() (bool, error) {
	const (
		maxBodyBytes = 67_108_864
		uploads      = 4
		uploadBytes  = 60_000_000
		// All uploads together stay below the machine's link_mbps of 1000.
		uploadRate = 28_000_000
		clients    = 40
		playTime   = 20 * time.Second
		uploadAt   = 6 * time.Second
	)
	p.store.set("op/config", configuration("desk", false, maxBodyBytes,
		rule("r-order", "unsafe", "/order/", "desk", 2, 2), rule("r-upload", "unsafe", "/upload/", "desk", 15, 2)))
	workers, err := p.startWorkers(6, workerConfig{Service: "desk", Slots: 6, Queue: 24, Work: 200 * time.Millisecond})
	if err != nil {
		return false, err
	}
	if err := p.startHosts(3); err != nil {
		return false, err
	}
	if err := p.awaitServed("/order/"); err != nil {
		return false, err
	}
	begin := time.Now()
	end := begin.Add(playTime)
	var killed atomic.Int64
	var loops sync.WaitGroup
	first := p.hosts[0]
	loops.Go(func() { p.limitMemory(first, end, &killed) })
	var mu sync.Mutex
	var outcomes []outcome
	for n := range clients {
		loops.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			c := &client{address: first.front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				kept := c.conn != nil
				o := c.send(clientRequest{
					id: fmt.Sprintf("c%d-%d", n, i), method: http.MethodPost, host: "one.example", path: fmt.Sprintf("/order/%d", i),
					body: []byte("amount=7"), deadline: 2 * time.Second,
				})
				p.rec.add("client %d at %s, kept connection %v: %v", n, first.cfg.Name, kept, o)
				if kept {
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
				}
				time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
			}
		})
	}
	turn := make(chan struct{}, uploads)
	if p.trouble {
		turn = nil
	} else {
		turn <- struct{}{}
	}
	for n := range uploads {
		loops.Go(func() {
			time.Sleep(time.Until(begin.Add(uploadAt)))
			if turn != nil {
				<-turn
				defer func() { turn <- struct{}{} }()
			}
			c := &client{address: first.front}
			defer c.close()
			p.rec.add("upload %d begins: %d bytes, at most %d are allowed", n, uploadBytes, maxBodyBytes)
			o := c.send(clientRequest{
				id: fmt.Sprintf("u%d", n), method: http.MethodPost, host: "one.example", path: "/upload/x",
				body: make([]byte, uploadBytes), deadline: 14 * time.Second, bytesPerSecond: uploadRate,
			})
			p.rec.add("upload %d: %v", n, o)
		})
	}
	loops.Wait()
	lost := 0
	counts := make(map[int]int)
	for _, o := range outcomes {
		runs := 0
		for _, w := range workers {
			runs += w.countRuns(o.id)
		}
		counts[o.status]++
		if o.err != nil && !o.connectErr && runs > 0 {
			lost++
			p.rec.add("LOST: %s was passed on to a worker, and its kept connection was closed without an answer", o.id)
		}
	}
	p.rec.add("answers by status: %v; process killed for its memory: %d times; lost: %d, allowed %d", counts, killed.Load(), lost, lostAllowed)
	return lost > lostAllowed, nil
}

// limitMemory kills a process that exceeds its memory, and starts it again, as the platform
// does.
func (p *play) limitMemory(h *host, until time.Time, killed *atomic.Int64) {
	highest := 0
	for ; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		mb := h.residentMB()
		if mb > highest+10 {
			highest = mb
			p.rec.add("%s occupies %d MB", h.cfg.Name, mb)
		}
		if mb <= memoryMB {
			continue
		}
		p.rec.add("%s occupies %d MB, memory_mb is %d: the platform kills it", h.cfg.Name, mb, memoryMB)
		killed.Add(1)
		h.kill()
		time.Sleep(restartDelay)
		if err := h.start(p.command); err != nil {
			p.rec.add("start %s: %v", h.cfg.Name, err)
			return
		}
	}
}
