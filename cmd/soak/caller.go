package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/platform"
	"hornbeamwinch.example/platform/platformtest"
)

// callerPause is the time between two requests of a caller.
const callerPause = 10 * time.Millisecond

var nextRequest atomic.Uint64

// headers are the names that callers and servers use.
var headers = platform.Protocol{}.Headers()

// caller sends requests over connections that it keeps open.
type caller struct {
	world  *world
	rng    *rand.Rand
	client *http.Client
}

func newCaller(w *world, n int) *caller {
	return &caller{
		world: w, rng: rand.New(rand.NewPCG(w.cfg.Seed, uint64(n))),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.world.hosts[c.rng.IntN(len(c.world.hosts))]
		if c.rng.IntN(3) == 0 {
			c.send(ctx, h, http.MethodPost, "/pay/1", 0)
		} else {
			c.send(ctx, h, http.MethodGet, "/read/1", c.rng.IntN(65536))
		}
		time.Sleep(callerPause)
	}
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	signed bool
}

// send sends one request and checks that its answer is whole and its own.
func (c *caller) send(ctx context.Context, h *host, method, path string, key int) answer {
	a := answer{id: fmt.Sprintf("q%d-%d", os.Getpid(), nextRequest.Add(1))}
	body := ""
	if method == http.MethodPost {
		body = "amount of " + a.id
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	r.Host = platformtest.VirtualHost
	r.Header.Set(headers.RequestID, a.id)
	r.Header.Set(headers.TimeLeft, "1500")
	r.Header.Set(headers.Key, fmt.Sprint(key))
	w, err := c.client.Do(r)
	if err != nil {
		c.world.judge.ended(a.id, 0)
		return a
	}
	defer func() { _ = w.Body.Close() }()
	data, err := io.ReadAll(w.Body)
	if err != nil {
		c.world.judge.ended(a.id, 0)
		return a
	}
	a.status, a.signed = w.StatusCode, w.Header.Get(headers.Signature) != ""
	c.world.judge.ended(a.id, a.status)
	if a.status != http.StatusOK {
		return a
	}
	if want := fmt.Sprintf("%s %s %d %s", method, path, key, body); string(data) != want {
		c.world.judge.violation("%s: host %d answered %q, not %q", a.id, h.n, data, want)
	}
	if echo := w.Header.Get(headers.RequestID); echo != a.id || !a.signed {
		c.world.judge.violation("%s: host %d answered for %q, signed %v", a.id, h.n, echo, a.signed)
	}
	return a
}

// operator changes the configuration and checks that no host goes back.
type operator struct {
	world  *world
	caller *caller
	// version is the newest one that the store has.
	version int

	mu sync.Mutex
	// seen has the newest version that each process of a host has served.
	seen map[string]int
}

// Times of the operator.
const (
	changeEvery = 3 * time.Second
	probeEvery  = 150 * time.Millisecond
)

// run changes and probes until ctx is done.
func (o *operator) run(ctx context.Context) {
	o.seen = make(map[string]int)
	last := time.Now()
	for ctx.Err() == nil {
		if time.Since(last) > changeEvery {
			last = time.Now()
			o.version++
			o.world.store.Put("op/config", platformtest.Configuration(o.version))
			o.world.judge.note("configuration %d", o.version)
		}
		h := o.world.hosts[o.caller.rng.IntN(len(o.world.hosts))]
		o.probe(ctx, h, o.version)
		o.probe(ctx, h, o.version-1)
		time.Sleep(probeEvery)
	}
}

// probe asks for the route that only one version has.
func (o *operator) probe(ctx context.Context, h *host, version int) {
	process := fmt.Sprintf("%d/%d", h.n, h.incarnation())
	o.mu.Lock()
	newest := o.seen[process]
	o.mu.Unlock()
	a := o.caller.send(ctx, h, http.MethodGet, fmt.Sprintf("/v%d/x", version), 0)
	// The process may have been replaced meanwhile.
	if a.status != http.StatusOK || process != fmt.Sprintf("%d/%d", h.n, h.incarnation()) {
		return
	}
	if version < newest {
		o.world.judge.violation("%s: host %d served version %d after %d", a.id, h.n, version, newest)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen[process] = max(o.seen[process], version)
}
