package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

// testbedConfig holds the parameters of a [testbed].
type testbedConfig struct {
	Daemon  string
	Hosts   int
	Callers int
	Dir     string
	Seed    uint64
	// Mix is that of the schedule. With planned faults only, the requests are long.
	Mix mix
	// Crashing is the number of requests that crash servers.
	Crashing int
}

const (
	dividedServers   = 5
	undividedServers = 4
	// longCallers is how many times as many callers there are if their requests are
	// long. With the default number of callers, they ask for more than the servers
	// can do.
	longCallers = 3
	// recoveryTimeout bounds the time until all keys are served, after the start
	// and after the last fault. It covers the 3 s until the keys of a lost server
	// are reassigned, the 10 s for which an unreachable placer may renew grants,
	// and the start of hosts.
	recoveryTimeout = 20 * time.Second
	// holderCheckInterval is the pause between two checks of the holders of a key.
	holderCheckInterval = 5 * time.Millisecond
	// deregisterDelay is how long the registration of a killed server remains.
	deregisterDelay = 2600 * time.Millisecond
	// maxRegisterDelay bounds how late a restarted server registers.
	maxRegisterDelay = time.Second
	// drainLimit is how long a draining server may be sent new requests, and
	// drainMargin how long a request may take to reach it.
	drainLimit  = 2 * time.Second
	drainMargin = 500 * time.Millisecond
	// closingTime is how long a server turns requests away.
	closingTime = 300 * time.Millisecond
	// disturbanceMargin is how long after the end of a fault drainLimit does not
	// apply.
	disturbanceMargin = 3 * time.Second
)

// testbed is a deployment under test: entry hosts, backend servers, a store and
// the traffic of callers.
type testbed struct {
	cfg         testbedConfig
	checker     *checker
	store       *platformtest.Store
	storeServer *httptest.Server
	servers     *servers
	hosts       []*host
	op          *operator
	copies      *storeCopies
	crashers    []*crasher

	cancel context.CancelFunc
	loops  sync.WaitGroup
	faults sync.WaitGroup

	// longRequests makes the callers send requests that take long.
	longRequests atomic.Bool

	mu sync.Mutex
	// unplanned has the intervals of faults that are not planned work.
	unplanned []interval
	// disturbances has the intervals in which a fault may delay the time at which
	// the hosts detect that a server drains.
	disturbances []interval
	// hostFaults has the intervals of the faults of each host and its links.
	hostFaults map[*host][]interval
}

// interval is the time from one instant to another.
type interval struct {
	from, to time.Time
}

func (iv interval) overlapsAny(others []interval) bool {
	return slices.ContainsFunc(others, func(o interval) bool { return o.from.Before(iv.to) && iv.from.Before(o.to) })
}

func newTestbed(cfg testbedConfig) (*testbed, error) {
	tb := &testbed{cfg: cfg, checker: newChecker(), store: platformtest.NewStore(), hostFaults: make(map[*host][]interval)}
	tb.storeServer = httptest.NewServer(tb.store)
	tb.servers = &servers{testbed: tb, store: tb.store}
	tb.crashers = newCrashers(tb)
	tb.copies = &storeCopies{store: tb.store}
	tb.longRequests.Store(cfg.Mix == mixPlanned)
	tb.op = &operator{testbed: tb, caller: newCaller(tb, -1), version: 1}
	tb.store.Put("op/config", platformtest.Configuration(1))
	for i := range dividedServers + undividedServers {
		service := platformtest.DividedService
		if i >= dividedServers {
			service = platformtest.UndividedService
		}
		if err := tb.servers.start(service); err != nil {
			return nil, errors.Join(err, tb.cleanUp())
		}
	}
	tb.copies.first = tb.store.Snapshot()
	for i := range cfg.Hosts {
		h, err := newHost(i, cfg, strings.TrimPrefix(tb.storeServer.URL, "http://"))
		if err == nil {
			err = h.restart()
		}
		if err != nil {
			return nil, errors.Join(err, tb.cleanUp())
		}
		tb.hosts = append(tb.hosts, h)
	}
	return tb, nil
}

// cleanUp closes the testbed. It returns nil, as an operand of errors.Join.
func (tb *testbed) cleanUp() error {
	tb.close()
	return nil
}

// close stops the loops, hosts, servers and store of the testbed.
func (tb *testbed) close() {
	if tb.cancel != nil {
		tb.cancel()
	}
	tb.loops.Wait()
	for _, h := range tb.hosts {
		h.kill()
	}
	tb.servers.close()
	tb.storeServer.CloseClientConnections()
	tb.storeServer.Close()
}

// startLoop starts a goroutine that close waits for; run must return when ctx is
// done.
func (tb *testbed) startLoop(ctx context.Context, run func(context.Context)) {
	tb.loops.Go(func() { run(ctx) })
}

// startTraffic waits until the hosts serve requests, and starts the callers, the
// operator and the check of the holders.
func (tb *testbed) startTraffic() error {
	if unserved := tb.waitUntilServed(); unserved != "" {
		return fmt.Errorf("not served after the start: %s", unserved)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.cancel = cancel
	tb.startLoop(ctx, tb.checkHoldersLoop)
	tb.startLoop(ctx, tb.op.run)
	tb.startLoop(ctx, tb.copies.loop)
	callers := tb.cfg.Callers
	if tb.cfg.Mix == mixPlanned {
		callers *= longCallers
	}
	for n := range callers {
		tb.startLoop(ctx, newCaller(tb, n).run)
	}
	return nil
}

// waitUntilServed waits until every host serves payments and a sample of the keys,
// and then returns an empty string. After recoveryTimeout, it returns a description
// of what is not served.
func (tb *testbed) waitUntilServed() string {
	c := newCaller(tb, -2)
	defer c.close()
	deadline := time.Now().Add(recoveryTimeout)
	unserved := ""
	for time.Now().Before(deadline) {
		if unserved = tb.findUnserved(c); unserved == "" {
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return unserved
}

// findUnserved returns a description of the first host that is not ready or request
// that is not served, or an empty string if there is none.
func (tb *testbed) findUnserved(c *caller) string {
	const keyStep = 6000
	for _, h := range tb.hosts {
		if !h.isReady() {
			return fmt.Sprintf("host %d is not ready", h.n)
		}
		if resp := c.send(h, http.MethodPost, "/pay/1", 0); resp.status != http.StatusOK {
			return fmt.Sprintf("host %d responds to a payment with status %d", h.n, resp.status)
		}
		for key := 0; key < 65536; key += keyStep {
			if resp := c.send(h, http.MethodGet, "/read/1", key); resp.status != http.StatusOK {
				return fmt.Sprintf("host %d responds to a read of key %d with status %d", h.n, key, resp.status)
			}
		}
	}
	return ""
}

// checkHoldersLoop checks repeatedly that no key has two holders.
func (tb *testbed) checkHoldersLoop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(tb.cfg.Seed, 0))
	for ctx.Err() == nil {
		key := rng.IntN(65536)
		if ids := tb.servers.holders(key); len(ids) > 1 {
			// The servers are checked one after the other, so a move of the key in
			// between can look like two holders. It is a violation only if a second
			// check finds two holders as well.
			if confirmed := tb.servers.holders(key); len(confirmed) > 1 {
				tb.checker.recordViolation("key %d is held by %v", key, confirmed)
			}
		}
		time.Sleep(holderCheckInterval)
	}
}

// runSchedule injects the faults of a schedule and waits until they have ended. Requests
// that crash servers are sent meanwhile.
func (tb *testbed) runSchedule(steps []step) {
	ctx, cancel := context.WithCancel(context.Background())
	var crashes sync.WaitGroup
	defer crashes.Wait()
	defer cancel()
	for _, c := range tb.crashers {
		crashes.Go(func() { c.run(ctx) })
	}
	start := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		tb.checker.log("%s", s)
		tb.faults.Go(func() {
			from := time.Now()
			tb.injectFault(s)
			if _, planned := s.fault.(serverLeaves); !planned {
				tb.recordDisturbance(interval{from: from, to: time.Now().Add(disturbanceMargin)})
			}
			if !isPlanned(s.fault) {
				tb.recordUnplanned(interval{from: from, to: time.Now()})
			}
			tb.recordHostFault(s, interval{from: from, to: time.Now()})
		})
	}
	tb.faults.Wait()
}

func (tb *testbed) recordDisturbance(iv interval) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.disturbances = append(tb.disturbances, iv)
}

func (tb *testbed) recordUnplanned(iv interval) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.unplanned = append(tb.unplanned, iv)
}

func (tb *testbed) recordHostFault(s step, iv interval) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, h := range tb.disturbedHosts(s) {
		tb.hostFaults[h] = append(tb.hostFaults[h], iv)
	}
}

// undisturbed reports whether no disturbance overlaps an interval.
func (tb *testbed) undisturbed(iv interval) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return !iv.overlapsAny(tb.disturbances)
}

// onlyPlanned reports whether no fault that is not planned overlaps an interval.
func (tb *testbed) onlyPlanned(iv interval) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return !iv.overlapsAny(tb.unplanned)
}

// injectFault injects a fault and returns when it has ended.
func (tb *testbed) injectFault(s step) {
	h := tb.hosts[s.target%len(tb.hosts)]
	switch f := s.fault.(type) {
	case hostKilled:
		<-h.signal(syscall.SIGKILL)
		time.Sleep(s.duration)
		tb.restart(h)
	case hostStopped:
		tb.stopAndRestart(h)
	case hostsRoll:
		tb.rollHosts(s)
	case hostReloadsOften:
		reloadUntil(h, time.After(s.duration))
	case hostStopsReloading:
		reloadUntil(h, h.signal(syscall.SIGTERM))
		tb.restart(h)
		reloadUntil(h, time.After(startTime))
	case configChanges:
		for range configBurst {
			tb.op.change()
			time.Sleep(burstInterval)
		}
	case hostPaused:
		h.signal(syscall.SIGSTOP)
		time.Sleep(s.duration)
		h.signal(syscall.SIGCONT)
	case hostReloads:
		h.signal(syscall.SIGHUP)
	case storePath:
		tb.impair(h.storeProxy, f.impairment, s.duration)
	case storeOut:
		tb.storeFault(s.duration, func(string) platformtest.Fault { return platformtest.FaultBusy })
	case storeLosesAnswers:
		n := 0
		tb.storeFault(s.duration, func(op string) platformtest.Fault {
			if n++; op == platformtest.OpCommit && n%2 == 0 {
				return platformtest.FaultResponseLost
			}
			return platformtest.FaultNone
		})
	case storeForgets:
		tb.store.Compact()
	case storeRestored:
		tb.restoreStore(s)
	default:
		if srv := tb.servers.pick(s.target); srv != nil {
			tb.injectServerFault(s, srv)
		}
	}
}

// Planned work in series: the time between two changes and the number of changes of
// a [configChanges], the time between two SIGHUPs, the time in which a host starts,
// and the share of the hosts that a [hostsRoll] stops.
const (
	burstInterval  = 120 * time.Millisecond
	configBurst    = 4
	reloadInterval = 15 * time.Millisecond
	startTime      = time.Second
	rollShare      = 3
)

// reloadUntil sends a host a SIGHUP again and again until end is ready.
func reloadUntil[T any](h *host, end <-chan T) {
	for {
		select {
		case <-end:
			return
		case <-time.After(reloadInterval):
			h.signal(syscall.SIGHUP)
		}
	}
}

func (tb *testbed) stopAndRestart(h *host) {
	<-h.signal(syscall.SIGTERM)
	tb.restart(h)
}

// rollHosts stops a part of the hosts within the duration of the step, whether the
// ones before have exited or not, and waits until all are restarted.
func (tb *testbed) rollHosts(s step) {
	var stops sync.WaitGroup
	defer stops.Wait()
	count := 1 + len(tb.hosts)/rollShare
	for i := range count {
		stops.Go(func() { tb.stopAndRestart(tb.hosts[(s.target+i)%len(tb.hosts)]) })
		time.Sleep(s.duration / time.Duration(count))
	}
}

func (tb *testbed) injectServerFault(s step, srv *server) {
	switch f := s.fault.(type) {
	case serverKilled:
		tb.servers.kill(srv)
		time.Sleep(deregisterDelay)
		srv.process.Deregister()
		tb.startServer(srv.service)
	case serverReborn:
		if err := tb.servers.restart(srv, min(s.duration, maxRegisterDelay)); err != nil {
			tb.checker.recordViolation("restart server %s: %v", srv.id, err)
		}
	case serverLeaves:
		tb.startServer(srv.service)
		if givesNotice(tb.cfg.Seed) {
			srv.process.AnnounceLeaving("1")
			time.Sleep(time.Second)
		}
		tb.servers.drain(srv)
		time.Sleep(2*drainLimit + s.duration)
		tb.servers.kill(srv)
		srv.process.Deregister()
	case serverPath:
		tb.impair(srv.proxy, f.impairment, s.duration)
	case serverCloses:
		srv.process.Close(platformtest.Closure{For: closingTime, RetryAfter: []string{fmt.Sprintf("%.3f", s.duration.Seconds())}})
		time.Sleep(s.duration)
	case serverMute:
		srv.process.LoseResponses(true)
		time.Sleep(s.duration)
		srv.process.LoseResponses(false)
	}
}

func (tb *testbed) startServer(service string) {
	if err := tb.servers.start(service); err != nil {
		tb.checker.recordViolation("start server: %v", err)
	}
}

// restart starts a host if its process has exited and no other fault has
// restarted it.
func (tb *testbed) restart(h *host) {
	if err := h.restart(); err != nil {
		tb.checker.recordViolation("start host %d: %v", h.n, err)
	}
}

// impair impairs the connections through a proxy for a duration.
func (tb *testbed) impair(p *faultProxy, kind impairment, duration time.Duration) {
	if kind == impairmentRefused {
		p.proxy.Stop()
		time.Sleep(duration)
		if err := p.proxy.Start(); err != nil {
			tb.checker.log("proxy %s: %v", p.proxy.Name, err)
		}
		return
	}
	var added []string
	for _, text := range toxics[kind] {
		// Adding fails if the proxy already has a toxic of this name. Then that
		// one stays as it is.
		if t, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err == nil {
			added = append(added, t.Name)
		}
	}
	time.Sleep(duration)
	for _, name := range added {
		if err := p.proxy.Toxics.RemoveToxic(name); err != nil {
			tb.checker.log("proxy %s: %v", p.proxy.Name, err)
		}
	}
}

func (tb *testbed) storeFault(duration time.Duration, f func(string) platformtest.Fault) {
	tb.store.SetFault(f)
	time.Sleep(duration)
	tb.store.SetFault(nil)
}

// finish checks that all hosts serve again, stops the traffic and checks the
// executions that the servers recorded.
func (tb *testbed) finish() {
	tb.longRequests.Store(false)
	for _, h := range tb.hosts {
		h.signal(syscall.SIGCONT)
		tb.restart(h)
	}
	if unserved := tb.waitUntilServed(); unserved != "" {
		tb.checker.recordViolation("not served again %v after the last fault: %s", recoveryTimeout, unserved)
	}
	tb.cancel()
	tb.loops.Wait()
	tb.checkExecutions()
}

// checkExecutions compares the executions that the servers recorded with the
// responses that callers received.
func (tb *testbed) checkExecutions() {
	executions := make(map[string][]platformtest.Execution)
	for _, srv := range tb.servers.list() {
		for _, execution := range srv.process.Executions() {
			executions[execution.ID] = append(executions[execution.ID], execution)
			if srv.service == platformtest.UndividedService && tb.checker.wasRefused(execution.ID) && execution.Unsafe {
				tb.checker.recordViolation("%s was refused as not run, but ran on %s", execution.ID, srv.id)
			}
			if count := len(executions[execution.ID]); execution.Unsafe && count > 1 {
				tb.checker.recordViolation("%s ran %d times, last on %s", execution.ID, count, srv.id)
			}
			limit := srv.drainingSince.Add(drainLimit + drainMargin)
			if !srv.drainingSince.IsZero() && execution.StartedAt.After(limit) && tb.undisturbed(interval{from: srv.drainingSince, to: execution.StartedAt}) {
				tb.checker.recordViolation("%s ran on %s %v after the server started to drain", execution.ID, srv.id, execution.StartedAt.Sub(srv.drainingSince))
			}
		}
	}
	tb.checkLosses(executions)
	tb.checkCrashes()
	tb.checkExits()
}
