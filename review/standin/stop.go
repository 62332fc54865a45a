package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopWithUploads has a machine stop while workers are at work on requests whose bodies they
// read as the work goes on.
func (p *play) stopWithUploads() (bool, error) {
	return p.stop(importPath, 20_000_000)
}

// stopWithReports has a machine stop while workers are at work on requests that they answer as
// the work goes on, without a length.
func (p *play) stopWithReports() (bool, error) {
	return p.stop(reportPath, 8)
}

// stop has a machine stop, as the platform stops one, soon before it gets requests that take
// about two seconds, below a path and with a body of some bytes.
func (p *play) stop(path string, bodyBytes int) (bool, error) {
	const (
		uploads    = 3
		uploadRate = 28_000_000
		clients    = 20
		playTime   = 14 * time.Second
		stopAt     = 4 * time.Second
		uploadAt   = 500 * time.Millisecond
		deadline   = 4 * time.Second
		grace      = graceS * time.Second
	)
	p.store.set("op/config", configuration("desk", false, 67_108_864,
		rule("r-order", "unsafe", "/order/", "desk", 2, 2), rule("r-long", "unsafe", path, "desk", 5, 2)))
	workers, err := p.startWorkers(6, workerConfig{Service: "desk", Slots: 6, Queue: 24, Work: 100 * time.Millisecond, ImportWork: 1800 * time.Millisecond})
	if err != nil {
		return false, err
	}
	if err := p.startHosts(3); err != nil {
		return false, err
	}
	if err := p.awaitServed("/order/"); err != nil {
		return false, err
	}
	first := p.hosts[0]
	begin := time.Now()
	end := begin.Add(playTime)
	var loops sync.WaitGroup
	for n := range clients {
		loops.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			c := &client{address: p.hosts[n%len(p.hosts)].front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				o := c.send(clientRequest{
					id: fmt.Sprintf("c%d-%d", n, i), method: http.MethodPost, host: "one.example", path: fmt.Sprintf("/order/%d", i),
					body: []byte("amount=7"), deadline: 2 * time.Second,
				})
				p.rec.add("client %d at %s: %v", n, p.hosts[n%len(p.hosts)].cfg.Name, o)
				time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
			}
		})
	}
	var mu sync.Mutex
	var sent []uploaded
	for n := range uploads {
		loops.Go(func() {
			c := &client{address: first.front}
			defer c.close()
			time.Sleep(time.Until(begin.Add(stopAt - time.Second)))
			// A request before, so that the connection is a kept one when the stop begins.
			o := c.send(clientRequest{id: fmt.Sprintf("k%d", n), method: http.MethodPost, host: "one.example", path: "/order/k", body: []byte("amount=7"), deadline: 2 * time.Second})
			p.rec.add("client of request u%d: %v", n, o)
			time.Sleep(time.Until(begin.Add(stopAt + uploadAt)))
			u := uploaded{sentAt: time.Now(), outcome: outcome{id: fmt.Sprintf("u%d", n)}}
			p.rec.add("request u%d begins at %s: %d bytes, deadline %v", n, first.cfg.Name, bodyBytes, deadline)
			u.outcome = c.send(clientRequest{
				id: u.outcome.id, method: http.MethodPost, host: "one.example", path: path + "x",
				body: make([]byte, bodyBytes), deadline: deadline, bytesPerSecond: uploadRate,
			})
			u.endedAt = time.Now()
			p.rec.add("request u%d: %v", n, u.outcome)
			mu.Lock()
			sent = append(sent, u)
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(begin.Add(stopAt)))
	stoppedAt := time.Now()
	if p.trouble {
		p.rec.add("SIGTERM to %s", first.cfg.Name)
		_ = first.cmd.Process.Signal(syscall.SIGTERM)
		loops.Go(func() {
			select {
			case <-first.exited:
				p.rec.add("%s has ended %.3f s after SIGTERM", first.cfg.Name, time.Since(stoppedAt).Seconds())
			case <-time.After(time.Until(stoppedAt.Add(grace))):
				p.rec.add("SIGKILL to %s", first.cfg.Name)
				first.kill()
			}
		})
	}
	loops.Wait()
	broken, cut := false, 0
	for _, u := range sent {
		for _, w := range workers {
			ended, ran := w.endedAt(u.outcome.id)
			if !ran || u.outcome.signed || u.outcome.connectErr {
				continue
			}
			if u.outcome.took >= deadline || !ended.After(u.sentAt) {
				continue
			}
			cut++
			p.rec.add("worker %s was at work on %s, which the machine broke off", w.cfg.ID, u.outcome.id)
			// The rule binds after a SIGTERM only, and not in the last sixth of grace_s.
			if sinceStop := u.endedAt.Sub(stoppedAt); p.trouble && sinceStop < grace*5/6 {
				broken = true
				p.rec.add("LOST: worker %s was at work on %s; its answer %d is the machine's own, %.3f s after SIGTERM, %.3f s after it was sent",
					w.cfg.ID, u.outcome.id, u.outcome.status, sinceStop.Seconds(), u.outcome.took.Seconds())
			}
		}
	}
	p.rec.add("%d requests were broken off while their workers were at work, SIGTERM: %v", cut, p.trouble)
	return broken, nil
}

// uploaded is what became of an upload.
type uploaded struct {
	outcome         outcome
	sentAt, endedAt time.Time
}
