package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopWithDownloads has a machine stop, as the platform stops one, soon before clients with
// slow links ask it for downloads, which their workers answer at once.
func (p *play) stopWithDownloads() (bool, error) {
	const (
		downloads = 6
		clients   = 20
		playTime  = 18 * time.Second
		stopAt    = 4 * time.Second
		// The first download is asked for so long after the stop began, and each further one
		// askGap later.
		askAfter = 1900 * time.Millisecond
		askGap   = 120 * time.Millisecond
		deadline = 6 * time.Second
		grace    = graceS * time.Second
		// A download takes 5.6 s at this rate, in bytes a second.
		readRate = 97_000
		window   = 2 << 10
	)
	p.store.set("op/config", configuration("desk", false, 1<<20,
		rule("r-order", "unsafe", "/order/", "desk", 2, 2), rule("r-export", "download", exportPath, "desk", 6, 2)))
	workers, err := p.startWorkers(6, workerConfig{Service: "desk", Slots: 6, Queue: 24, Work: 100 * time.Millisecond})
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
	for n := range downloads {
		loops.Go(func() {
			c := &client{address: first.front, window: window}
			defer c.close()
			time.Sleep(time.Until(begin.Add(stopAt - time.Second)))
			// A request before, so that the connection is a kept one when the stop begins.
			o := c.send(clientRequest{id: fmt.Sprintf("k%d", n), method: http.MethodPost, host: "one.example", path: "/order/k", body: []byte("amount=7"), deadline: 2 * time.Second})
			p.rec.add("client of download d%d: %v", n, o)
			time.Sleep(time.Until(begin.Add(stopAt + askAfter + time.Duration(n)*askGap)))
			u := uploaded{sentAt: time.Now()}
			p.rec.add("download d%d is asked for at %s, deadline %v", n, first.cfg.Name, deadline)
			u.outcome = c.send(clientRequest{
				id: fmt.Sprintf("d%d", n), method: http.MethodGet, host: "one.example", path: exportPath + "ledger",
				deadline: deadline, readBytesPerSecond: readRate,
			})
			u.endedAt = time.Now()
			p.rec.add("download d%d: %v, %d of %d bytes", n, u.outcome, u.outcome.received, exportBytes)
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
	broken := 0
	for _, u := range sent {
		if u.outcome.err == nil || u.outcome.connectErr || u.outcome.took >= deadline {
			continue
		}
		for _, w := range workers {
			ended, ran := w.endedAt(u.outcome.id)
			// A worker that is still at work in the last sixth of grace_s is an excuse.
			if !ran || ended.After(stoppedAt.Add(grace*5/6)) {
				continue
			}
			broken++
			p.rec.add("LOST: %s was sent %.3f s after the SIGTERM; worker %s had written its whole answer %.3f s after that; the client got %d of %d bytes until its connection ended, %.3f s after it had sent the request",
				u.outcome.id, u.sentAt.Sub(stoppedAt).Seconds(), w.cfg.ID, ended.Sub(u.sentAt).Seconds(), u.outcome.received, exportBytes, u.outcome.took.Seconds())
		}
	}
	p.rec.add("%d of %d downloads were cut, SIGTERM: %v", broken, downloads, p.trouble)
	return broken > 0, nil
}
