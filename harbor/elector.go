package harbor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
)

// elector competes for the placer's lease of the failure domain. The lease
// only chooses who tries; what makes a placer is the compare-and-swap of the
// table with a new epoch.
//
// To keep the store's calls from growing with the fleet, a host competes only
// after the placer has not confirmed the table for a while.
type elector struct {
	d *Daemon

	mu        sync.Mutex
	lease     ledger.LeaseID
	renewedAt time.Time
	resigned  bool
}

// electionShare is the part of the placer's lease after which hosts compete.
const electionShare = 3

func newElector(d *Daemon) *elector {
	return &elector{d: d}
}

// run competes and renews until ctx ends.
func (e *elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.round(ctx)
		sleep(ctx, e.pause())
	}
}

// pause returns the time to the next round. Candidates spread out so that they
// do not all call the store at once.
func (e *elector) pause() time.Duration {
	interval := e.d.settings.Timing.PlacerLeaseMS.Duration() / 4
	if e.holds() {
		return interval
	}
	return interval/4 + time.Duration(rand.Int64N(int64(interval/4)))
}

func (e *elector) holds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease != ""
}

func (e *elector) round(ctx context.Context) {
	if e.holds() {
		e.renew(ctx)
		return
	}
	threshold := e.d.settings.Timing.PlacerLeaseMS.Duration() / electionShare
	if e.d.follower.placerSilence() >= threshold {
		e.compete(ctx)
	}
}

// compete tries to create the placer's record under a new lease.
func (e *elector) compete(ctx context.Context) {
	key := placerKey(e.d.settings.Host.Domain)
	_, err := e.d.store.Get(ctx, key)
	if !ledger.IsKind(err, ledger.KindNotFound) {
		return
	}
	ttl := e.d.settings.Timing.PlacerLeaseMS.Duration()
	askedAt := time.Now()
	lease, err := e.d.store.GrantLease(ctx, ttl)
	if err != nil {
		return
	}
	_, err = e.d.store.Swap(ctx, ledger.Swap{Key: key, Value: []byte(e.d.settings.Host.ID), Lease: lease})
	if err != nil {
		_ = e.d.store.RevokeLease(ctx, lease)
		return
	}
	if !e.win(lease, askedAt) {
		_ = e.d.store.RevokeLease(ctx, lease)
		return
	}
	e.d.logs.election("elected", e.d.settings.Host.Domain)
	e.d.placement.postTerm(ctx, berth.Elected{})
}

func (e *elector) win(lease ledger.LeaseID, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resigned {
		return false
	}
	e.lease = lease
	e.renewedAt = at
	return true
}

// renew extends the lease. The term ends when the store no longer knows the
// lease, or when it has not answered for the lease's whole life.
func (e *elector) renew(ctx context.Context) {
	e.mu.Lock()
	lease, renewedAt := e.lease, e.renewedAt
	e.mu.Unlock()
	askedAt := time.Now()
	err := e.d.store.RenewLease(ctx, lease)
	if err == nil {
		e.mu.Lock()
		e.renewedAt = askedAt
		e.mu.Unlock()
		return
	}
	lapsed := time.Since(renewedAt) >= e.d.settings.Timing.PlacerLeaseMS.Duration()
	if ledger.IsKind(err, ledger.KindNotFound) || lapsed {
		e.depose(ctx)
	}
}

func (e *elector) depose(ctx context.Context) {
	e.mu.Lock()
	e.lease = ""
	e.mu.Unlock()
	e.d.logs.election("deposed", e.d.settings.Host.Domain)
	e.d.placement.postTerm(ctx, berth.LeadershipLost{})
}

// resign gives the lease up, so that another host need not wait for its end.
func (e *elector) resign(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.lease = ""
	e.resigned = true
	e.mu.Unlock()
	if lease == "" {
		return
	}
	e.d.placement.postTerm(ctx, berth.LeadershipLost{})
	if err := e.d.store.RevokeLease(ctx, lease); err != nil {
		e.d.logs.failure("revoke placer lease", err)
	}
}
