package jetty

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// placerLeaseTTL is the time to live of the placer's lease. After the loss of
	// a placer the next one starts when the lease has expired, and it must renew
	// the grants before they expire.
	placerLeaseTTL = 1800 * time.Millisecond
	// leaseRenewInterval is short enough for three renewals to fail before the
	// lease expires.
	leaseRenewInterval = 400 * time.Millisecond
	// leaseMargin covers the time between a check of the lease and the moment at
	// which the write or order that it allows has been sent.
	leaseMargin = 100 * time.Millisecond
	// orderGracePeriod is how long after the store last confirmed its term a
	// placer continues to renew grants. Grants thus survive store outages of that
	// length. A placer that cannot reach its predecessor waits as long
	// before it reassigns the keys of an unresponsive server.
	orderGracePeriod = 10 * time.Second
)

// term is a leadership term: the time for which this host is the placer. It
// begins with the creation of the placer's record. Writes depend on that record.
// Orders end at the latest when orderGracePeriod has passed since the store last
// confirmed the record.
type term struct {
	store ledger.TxnStore
	lease ledger.LeaseID
	// ttl is the lease's time to live.
	ttl  time.Duration
	logs *logs
	// address is the peer address of this host.
	address string
	// revision is that of the placer's record. Every write of the term is
	// conditional on it.
	revision ledger.Revision
	// began is when this host received the store's confirmation that the record was
	// written, or later, when the last order of its own former term had ended.
	began mooring.Instant
	// predecessors lists the earlier placers that may still send orders.
	predecessors placerList
	// fence is the record of the store's era.
	fence eraFence
	// continued is this host's term in the era before, or nil if another host may have
	// been the placer since.
	continued *formerTerm

	// leaseUntil is the instant until which no other host can have been the placer.
	leaseUntil atomic.Int64
	// outlivedEra is set once the store has come back from an older copy within the lease:
	// no other host was the placer in the rest of the term's era.
	outlivedEra atomic.Bool
	// writesUntil and ordersUntil are the instants from which the term must not
	// send any write or order, in nanoseconds of the clock of bootTimeNow.
	writesUntil atomic.Int64
	ordersUntil atomic.Int64
}

// termConfig holds the parameters of the claim of a term.
type termConfig struct {
	Store   ledger.TxnStore
	TTL     time.Duration
	Address string
	Logs    *logs
	// Era is the store's era as far as this host knows, or 0 if the store states none.
	Era ledger.Era
	// Replaces is the revision of the record to replace, or 0 if there is none: one that
	// the store has brought back from an older copy.
	Replaces ledger.Revision
	// ReplacesOther reports whether that record is another host's. Then it is only replaced
	// if it was written before the era was recorded.
	ReplacesOther bool
	// Restored reports whether this host has seen the store come back.
	Restored bool
	// FirstEra is the era in which the system first started, or 0 if this host does not
	// know it.
	FirstEra ledger.Era
	// Former is the host's own former term, or nil.
	Former *formerTerm
}

// claimTerm makes this host the placer if there is none.
func claimTerm(ctx context.Context, cfg termConfig) (*term, error) {
	var fence eraFence
	if cfg.Era != 0 {
		var err error
		if fence, err = raiseEraFence(ctx, cfg.Store, cfg.FirstEra); err != nil {
			return nil, err
		}
	}
	if cfg.ReplacesOther && cfg.Replaces > fence.record.Revision {
		cfg.Former.supersede()
		return nil, &ledger.Error{Op: "claim term", Kind: ledger.KindConflict, Key: placerKey, Err: errTermEnded}
	}
	predecessors, listRevision, err := readPlacers(ctx, cfg.Store, cfg.Logs)
	if err != nil {
		return nil, err
	}
	predecessors = predecessors.without(cfg.Address)
	// Each claim writes the list, after its host has recorded the era.
	first := listRevision < fence.record.Revision
	continued := first && cfg.Former.continues(fence.record.Revision.Era())
	switch {
	case continued:
		predecessors = predecessors.merge(cfg.Former.term.predecessors)
	case fence.mayPrecede(listRevision, cfg.Restored):
		predecessors.Incomplete = true
	}
	list, err := predecessors.with(cfg.Address).encode()
	if err != nil {
		return nil, err
	}
	requestedAt := bootTimeNow()
	lease, err := cfg.Store.GrantLease(ctx, cfg.TTL)
	if err != nil {
		return nil, err
	}
	revision, err := cfg.Store.Commit(ctx, fence.guard(ledger.Txn{
		Expect: []ledger.Expectation{{Key: placerKey, Revision: cfg.Replaces}, {Key: placerListKey, Revision: listRevision}},
		// The placer's record is the last item, since a transaction returns the
		// revision of its last item, whether each item has its own or not.
		Put: []ledger.Write{
			{Key: placerListKey, Value: list},
			{Key: placerKey, Value: []byte(cfg.Address), Lease: lease},
		},
	}))
	if err != nil {
		// If the write took effect nevertheless, the record is removed with its
		// lease.
		if revokeErr := cfg.Store.RevokeLease(ctx, lease); revokeErr != nil {
			cfg.Logs.operationFailed("revoke lease of failed placer claim", revokeErr)
		}
		return nil, err
	}
	t := &term{
		store: cfg.Store, lease: lease, ttl: cfg.TTL, logs: cfg.Logs, address: cfg.Address,
		revision: revision, began: bootTimeNow(), predecessors: predecessors, fence: fence,
	}
	if continued {
		t.continued = cfg.Former
	}
	t.confirm(requestedAt)
	return t, nil
}

// confirm extends the term after the store confirmed it at an instant.
func (t *term) confirm(at mooring.Instant) {
	t.leaseUntil.Store(int64(at.Add(t.ttl)))
	t.writesUntil.Store(int64(at.Add(t.ttl - leaseMargin)))
	t.ordersUntil.Store(int64(at.Add(orderGracePeriod - grantTimeout - leaseMargin)))
}

// mayWrite reports whether no other host can be the placer yet. Writes are
// conditional in any case; this check saves calls that the store would reject.
func (t *term) mayWrite() bool {
	return bootTimeNow() < mooring.Instant(t.writesUntil.Load())
}

// mayOrder reports whether orders that follow from the recorded table may still
// be sent.
func (t *term) mayOrder() bool {
	return bootTimeNow() < mooring.Instant(t.ordersUntil.Load())
}

// predecessorUntil returns the latest instant at which an order of an earlier
// placer may arrive if none of them can be reached.
func (t *term) predecessorUntil() mooring.Instant {
	switch {
	case t.predecessors.empty():
		return t.began
	case t.continued != nil:
		// All of them were placers before this host's former term.
		return max(t.began, t.continued.term.predecessorUntil())
	default:
		return t.began.Add(orderGracePeriod)
	}
}

// recordRestore records that the store has come back from an older copy.
func (t *term) recordRestore() {
	if bootTimeNow() < mooring.Instant(t.leaseUntil.Load()) {
		t.outlivedEra.Store(true)
	}
}

// run renews the lease until it has ended or orders are no longer allowed. If the
// lease survives a store outage, the term continues.
func (t *term) run(ctx context.Context) {
	interrupted := false
	for ctx.Err() == nil && t.mayOrder() {
		pause(ctx, leaseRenewInterval)
		requestedAt := bootTimeNow()
		err := t.renew(ctx, interrupted)
		switch {
		case err == nil:
			interrupted = false
			t.confirm(requestedAt)
		case ledger.IsKind(err, ledger.KindNotFound), ledger.IsKind(err, ledger.KindConflict):
			t.writesUntil.Store(0)
			if errors.Is(err, ledger.ErrEraChanged) {
				t.recordRestore()
			} else {
				t.leaseUntil.Store(0)
			}
			t.logs.operationFailed("renew placer lease", err)
			return
		default:
			interrupted = true
			t.logs.operationFailed("renew placer lease", err)
		}
	}
}

// renew renews the lease. After an interruption it also reads the placer's record,
// since the store may have removed the record and kept the lease.
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

// resign ends the term, so that another host can become the placer at once. If
// the store cannot be reached, no other host can become the placer, and orders
// continue.
func (t *term) resign(ctx context.Context) error {
	t.leaseUntil.Store(0)
	t.outlivedEra.Store(false)
	if err := t.store.RevokeLease(ctx, t.lease); err != nil {
		t.logs.operationFailed("revoke placer lease", err)
		return err
	}
	t.writesUntil.Store(0)
	t.ordersUntil.Store(0)
	return nil
}
