package jetty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// maxClaimJitter bounds the random delay before a claim, which keeps the hosts
	// from claiming the placer's record all at once. Each claim is two writes.
	maxClaimJitter = 120 * time.Millisecond
	// minPlacerLinkMbps is the bandwidth that a placer should have, which gets the reports
	// of all hosts and tells them the load. Hosts with less leave a vacant term to others
	// for slowHostDelay, and then claim over a time that grows with the number of hosts by
	// claimSpread for each.
	minPlacerLinkMbps = 100
	slowHostDelay     = 250 * time.Millisecond
	claimSpread       = 5 * time.Millisecond
	// claimInterval is the time between two checks whether there is a placer, in
	// addition to those after each change of the cluster state.
	claimInterval = 400 * time.Millisecond
	// lastPlacerPrecedence is how long after a restore the term is left to the last placer
	// of the era before.
	lastPlacerPrecedence = 700 * time.Millisecond
)

// election elects the placer through the store. It runs on every host, claims a
// term when there is no placer and runs the claimed term.
type election struct {
	store         ledger.TxnStore
	sender        *orderSender
	clusterState  *clusterState
	admissions    *admissionSet
	loadCollector *loadCollector
	logs          *logs
	metrics       *metrics
	recoverer     *recoverer
	memory        *memory
	reach         *reach
	limits        *limits
	crashes       *crashes
	// carriers, if set, are those that an earlier placer has told this host, and keepTime
	// tells how long servers keep unused connections.
	carriers *carriers
	// coordination and coordinators, if set, tell which services are to have coordinators,
	// and which an earlier placer has told this host.
	coordination *coordination
	coordinators *coordinators
	keepTime     func(fairway.ServiceName) time.Duration
	notices      *notices
	address      string
	linkMbps     int
	ttl          time.Duration
	maxHold      time.Duration
	// scanned reports whether the store has been read.
	scanned func() bool
	// wake receives a signal after a change of the cluster state.
	wake chan struct{}

	mu sync.Mutex
	// current runs the present term, which may outlast the term's lease. former is the
	// one before that, or nil.
	current      *termRunner
	former       *formerTerm
	resignation  resignation
	shuttingDown bool
	// endedBefore is a revision of the store. Terms that were claimed before it
	// must not start, since this host has confirmed to a later placer that its
	// earlier terms have ended.
	endedBefore ledger.Revision
	termRunners sync.WaitGroup
}

// notify signals a change of the cluster state.
func (e *election) notify() {
	signalOnce(e.wake)
	if r := e.termRunner(); r != nil {
		signalOnce(r.wake)
	}
}

// signalOnce sends a signal unless the channel, which has room for one, already
// holds one.
func signalOnce(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *election) termRunner() *termRunner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// active reports whether this host is acting as the placer.
func (e *election) active() bool {
	return e.termRunner() != nil
}

// mayWrite reports whether this host is the placer and no other one can be yet.
func (e *election) mayWrite() bool {
	r := e.termRunner()
	return r != nil && r.term.mayWrite()
}

// run claims the placer's record whenever there is no placer.
func (e *election) run(ctx context.Context) {
	defer e.termRunners.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-time.After(claimInterval):
		}
		vacant := e.vacant()
		if delay := e.claimDelay(vacant); delay > 0 {
			pause(ctx, min(delay, maxClaimJitter))
			signalOnce(e.wake)
			continue
		}
		if !vacant {
			continue
		}
		if !e.active() {
			pause(ctx, claimPause(e.linkMbps, e.clusterState.hostCount(), rand.Float64()))
			if !e.vacant() {
				continue
			}
		}
		if occupied, err := e.readPlacer(ctx); occupied || err != nil {
			if err != nil {
				e.logs.operationFailed("read placer record", err)
			}
			continue
		}
		t, err := claimTerm(ctx, e.claimConfig())
		if err != nil {
			if !ledger.IsKind(err, ledger.KindConflict) {
				e.logs.operationFailed("claim placer record", err)
			}
			continue
		}
		e.startTerm(ctx, t)
	}
}

// claimPause returns how long a host waits before it claims a vacant term, so that few
// claim it at a time: random is in [0, 1).
func claimPause(linkMbps, hosts int, random float64) time.Duration {
	if linkMbps == 0 || linkMbps >= minPlacerLinkMbps {
		return time.Duration(random * float64(maxClaimJitter))
	}
	return slowHostDelay + time.Duration(random*float64(max(maxClaimJitter, time.Duration(hosts)*claimSpread)))
}

// readPlacer reports whether the store has the record of a placer that this host does not
// know of yet. A claim would fail and cost the store more calls.
func (e *election) readPlacer(ctx context.Context) (bool, error) {
	entry, err := e.store.Get(ctx, placerKey)
	switch {
	case ledger.IsKind(err, ledger.KindNotFound):
		return false, nil
	case err != nil:
		return false, err
	}
	next := placerRecord{address: string(entry.Value), revision: entry.Revision}
	if e.isRestoredRecord(next) {
		return false, nil
	}
	if e.clusterState.setPlacer(next) {
		e.logs.placerChanged(next)
	}
	return true, nil
}

// vacant reports whether this host may claim a term: it has read the store and
// found a configuration and no placer, is not shutting down, and has no term of
// its own in which it may write.
func (e *election) vacant() bool {
	e.mu.Lock()
	shuttingDown, current := e.shuttingDown, e.current
	e.mu.Unlock()
	if shuttingDown || current != nil && current.term.mayWrite() {
		return false
	}
	placer := e.clusterState.currentPlacer()
	claimable := placer.address == "" && !e.yieldsToLastPlacer() || e.isRestoredRecord(placer)
	return e.scanned() && claimable && e.clusterState.activeConfig.Current() != nil
}

// isRestoredRecord reports whether a placer's record may be one that the store has brought
// back from an older copy and that this host replaces: its own, or that of an earlier placer
// if this host was the last one of the era before.
func (e *election) isRestoredRecord(p placerRecord) bool {
	yields := e.yieldsToLastPlacer()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.current != nil || !e.former.endedBefore(p.revision) || p.address == "":
		return false
	case e.former.outlivedBefore(p.revision):
		return true
	default:
		return p.address == e.address && !yields
	}
}

// yieldsToLastPlacer reports whether the store has just come back and another host was the
// placer before. Only that one knows all owners of keys.
func (e *election) yieldsToLastPlacer() bool {
	last, at, ok := e.clusterState.placerBeforeRestore()
	return ok && last != "" && last != e.address && bootTimeNow() < at.Add(lastPlacerPrecedence)
}

// claimConfig returns the parameters of the next claim.
func (e *election) claimConfig() termConfig {
	placer := e.clusterState.currentPlacer()
	cfg := termConfig{Store: e.store, TTL: e.ttl, Address: e.address, Logs: e.logs, Era: placer.revision.Era()}
	if e.isRestoredRecord(placer) {
		cfg.Replaces, cfg.ReplacesOther = placer.revision, placer.address != e.address
	}
	_, cfg.Restored = e.clusterState.restored()
	cfg.FirstEra = e.clusterState.knownFirstEra()
	e.mu.Lock()
	defer e.mu.Unlock()
	cfg.Former = e.former
	return cfg
}

// claimDelay returns how long this host still leaves a vacant term to hosts that reach
// the servers.
func (e *election) claimDelay(vacant bool) time.Duration {
	reachesFew := e.reach.reachesFew()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resignation.claimDelay(bootTimeNow(), vacant, reachesFew)
}

// mustResign reports whether the placer whose term began at an instant leaves it to a
// host that reaches the servers.
func (e *election) mustResign(began mooring.Instant, ordersFail, answersOthers bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resignation.due(bootTimeNow(), began, ordersFail, answersOthers)
}

func (e *election) recordResignation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignation.resigned(bootTimeNow())
}

// startTerm starts the runner of a term. If an earlier term of this host is still
// running, which is the case when it has lost the store, that is ended first.
func (e *election) startTerm(ctx context.Context, t *term) {
	if previous := e.termRunner(); previous != nil {
		previous.cancel()
		<-previous.done
	}
	// The host is not its own predecessor, so the term counts the holds of its former
	// one from the end of that one's last order.
	t.began = bootTimeNow()
	termCtx, cancel := context.WithCancel(ctx)
	r := newTermRunner(e, t, cancel)
	e.mu.Lock()
	mustNotStart := e.shuttingDown || t.revision < e.endedBefore
	if !mustNotStart {
		e.current = r
	}
	e.mu.Unlock()
	if mustNotStart {
		cancel()
		_ = t.resign(ctx)
		return
	}
	e.clusterState.setPlacer(placerRecord{address: e.address, revision: t.revision})
	e.termRunners.Go(func() {
		defer e.recoverer.at(placeTerm, cancel)
		r.run(termCtx)
	})
}

// ended clears the current runner after its last order has ended.
func (e *election) ended(r *termRunner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == r {
		e.current = nil
		e.former = r.former()
	}
	signalOnce(e.wake)
}

// resign ends the current term and prevents new ones, for the shutdown of this
// host.
func (e *election) resign(ctx context.Context) {
	e.mu.Lock()
	e.shuttingDown = true
	r := e.current
	e.mu.Unlock()
	if r != nil {
		_ = r.term.resign(ctx)
	}
}

// endTermsBefore ends the term of this host if it began before a revision, and
// waits until none of its orders is in flight.
func (e *election) endTermsBefore(ctx context.Context, revision ledger.Revision) error {
	e.mu.Lock()
	e.endedBefore = max(e.endedBefore, revision)
	r := e.current
	e.mu.Unlock()
	if r == nil || r.term.revision >= revision {
		return nil
	}
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
