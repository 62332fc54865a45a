package jetty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwinch.example/ledger"
)

const (
	// maxClaimJitter keeps the hosts from claiming the placer's record all at
	// once. Each claim is two writes.
	maxClaimJitter = 120 * time.Millisecond
	// claimInterval is the time between two looks at whether there is a placer,
	// besides those after each change of the views.
	claimInterval = 400 * time.Millisecond
)

// election runs on every host and is active on the one that has the term.
type election struct {
	store         ledger.TxnStore
	sender        *orderSender
	clusterState  *clusterState
	admissions    *admissionSet
	loadCollector *loadCollector
	logs          *logs
	metrics       *metrics
	address       string
	ttl           time.Duration
	maxHold       time.Duration
	scanned       func() bool
	// wake is signalled after a change of the views.
	wake chan struct{}

	mu sync.Mutex
	// current is the shift under way, which may outlast the term's lease.
	current      *termRunner
	shuttingDown bool
	// endedBefore bars terms that began before a revision of the store, since
	// a later placer has been told that there are none.
	endedBefore ledger.Revision
	termRunners sync.WaitGroup
}

// notify makes the placer look at the views.
func (p *election) notify() {
	signalOnce(p.wake)
	if s := p.termRunner(); s != nil {
		signalOnce(s.wake)
	}
}

// signalOnce sends to a channel that holds at most one signal.
func signalOnce(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *election) termRunner() *termRunner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// active reports whether this host acts as the placer.
func (p *election) active() bool {
	return p.termRunner() != nil
}

// run claims the record whenever there is no placer.
func (p *election) run(ctx context.Context) {
	defer p.termRunners.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(claimInterval):
		}
		if !p.vacant() {
			continue
		}
		if !p.active() {
			pause(ctx, time.Duration(rand.Int64N(int64(maxClaimJitter))))
			if !p.vacant() {
				continue
			}
		}
		t, err := claimTerm(ctx, termConfig{Store: p.store, TTL: p.ttl, Address: p.address, Logs: p.logs})
		if err != nil {
			if !ledger.IsKind(err, ledger.KindConflict) {
				p.logs.operationFailed("claim placer record", err)
			}
			continue
		}
		p.startTerm(ctx, t)
	}
}

// vacant reports whether there is no placer, as far as this host knows.
func (p *election) vacant() bool {
	p.mu.Lock()
	leaving, current := p.shuttingDown, p.current
	p.mu.Unlock()
	if leaving || current != nil && current.term.mayWrite() {
		return false
	}
	return p.scanned() && p.clusterState.currentPlacer().address == "" && p.clusterState.activeConfig.Current() != nil
}

// startTerm starts the shift of a term. An earlier shift of this host, which went
// on without the store, ends first.
func (p *election) startTerm(ctx context.Context, t *term) {
	if old := p.termRunner(); old != nil {
		old.cancel()
		<-old.done
	}
	sctx, cancel := context.WithCancel(ctx)
	s := newTermRunner(p, t, cancel)
	p.mu.Lock()
	barred := p.shuttingDown || t.revision < p.endedBefore
	if !barred {
		p.current = s
	}
	p.mu.Unlock()
	if barred {
		cancel()
		t.resign(ctx)
		return
	}
	p.clusterState.setPlacer(placerRecord{address: p.address, revision: t.revision})
	p.termRunners.Go(func() { s.run(sctx) })
}

// ended forgets a shift whose last order has ended.
func (p *election) ended(s *termRunner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == s {
		p.current = nil
	}
}

// resign gives the term up, for the shutdown of this host.
func (p *election) resign(ctx context.Context) {
	p.mu.Lock()
	p.shuttingDown = true
	s := p.current
	p.mu.Unlock()
	if s != nil {
		s.term.resign(ctx)
	}
}

// endTermsBefore ends the term of this host if it began before a revision, and waits
// until none of its orders is under way.
func (p *election) endTermsBefore(ctx context.Context, revision ledger.Revision) error {
	p.mu.Lock()
	p.endedBefore = max(p.endedBefore, revision)
	s := p.current
	p.mu.Unlock()
	if s == nil || s.term.revision >= revision {
		return nil
	}
	s.cancel()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
