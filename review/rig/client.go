package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// clients send requests for keys through the machines, one after the other.
type clients struct {
	record *record
	hosts  []*entryHost
	path   string
	stop   atomic.Bool
	next   atomic.Int64
	ok     atomic.Int64
	other  atomic.Int64
}

const (
	frontHost   = "gauge.example"
	deadlineMS  = 1200
	clientPause = 20 * time.Millisecond
)

// loop is one client.
func (c *clients) loop() {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for !c.stop.Load() {
		n := c.next.Add(1)
		h := c.hosts[int(n)%len(c.hosts)]
		id, key := fmt.Sprintf("r%06d", n), rand.IntN(keys)
		r, _ := http.NewRequest(http.MethodGet, "http://"+h.front+c.path+fmt.Sprint(key), nil)
		r.Host = frontHost
		r.Header.Set("Hornbeamwinch-Request-Id", id)
		r.Header.Set("Hornbeamwinch-Deadline-Ms", fmt.Sprint(deadlineMS))
		r.Header.Set("Hornbeamwinch-Shard-Key", fmt.Sprint(key))
		sent := time.Now()
		resp, err := client.Do(r)
		if err != nil {
			c.other.Add(1)
			c.record.write("client: %s for key %d, sent to %s, has no answer", id, key, h.name)
		} else {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			c.record.write("client: %s for key %d, sent to %s, is answered %d %q after %d ms", id, key, h.name, resp.StatusCode, strings.TrimSpace(string(body)), time.Since(sent).Milliseconds())
			if resp.StatusCode == http.StatusOK {
				c.ok.Add(1)
			} else {
				c.other.Add(1)
			}
		}
		time.Sleep(clientPause)
	}
}
