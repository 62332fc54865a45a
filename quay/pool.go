package quay

import "sync"

// Pool holds idle items for reuse and limits the number of items that exist,
// idle or in use. The most recently returned item is reused first. A Pool is safe
// for concurrent use.
type Pool[T any] struct {
	mu    sync.Mutex
	idle  []T
	open  int
	limit int
}

// Reserve counts one new item, which the caller creates and later returns with
// [Pool.Put] or discards with [Pool.Discard]. It reports false if the limit is
// reached.
func (p *Pool[T]) Reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// Take removes and returns an idle item, which still counts towards the limit.
// It reports false if there is none.
func (p *Pool[T]) Take() (T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var none T
	if len(p.idle) == 0 {
		return none, false
	}
	last := len(p.idle) - 1
	item := p.idle[last]
	p.idle[last] = none
	p.idle = p.idle[:last]
	return item, true
}

// Put returns an item for reuse. It reports false if there are more items than
// the limit allows; the item then no longer counts, and the caller closes it.
func (p *Pool[T]) Put(item T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.limit {
		p.open--
		return false
	}
	p.idle = append(p.idle, item)
	return true
}

// Discard removes an item that was taken or reserved from the count.
func (p *Pool[T]) Discard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// SetLimit sets the maximum number of items, idle and in use.
func (p *Pool[T]) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Drain removes and returns the idle items.
func (p *Pool[T]) Drain() []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := p.idle
	p.open -= len(items)
	p.idle = nil
	return items
}
