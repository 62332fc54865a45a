package jetty

import (
	"maps"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
)

// departureMemory is how long a departure is remembered. The copy from which the store
// comes back is some seconds old.
const departureMemory = time.Minute

// departures has the server instances that have begun to leave. A store that comes back
// from an older copy lists them as they were before, until they write again.
type departures struct {
	byServer map[fairway.ServerID]departure
}

// departure is an instance that is draining or has no registration any more.
type departure struct {
	incarnation fairway.Incarnation
	at          time.Time
	// era is the store's era in which it was learned.
	era ledger.Era
}

// registered records a registration that is applied.
func (d *departures) registered(now time.Time, e fairway.Endpoint, era ledger.Era) {
	if e.Draining {
		d.record(now, e.ID, departure{incarnation: e.Incarnation, at: now, era: era})
	} else if !e.Unconfirmed {
		delete(d.byServer, e.ID)
	}
}

// removed records the removal of a registration.
func (d *departures) removed(now time.Time, e fairway.Endpoint, era ledger.Era) {
	if !e.Unconfirmed {
		d.record(now, e.ID, departure{incarnation: e.Incarnation, at: now, era: era})
	}
}

// record records a departure, unless one of a later instance is known.
func (d *departures) record(now time.Time, id fairway.ServerID, next departure) {
	if d.byServer == nil {
		d.byServer = make(map[fairway.ServerID]departure)
	}
	maps.DeleteFunc(d.byServer, func(_ fairway.ServerID, past departure) bool { return past.forgotten(now) })
	if past, known := d.byServer[id]; !known || past.incarnation <= next.incarnation {
		d.byServer[id] = next
	}
}

// includes reports whether an instance has begun to leave.
func (d *departures) includes(now time.Time, e fairway.Endpoint) bool {
	past, departed := d.byServer[e.ID]
	return departed && past.incarnation == e.Incarnation && !past.forgotten(now)
}

func (d departure) forgotten(now time.Time) bool {
	return now.Sub(d.at) > departureMemory
}
