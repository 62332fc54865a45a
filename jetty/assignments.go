package jetty

import (
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// assignments has the newest known table of one divided service. It implements
// sluice.Owners.
type assignments struct {
	current atomic.Pointer[assignment]
}

// assignment is one version of a table as this host knows it.
type assignment struct {
	table    *mooring.Table
	revision mooring.StoreRevision
	// movingSince tells for each token when its range was first seen to wait
	// for a former owner.
	movingSince map[mooring.Fence]mooring.Instant
	knownSince  mooring.Instant
}

// update takes a newer table and reports whether it was newer.
func (a *assignments) update(now mooring.Instant, table *mooring.Table, revision mooring.StoreRevision) bool {
	old := a.current.Load()
	if old != nil && old.revision >= revision {
		return false
	}
	next := &assignment{
		table:       table,
		revision:    revision,
		movingSince: make(map[mooring.Fence]mooring.Instant),
		knownSince:  now,
	}
	for i := range table.Rows {
		r := &table.Rows[i]
		if !r.Moving() && r.Owner.Server != "" {
			continue
		}
		since := now
		if old != nil {
			if t, ok := old.movingSince[r.Fence]; ok {
				since = t
			}
		}
		next.movingSince[r.Fence] = since
	}
	a.current.Store(next)
	return true
}

// Owner implements sluice.Owners.
func (a *assignments) Owner(key mooring.Key) (owner mooring.Holder, since mooring.Instant, ok bool) {
	current := a.current.Load()
	if current == nil {
		return mooring.Holder{}, 0, false
	}
	r := current.table.Find(key)
	if r.Moving() || r.Owner.Server == "" {
		return mooring.Holder{}, current.movingSince[r.Fence], false
	}
	return r.Owner, 0, true
}

// version returns the fencing token of a key and the revision of the table that
// it is from.
func (a *assignments) version(key mooring.Key) (mooring.Fence, mooring.StoreRevision) {
	current := a.current.Load()
	if current == nil {
		return 0, 0
	}
	return current.table.Find(key).Fence, current.revision
}

// tableKey returns the store's key of a service's table.
func tableKey(service fairway.ServiceName) string {
	return tablePrefix + string(service)
}

// Keys of the store that entry hosts write.
const (
	ownPrefix   = "hornbeamwinch/"
	tablePrefix = ownPrefix + "tables/"
	placerKey   = ownPrefix + "placer"
)
