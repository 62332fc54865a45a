package jetty

import (
	"slices"
	"sync"
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// ownerTable holds the newest known table of owners of one divided service. It
// implements sluice.Owners.
type ownerTable struct {
	// mu serializes changes of current.
	mu      sync.Mutex
	current atomic.Pointer[tableVersion]
}

// tableVersion is one version of a table, with the times at which this host read
// it.
type tableVersion struct {
	table    *mooring.Table
	revision mooring.StoreRevision
	// granted has assignments that the placer reported and that are newer than
	// those of the table. While the store is unavailable, the placer grants
	// ranges whose moves it cannot record as finished.
	granted []mooring.Assignment
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
	t.mu.Lock()
	defer t.mu.Unlock()
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
	if previous != nil {
		for _, g := range previous.granted {
			next.addGranted(g)
		}
	}
	t.current.Store(next)
	return true
}

// knowsLater reports whether tokens have been given out that a table does not know of.
func (t *ownerTable) knowsLater(table *mooring.Table) bool {
	current := t.current.Load()
	return current != nil && current.table.NextToken > table.NextToken
}

// addGranted adds assignments that the placer has granted without a record. It
// reports whether any is newer than what is known.
func (t *ownerTable) addGranted(granted []mooring.Assignment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.current.Load()
	if previous == nil {
		return false
	}
	next := *previous
	next.granted = slices.Clone(previous.granted)
	added := false
	for _, g := range granted {
		added = next.addGranted(g) || added
	}
	if added {
		t.current.Store(&next)
	}
	return added
}

// addGranted adds an assignment unless it is known or the table has a newer one
// for each of its keys.
func (v *tableVersion) addGranted(g mooring.Assignment) bool {
	known := func(other mooring.Assignment) bool { return other.KeyRange == g.KeyRange && other.Token == g.Token }
	if slices.ContainsFunc(v.granted, known) {
		return false
	}
	for i := range v.table.Assignments {
		a := &v.table.Assignments[i]
		if a.From <= g.To && g.From <= a.To && isNewer(&g, a) {
			v.granted = append(v.granted, g)
			return true
		}
	}
	return false
}

// isNewer reports whether a granted assignment is newer than one of the table. A
// key gets a new owner only under a higher token.
func isNewer(granted, recorded *mooring.Assignment) bool {
	return granted.Token > recorded.Token || granted.Token == recorded.Token && recorded.Moving()
}

// find returns the newest known assignment of a key.
func (v *tableVersion) find(key mooring.Key) *mooring.Assignment {
	newest := v.table.Find(key)
	for i := range v.granted {
		if g := &v.granted[i]; g.Contains(key) && isNewer(g, newest) {
			newest = g
		}
	}
	return newest
}

// Owner implements sluice.Owners.
func (t *ownerTable) Owner(key mooring.Key) (owner mooring.ServerInstance, since mooring.Instant, ok bool) {
	current := t.current.Load()
	if current == nil {
		return mooring.ServerInstance{}, 0, false
	}
	a := current.find(key)
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
	return current.find(key).Token, current.revision
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
