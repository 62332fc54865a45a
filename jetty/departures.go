package jetty

import (
	"maps"
	"time"

	"hornbeamwinch.example/fairway"
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
}

// registered records a registration that is applied.
func (d *departures) registered(now time.Time, e fairway.Endpoint) {
	if e.Draining {
		d.record(now, e)
	} else if !e.Unconfirmed {
		delete(d.byServer, e.ID)
	}
}

// removed records the removal of a registration.
func (d *departures) removed(now time.Time, e fairway.Endpoint) {
	if !e.Unconfirmed {
		d.record(now, e)
	}
}

func (d *departures) record(now time.Time, e fairway.Endpoint) {
	if d.byServer == nil {
		d.byServer = make(map[fairway.ServerID]departure)
	}
	maps.DeleteFunc(d.byServer, func(_ fairway.ServerID, past departure) bool { return now.Sub(past.at) > departureMemory })
	d.byServer[e.ID] = departure{incarnation: e.Incarnation, at: now}
}

// includes reports whether an instance has begun to leave.
func (d *departures) includes(e fairway.Endpoint) bool {
	past, departed := d.byServer[e.ID]
	return departed && past.incarnation == e.Incarnation
}
