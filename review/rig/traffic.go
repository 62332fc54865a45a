package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sentRequest is a request of a client.
type sentRequest struct {
	at     time.Time
	status int
}

// traffic sends requests at a rate, whatever becomes of them, through an ingress that asks the
// machines once a second whether they are ready.
type traffic struct {
	record *record
	hosts  []*entryHost
	path   string
	method string
	stop   atomic.Bool

	mu     sync.Mutex
	misses map[*entryHost]int
	sent   []*sentRequest
	byID   map[string]*sentRequest
}

func newTraffic(rec *record, hosts []*entryHost, path string) *traffic {
	t := &traffic{record: rec, hosts: hosts, path: path, method: http.MethodGet, misses: make(map[*entryHost]int), byID: make(map[string]*sentRequest)}
	go t.checkLoop()
	return t
}

// checkLoop asks the machines whether they are ready. Two misses take one out.
func (t *traffic) checkLoop() {
	for !t.stop.Load() {
		for _, h := range t.hosts {
			ready := h.isReady()
			t.mu.Lock()
			if t.misses[h]++; ready {
				t.misses[h] = 0
			}
			t.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// pick returns a machine in rotation, or any if there is none.
func (t *traffic) pick() *entryHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	var in []*entryHost
	for _, h := range t.hosts {
		if t.misses[h] < 2 {
			in = append(in, h)
		}
	}
	if len(in) == 0 {
		in = t.hosts
	}
	return in[rand.IntN(len(in))]
}

func (t *traffic) loop(perSecond int) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	for n := 0; !t.stop.Load(); n++ {
		<-ticker.C
		go t.send(client, n)
	}
}

func (t *traffic) send(client *http.Client, n int) {
	h, id, key := t.pick(), fmt.Sprintf("r%06d", n), rand.IntN(keys)
	r, _ := http.NewRequest(t.method, "http://"+h.front+t.path+fmt.Sprint(key), nil)
	r.Host = frontHost
	r.Header.Set("Hornbeamwinch-Request-Id", id)
	r.Header.Set("Hornbeamwinch-Deadline-Ms", fmt.Sprint(deadlineMS))
	r.Header.Set("Hornbeamwinch-Shard-Key", fmt.Sprint(key))
	sent := &sentRequest{at: time.Now()}
	t.mu.Lock()
	t.sent = append(t.sent, sent)
	t.byID[id] = sent
	t.mu.Unlock()
	resp, err := client.Do(r)
	reason := ""
	if err == nil {
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		t.mu.Lock()
		sent.status = resp.StatusCode
		t.mu.Unlock()
		if resp.StatusCode != http.StatusOK {
			reason = string(body)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.write("client: %s for key %d, sent to %s at %s, is answered %d %q", id, key, h.name, t.record.at(sent.at), sent.status, strings.TrimSpace(reason))
}

// share returns the share of the requests sent in a time that were served.
func (t *traffic) share(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, served := 0, 0
	for _, r := range t.sent {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		all++
		if r.status == http.StatusOK {
			served++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}

// sentAt returns when a request was sent.
func (t *traffic) sentAt(id string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return time.Time{}, false
	}
	return r.at, true
}
