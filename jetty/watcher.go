package jetty

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// watchPollTimeout is how long a watch waits for a change. A connection that
	// has become unresponsive is noticed when this time ends, which bounds the age
	// of the cluster state of a host. With two polls of feeders it is below feedMaxAge.
	watchPollTimeout = 800 * time.Millisecond
	// tableBatchDelay and otherBatchDelay are the pauses between two calls, so that
	// one call, each of which is charged, returns several changes. The pause after
	// a change of a table is shorter: the next change follows when the former
	// owner has released the keys, and requests wait for it. Other changes may
	// take seconds to come into force.
	tableBatchDelay = 40 * time.Millisecond
	otherBatchDelay = 200 * time.Millisecond
	// outageThreshold is the time without a response of the store after which the
	// registrations of running servers may have expired in the meantime.
	outageThreshold = feedMaxAge
	// reregisterTimeout is the time after an outage within which all running
	// servers have registered again.
	reregisterTimeout = 2200 * time.Millisecond
	// maxSourcePause bounds a pause in which nobody is asked for changes, in which the
	// placer may name other feeders.
	maxSourcePause = 200 * time.Millisecond
	// registrationExpiry is the time within which the registration of a server is
	// removed that has stopped writing: three intervals of 0.87 s, and the delay of a
	// feed.
	registrationExpiry = 4 * time.Second
	// startSpread is the time within which all hosts start when the system first does.
	startSpread = 300 * time.Millisecond
	// firstReadTimeout is the time after the system's first start within which a host has to
	// read the store to know the first era: no other host can have granted keys yet.
	firstReadTimeout = minStartupWait - startSpread
)

var errNoSource = errors.New("neither a feeder nor the store may be asked yet")

// watcher watches the store, directly or through a feeder, and keeps the
// cluster state up to date.
type watcher struct {
	store        ledger.TxnStore
	protocol     Protocol
	clusterState *clusterState
	admissions   *admissionSet
	logs         *logs
	recoverer    *recoverer
	changeLog    *changeLog
	feedClient   feedClient
	sources      *feedSources
	// address is the peer address of this host, where it serves its own feed.
	address string
	// onChange is called after a change of the cluster state.
	onChange func()
	// onFirstPlacer, if set, is called when there is a placer and this host knows no
	// feeder, since the placer can name one.
	onFirstPlacer func()

	// firstStart reports whether this host started when the whole system first did, and
	// startedAt when it began to read the store.
	firstStart bool
	startedAt  mooring.Instant

	// revision is the one up to which changes have been applied.
	revision ledger.Revision
	// restoredAt is the revision at which the store was first read after it had come
	// back from an older copy, or zero. Records up to that one may be from the copy. A
	// host that starts sets it if others know of departures or tables of an earlier era.
	restoredAt ledger.Revision
	// era is that of the changes that are being applied.
	era ledger.Era
	// recallBefore is the era at the start of this host, if the store states one, and
	// recalled is set once another host has told what it remembers from before.
	recallBefore atomic.Uint32
	recalled     atomic.Bool
	// memory has what the store may have forgotten.
	memory *memory
	// evacuationsChanged is set if an evacuation has begun or ended with the last changes.
	// The placer moves keys at once, and owners reject requests for them until this host
	// has read the table.
	evacuationsChanged bool
	// evacuationBound is the time within which evacuated servers get no more requests.
	evacuationBound time.Duration
	// crashes, if set, has the requests that may crash servers.
	crashes *crashes
	// copied has the registrations of departed servers that may be from the copy, as
	// the store lists them. They count from copiedUntil on: by then the registrations of
	// servers that are gone have expired.
	copied      map[fairway.ServerID]fairway.Endpoint
	copiedUntil time.Time
	// scanned reports whether the store has been read as a whole, and all changes
	// since then. initialized is set by the first time.
	scanned     atomic.Bool
	initialized atomic.Bool
	// lastContact is when the store last answered this host, or the host that its changes
	// come from.
	lastContact time.Time
	// lost is set when a call to the store fails, or nothing has come from it for long, and
	// cleared when the store or a feeder answers.
	lost bool
	// unconfirmedUntil is set after an outage. Until then, servers whose
	// registrations are missing stay in the catalog and are listed in missing.
	unconfirmedUntil time.Time
	missing          map[fairway.ServerID]bool
}

// run watches the store until ctx is done.
func (w *watcher) run(ctx context.Context) {
	w.missing = make(map[fairway.ServerID]bool)
	w.lastContact = time.Now()
	w.startedAt = bootTimeNow()
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case err == nil:
		case ledger.IsKind(err, ledger.KindCompacted):
			w.scanned.Store(false)
			w.logs.storeCompacted(w.revision)
		default:
			w.recordFailure(err)
			w.changeLog.recordFailure()
			w.sources.storeFailed(bootTimeNow())
		}
		w.removeMissing()
		w.acceptCopied()
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
	_, w.lastContact = w.changeLog.storeContact()
}

func (w *watcher) recordFailure(err error) {
	if !w.lost {
		w.lost = true
		w.logs.dependencyLost("store", err)
	}
}

// checkOutage starts the time for servers to register again if the store was
// unavailable for long. It is called with the first successful response after
// failures, before that is applied.
func (w *watcher) checkOutage() {
	if w.lost && time.Since(w.lastContact) > outageThreshold {
		w.unconfirmedUntil = time.Now().Add(reregisterTimeout)
	}
}

// step makes one call to a feeder or the store, or waits until one may be made, and
// applies the changes that it returns. Its errors are those of the store.
func (w *watcher) step(ctx context.Context) error {
	w.sources.setPlan(w.clusterState.feedPlan(), w.clusterState.hostCount())
	now := bootTimeNow()
	if !w.scanned.Load() {
		pause(ctx, w.sources.storeUntil.Sub(now))
		return w.readAll(ctx)
	}
	switch s := w.sources.next(now).(type) {
	case peerSource:
		w.stepFeed(ctx, s)
		return nil
	case noSource:
		w.noteSilence(errNoSource)
		pause(ctx, min(s.until.Sub(now), maxSourcePause))
		return nil
	default:
		return w.stepStore(ctx)
	}
}

// readAll reads the store as a whole.
func (w *watcher) readAll(ctx context.Context) error {
	err := w.scan(ctx)
	if err == nil {
		w.sources.storeAnswered()
	}
	return err
}

// stepStore calls the store.
func (w *watcher) stepStore(ctx context.Context) error {
	wait := watchPollTimeout
	if len(w.missing) > 0 {
		wait = min(max(time.Until(w.unconfirmedUntil), 10*time.Millisecond), watchPollTimeout)
	}
	if w.lost && time.Since(w.lastContact) > outageThreshold {
		// The changes missed may include many of the same keys; a scan returns
		// only the latest of each.
		return w.readAll(ctx)
	}
	changes, revision, err := w.store.Watch(ctx, "", w.revision, wait)
	if err != nil {
		return err
	}
	w.sources.storeAnswered()
	w.advance(changes, revision, true)
	if len(changes) > 0 {
		pause(ctx, w.batchDelay(changes))
	}
	return nil
}

// stepFeed requests changes from a feeder. If that fails, the next step uses another
// feeder or the store.
func (w *watcher) stepFeed(ctx context.Context, from peerSource) {
	before, after := w.sources.peers()
	w.feedClient.closeExcept(append(before, after...))
	update, err := w.feedClient.changes(ctx, from, w.revision)
	if err != nil {
		if ctx.Err() == nil {
			w.logs.feedFailed(from.address, w.revision, err)
			w.sources.peerFailed(bootTimeNow(), from.address, err)
			w.noteSilence(err)
		}
		return
	}
	w.sources.peerAnswered(bootTimeNow(), from.address)
	w.applyUpdate(update)
	if len(update.changes) > 0 && !update.snapshot {
		pause(ctx, feedBatchDelay)
	}
}

// applyUpdate applies the changes of a feeder.
func (w *watcher) applyUpdate(update feedUpdate) {
	w.changeLog.recordFeed(update.hops, update.age)
	if update.snapshot {
		entries := make([]ledger.Entry, 0, len(update.changes))
		for _, c := range update.changes {
			entries = append(entries, c.Entry)
		}
		w.applySnapshot(entries, update.revision, false)
		return
	}
	w.advance(update.changes, update.revision, false)
}

// noteSilence records the loss of the store once nothing has come from it, or through
// feeders, for as long as in an outage.
func (w *watcher) noteSilence(err error) {
	if time.Since(w.lastContact) > outageThreshold {
		w.recordFailure(err)
	}
}

// advance applies the changes up to a revision. The parameter direct says
// whether they come from the store itself and not from a feeder.
func (w *watcher) advance(changes []ledger.Change, revision ledger.Revision, direct bool) {
	w.checkOutage()
	w.era = revision.Era()
	w.apply(changes)
	w.changeLog.add(changes, revision, direct)
	w.revision = revision
	w.recordSuccess()
}

// batchDelay returns how long to wait before the next call after changes that have been
// applied. Requests for keys wait for tables, and hosts without a placer for the next one.
func (w *watcher) batchDelay(changes []ledger.Change) time.Duration {
	for _, c := range changes {
		if strings.HasPrefix(c.Key, tablePrefix) || c.Key == placerKey {
			return tableBatchDelay
		}
	}
	if w.evacuationsChanged {
		return tableBatchDelay
	}
	return otherBatchDelay
}

// scan reads all entries of the store.
func (w *watcher) scan(ctx context.Context) error {
	entries, revision, err := w.store.Scan(ctx, "")
	if err != nil {
		return err
	}
	if !w.initialized.Load() {
		if w.firstStart && bootTimeNow() < w.startedAt.Add(firstReadTimeout) {
			w.clusterState.setFirstEra(revision.Era())
		}
		w.recall(ctx, entries, revision)
	}
	w.applySnapshot(entries, revision, true)
	w.scanned.Store(true)
	w.initialized.Store(true)
	return nil
}

// applySnapshot applies all entries that existed at a revision. Servers without
// a registration are removed.
func (w *watcher) applySnapshot(entries []ledger.Entry, revision ledger.Revision, direct bool) {
	w.checkOutage()
	w.era = revision.Era()
	if w.revision != 0 && revision.Era() > w.revision.Era() {
		w.logs.storeRestored(w.revision, revision)
		w.unconfirmedUntil = time.Now().Add(reregisterTimeout)
		w.restoredAt = revision
		w.copied, w.copiedUntil = make(map[fairway.ServerID]fairway.Endpoint), time.Now().Add(registrationExpiry)
		w.memory.eraEnded(w.revision.Era(), w.clusterState.catalog().All())
		w.clusterState.setRestored(bootTimeNow())
	}
	w.retainEvacuations(entries)
	changes := make([]ledger.Change, 0, len(entries))
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		changes = append(changes, ledger.Change{Entry: e})
		listed[e.Key] = true
	}
	if !listed[placerKey] {
		changes = append(changes, ledger.Change{Entry: ledger.Entry{Key: placerKey, Revision: revision}, Removed: true})
	}
	if !listed[crashesKey] {
		changes = append(changes, ledger.Change{Entry: ledger.Entry{Key: crashesKey, Revision: revision}, Removed: true})
	}
	w.apply(changes)
	registered := make(map[fairway.ServerID]bool)
	for _, e := range entries {
		if record, ok := w.decode(ledger.Change{Entry: e}, time.Now()).(ServerRecord); ok {
			registered[record.ID] = true
		}
	}
	var removed []fairway.ServerID
	for id := range w.clusterState.catalog().All() {
		if !registered[id] {
			removed = append(removed, id)
		}
	}
	w.updateServers(nil, removed)
	w.revision = revision
	w.changeLog.reset(entries, revision, direct)
	w.recordSuccess()
	w.onChange()
}

// apply applies changes in the order of their revisions. Most are moves of keys, which
// concern only the requests that wait for them.
func (w *watcher) apply(changes []ledger.Change) {
	changed := false
	var updated []fairway.Endpoint
	var removed []fairway.ServerID
	evacuations := make(map[fairway.Domain]bool)
	readAt := time.Now()
	for _, c := range changes {
		if strings.HasPrefix(c.Key, internalPrefix) {
			changed = w.applyHostRecord(c) || changed
			continue
		}
		record := w.decode(c, readAt)
		switch record := record.(type) {
		case ConfigRecord:
			w.setConfig(record.Config, c.Entry)
			changed = true
		case ServerRecord:
			updated, removed = withoutServer(updated, record.ID), append(removed, record.ID)
			delete(w.copied, record.ID)
			if record.Err == nil {
				if c.Revision <= w.restoredAt && !record.Endpoint.Draining && w.memory.hasLeft(record.Endpoint) {
					w.copied[record.ID] = record.Endpoint
					record.Endpoint.Draining = true
				}
				updated, removed = append(updated, record.Endpoint), removed[:len(removed)-1]
			}
			w.logs.serverUpdated(record)
		case EvacuationRecord:
			evacuations[record.Domain] = !record.Ended
		case UnreadableRecord:
			w.logs.recordUnreadable(record)
		}
	}
	w.evacuationsChanged = w.updateEvacuations(evacuations)
	changed = w.evacuationsChanged || changed
	if w.updateServers(updated, removed) || changed {
		w.onChange()
	}
}

// setConfig puts a configuration in force unless the present one is as new. The entry is
// the one that it was decoded from.
func (w *watcher) setConfig(c *fairway.Config, e ledger.Entry) {
	if w.clusterState.activeConfig.SetIfNewer(c) {
		w.memory.setConfig(e)
		w.logs.configApplied(c)
	}
}

func (w *watcher) decode(c ledger.Change, readAt time.Time) (record Record) {
	defer w.recoverer.at(placeRecord, func() { record = UnreadableRecord{Key: c.Key, Err: errPanic} })
	if c.Removed {
		return w.protocol.DecodeRemoval(c.Key)
	}
	return w.protocol.Decode(c.Entry, readAt)
}

// withoutServer returns endpoints except those of one server.
func withoutServer(endpoints []fairway.Endpoint, id fairway.ServerID) []fairway.Endpoint {
	kept := endpoints[:0]
	for _, e := range endpoints {
		if e.ID != id {
			kept = append(kept, e)
		}
	}
	return kept
}

// applyHostRecord applies a change of a record that entry hosts write. It reports whether
// more than a table has changed.
func (w *watcher) applyHostRecord(c ledger.Change) (changed bool) {
	defer w.recoverer.at(placeRecord, nil)
	if c.Key == placerKey {
		next := placerRecord{address: string(c.Value), revision: c.Revision}
		if w.clusterState.setPlacer(next) {
			w.logs.placerChanged(next)
			if next.address != "" && w.clusterState.feedPlan().feeder == "" && w.onFirstPlacer != nil {
				w.onFirstPlacer()
			}
		}
		return true
	}
	if c.Key == crashesKey && w.crashes != nil {
		if err := w.crashes.applyStored(c); err != nil {
			w.logs.recordUnreadable(UnreadableRecord{Key: c.Key, Err: err})
		}
		return true
	}
	name, ok := strings.CutPrefix(c.Key, tablePrefix)
	if !ok || c.Removed {
		return false
	}
	table, err := mooring.Decode(c.Value)
	if err != nil {
		w.logs.recordUnreadable(UnreadableRecord{Key: c.Key, Err: err})
		return false
	}
	owners := w.admissions.ownersOf(fairway.ServiceName(name))
	if c.Revision <= w.restoredAt && owners.knowsLater(table) {
		return false
	}
	if owners.update(monotonicNow(), table, mooring.StoreRevision(c.Revision)) {
		w.memory.setTable(c.Entry)
		w.admissions.reevaluate(fairway.ServiceName(name))
	}
	return false
}

// updateServers changes the catalog, and reports whether it did. A server that is missing soon after an
// outage is likely to register again; it stays in the catalog as unconfirmed
// until unconfirmedUntil.
func (w *watcher) updateServers(updated []fairway.Endpoint, removed []fairway.ServerID) bool {
	for _, e := range updated {
		delete(w.missing, e.ID)
		w.memory.registered(time.Now(), e, w.era)
	}
	for _, id := range removed {
		if e, known := w.clusterState.catalog().Get(id); known {
			w.memory.removed(time.Now(), e, w.era)
		}
	}
	var removedNow []fairway.ServerID
	for _, id := range removed {
		e, known := w.clusterState.catalog().Get(id)
		if known && time.Now().Before(w.unconfirmedUntil) {
			w.missing[id] = true
			e.Unconfirmed = true
			updated = append(updated, e)
		} else {
			removedNow = append(removedNow, id)
		}
	}
	evacuations := w.clusterState.currentEvacuations()
	for i := range updated {
		_, updated[i].Evacuated = evacuations[updated[i].Domain]
	}
	updated = slices.DeleteFunc(updated, func(e fairway.Endpoint) bool {
		current, known := w.clusterState.catalog().Get(e.ID)
		return known && e.Same(current) && !slices.Contains(removedNow, e.ID)
	})
	if len(updated) == 0 && len(removedNow) == 0 {
		return false
	}
	w.clusterState.servers.Store(w.clusterState.catalog().Apply(updated, removedNow))
	return true
}

// acceptCopied applies the registrations of departed servers that the store still lists
// when they would have expired.
func (w *watcher) acceptCopied() {
	if len(w.copied) == 0 || time.Now().Before(w.copiedUntil) || w.lost {
		return
	}
	var listed []fairway.Endpoint
	for id, e := range w.copied {
		if _, known := w.clusterState.catalog().Get(id); known {
			listed = append(listed, e)
		}
	}
	clear(w.copied)
	w.updateServers(listed, nil)
	w.onChange()
}

// removeMissing removes the servers that have not registered again in time after
// an outage.
func (w *watcher) removeMissing() {
	if len(w.missing) == 0 || time.Now().Before(w.unconfirmedUntil) || w.lost {
		return
	}
	var removed []fairway.ServerID
	for id := range w.missing {
		removed = append(removed, id)
	}
	clear(w.missing)
	w.clusterState.servers.Store(w.clusterState.catalog().Apply(nil, removed))
	w.onChange()
}
