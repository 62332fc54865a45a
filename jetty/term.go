package jetty

import (
	"context"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// placerLeaseTTL is the time to live of the placer's lease. The next placer
	// begins after it, and must renew the grants before they run out.
	placerLeaseTTL = 1800 * time.Millisecond
	// leaseRenewInterval leaves room for three failed renewals.
	leaseRenewInterval = 400 * time.Millisecond
	// leaseMargin covers the time between a check of the lease and the moment
	// at which what it allows has left.
	leaseMargin = 100 * time.Millisecond
	// orderGracePeriod is how long after the store last confirmed its term a placer
	// goes on renewing grants. It rides out outages of the store of that length.
	// A placer that cannot ask its predecessor waits as long before it takes a
	// silent server's keys.
	orderGracePeriod = 10 * time.Second
)

// term is the time for which this host is the placer. It begins with the
// creation of the placer's record. Writes depend on that record; orders end at
// the latest when orderReach has passed since the store last confirmed it.
type term struct {
	store ledger.TxnStore
	lease ledger.LeaseID
	// ttl is the lease's time to live.
	ttl  time.Duration
	logs *logs
	// address is this host's own.
	address string
	// revision is that of the placer's record. Every write of the term depends
	// on it.
	revision ledger.Revision
	// began is when the record was known to be written.
	began mooring.Instant
	// predecessors lists the placers that may still send orders.
	predecessors placerList

	writesUntil atomic.Int64
	ordersUntil atomic.Int64
}

// termConfig configures the claim of a term.
type termConfig struct {
	Store   ledger.TxnStore
	TTL     time.Duration
	Address string
	Logs    *logs
}

// claimTerm makes this host the placer if there is none.
func claimTerm(ctx context.Context, cfg termConfig) (*term, error) {
	earlier, listed, err := readPlacers(ctx, cfg.Store, cfg.Logs)
	if err != nil {
		return nil, err
	}
	earlier = earlier.without(cfg.Address)
	list, err := earlier.with(cfg.Address).encode()
	if err != nil {
		return nil, err
	}
	asked := bootTimeNow()
	lease, err := cfg.Store.GrantLease(ctx, cfg.TTL)
	if err != nil {
		return nil, err
	}
	revision, err := cfg.Store.Commit(ctx, ledger.Txn{
		Expect: []ledger.Expectation{{Key: placerKey}, {Key: placerListKey, Revision: listed}},
		// The revision of the whole is that of its last item, whether items have
		// revisions of their own or not.
		Put: []ledger.Write{
			{Key: placerListKey, Value: list},
			{Key: placerKey, Value: []byte(cfg.Address), Lease: lease},
		},
	})
	if err != nil {
		// If the write took effect after all, the record goes with the lease.
		if rerr := cfg.Store.RevokeLease(ctx, lease); rerr != nil {
			cfg.Logs.operationFailed("revoke lease", rerr)
		}
		return nil, err
	}
	t := &term{
		store: cfg.Store, lease: lease, ttl: cfg.TTL, logs: cfg.Logs, address: cfg.Address,
		revision: revision, began: bootTimeNow(), predecessors: earlier,
	}
	t.confirm(asked)
	return t, nil
}

// confirm notes that the store knew of the term at a moment.
func (t *term) confirm(at mooring.Instant) {
	t.writesUntil.Store(int64(at.Add(t.ttl - leaseMargin)))
	t.ordersUntil.Store(int64(at.Add(orderGracePeriod - grantTimeout - leaseMargin)))
}

// mayWrite reports whether no other host can be the placer yet. Writes are
// conditional besides; this saves calls that would be refused.
func (t *term) mayWrite() bool {
	return bootTimeNow() < mooring.Instant(t.writesUntil.Load())
}

// mayOrder reports whether orders may be sent that the record calls for.
func (t *term) mayOrder() bool {
	return bootTimeNow() < mooring.Instant(t.ordersUntil.Load())
}

// predecessorUntil returns the latest moment at which an order of an earlier
// placer may arrive if none of them can be asked.
func (t *term) predecessorUntil() mooring.Instant {
	if t.predecessors.empty() {
		return t.began
	}
	return t.began.Add(orderGracePeriod)
}

// run renews the lease until it has ended or orders are not allowed any more.
// A lease that outlived an outage of the store continues the term.
func (t *term) run(ctx context.Context) {
	interrupted := false
	for ctx.Err() == nil && t.mayOrder() {
		pause(ctx, leaseRenewInterval)
		asked := bootTimeNow()
		err := t.renew(ctx, interrupted)
		switch {
		case err == nil:
			interrupted = false
			t.confirm(asked)
		case ledger.IsKind(err, ledger.KindNotFound), ledger.IsKind(err, ledger.KindConflict):
			t.writesUntil.Store(0)
			t.logs.operationFailed("renew placer lease", err)
			return
		default:
			interrupted = true
			t.logs.operationFailed("renew placer lease", err)
		}
	}
}

// renew renews the lease. After an interruption the record is read as well: the
// store may have removed it and kept the lease.
func (t *term) renew(ctx context.Context, interrupted bool) error {
	ctx, cancel := context.WithTimeout(ctx, leaseRenewInterval)
	defer cancel()
	if err := t.store.RenewLease(ctx, t.lease); err != nil || !interrupted {
		return err
	}
	e, err := t.store.Get(ctx, placerKey)
	if err == nil && e.Revision != t.revision {
		return &ledger.Error{Op: "read placer record", Kind: ledger.KindConflict, Err: errTermEnded}
	}
	return err
}

// resign ends the term, so that another host can be the placer at once. While
// the store cannot be reached, no other host can, and the orders go on.
func (t *term) resign(ctx context.Context) {
	if err := t.store.RevokeLease(ctx, t.lease); err != nil {
		t.logs.operationFailed("revoke placer lease", err)
		return
	}
	t.writesUntil.Store(0)
	t.ordersUntil.Store(0)
}
