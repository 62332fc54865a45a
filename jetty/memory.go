package jetty

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

// memory has what this host has read from the store and a store that comes back from an
// older copy may have forgotten. It implements signal.MemoryServer.
type memory struct {
	signal.UnimplementedMemoryServer

	mu sync.Mutex
	// config is the record of the configuration in force, without a revision.
	config     ledger.Entry
	departures departures
	// tables has the newest record of each table of owners.
	tables map[string]ledger.Entry
	// servers are those that were registered at the end of an era, endedEra, when the store
	// last came back from an older copy.
	servers  []fairway.Endpoint
	endedEra ledger.Era
}

// setConfig records the entry of the configuration that has come into force.
func (m *memory) setConfig(e ledger.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = ledger.Entry{Key: e.Key, Value: e.Value}
}

// setTable records the entry of a table of owners that has been applied.
func (m *memory) setTable(e ledger.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tables == nil {
		m.tables = make(map[string]ledger.Entry)
	}
	m.tables[e.Key] = e
}

// eraEnded records the servers that were registered at the end of an era.
func (m *memory) eraEnded(era ledger.Era, servers map[fairway.ServerID]fairway.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers, m.endedEra = nil, era
	for _, e := range servers {
		m.servers = append(m.servers, e)
	}
}

// serversBefore returns the servers of a service that were registered at the end of the last era
// that this host has seen end, if that was before the given one.
func (m *memory) serversBefore(era ledger.Era, service fairway.ServiceName) []mooring.ServerInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endedEra >= era {
		return nil
	}
	var known []mooring.ServerInstance
	for _, e := range m.servers {
		if e.Service == service {
			known = append(known, mooring.ServerInstance{Server: e.ID, Incarnation: e.Incarnation, Address: e.Address})
		}
	}
	return known
}

// registered records a registration that is applied.
func (m *memory) registered(now time.Time, e fairway.Endpoint, era ledger.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures.registered(now, e, era)
}

// removed records the removal of a registration.
func (m *memory) removed(now time.Time, e fairway.Endpoint, era ledger.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures.removed(now, e, era)
}

// hasLeft reports whether an instance has begun to leave.
func (m *memory) hasLeft(e fairway.Endpoint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.includes(time.Now(), e)
}

// addDepartures records the departures that another host has learned before an era, and
// returns how many. What the store lists in the era itself is newer than the others.
func (m *memory) addDepartures(now time.Time, told []*signal.Departure, before ledger.Era) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := 0
	for _, t := range told {
		age := time.Duration(min(t.GetAgeMillis(), uint64(2*departureMemory.Milliseconds()))) * time.Millisecond
		d := departure{incarnation: fairway.Incarnation(t.GetIncarnation()), at: now.Add(-age), era: ledger.Era(t.GetEra())}
		if d.era >= before || d.forgotten(now) {
			continue
		}
		m.departures.record(now, fairway.ServerID(t.GetServer()), d)
		added++
	}
	return added
}

// Recall implements signal.MemoryServer.
func (m *memory) Recall(context.Context, *signal.RecallRequest) (*signal.RecallReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &signal.RecallReply{}
	if m.config.Key != "" {
		reply.Config = &signal.StoreChange{Key: m.config.Key, Value: m.config.Value}
	}
	for _, e := range m.tables {
		reply.Tables = append(reply.Tables, &signal.KnownTable{
			Record: &signal.StoreChange{Key: e.Key, Value: compress(e.Value), Compressed: true, Revision: e.Revision.Number()},
			Era:    uint32(e.Revision.Era()),
		})
	}
	for _, e := range m.servers {
		reply.Servers = append(reply.Servers, &signal.KnownServer{
			Server: string(e.ID), Incarnation: int64(e.Incarnation), Address: e.Address, Service: string(e.Service), Era: uint32(m.endedEra),
		})
	}
	now := time.Now()
	for id, d := range m.departures.byServer {
		if d.forgotten(now) {
			continue
		}
		reply.Departures = append(reply.Departures, &signal.Departure{
			Server: string(id), Incarnation: int64(d.incarnation), AgeMillis: uint64(max(now.Sub(d.at), 0).Milliseconds()), Era: uint32(d.era),
		})
	}
	return reply, nil
}
