package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

// worldConfig configures a [world].
type worldConfig struct {
	Daemon  string
	Hosts   int
	Callers int
	Dir     string
	Seed    uint64
}

const (
	keyedServers   = 5
	unkeyedServers = 4
	// settleTime is how long everything may take to be served at first, and to
	// be served again once the faults have ended: the 3 s for a lost server's
	// keys, the 10 s for which a placer that cannot be asked may renew grants,
	// and the start of hosts.
	settleTime = 20 * time.Second
	// watchOwners is the time between two looks at who holds the keys.
	watchOwners = 5 * time.Millisecond
	// expiry is how long the entry of a dead server stays.
	expiry = 2600 * time.Millisecond
	// drainBound is how long a leaving server may be sent requests, and
	// drainSlack what a request may take on its way.
	drainBound = 2 * time.Second
	drainSlack = 500 * time.Millisecond
	// contact is how long everything must have been calm for the bound to hold.
	contact = 3 * time.Second
)

// world is a deployment under test.
type world struct {
	cfg     worldConfig
	judge   *judge
	store   *platformtest.Store
	web     *httptest.Server
	servers *servers
	hosts   []*host
	op      *operator

	cancel context.CancelFunc
	loops  sync.WaitGroup
	faults sync.WaitGroup

	mu sync.Mutex
	// disturbed has the times of faults that excuse a late notice of a server's
	// leaving.
	disturbed []span
}

// span is a stretch of time.
type span struct {
	from, to time.Time
}

func newWorld(cfg worldConfig) (*world, error) {
	w := &world{cfg: cfg, judge: newJudge(), store: platformtest.NewStore()}
	w.web = httptest.NewServer(w.store)
	w.servers = &servers{store: w.store}
	w.op = &operator{world: w, caller: newCaller(w, -1), version: 1}
	w.store.Put("op/config", platformtest.Configuration(1))
	for i := range keyedServers + unkeyedServers {
		service := platformtest.DividedService
		if i >= keyedServers {
			service = platformtest.UndividedService
		}
		if err := w.servers.start(service, ""); err != nil {
			return nil, errors.Join(err, w.closed())
		}
	}
	for i := range cfg.Hosts {
		h, err := newHost(i, cfg, strings.TrimPrefix(w.web.URL, "http://"))
		if err == nil {
			err = h.start()
		}
		if err != nil {
			return nil, errors.Join(err, w.closed())
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

func (w *world) closed() error {
	w.close()
	return nil
}

// close ends what was started.
func (w *world) close() {
	if w.cancel != nil {
		w.cancel()
	}
	w.loops.Wait()
	for _, h := range w.hosts {
		h.end()
	}
	w.servers.close()
	w.web.CloseClientConnections()
	w.web.Close()
}

// launch runs a loop until the end of the world.
func (w *world) launch(ctx context.Context, run func(context.Context)) {
	w.loops.Go(func() { run(ctx) })
}

// settle waits until every key is served, and starts the callers.
func (w *world) settle() error {
	if late := w.unserved(); late != "" {
		return fmt.Errorf("not served at first: %s", late)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.launch(ctx, w.watchLoop)
	w.launch(ctx, w.op.run)
	for n := range w.cfg.Callers {
		w.launch(ctx, newCaller(w, n).run)
	}
	return nil
}

// unserved waits until every host serves every key, and returns what it does
// not serve in time.
func (w *world) unserved() string {
	c := newCaller(w, -2)
	end := time.Now().Add(settleTime)
	missing := ""
	for time.Now().Before(end) {
		if missing = w.missing(c); missing == "" {
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return missing
}

// missing returns something that is not served now.
func (w *world) missing(c *caller) string {
	const every = 6000
	for _, h := range w.hosts {
		if !h.isReady() {
			return fmt.Sprintf("host %d is not ready", h.n)
		}
		if a := c.send(context.Background(), h, http.MethodPost, "/pay/1", 0); a.status != http.StatusOK {
			return fmt.Sprintf("host %d answers a payment with %d", h.n, a.status)
		}
		for key := 0; key < 65536; key += every {
			if a := c.send(context.Background(), h, http.MethodGet, "/read/1", key); a.status != http.StatusOK {
				return fmt.Sprintf("host %d answers key %d with %d", h.n, key, a.status)
			}
		}
	}
	return ""
}

// watchLoop checks that no key has two holders.
func (w *world) watchLoop(ctx context.Context) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, 0))
	for ctx.Err() == nil {
		key := rng.IntN(65536)
		if ids := w.servers.holders(key); len(ids) > 1 {
			// The first may have been asked before and the last after a move.
			if again := w.servers.holders(key); len(again) > 1 {
				w.judge.violation("key %d is held by %v", key, again)
			}
		}
		time.Sleep(watchOwners)
	}
}

// inject carries out a schedule.
func (w *world) inject(steps []step) {
	began := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.at)))
		w.judge.note("%s", s)
		w.faults.Go(func() {
			from := time.Now()
			w.carryOut(s)
			if _, planned := s.fault.(serverLeaves); !planned {
				w.disturb(span{from: from, to: time.Now().Add(contact)})
			}
		})
	}
	w.faults.Wait()
}

func (w *world) disturb(s span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = append(w.disturbed, s)
}

// calm reports whether nothing was disturbed in a stretch of time.
func (w *world) calm(s span) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.disturbed {
		if d.from.Before(s.to) && s.from.Before(d.to) {
			return false
		}
	}
	return true
}

// carryOut lets one fault begin and end.
func (w *world) carryOut(s step) {
	h := w.hosts[s.target%len(w.hosts)]
	switch f := s.fault.(type) {
	case hostKilled:
		<-h.signal(syscall.SIGKILL)
		time.Sleep(s.lasts)
		w.restart(h)
	case hostStopped:
		<-h.signal(syscall.SIGTERM)
		w.restart(h)
	case hostPaused:
		h.signal(syscall.SIGSTOP)
		time.Sleep(s.lasts)
		h.signal(syscall.SIGCONT)
	case hostReloads:
		h.signal(syscall.SIGHUP)
	case storePath:
		w.harm(h.path, f.harm, s.lasts)
	case storeOut:
		w.storeFault(s.lasts, func(string) platformtest.Fault { return platformtest.FaultBusy })
	case storeLosesAnswers:
		n := 0
		w.storeFault(s.lasts, func(op string) platformtest.Fault {
			if n++; op == platformtest.OpCommit && n%2 == 0 {
				return platformtest.FaultAnswerLost
			}
			return platformtest.FaultNone
		})
	case storeForgets:
		w.store.Compact()
	default:
		w.carryOutAtServer(s, w.servers.pick(s.target))
	}
}

func (w *world) carryOutAtServer(s step, v *server) {
	switch f := s.fault.(type) {
	case serverKilled:
		w.servers.kill(v)
		time.Sleep(expiry)
		v.process.Deregister()
		w.startServer(v.service, "")
	case serverReborn:
		w.servers.kill(v)
		w.startServer(v.service, v.id)
	case serverLeaves:
		w.startServer(v.service, "")
		w.servers.drain(v)
		time.Sleep(2*drainBound + s.lasts)
		w.servers.kill(v)
		v.process.Deregister()
	case serverPath:
		w.harm(v.path, f.harm, s.lasts)
	case serverMute:
		v.process.LoseAnswers(true)
		time.Sleep(s.lasts)
		v.process.LoseAnswers(false)
	}
}

func (w *world) startServer(service, id string) {
	if err := w.servers.start(service, id); err != nil {
		w.judge.violation("start server: %v", err)
	}
}

// restart starts a host again, unless another fault has done so.
func (w *world) restart(h *host) {
	select {
	case <-h.exitedNow():
		if err := h.start(); err != nil {
			w.judge.violation("start host %d: %v", h.n, err)
		}
	default:
	}
}

// harm harms a path for a while.
func (w *world) harm(l *link, h harm, lasts time.Duration) {
	if h == harmRefused {
		l.proxy.Stop()
		time.Sleep(lasts)
		if err := l.proxy.Start(); err != nil {
			w.judge.note("proxy %s: %v", l.proxy.Name, err)
		}
		return
	}
	var added []string
	for _, text := range toxics[h] {
		// A path that is harmed already is left as it is.
		if t, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err == nil {
			added = append(added, t.Name)
		}
	}
	time.Sleep(lasts)
	for _, name := range added {
		if err := l.proxy.Toxics.RemoveToxic(name); err != nil {
			w.judge.note("proxy %s: %v", l.proxy.Name, err)
		}
	}
}

func (w *world) storeFault(lasts time.Duration, f func(string) platformtest.Fault) {
	w.store.SetFault(f)
	time.Sleep(lasts)
	w.store.SetFault(nil)
}

// finish checks that all is served again, and what the servers have seen.
func (w *world) finish() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		w.restart(h)
	}
	if late := w.unserved(); late != "" {
		w.judge.violation("not served again %v after the last fault: %s", settleTime, late)
	}
	w.cancel()
	w.loops.Wait()
	w.checkRuns()
}

// checkRuns compares what ran with what callers were told.
func (w *world) checkRuns() {
	runs := make(map[string]int)
	for _, v := range w.servers.list() {
		for _, r := range v.process.Executions() {
			runs[r.ID]++
			if v.service == platformtest.UndividedService && w.judge.wasRefused(r.ID) && r.Unsafe {
				w.judge.violation("%s was refused as not run, and ran on %s", r.ID, v.id)
			}
			if r.Unsafe && runs[r.ID] > 1 {
				w.judge.violation("%s ran %d times, last on %s", r.ID, runs[r.ID], v.id)
			}
			late := v.leftAt.Add(drainBound + drainSlack)
			if !v.leftAt.IsZero() && r.StartedAt.After(late) && w.calm(span{from: v.leftAt, to: r.StartedAt}) {
				w.judge.violation("%s ran on %s %v after it had said that it leaves", r.ID, v.id, r.StartedAt.Sub(v.leftAt))
			}
		}
	}
}
