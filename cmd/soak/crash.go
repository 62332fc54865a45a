package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

const (
	// crashingShare is one in how many seeds has requests that crash servers, and
	// maxCrashing how many there are at most.
	crashingShare = 4
	maxCrashing   = 2
	// crashInterval is the pause between two sends of such a request.
	crashInterval = 50 * time.Millisecond
	// A server that has crashed is back after minReturnTime to maxReturnTime. Its
	// registration remains for registrationTime.
	minReturnTime    = time.Second
	maxReturnTime    = 3 * time.Second
	registrationTime = 2500 * time.Millisecond
	// Of a request that has crashed knownCrashes servers, at most furtherSends more may
	// reach servers from contactTime after that on.
	knownCrashes = 3
	furtherSends = 3
)

// crashingOf returns how many requests that crash servers the run of a seed has.
func crashingOf(seed uint64, always bool) int {
	if !always && seed%crashingShare != 0 {
		return 0
	}
	return 1 + int(seed/crashingShare%maxCrashing)
}

// crasher sends one request that crashes servers at random hosts, with the same path,
// key and body each time.
type crasher struct {
	*caller
	method, path, body string
	key                int
	// hosts has the host to which each request was sent, by id.
	hosts map[string]*host
}

// newCrashers returns the crashers of a run, each with a request of another kind.
func newCrashers(tb *testbed) []*crasher {
	kinds := []crasher{
		{method: http.MethodPost, path: "/pay/crash", body: platformtest.CrashMark},
		{method: http.MethodGet, path: "/read/crash?" + platformtest.CrashMark},
		{method: http.MethodGet, path: "/scan/crash?" + platformtest.CrashMark},
	}
	rng := rand.New(rand.NewPCG(tb.cfg.Seed, crashingShare))
	first, key := rng.IntN(len(kinds)), rng.IntN(65536)
	var crashers []*crasher
	for n := range tb.cfg.Crashing {
		kind := &kinds[(first+n)%len(kinds)]
		crashers = append(crashers, &crasher{
			caller: newCaller(tb, -3-n), method: kind.method, path: kind.path, body: kind.body, key: key, hosts: make(map[string]*host),
		})
	}
	return crashers
}

// run sends the request until ctx is done.
func (c *crasher) run(ctx context.Context) {
	defer c.close()
	for ; ctx.Err() == nil; time.Sleep(crashInterval) {
		h := c.testbed.hosts[c.rng.IntN(len(c.testbed.hosts))]
		resp := c.sendRequest(request{timeLeft: shortTimeLeft, host: h, method: c.method, path: c.path, key: c.key, bodyOf: func(string) string { return c.body }})
		c.hosts[resp.id] = h
	}
}

// crashConfig returns what the next server and those that follow it behind its proxy do
// on a request that crashes them.
func (s *servers) crashConfig(proxy func() *faultProxy) *platformtest.CrashConfig {
	rng := rand.New(rand.NewPCG(s.testbed.cfg.Seed, uint64(s.n)))
	returnAfter := minReturnTime + time.Duration(rng.Int64N(int64(maxReturnTime-minReturnTime)))
	return &platformtest.CrashConfig{
		ReturnAfter: returnAfter, DeregisterAfter: registrationTime, Next: s.rename,
		Crashed:  func(process *platformtest.BackendServer) { s.crashed(process, returnAfter) },
		Returned: func(next *platformtest.BackendServer) { s.returned(next, proxy()) },
	}
}

// rename gives half of the servers that come back another id.
func (s *servers) rename(cfg *platformtest.BackendServerConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	if s.n%2 == 0 {
		cfg.ID = fmt.Sprintf("%s-%d", cfg.Service, s.n)
	}
}

// crashed records that a server has crashed. Its proxy refuses connections.
func (s *servers) crashed(process *platformtest.BackendServer, returnAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.all, func(srv *server) bool { return srv.process == process })
	if i < 0 || !s.all[i].running {
		return
	}
	s.all[i].running = false
	s.all[i].proxy.proxy.Stop()
	s.testbed.checker.log("%s crashed, back after %v", s.all[i].id, returnAfter)
	now := time.Now()
	s.testbed.recordDisturbance(interval{from: now, to: now.Add(returnAfter + disturbanceMargin)})
	s.testbed.recordUnplanned(interval{from: now, to: now.Add(returnAfter)})
}

// returned records that a server has come back behind the proxy of one that crashed.
func (s *servers) returned(next *platformtest.BackendServer, proxy *faultProxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		next.Kill()
		return
	}
	s.all = append(s.all, &server{process: next, id: next.ID(), service: next.Service(), proxy: proxy, running: true})
	// A fault that stopped the proxy as well may have started it.
	_ = proxy.proxy.Start()
}

// crashRecord is what the servers have recorded of a request that crashes them.
type crashRecord struct {
	runs []platformtest.Execution
	// crashes has when servers crashed on which it was at work; it counts for each such
	// request.
	crashes []time.Time
}

// knownAt returns from when on the rule bounds the sends; ok is false if the request has
// not crashed enough servers.
func (r *crashRecord) knownAt() (at time.Time, ok bool) {
	slices.SortFunc(r.crashes, time.Time.Compare)
	if len(r.crashes) < knownCrashes {
		return time.Time{}, false
	}
	return r.crashes[knownCrashes-1].Add(contactTime), true
}

// late returns the runs that count against the rule. A send may take drainMargin to
// reach its server.
func (r *crashRecord) late(inTouch func(e platformtest.Execution) bool) []platformtest.Execution {
	known, ok := r.knownAt()
	return slices.DeleteFunc(slices.Clone(r.runs), func(e platformtest.Execution) bool {
		return !ok || !e.StartedAt.After(known.Add(drainMargin)) || !inTouch(e)
	})
}

// crashRecords returns the records of all requests that crash servers.
func (s *servers) crashRecords() map[string]*crashRecord {
	records := make(map[string]*crashRecord)
	for _, srv := range s.list() {
		counted := make(map[string]bool)
		for _, e := range srv.process.Executions() {
			if e.Mark == "" {
				continue
			}
			r := records[e.Mark]
			if r == nil {
				r = &crashRecord{}
				records[e.Mark] = r
			}
			r.runs = append(r.runs, e)
			if at := srv.process.CrashedAt(); !at.IsZero() && !counted[e.Mark] {
				counted[e.Mark] = true
				r.crashes = append(r.crashes, at)
			}
		}
	}
	return records
}

// checkCrashes checks that requests which have crashed servers reach hardly any more.
// Hosts that were disturbed within contactTime before do not count.
func (tb *testbed) checkCrashes() {
	inTouch := func(e platformtest.Execution) bool {
		for _, c := range tb.crashers {
			if h := c.hosts[e.ID]; h != nil {
				return tb.hostUndisturbed(h, interval{from: e.StartedAt.Add(-contactTime), to: e.StartedAt})
			}
		}
		return false
	}
	for mark, r := range tb.servers.crashRecords() {
		late := r.late(inTouch)
		tb.checker.log("%q: %d runs, %d crashes, %d late runs", mark, len(r.runs), len(r.crashes), len(late))
		if len(late) > furtherSends {
			e := late[furtherSends]
			tb.checker.recordViolation("%q reached servers %d times after it was known, %s on %s at %.3f s", mark, len(late), e.ID, e.Server, e.StartedAt.Sub(tb.checker.start).Seconds())
		}
	}
}

// disturbedHosts returns the hosts that a fault disturbs, by a signal or on their links.
func (tb *testbed) disturbedHosts(s step) []*host {
	count := 0
	switch s.fault.(type) {
	case hostKilled, hostStopped, hostPaused, hostReloads, hostReloadsOften, hostStopsReloading, storePath:
		count = 1
	case hostsRoll:
		count = 1 + len(tb.hosts)/rollShare
	}
	var disturbed []*host
	for i := range count {
		disturbed = append(disturbed, tb.hosts[(s.target+i)%len(tb.hosts)])
	}
	return disturbed
}

// hostUndisturbed reports whether no fault of a host overlaps an interval.
func (tb *testbed) hostUndisturbed(h *host, iv interval) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return !iv.overlapsAny(tb.hostFaults[h])
}
