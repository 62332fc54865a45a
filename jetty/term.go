package jetty

import (
	"context"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// placerLease is the time to live of the placer's lease. The next placer
	// begins after it, and must renew the grants before they run out.
	placerLease = 1800 * time.Millisecond
	// renewLeaseEvery leaves room for three failed renewals.
	renewLeaseEvery = 400 * time.Millisecond
	// leaseMargin covers the time between a check of the lease and the moment
	// at which the order that it allows has left.
	leaseMargin = 100 * time.Millisecond
)

// term is the time for which this host is the placer. It begins with the
// creation of the placer's record and ends when the lease may have.
type term struct {
	store ledger.TxnStore
	lease ledger.LeaseID
	// ttl is the lease's time to live.
	ttl time.Duration
	// revision is that of the placer's record. Every write of the term depends
	// on it.
	revision ledger.Revision
	// began is when the record was known to be written.
	began mooring.Instant
	until atomic.Int64
	logs  *logs
}

// claimTerm makes this host the placer if there is none.
func claimTerm(ctx context.Context, store ledger.TxnStore, ttl time.Duration, address string, logs *logs) (*term, error) {
	asked := bootNow()
	lease, err := store.GrantLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	revision, err := store.Commit(ctx, ledger.Txn{
		Expect: []ledger.Expectation{{Key: placerKey}},
		Put:    []ledger.Write{{Key: placerKey, Value: []byte(address), Lease: lease}},
	})
	if err != nil {
		// If the write took effect after all, the record goes with the lease.
		if rerr := store.RevokeLease(ctx, lease); rerr != nil {
			logs.failure("revoke lease", rerr)
		}
		return nil, err
	}
	t := &term{store: store, lease: lease, ttl: ttl, revision: revision, began: bootNow(), logs: logs}
	t.until.Store(int64(asked.Add(ttl - leaseMargin)))
	return t, nil
}

// valid reports whether no other host can be the placer yet.
func (t *term) valid() bool {
	return bootNow() < mooring.Instant(t.until.Load())
}

// run renews the lease until it has ended or ctx is done, and then calls end.
func (t *term) run(ctx context.Context, end context.CancelFunc) {
	defer end()
	for ctx.Err() == nil && t.valid() {
		pause(ctx, renewLeaseEvery)
		asked := bootNow()
		rctx, cancel := context.WithTimeout(ctx, renewLeaseEvery)
		err := t.store.RenewLease(rctx, t.lease)
		cancel()
		switch {
		case err == nil && t.valid():
			t.until.Store(int64(asked.Add(t.ttl - leaseMargin)))
		case err == nil:
			return
		case ledger.IsKind(err, ledger.KindNotFound):
			t.until.Store(0)
			return
		default:
			t.logs.failure("renew placer lease", err)
		}
	}
}

// resign ends the lease, so that another host can be the placer at once.
func (t *term) resign(ctx context.Context) {
	t.until.Store(0)
	if err := t.store.RevokeLease(ctx, t.lease); err != nil {
		t.logs.failure("revoke placer lease", err)
	}
}
