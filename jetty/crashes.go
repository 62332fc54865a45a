package jetty

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// trialCallTimeout bounds a call to the placer about a trial.
	trialCallTimeout = 100 * time.Millisecond
	// maxCrashReports bounds the records in a report or a reply.
	maxCrashReports = 64
	// noTrialRetryAfter is the Retry-After of suspected requests while no trial can be had:
	// no placer answers, or the only server left would be put at risk.
	noTrialRetryAfter = time.Second
	// urgentTime is how long after a change of the table hosts report more often.
	urgentTime = 2 * time.Second
	// crashingRetryAfter is the Retry-After of requests that are not sent any more. They are
	// until the servers run another version, or an operator clears them.
	crashingRetryAfter = time.Minute
)

// crashes keeps the requests under which servers have ended, as seen by this host and told
// by others, and has suspected ones sent one at a time. On the placer it gives out the
// trials. It implements signal.TrialsServer.
type crashes struct {
	signal.UnimplementedTrialsServer

	clusterState *clusterState
	conns        *peerConns
	logs         *logs
	metrics      *metrics
	address      string
	// mayGive reports whether this host is the placer and no other one can be.
	mayGive func() bool
	// onChange, if set, is called when this host has seen a server end.
	onChange func()

	// id identifies the table of this process.
	id uint64
	// size is the number of records, which is 0 as long as no server has ended under a
	// request.
	size atomic.Int64
	// changedAt is when the table last changed, on the clock of monotonicNow.
	changedAt atomic.Int64

	mu    sync.Mutex
	table *sluice.CrashTable
	// stored is the record in the store.
	stored ledger.Entry
	// lastChange is the change of the table at changedAt.
	lastChange uint64
	// pool has the trials that this host gives out as the placer, and own those that it
	// gives itself beside a placer of an earlier build.
	pool *sluice.TrialPool
	own  *sluice.TrialPool
	// told is how much of this host's table the placer has been told, and known how much
	// of the placer's this host knows.
	told  crashCursor
	known crashCursor
}

// crashCursor is how far the changes of a table have been exchanged.
type crashCursor struct {
	table  uint64
	change uint64
}

func newCrashes(c *crashes) *crashes {
	c.id = rand.Uint64()
	c.table = sluice.NewCrashTable()
	c.own = sluice.NewTrialPool(0)
	return c
}

// digest returns the digest of a request if the table may know it.
func (c *crashes) digest(r *request) (sluice.RequestDigest, bool) {
	if c == nil || c.size.Load() == 0 {
		return sluice.RequestDigest{}, false
	}
	target := targetOf(&r.outgoingRequest)
	c.mu.Lock()
	known := c.table.MayKnow(target)
	c.mu.Unlock()
	if !known {
		return sluice.RequestDigest{}, false
	}
	return r.ensureDigest(), true
}

// suspicion returns how certain it is that a request crashes servers of a version.
func (c *crashes) suspicion(r *request, version fairway.SoftwareVersion) sluice.Suspicion {
	d, ok := c.digest(r)
	if !ok {
		return sluice.SuspicionNone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Suspicion(monotonicNow(), d, version)
}

// serverEnded records that a server has ended while a request was there.
func (c *crashes) serverEnded(r *request, s fairway.Endpoint, alone bool) {
	if c == nil || s.ID == "" {
		return
	}
	d := r.ensureDigest()
	crash := sluice.Crash{Instance: sluice.ServerInstanceOf(s), Version: s.Version, Alone: alone}
	c.mu.Lock()
	c.table.Add(monotonicNow(), d, r.service.Name, crash)
	c.update()
	n, suspicion := c.table.Crashes(d), c.table.Suspicion(monotonicNow(), d, s.Version)
	c.mu.Unlock()
	c.logs.requestSuspected(r, s, suspectedRequest{digest: d, crashes: n, alone: alone, certain: suspicion == sluice.SuspicionCertain})
	c.metrics.requestSuspected(r.service.Name)
	if c.onChange != nil {
		c.onChange()
	}
}

// answered records that a server has answered a request.
func (c *crashes) answered(r *request) {
	d, ok := c.digest(r)
	if !ok {
		return
	}
	c.mu.Lock()
	cleared := c.table.Clear(monotonicNow(), d)
	c.mu.Unlock()
	if cleared && c.onChange != nil {
		c.onChange()
	}
}

// mayRisk reports whether a server may be sent a request that may crash it: one that has
// crashed several does not get the last server that is left.
func (c *crashes) mayRisk(r *request, s fairway.Endpoint) bool {
	d, ok := c.digest(r)
	if !ok {
		return true
	}
	c.mu.Lock()
	n := c.table.Crashes(d)
	c.mu.Unlock()
	if n <= 1 {
		return true
	}
	for _, other := range c.clusterState.catalog().ByService(s.Service) {
		if other.ID != s.ID && !other.Draining && !other.Evacuated && !other.Unconfirmed {
			return true
		}
	}
	return false
}

// beginTrial asks for the trial of a suspected request at a server.
func (c *crashes) beginTrial(ctx context.Context, t sluice.Trial, left time.Duration) sluice.TrialDecision {
	refused := sluice.TrialRefused{RetryAfter: noTrialRetryAfter}
	placer := c.clusterState.currentPlacer().address
	request := &signal.BeginTrialRequest{Content: t.Content[:], Server: string(t.Server), LeftMicros: uint64(max(left, 0).Microseconds())}
	var reply *signal.BeginTrialReply
	var err error
	switch placer {
	case "":
		return refused
	case c.address:
		reply, err = c.BeginTrial(ctx, request)
	default:
		reply, err = c.callBegin(ctx, peerAddress(placer), request)
	}
	switch {
	case status.Code(err) == codes.Unimplemented:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.own.Begin(monotonicNow(), t, left)
	case err != nil:
		return refused
	case reply.GetGranted():
		return sluice.TrialGranted{}
	case reply.GetBusy():
		return sluice.TrialServerBusy{}
	default:
		return sluice.TrialRefused{RetryAfter: time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond}
	}
}

func (c *crashes) callBegin(ctx context.Context, placer peerAddress, r *signal.BeginTrialRequest) (*signal.BeginTrialReply, error) {
	conn, err := c.conns.get(placer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	return signal.NewTrialsClient(conn).BeginTrial(ctx, r)
}

// endTrial reports the end of a trial. If the report is lost, the trial ends by itself.
func (c *crashes) endTrial(t sluice.Trial, serverEnded bool) {
	c.mu.Lock()
	c.own.End(monotonicNow(), t, serverEnded)
	c.mu.Unlock()
	placer := c.clusterState.currentPlacer().address
	request := &signal.EndTrialRequest{Content: t.Content[:], Server: string(t.Server), ServerEnded: serverEnded}
	ctx, cancel := context.WithTimeout(context.Background(), trialCallTimeout)
	defer cancel()
	switch placer {
	case "":
	case c.address:
		_, _ = c.EndTrial(ctx, request)
	default:
		if conn, err := c.conns.get(peerAddress(placer)); err == nil {
			_, _ = signal.NewTrialsClient(conn).EndTrial(ctx, request)
		}
	}
}

// BeginTrial implements signal.TrialsServer.
func (c *crashes) BeginTrial(_ context.Context, r *signal.BeginTrialRequest) (*signal.BeginTrialReply, error) {
	t, ok := decodeTrial(r.GetContent(), r.GetServer())
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "no fingerprint")
	}
	mayGive := c.mayGive()
	now := monotonicNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !mayGive {
		c.pool = nil
		return nil, status.Error(codes.FailedPrecondition, "this host is not the placer")
	}
	if c.pool == nil {
		c.pool = sluice.NewTrialPool(now.Add(sluice.MaxTrialTime))
	}
	switch decision := c.pool.Begin(now, t, time.Duration(r.GetLeftMicros())*time.Microsecond).(type) {
	case sluice.TrialGranted:
		return &signal.BeginTrialReply{Granted: true}, nil
	case sluice.TrialRefused:
		return &signal.BeginTrialReply{RetryAfterMicros: uint64(decision.RetryAfter.Microseconds())}, nil
	default:
		return &signal.BeginTrialReply{Busy: true}, nil
	}
}

// EndTrial implements signal.TrialsServer.
func (c *crashes) EndTrial(_ context.Context, r *signal.EndTrialRequest) (*signal.EndTrialReply, error) {
	t, ok := decodeTrial(r.GetContent(), r.GetServer())
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "no fingerprint")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil {
		c.pool.End(monotonicNow(), t, r.GetServerEnded())
	}
	return &signal.EndTrialReply{}, nil
}

func decodeTrial(content []byte, server string) (sluice.Trial, bool) {
	t := sluice.Trial{Server: fairway.ServerID(server)}
	ok := decodeFingerprint(content, &t.Content)
	return t, ok && server != ""
}

// report adds to a report the records that the placer has not been told, and what this
// host knows of its table.
func (c *crashes) report(r *signal.LoadReport) crashCursor {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, change := c.table.ChangedSince(c.told.change, maxCrashReports)
	r.Crashes, r.CrashTable, r.CrashChange = encodeCrashes(records), c.known.table, c.known.change
	return crashCursor{table: c.told.table, change: change}
}

// reported records that the placer has received a report up to a cursor, and merges its
// reply. A placer with another table is told all that this host knows.
func (c *crashes) reported(told crashCursor, reply *signal.LoadReply) {
	c.merge(reply.GetCrashes())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = crashCursor{table: reply.GetCrashTable(), change: reply.GetCrashChange()}
	if told.table == reply.GetCrashTable() {
		c.told = told
	} else {
		c.told = crashCursor{table: reply.GetCrashTable()}
	}
}

// reply adds to the reply of a report what the reporting host does not know.
func (c *crashes) reply(r *signal.LoadReport, reply *signal.LoadReply) {
	c.merge(r.GetCrashes())
	c.mu.Lock()
	defer c.mu.Unlock()
	since := r.GetCrashChange()
	if r.GetCrashTable() != c.id {
		since = 0
	}
	records, change := c.table.ChangedSince(since, maxCrashReports)
	reply.Crashes, reply.CrashTable, reply.CrashChange = encodeCrashes(records), c.id, change
}

// merge records what another host knows.
func (c *crashes) merge(told []*signal.CrashRecord) {
	if len(told) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(monotonicNow(), decodeCrashes(told))
	c.update()
}

// urgent reports whether this host has learned of a crash a moment ago.
func (c *crashes) urgent() bool {
	return c != nil && c.size.Load() > 0 && time.Duration(monotonicNow()-mooring.Instant(c.changedAt.Load())) < urgentTime
}

// update records the size of the table, which may have changed. The caller holds mu.
func (c *crashes) update() {
	c.size.Store(int64(c.table.Len()))
	if change := c.table.Changes(); change != c.lastChange {
		c.lastChange = change
		c.changedAt.Store(int64(monotonicNow()))
	}
}
