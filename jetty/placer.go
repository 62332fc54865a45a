package jetty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwinch.example/ledger"
)

const (
	// claimSpread keeps the hosts from claiming the placer's record all at
	// once. Each claim is two writes.
	claimSpread = 120 * time.Millisecond
	// claimEvery is the time between two looks at whether there is a placer,
	// besides those after each change of the views.
	claimEvery = 400 * time.Millisecond
)

// placer runs on every host and is active on the one that has the term.
type placer struct {
	store   ledger.TxnStore
	sender  *orderSender
	views   *views
	desks   *deskSet
	loads   *loads
	logs    *logs
	metrics *metrics
	address string
	ttl     time.Duration
	maxHold time.Duration
	scanned func() bool
	// wake is signalled after a change of the views.
	wake chan struct{}

	mu sync.Mutex
	// current is the shift under way, which may outlast the term's lease.
	current *shift
	leaving bool
	// endedBefore bars terms that began before a revision of the store, since
	// a later placer has been told that there are none.
	endedBefore ledger.Revision
	shifts      sync.WaitGroup
}

// notify makes the placer look at the views.
func (p *placer) notify() {
	signalOnce(p.wake)
	if s := p.shift(); s != nil {
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

func (p *placer) shift() *shift {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// active reports whether this host acts as the placer.
func (p *placer) active() bool {
	return p.shift() != nil
}

// run claims the record whenever there is no placer.
func (p *placer) run(ctx context.Context) {
	defer p.shifts.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(claimEvery):
		}
		if !p.vacant() {
			continue
		}
		if !p.active() {
			pause(ctx, time.Duration(rand.Int64N(int64(claimSpread))))
			if !p.vacant() {
				continue
			}
		}
		t, err := claimTerm(ctx, termConfig{Store: p.store, TTL: p.ttl, Address: p.address, Logs: p.logs})
		if err != nil {
			if !ledger.IsKind(err, ledger.KindConflict) {
				p.logs.failure("claim placer record", err)
			}
			continue
		}
		p.begin(ctx, t)
	}
}

// vacant reports whether there is no placer, as far as this host knows.
func (p *placer) vacant() bool {
	p.mu.Lock()
	leaving, current := p.leaving, p.current
	p.mu.Unlock()
	if leaving || current != nil && current.term.mayWrite() {
		return false
	}
	return p.scanned() && p.views.currentPlacer().address == "" && p.views.book.Current() != nil
}

// begin starts the shift of a term. An earlier shift of this host, which went
// on without the store, ends first.
func (p *placer) begin(ctx context.Context, t *term) {
	if old := p.shift(); old != nil {
		old.end()
		<-old.done
	}
	sctx, cancel := context.WithCancel(ctx)
	s := newShift(p, t, cancel)
	p.mu.Lock()
	barred := p.leaving || t.revision < p.endedBefore
	if !barred {
		p.current = s
	}
	p.mu.Unlock()
	if barred {
		cancel()
		t.resign(ctx)
		return
	}
	p.views.setPlacer(placerView{address: p.address, revision: t.revision})
	p.shifts.Go(func() { s.run(sctx) })
}

// ended forgets a shift whose last order has ended.
func (p *placer) ended(s *shift) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == s {
		p.current = nil
	}
}

// leave gives the term up, for the shutdown of this host.
func (p *placer) leave(ctx context.Context) {
	p.mu.Lock()
	p.leaving = true
	s := p.current
	p.mu.Unlock()
	if s != nil {
		s.term.resign(ctx)
	}
}

// endBefore ends the term of this host if it began before a revision, and waits
// until none of its orders is under way.
func (p *placer) endBefore(ctx context.Context, revision ledger.Revision) error {
	p.mu.Lock()
	p.endedBefore = max(p.endedBefore, revision)
	s := p.current
	p.mu.Unlock()
	if s == nil || s.term.revision >= revision {
		return nil
	}
	s.end()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
