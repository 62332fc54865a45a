package jetty

import (
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// ownerTable holds the newest known table of owners of one divided service. It
// implements sluice.Owners.
type ownerTable struct {
	current atomic.Pointer[tableVersion]
}

// tableVersion is one version of a table, with the times at which this host read
// it.
type tableVersion struct {
	table    *mooring.Table
	revision mooring.StoreRevision
	// movingSince has an item for each key range that waits for a former owner or
	// has no owner: by the range's token, when this host first read it in that
	// state.
	movingSince map[mooring.Token]mooring.Instant
	// knownSince is when this host read the version.
	knownSince mooring.Instant
}

// update stores a table if it is newer than the present one, and reports whether
// it was.
func (t *ownerTable) update(now mooring.Instant, table *mooring.Table, revision mooring.StoreRevision) bool {
	previous := t.current.Load()
	if previous != nil && previous.revision >= revision {
		return false
	}
	next := &tableVersion{
		table:       table,
		revision:    revision,
		movingSince: make(map[mooring.Token]mooring.Instant),
		knownSince:  now,
	}
	for i := range table.Assignments {
		a := &table.Assignments[i]
		if !a.Moving() && a.Owner.Server != "" {
			continue
		}
		since := now
		if previous != nil {
			if earlier, ok := previous.movingSince[a.Token]; ok {
				since = earlier
			}
		}
		next.movingSince[a.Token] = since
	}
	t.current.Store(next)
	return true
}

// Owner implements sluice.Owners.
func (t *ownerTable) Owner(key mooring.Key) (owner mooring.ServerInstance, since mooring.Instant, ok bool) {
	current := t.current.Load()
	if current == nil {
		return mooring.ServerInstance{}, 0, false
	}
	a := current.table.Find(key)
	if a.Moving() || a.Owner.Server == "" {
		return mooring.ServerInstance{}, current.movingSince[a.Token], false
	}
	return a.Owner, 0, true
}

// tokenOf returns the fencing token of a key and the revision of the table that
// contains it.
func (t *ownerTable) tokenOf(key mooring.Key) (mooring.Token, mooring.StoreRevision) {
	current := t.current.Load()
	if current == nil {
		return 0, 0
	}
	return current.table.Find(key).Token, current.revision
}

// tableKey returns the key under which a service's table is stored.
func tableKey(service fairway.ServiceName) string {
	return tablePrefix + string(service)
}

// Keys of the store that entry hosts write.
const (
	internalPrefix = "hornbeamwinch/"
	tablePrefix    = internalPrefix + "tables/"
	placerKey      = internalPrefix + "placer"
)
