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

// requestInterval is the pause between two requests of a caller.
const requestInterval = 10 * time.Millisecond

var nextRequest atomic.Uint64

// headers are the names of the platform's request and response headers.
var headers = platform.Protocol{}.Headers()

// caller sends requests over persistent connections.
type caller struct {
	testbed *testbed
	rng     *rand.Rand
	client  *http.Client
}

func newCaller(tb *testbed, n int) *caller {
	return &caller{
		testbed: tb, rng: rand.New(rand.NewPCG(tb.cfg.Seed, uint64(n))),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.testbed.hosts[c.rng.IntN(len(c.testbed.hosts))]
		if c.rng.IntN(3) == 0 {
			c.send(ctx, h, http.MethodPost, "/pay/1", 0)
		} else {
			c.send(ctx, h, http.MethodGet, "/read/1", c.rng.IntN(65536))
		}
		time.Sleep(requestInterval)
	}
}

// response is what a caller received; status 0 means no complete response.
type response struct {
	id     string
	status int
	signed bool
}

// send sends one request and checks that a response with status 200 is complete
// and belongs to this request.
func (c *caller) send(ctx context.Context, h *host, method, path string, key int) response {
	resp := response{id: fmt.Sprintf("q%d-%d", os.Getpid(), nextRequest.Add(1))}
	body := ""
	if method == http.MethodPost {
		body = "amount of " + resp.id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return resp
	}
	req.Host = platformtest.VirtualHost
	req.Header.Set(headers.RequestID, resp.id)
	req.Header.Set(headers.TimeLeft, "1500")
	req.Header.Set(headers.Key, fmt.Sprint(key))
	httpResp, err := c.client.Do(req)
	if err != nil {
		c.testbed.checker.recordOutcome(resp.id, 0)
		return resp
	}
	defer func() { _ = httpResp.Body.Close() }()
	data, err := io.ReadAll(httpResp.Body)
	if err != nil {
		c.testbed.checker.recordOutcome(resp.id, 0)
		return resp
	}
	resp.status, resp.signed = httpResp.StatusCode, httpResp.Header.Get(headers.Signature) != ""
	c.testbed.checker.recordOutcome(resp.id, resp.status)
	if resp.status != http.StatusOK {
		return resp
	}
	if want := fmt.Sprintf("%s %s %d %s", method, path, key, body); string(data) != want {
		c.testbed.checker.recordViolation("%s: host %d responded with %q instead of %q", resp.id, h.n, data, want)
	}
	if echo := httpResp.Header.Get(headers.RequestID); echo != resp.id || !resp.signed {
		c.testbed.checker.recordViolation("%s: host %d responded with request id %q, signed %v", resp.id, h.n, echo, resp.signed)
	}
	return resp
}

// operator changes the configuration and checks that no host goes back to an
// earlier version.
type operator struct {
	testbed *testbed
	caller  *caller
	// version is the newest version in the store.
	version int

	mu sync.Mutex
	// newestServed has the newest version that each process of a host has served.
	newestServed map[string]int
}

// Intervals at which the operator changes the configuration and probes a host.
const (
	changeInterval = 3 * time.Second
	probeInterval  = 150 * time.Millisecond
)

// run changes the configuration and probes the hosts until ctx is done.
func (o *operator) run(ctx context.Context) {
	o.newestServed = make(map[string]int)
	lastChange := time.Now()
	for ctx.Err() == nil {
		if time.Since(lastChange) > changeInterval {
			lastChange = time.Now()
			o.version++
			o.testbed.store.Put("op/config", platformtest.Configuration(o.version))
			o.testbed.checker.log("configuration %d", o.version)
		}
		h := o.testbed.hosts[o.caller.rng.IntN(len(o.testbed.hosts))]
		o.probe(ctx, h, o.version)
		o.probe(ctx, h, o.version-1)
		time.Sleep(probeInterval)
	}
}

// probe requests a route that exists in one version only.
func (o *operator) probe(ctx context.Context, h *host, version int) {
	process := fmt.Sprintf("%d/%d", h.n, h.incarnation())
	o.mu.Lock()
	newest := o.newestServed[process]
	o.mu.Unlock()
	resp := o.caller.send(ctx, h, http.MethodGet, fmt.Sprintf("/v%d/x", version), 0)
	// The host may have been restarted since the request was sent.
	if resp.status != http.StatusOK || process != fmt.Sprintf("%d/%d", h.n, h.incarnation()) {
		return
	}
	if version < newest {
		o.testbed.checker.recordViolation("%s: host %d served version %d after %d", resp.id, h.n, version, newest)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestServed[process] = max(o.newestServed[process], version)
}
