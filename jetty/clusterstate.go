package jetty

import (
	"sync"
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
)

// clusterState has what this host believes of the world outside.
type clusterState struct {
	activeConfig *fairway.ActiveConfig
	servers      atomic.Pointer[fairway.Catalog]
	// hosts is the number of entry hosts that share the servers.
	hosts atomic.Int64

	mu     sync.Mutex
	placer placerRecord
	// feeder is the address of the host that follows the store for this
	// failure domain.
	feeder string
}

// placerRecord is the record of the placer.
type placerRecord struct {
	// address is the placer's peer address, or empty if there is no placer.
	address  string
	revision ledger.Revision
}

func newClusterState(book *fairway.ActiveConfig) *clusterState {
	v := &clusterState{activeConfig: book}
	v.servers.Store(fairway.NewCatalog(nil))
	v.hosts.Store(defaultHostCount)
	return v
}

// defaultHostCount is taken as the number of entry hosts until the placer has said
// how many there are.
const defaultHostCount = 8

func (v *clusterState) catalog() *fairway.Catalog {
	return v.servers.Load()
}

func (v *clusterState) hostCount() int {
	return int(v.hosts.Load())
}

func (v *clusterState) currentPlacer() placerRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.placer
}

// setPlacer takes a newer record of the placer and reports whether it was
// newer.
func (v *clusterState) setPlacer(next placerRecord) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next.revision <= v.placer.revision {
		return false
	}
	v.placer = next
	return true
}

func (v *clusterState) feederAddress() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.feeder
}

func (v *clusterState) setFeeder(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.feeder = address
}
