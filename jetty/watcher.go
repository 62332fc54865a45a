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
	// watchWait is how long a watch waits for a change. A connection that has
	// gone silent is noticed at its end, which bounds the age of what a host
	// believes; see feedMaxAge.
	watchWait = 1200 * time.Millisecond
	// tablePause and otherPause let changes that come in quick succession be
	// fetched by one call, each of which is paid for. A change of owners is
	// followed by another when the former owner has released the keys, which
	// requests wait for; other changes have seconds to come into force.
	tablePause = 40 * time.Millisecond
	otherPause = 200 * time.Millisecond
	// watchRetry is the pause after a failed call; it doubles up to
	// maxWatchRetry, since a store that is out is paid for each call too.
	watchRetry    = 50 * time.Millisecond
	maxWatchRetry = 600 * time.Millisecond
	// outageAfter is how long the store must have been out of reach for the
	// entries of servers to have expired in the meantime.
	outageAfter = feedMaxAge
	// returnTime is how long after an outage servers that live are back in the
	// list at the latest.
	returnTime = 2200 * time.Millisecond
)

// watcher follows the store and keeps the views up to date.
type watcher struct {
	store   ledger.TxnStore
	dialect Dialect
	views   *views
	desks   *deskSet
	logs    *logs
	mirror  *mirror
	feed    feed
	// address is where this host serves its own feed.
	address string
	// changed is called after a change of the views.
	changed func()

	revision ledger.Revision
	scanned  atomic.Bool
	// reachedAt is when the store last answered.
	reachedAt time.Time
	lost      bool
	// doubtUntil is set after an outage. Until then, servers that are missing
	// are kept in missing.
	doubtUntil time.Time
	missing    map[fairway.ServerID]bool
}

// run follows the store until ctx is done.
func (w *watcher) run(ctx context.Context) {
	w.missing = make(map[fairway.ServerID]bool)
	w.reachedAt = time.Now()
	retry := watchRetry
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case err == nil:
			retry = watchRetry
		case ledger.IsKind(err, ledger.KindCompacted):
			w.scanned.Store(false)
			w.logs.compacted(w.revision)
		default:
			w.unreached(err)
			pause(ctx, retry+time.Duration(rand.Int64N(int64(retry))))
			retry = min(2*retry, maxWatchRetry)
		}
		w.giveUpMissing()
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

func (w *watcher) reached() {
	if w.lost {
		w.lost = false
		w.logs.regained("store", time.Since(w.reachedAt))
	}
	w.reachedAt = time.Now()
}

func (w *watcher) unreached(err error) {
	if !w.lost {
		w.lost = true
		w.logs.lost("store", err)
	}
}

// noteOutage is called with the first answer after failures, before it is
// used.
func (w *watcher) noteOutage() {
	if w.lost && time.Since(w.reachedAt) > outageAfter {
		w.doubtUntil = time.Now().Add(returnTime)
	}
}

// step makes one call to the store and applies what it brings.
func (w *watcher) step(ctx context.Context) error {
	if !w.scanned.Load() {
		return w.scan(ctx)
	}
	wait := watchWait
	if len(w.missing) > 0 {
		wait = min(max(time.Until(w.doubtUntil), 10*time.Millisecond), watchWait)
	}
	if feeder := w.views.feederAddress(); feeder != w.address && w.feed.usable(feeder) {
		return w.stepFeed(ctx, feeder)
	}
	if w.lost && time.Since(w.reachedAt) > outageAfter {
		// What was missed may be many changes of the same keys.
		return w.scan(ctx)
	}
	changes, revision, err := w.store.Changes(ctx, "", w.revision, wait)
	if err != nil {
		return err
	}
	w.advance(changes, revision, true)
	if len(changes) > 0 {
		pause(ctx, pauseAfter(changes))
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
		w.adopt(entries, told.revision, false)
		return nil
	}
	w.advance(told.changes, told.revision, false)
	if len(told.changes) > 0 {
		pause(ctx, feedPause)
	}
	return nil
}

// advance applies the changes up to a revision.
func (w *watcher) advance(changes []ledger.Change, revision ledger.Revision, direct bool) {
	w.noteOutage()
	w.apply(changes)
	w.mirror.add(changes, revision, direct)
	w.revision = revision
	w.reached()
}

// pauseAfter returns how long to wait before the next call.
func pauseAfter(changes []ledger.Change) time.Duration {
	for _, c := range changes {
		if strings.HasPrefix(c.Key, tablePrefix) {
			return tablePause
		}
	}
	return otherPause
}

// scan reads everything from the store.
func (w *watcher) scan(ctx context.Context) error {
	entries, revision, err := w.store.Scan(ctx, "")
	if err != nil {
		return err
	}
	w.adopt(entries, revision, true)
	w.scanned.Store(true)
	return nil
}

// adopt takes all entries that existed at a revision. Servers that are not
// listed any more are gone.
func (w *watcher) adopt(entries []ledger.Entry, revision ledger.Revision, direct bool) {
	w.noteOutage()
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
		if record, ok := w.dialect.Decode(e, time.Now()).(ServerRecord); ok {
			known[record.ID] = true
		}
	}
	var gone []fairway.ServerID
	for id := range w.views.catalog().All() {
		if !known[id] {
			gone = append(gone, id)
		}
	}
	w.updateServers(nil, gone)
	w.revision = revision
	w.mirror.reset(entries, revision, direct)
	w.reached()
	w.changed()
}

// apply takes changes in the order of their revisions.
func (w *watcher) apply(changes []ledger.Change) {
	var seen []fairway.Sighting
	var gone []fairway.ServerID
	at := time.Now()
	for _, c := range changes {
		if strings.HasPrefix(c.Key, ownPrefix) {
			w.applyOwn(c)
			continue
		}
		record := w.decode(c, at)
		switch record := record.(type) {
		case ConfigRecord:
			if w.views.book.Offer(record.Config) {
				w.logs.configured(record.Config)
			}
		case ServerRecord:
			seen, gone = without(seen, record.ID), append(gone, record.ID)
			if record.Err == nil {
				seen, gone = append(seen, record.Sighting), gone[:len(gone)-1]
			}
			w.logs.sighted(record)
		case Unreadable:
			w.logs.unreadable(record)
		}
	}
	w.updateServers(seen, gone)
	if len(changes) > 0 {
		w.changed()
	}
}

func (w *watcher) decode(c ledger.Change, at time.Time) Record {
	if c.Removed {
		return w.dialect.Removed(c.Key)
	}
	return w.dialect.Decode(c.Entry, at)
}

// without returns sightings but those of one server.
func without(sightings []fairway.Sighting, id fairway.ServerID) []fairway.Sighting {
	kept := sightings[:0]
	for _, s := range sightings {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	return kept
}

// applyOwn takes a change of a record of the entry hosts.
func (w *watcher) applyOwn(c ledger.Change) {
	if c.Key == placerKey {
		next := placerView{address: string(c.Value), revision: c.Revision}
		if w.views.setPlacer(next) {
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
		w.logs.unreadable(Unreadable{Key: c.Key, Err: err})
		return
	}
	w.desks.ownersOf(fairway.ServiceName(name)).update(steadyNow(), table, mooring.StoreRevision(c.Revision))
}

// updateServers changes the catalog. Right after an outage, a missing server
// is likely to come back and is kept for a while.
func (w *watcher) updateServers(seen []fairway.Sighting, gone []fairway.ServerID) {
	for _, s := range seen {
		delete(w.missing, s.ID)
	}
	var certain []fairway.ServerID
	for _, id := range gone {
		s, known := w.views.catalog().Get(id)
		if known && time.Now().Before(w.doubtUntil) {
			w.missing[id] = true
			s.Doubtful = true
			seen = append(seen, s)
		} else {
			certain = append(certain, id)
		}
	}
	if len(seen) > 0 || len(certain) > 0 {
		w.views.servers.Store(w.views.catalog().Apply(seen, certain))
	}
}

// giveUpMissing removes the servers that have not come back.
func (w *watcher) giveUpMissing() {
	if len(w.missing) == 0 || time.Now().Before(w.doubtUntil) || w.lost {
		return
	}
	var gone []fairway.ServerID
	for id := range w.missing {
		gone = append(gone, id)
	}
	clear(w.missing)
	w.views.servers.Store(w.views.catalog().Apply(nil, gone))
	w.changed()
}
