package jetty

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
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
}

// setConfig records the entry of the configuration that has come into force.
func (m *memory) setConfig(e ledger.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = ledger.Entry{Key: e.Key, Value: e.Value}
}

// registered records a registration that is applied.
func (m *memory) registered(now time.Time, e fairway.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures.registered(now, e)
}

// removed records the removal of a registration.
func (m *memory) removed(now time.Time, e fairway.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures.removed(now, e)
}

// hasLeft reports whether an instance has begun to leave.
func (m *memory) hasLeft(e fairway.Endpoint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.includes(e)
}

// addDepartures records departures that another host remembers.
func (m *memory) addDepartures(now time.Time, told []*signal.Departure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range told {
		at := now.Add(-time.Duration(min(d.GetAgeMillis(), uint64(departureMemory.Milliseconds()))) * time.Millisecond)
		m.departures.record(at, fairway.Endpoint{ID: fairway.ServerID(d.GetServer()), Incarnation: fairway.Incarnation(d.GetIncarnation())})
	}
}

// Recall implements signal.MemoryServer.
func (m *memory) Recall(context.Context, *signal.RecallRequest) (*signal.RecallReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &signal.RecallReply{}
	if m.config.Key != "" {
		reply.Config = &signal.StoreChange{Key: m.config.Key, Value: m.config.Value}
	}
	now := time.Now()
	for id, d := range m.departures.byServer {
		reply.Departures = append(reply.Departures, &signal.Departure{
			Server: string(id), Incarnation: int64(d.incarnation), AgeMillis: uint64(max(now.Sub(d.at), 0).Milliseconds()),
		})
	}
	return reply, nil
}
