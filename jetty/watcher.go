package jetty

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// watchPollTimeout is how long a watch waits for a change. A connection that has
	// gone silent is noticed at its end, which bounds the age of what a host
	// believes; see feedMaxAge.
	watchPollTimeout = 1200 * time.Millisecond
	// tableBatchDelay and otherPause let changes that come in quick succession be
	// fetched by one call, each of which is paid for. A change of owners is
	// followed by another when the former owner has released the keys, which
	// requests wait for; other changes have seconds to come into force.
	tableBatchDelay = 40 * time.Millisecond
	otherBatchDelay = 200 * time.Millisecond
	// watchRetryDelay is the pause after a failed call; it doubles up to
	// maxWatchRetry, since a store that is out is paid for each call too.
	watchRetryDelay    = 50 * time.Millisecond
	maxWatchRetryDelay = 600 * time.Millisecond
	// outageThreshold is how long the store must have been out of reach for the
	// entries of servers to have expired in the meantime.
	outageThreshold = feedMaxAge
	// reregisterTimeout is how long after an outage servers that live are back in the
	// list at the latest.
	reregisterTimeout = 2200 * time.Millisecond
)

// watcher follows the store and keeps the views up to date.
type watcher struct {
	store        ledger.TxnStore
	protocol     Protocol
	clusterState *clusterState
	admissions   *admissionSet
	logs         *logs
	changeLog    *changeLog
	feed         feedClient
	// address is where this host serves its own feed.
	address string
	// onChange is called after a change of the views.
	onChange func()

	revision ledger.Revision
	scanned  atomic.Bool
	// lastContact is when the store last answered.
	lastContact time.Time
	lost        bool
	// unconfirmedUntil is set after an outage. Until then, servers that are missing
	// are kept in missing.
	unconfirmedUntil time.Time
	missing          map[fairway.ServerID]bool
}

// run follows the store until ctx is done.
func (w *watcher) run(ctx context.Context) {
	w.missing = make(map[fairway.ServerID]bool)
	w.lastContact = time.Now()
	retry := watchRetryDelay
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case err == nil:
			retry = watchRetryDelay
		case ledger.IsKind(err, ledger.KindCompacted):
			w.scanned.Store(false)
			w.logs.storeCompacted(w.revision)
		default:
			w.recordFailure(err)
			pause(ctx, retry+time.Duration(rand.Int64N(int64(retry))))
			retry = min(2*retry, maxWatchRetryDelay)
		}
		w.removeMissing()
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (w *watcher) recordSuccess() {
	if w.lost {
		w.lost = false
		w.logs.dependencyRegained("store", time.Since(w.lastContact))
	}
	w.lastContact = time.Now()
}

func (w *watcher) recordFailure(err error) {
	if !w.lost {
		w.lost = true
		w.logs.dependencyLost("store", err)
	}
}

// checkOutage is called with the first answer after failures, before it is
// used.
func (w *watcher) checkOutage() {
	if w.lost && time.Since(w.lastContact) > outageThreshold {
		w.unconfirmedUntil = time.Now().Add(reregisterTimeout)
	}
}

// step makes one call to the store and applies what it brings.
func (w *watcher) step(ctx context.Context) error {
	if !w.scanned.Load() {
		return w.scan(ctx)
	}
	wait := watchPollTimeout
	if len(w.missing) > 0 {
		wait = min(max(time.Until(w.unconfirmedUntil), 10*time.Millisecond), watchPollTimeout)
	}
	if feeder := w.clusterState.feederAddress(); feeder != w.address && w.feed.usable(feeder) {
		return w.stepFeed(ctx, feeder)
	}
	if w.lost && time.Since(w.lastContact) > outageThreshold {
		// What was missed may be many changes of the same keys.
		return w.scan(ctx)
	}
	changes, revision, err := w.store.Watch(ctx, "", w.revision, wait)
	if err != nil {
		return err
	}
	w.advance(changes, revision, true)
	if len(changes) > 0 {
		pause(ctx, batchDelay(changes))
	}
	return nil
}

// stepFeed asks the feeder for changes. If it fails, the next step asks the
// store.
func (w *watcher) stepFeed(ctx context.Context, feeder string) error {
	told, err := w.feed.changes(ctx, feeder, w.revision)
	if err != nil {
		w.logs.feedFailed(feeder, w.revision, err)
		return nil
	}
	if told.snapshot {
		entries := make([]ledger.Entry, 0, len(told.changes))
		for _, c := range told.changes {
			entries = append(entries, c.Entry)
		}
		w.applySnapshot(entries, told.revision, false)
		return nil
	}
	w.advance(told.changes, told.revision, false)
	if len(told.changes) > 0 {
		pause(ctx, feedBatchDelay)
	}
	return nil
}

// advance applies the changes up to a revision.
func (w *watcher) advance(changes []ledger.Change, revision ledger.Revision, direct bool) {
	w.checkOutage()
	w.apply(changes)
	w.changeLog.add(changes, revision, direct)
	w.revision = revision
	w.recordSuccess()
}

// batchDelay returns how long to wait before the next call.
func batchDelay(changes []ledger.Change) time.Duration {
	for _, c := range changes {
		if strings.HasPrefix(c.Key, tablePrefix) {
			return tableBatchDelay
		}
	}
	return otherBatchDelay
}

// scan reads everything from the store.
func (w *watcher) scan(ctx context.Context) error {
	entries, revision, err := w.store.Scan(ctx, "")
	if err != nil {
		return err
	}
	w.applySnapshot(entries, revision, true)
	w.scanned.Store(true)
	return nil
}

// applySnapshot takes all entries that existed at a revision. Servers that are not
// listed any more are gone.
func (w *watcher) applySnapshot(entries []ledger.Entry, revision ledger.Revision, direct bool) {
	w.checkOutage()
	changes := make([]ledger.Change, 0, len(entries))
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		changes = append(changes, ledger.Change{Entry: e})
		listed[e.Key] = true
	}
	if !listed[placerKey] {
		changes = append(changes, ledger.Change{Entry: ledger.Entry{Key: placerKey, Revision: revision}, Removed: true})
	}
	w.apply(changes)
	known := make(map[fairway.ServerID]bool)
	for _, e := range entries {
		if record, ok := w.protocol.Decode(e, time.Now()).(ServerRecord); ok {
			known[record.ID] = true
		}
	}
	var gone []fairway.ServerID
	for id := range w.clusterState.catalog().All() {
		if !known[id] {
			gone = append(gone, id)
		}
	}
	w.updateServers(nil, gone)
	w.revision = revision
	w.changeLog.reset(entries, revision, direct)
	w.recordSuccess()
	w.onChange()
}

// apply takes changes in the order of their revisions.
func (w *watcher) apply(changes []ledger.Change) {
	var seen []fairway.Endpoint
	var gone []fairway.ServerID
	at := time.Now()
	for _, c := range changes {
		if strings.HasPrefix(c.Key, internalPrefix) {
			w.applyHostRecord(c)
			continue
		}
		record := w.decode(c, at)
		switch record := record.(type) {
		case ConfigRecord:
			if w.clusterState.activeConfig.SetIfNewer(record.Config) {
				w.logs.configApplied(record.Config)
			}
		case ServerRecord:
			seen, gone = withoutServer(seen, record.ID), append(gone, record.ID)
			if record.Err == nil {
				seen, gone = append(seen, record.Endpoint), gone[:len(gone)-1]
			}
			w.logs.serverUpdated(record)
		case UnreadableRecord:
			w.logs.recordUnreadable(record)
		}
	}
	w.updateServers(seen, gone)
	if len(changes) > 0 {
		w.onChange()
	}
}

func (w *watcher) decode(c ledger.Change, at time.Time) Record {
	if c.Removed {
		return w.protocol.DecodeRemoval(c.Key)
	}
	return w.protocol.Decode(c.Entry, at)
}

// withoutServer returns sightings but those of one server.
func withoutServer(sightings []fairway.Endpoint, id fairway.ServerID) []fairway.Endpoint {
	kept := sightings[:0]
	for _, s := range sightings {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	return kept
}

// applyHostRecord takes a change of a record of the entry hosts.
func (w *watcher) applyHostRecord(c ledger.Change) {
	if c.Key == placerKey {
		next := placerRecord{address: string(c.Value), revision: c.Revision}
		if w.clusterState.setPlacer(next) {
			w.logs.placerChanged(next)
		}
		return
	}
	name, ok := strings.CutPrefix(c.Key, tablePrefix)
	if !ok || c.Removed {
		return
	}
	table, err := mooring.Decode(c.Value)
	if err != nil {
		w.logs.recordUnreadable(UnreadableRecord{Key: c.Key, Err: err})
		return
	}
	w.admissions.ownersOf(fairway.ServiceName(name)).update(monotonicNow(), table, mooring.StoreRevision(c.Revision))
}

// updateServers changes the catalog. Right after an outage, a missing server
// is likely to come back and is kept for a while.
func (w *watcher) updateServers(seen []fairway.Endpoint, gone []fairway.ServerID) {
	for _, s := range seen {
		delete(w.missing, s.ID)
	}
	var certain []fairway.ServerID
	for _, id := range gone {
		s, known := w.clusterState.catalog().Get(id)
		if known && time.Now().Before(w.unconfirmedUntil) {
			w.missing[id] = true
			s.Unconfirmed = true
			seen = append(seen, s)
		} else {
			certain = append(certain, id)
		}
	}
	if len(seen) > 0 || len(certain) > 0 {
		w.clusterState.servers.Store(w.clusterState.catalog().Apply(seen, certain))
	}
}

// removeMissing removes the servers that have not come back.
func (w *watcher) removeMissing() {
	if len(w.missing) == 0 || time.Now().Before(w.unconfirmedUntil) || w.lost {
		return
	}
	var gone []fairway.ServerID
	for id := range w.missing {
		gone = append(gone, id)
	}
	clear(w.missing)
	w.clusterState.servers.Store(w.clusterState.catalog().Apply(nil, gone))
	w.onChange()
}
