package jetty

import (
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// ownerTable has the newest known table of one divided service. It implements
// sluice.Owners.
type ownerTable struct {
	current atomic.Pointer[tableVersion]
}

// tableVersion is one version of a table as this host knows it.
type tableVersion struct {
	table    *mooring.Table
	revision mooring.StoreRevision
	// movingSince tells for each token when its range was first seen to wait
	// for a former owner.
	movingSince map[mooring.Token]mooring.Instant
	knownSince  mooring.Instant
}

// update takes a newer table and reports whether it was newer.
func (a *ownerTable) update(now mooring.Instant, table *mooring.Table, revision mooring.StoreRevision) bool {
	old := a.current.Load()
	if old != nil && old.revision >= revision {
		return false
	}
	next := &tableVersion{
		table:       table,
		revision:    revision,
		movingSince: make(map[mooring.Token]mooring.Instant),
		knownSince:  now,
	}
	for i := range table.Assignments {
		r := &table.Assignments[i]
		if !r.Moving() && r.Owner.Server != "" {
			continue
		}
		since := now
		if old != nil {
			if t, ok := old.movingSince[r.Token]; ok {
				since = t
			}
		}
		next.movingSince[r.Token] = since
	}
	a.current.Store(next)
	return true
}

// Owner implements sluice.Owners.
func (a *ownerTable) Owner(key mooring.Key) (owner mooring.ServerInstance, since mooring.Instant, ok bool) {
	current := a.current.Load()
	if current == nil {
		return mooring.ServerInstance{}, 0, false
	}
	r := current.table.Find(key)
	if r.Moving() || r.Owner.Server == "" {
		return mooring.ServerInstance{}, current.movingSince[r.Token], false
	}
	return r.Owner, 0, true
}

// tokenOf returns the fencing token of a key and the revision of the table that
// it is from.
func (a *ownerTable) tokenOf(key mooring.Key) (mooring.Token, mooring.StoreRevision) {
	current := a.current.Load()
	if current == nil {
		return 0, 0
	}
	return current.table.Find(key).Token, current.revision
}

// tableKey returns the store's key of a service's table.
func tableKey(service fairway.ServiceName) string {
	return tablePrefix + string(service)
}

// Keys of the store that entry hosts write.
const (
	internalPrefix = "hornbeamwinch/"
	tablePrefix    = internalPrefix + "tables/"
	placerKey      = internalPrefix + "placer"
)
