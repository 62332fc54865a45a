package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
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

// Bounds of a caller. A caller waits for longer than the time that the host has for
// the request, so that a late response is not taken for a missing one.
const (
	dialTimeout  = time.Second
	lateResponse = 2 * time.Second
	// shortTimeLeft is the time of a short request, which the routes limit to less.
	shortTimeLeft = 1500 * time.Millisecond
	maxWork       = 3500 * time.Millisecond
	// stickiness is how many requests in a row a caller sends to a host on average,
	// if its requests are long.
	stickiness = 10
	// formShare is one in how many long requests has a response of a special form, and
	// lateShare one in how many with a body has a server that reads it late.
	formShare = 3
	lateShare = 4
	// maxLongBody bounds the bodies of long requests, and maxLongResponse their responses.
	maxLongBody     = 900_000
	maxLongResponse = 3_000_000
)

// caller sends requests over persistent connections, one for each host. It does not
// use [http.Client], which hides a lost request by sending it again.
type caller struct {
	testbed *testbed
	rng     *rand.Rand
	conns   map[*host]*callerConn
}

// callerConn is a connection to one process of a host.
type callerConn struct {
	net.Conn
	reader  *bufio.Reader
	process int
}

func newCaller(tb *testbed, n int) *caller {
	return &caller{testbed: tb, rng: rand.New(rand.NewPCG(tb.cfg.Seed, uint64(n))), conns: make(map[*host]*callerConn)}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		h := c.testbed.hosts[c.rng.IntN(len(c.testbed.hosts))]
		if c.testbed.longRequests.Load() {
			c.sendLong(ctx, h)
		} else {
			c.sendShort(h)
		}
		time.Sleep(requestInterval)
	}
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *caller) sendShort(h *host) response {
	if c.rng.IntN(3) == 0 {
		return c.send(h, http.MethodPost, "/pay/1", 0)
	}
	return c.send(h, http.MethodGet, "/read/1", c.rng.IntN(65536))
}

// sendLong sends several requests to a host, most of them long ones, until one fails. Some
// have responses of special forms, of which those without a length do not fit servers that
// crash and so end such responses in order.
func (c *caller) sendLong(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		var resp response
		q := url.Values{platformtest.WorkParameter: {time.Duration(c.rng.Int64N(int64(maxWork))).Round(time.Millisecond).String()}}
		size := 0
		if c.testbed.cfg.Crashing == 0 && c.rng.IntN(formShare) == 0 {
			q.Set(platformtest.FormParameter, string(platformtest.Forms[c.rng.IntN(len(platformtest.Forms))]))
			if c.rng.IntN(2) == 0 {
				size = 1 + c.rng.IntN(maxLongResponse)
				q.Set(platformtest.SizeParameter, fmt.Sprint(size))
			}
		}
		timeLeft := platformtest.LongTimeout - time.Second + time.Duration(c.rng.Int64N(2000))*time.Millisecond
		switch c.rng.IntN(3) {
		case 0:
			resp = c.sendShort(h)
		case 1:
			resp = c.sendExport(timeLeft, h, q, size)
		default:
			resp = c.sendRequest(request{timeLeft: timeLeft, host: h, method: http.MethodGet, path: "/scan/1?" + q.Encode(), size: size})
		}
		if resp.status == 0 || c.rng.IntN(stickiness) == 0 {
			return
		}
	}
}

// sendExport sends a long request with a body, which may be large and read late.
func (c *caller) sendExport(timeLeft time.Duration, h *host, q url.Values, size int) response {
	bodySize := 0
	if c.rng.IntN(2) == 0 {
		bodySize = 1 + c.rng.IntN(maxLongBody)
	}
	if bodySize > 0 && c.rng.IntN(lateShare) == 0 {
		q.Del(platformtest.FormParameter)
		q.Set(platformtest.LateParameter, "1")
	}
	return c.sendRequest(request{
		timeLeft: timeLeft, host: h, method: http.MethodPost, path: "/export/1?" + q.Encode(), size: size,
		bodyOf: func(id string) string {
			if bodySize == 0 {
				return "amount of " + id
			}
			return platformtest.SizedBody("amount of "+id, bodySize)
		},
	})
}

// response is what a caller received; status 0 means no complete response.
type response struct {
	id     string
	status int
	signed bool
}

// request is one request of a caller to a host.
type request struct {
	timeLeft time.Duration
	host     *host
	method   string
	path     string
	key      int
	// bodyOf returns the body for the id of the request; nil means a short one for POST.
	bodyOf func(id string) string
	// size is that of the response; 0 means what the server sends by itself.
	size int
}

// send sends one short request.
func (c *caller) send(h *host, method, path string, key int) response {
	return c.sendRequest(request{timeLeft: shortTimeLeft, host: h, method: method, path: path, key: key})
}

// sendRequest sends one request and checks that a response with status 200 is
// complete and belongs to this request.
func (c *caller) sendRequest(r request) response {
	resp := response{id: fmt.Sprintf("q%d-%d", os.Getpid(), nextRequest.Add(1))}
	h, method, path, key, timeLeft, body := r.host, r.method, r.path, r.key, r.timeLeft, ""
	switch {
	case r.bodyOf != nil:
		body = r.bodyOf(resp.id)
	case method == http.MethodPost:
		body = "amount of " + resp.id
	}
	req, err := http.NewRequest(method, "http://"+h.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return resp
	}
	req.Host = platformtest.VirtualHost
	req.Header.Set(headers.RequestID, resp.id)
	req.Header.Set(headers.TimeLeft, fmt.Sprint(timeLeft.Milliseconds()))
	req.Header.Set(headers.Key, fmt.Sprint(key))
	conn, err := c.connect(h)
	if err != nil {
		c.testbed.checker.recordOutcome(resp.id, 0)
		return resp
	}
	record := failedRequest{id: resp.id, host: h, process: conn.process, sentAt: time.Now(), timeLeft: min(timeLeft, routeTimeout(path))}
	httpResp, data, err := conn.exchange(req, record.sentAt.Add(timeLeft+lateResponse), &record.writtenAt)
	record.endedAt = time.Now()
	if err != nil || httpResp.Close {
		_ = conn.Close()
		delete(c.conns, h)
	}
	if err == nil {
		resp.status, resp.signed = httpResp.StatusCode, httpResp.Header.Get(headers.Signature) != ""
	}
	c.testbed.checker.recordOutcome(resp.id, resp.status)
	if !resp.signed {
		record.status = resp.status
		c.testbed.checker.recordFailure(record)
	}
	if resp.status != http.StatusOK {
		return resp
	}
	want := fmt.Sprintf("%s %s %d %s", method, path, key, body)
	if r.size > 0 {
		want = platformtest.SizedBody(want, r.size)
	}
	if string(data) != want {
		c.testbed.checker.recordViolation("%s: host %d responded with %d bytes %.200q instead of %d bytes %.200q", resp.id, h.n, len(data), data, len(want), want)
	}
	if echo := httpResp.Header.Get(headers.RequestID); echo != resp.id || !resp.signed {
		c.testbed.checker.recordViolation("%s: host %d responded with request id %q, signed %v", resp.id, h.n, echo, resp.signed)
	}
	return resp
}

// routeTimeout returns the time limit of the route of a path.
func routeTimeout(path string) time.Duration {
	switch {
	case strings.Contains(path, platformtest.WorkParameter+"="):
		return platformtest.LongTimeout
	case strings.HasPrefix(path, "/pay/"):
		return platformtest.PayTimeout
	default:
		return platformtest.ReadTimeout
	}
}

// connect returns the connection to a host, which may be an open one.
func (c *caller) connect(h *host) (*callerConn, error) {
	if conn := c.conns[h]; conn != nil {
		return conn, nil
	}
	process := h.incarnation()
	nc, err := net.DialTimeout("tcp", h.callerAddress, dialTimeout)
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: nc, reader: bufio.NewReader(nc), process: process}
	c.conns[h] = conn
	return conn, nil
}

// exchange sends a request and reads the whole response. It sets writtenAt when the
// last byte was sent.
func (c *callerConn) exchange(req *http.Request, deadline time.Time, writtenAt *time.Time) (*http.Response, []byte, error) {
	var text bytes.Buffer
	if err := errors.Join(c.SetDeadline(deadline), req.Write(&text)); err != nil {
		return nil, nil, err
	}
	_, err := c.Write(text.Bytes())
	*writtenAt = time.Now()
	if err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// operator changes the configuration and checks that no host goes back to an
// earlier version.
type operator struct {
	testbed *testbed
	caller  *caller

	mu sync.Mutex
	// version is the newest version in the store.
	version int
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
	defer o.caller.close()
	o.newestServed = make(map[string]int)
	lastChange := time.Now()
	for ctx.Err() == nil {
		if time.Since(lastChange) > changeInterval {
			lastChange = time.Now()
			o.change()
		}
		h := o.testbed.hosts[o.caller.rng.IntN(len(o.testbed.hosts))]
		version := o.newestVersion()
		o.probe(h, version)
		o.probe(h, version-1)
		time.Sleep(probeInterval)
	}
}

// change puts the next version of the configuration in force.
func (o *operator) change() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.testbed.store.Put("op/config", platformtest.Configuration(o.version))
	o.testbed.checker.log("configuration %d", o.version)
}

// rewrite writes the configuration in force again.
func (o *operator) rewrite() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.testbed.store.Put("op/config", platformtest.Configuration(o.version))
}

func (o *operator) newestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// probe requests a route that exists in one version only.
func (o *operator) probe(h *host, version int) {
	process := fmt.Sprintf("%d/%d", h.n, h.incarnation())
	o.mu.Lock()
	newest := o.newestServed[process]
	o.mu.Unlock()
	resp := o.caller.send(h, http.MethodGet, fmt.Sprintf("/v%d/x", version), 0)
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
