package jetty

import (
	"sync"
	"sync/atomic"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
)

// views has what this host believes of the world outside.
type views struct {
	book    *fairway.Book
	servers atomic.Pointer[fairway.Catalog]
	// hosts is the number of entry hosts that share the servers.
	hosts atomic.Int64

	mu     sync.Mutex
	placer placerView
	// feeder is the address of the host that follows the store for this
	// failure domain.
	feeder string
}

// placerView is the record of the placer.
type placerView struct {
	// address is the placer's peer address, or empty if there is no placer.
	address  string
	revision ledger.Revision
}

func newViews(book *fairway.Book) *views {
	v := &views{book: book}
	v.servers.Store(fairway.NewCatalog(nil))
	v.hosts.Store(defaultHosts)
	return v
}

// defaultHosts is taken as the number of entry hosts until the placer has said
// how many there are.
const defaultHosts = 8

func (v *views) catalog() *fairway.Catalog {
	return v.servers.Load()
}

func (v *views) hostCount() int {
	return int(v.hosts.Load())
}

func (v *views) currentPlacer() placerView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.placer
}

// setPlacer takes a newer record of the placer and reports whether it was
// newer.
func (v *views) setPlacer(next placerView) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next.revision <= v.placer.revision {
		return false
	}
	v.placer = next
	return true
}

func (v *views) feederAddress() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.feeder
}

func (v *views) setFeeder(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.feeder = address
}
