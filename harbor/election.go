package harbor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
)

// election competes for the placer's lease of the failure domain. The lease
// only selects the host that tries to become the placer; a host becomes the
// placer by the compare-and-swap of the table with a new epoch.
//
// A host competes only if the placer has not confirmed the table for
// 1/campaignDivisor of the lease's TTL, so that the number of store calls
// does not grow with the number of hosts.
type election struct {
	d *Daemon

	mu        sync.Mutex
	lease     ledger.LeaseID
	renewedAt time.Time
	resigned  bool
}

// campaignDivisor is the divisor of the TTL of the placer's lease that gives the
// time without a confirmation by the placer after which hosts compete.
const campaignDivisor = 3

func newElection(d *Daemon) *election {
	return &election{d: d}
}

// run tries to acquire the lease, or renews it, until ctx is done.
func (e *election) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.round(ctx)
		sleep(ctx, e.nextDelay())
	}
}

// nextDelay returns the time until the next round. It is randomized for
// candidates, so that they do not all call the store at once.
func (e *election) nextDelay() time.Duration {
	interval := e.d.settings.Timing.PlacerLeaseMS.Duration() / 4
	if e.holdsLease() {
		return interval
	}
	return interval/4 + time.Duration(rand.Int64N(int64(interval/4)))
}

func (e *election) holdsLease() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease != ""
}

func (e *election) round(ctx context.Context) {
	if e.holdsLease() {
		e.renew(ctx)
		return
	}
	threshold := e.d.settings.Timing.PlacerLeaseMS.Duration() / campaignDivisor
	if e.d.tableSync.sincePlacerConfirmed() >= threshold {
		e.tryAcquire(ctx)
	}
}

// tryAcquire tries to create the placer's record under a new lease. It does
// nothing if the record exists.
func (e *election) tryAcquire(ctx context.Context) {
	key := placerKey(e.d.settings.Host.Domain)
	_, err := e.d.store.Get(ctx, key)
	if !ledger.IsKind(err, ledger.KindNotFound) {
		return
	}
	ttl := e.d.settings.Timing.PlacerLeaseMS.Duration()
	requestedAt := time.Now()
	lease, err := e.d.store.GrantLease(ctx, ttl)
	if err != nil {
		return
	}
	_, err = e.d.store.Swap(ctx, ledger.Swap{Key: key, Value: []byte(e.d.settings.Host.ID), Lease: lease})
	if err != nil {
		_ = e.d.store.RevokeLease(ctx, lease)
		return
	}
	if !e.setLease(lease, requestedAt) {
		_ = e.d.store.RevokeLease(ctx, lease)
		return
	}
	e.d.logs.termChanged("elected", e.d.settings.Host.Domain)
	e.d.placerRunner.postBlocking(ctx, berth.Elected{})
}

// setLease stores an acquired lease. It returns false if the host has resigned.
func (e *election) setLease(lease ledger.LeaseID, requestedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resigned {
		return false
	}
	e.lease = lease
	e.renewedAt = requestedAt
	return true
}

// renew extends the lease. The placer's term ends if the lease no longer exists
// in the store, or if no renewal has succeeded for the lease's whole TTL.
func (e *election) renew(ctx context.Context) {
	e.mu.Lock()
	lease, renewedAt := e.lease, e.renewedAt
	e.mu.Unlock()
	requestedAt := time.Now()
	err := e.d.store.RenewLease(ctx, lease)
	if err == nil {
		e.mu.Lock()
		e.renewedAt = requestedAt
		e.mu.Unlock()
		return
	}
	expired := time.Since(renewedAt) >= e.d.settings.Timing.PlacerLeaseMS.Duration()
	if ledger.IsKind(err, ledger.KindNotFound) || expired {
		e.stepDown(ctx)
	}
}

// stepDown ends the placer's term after the lease was lost.
func (e *election) stepDown(ctx context.Context) {
	e.mu.Lock()
	e.lease = ""
	e.mu.Unlock()
	e.d.logs.termChanged("deposed", e.d.settings.Host.Domain)
	e.d.placerRunner.postBlocking(ctx, berth.LeadershipLost{})
}

// resign revokes the lease, so that another host can acquire it without waiting
// for its expiry. This host does not acquire it again.
func (e *election) resign(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.lease = ""
	e.resigned = true
	e.mu.Unlock()
	if lease == "" {
		return
	}
	e.d.placerRunner.postBlocking(ctx, berth.LeadershipLost{})
	if err := e.d.store.RevokeLease(ctx, lease); err != nil {
		e.d.logs.operationFailed("revoke placer lease", err)
	}
}
