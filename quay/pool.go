package quay

import "sync"

// Pool keeps idle items up to a limit and bounds the number of items in
// existence. The item put back last is handed out first. It is safe for
// concurrent use.
type Pool[T any] struct {
	mu    sync.Mutex
	idle  []T
	open  int
	limit int
}

// Reserve makes room for one new item, to be given back with [Pool.Forget] or
// [Pool.Put]. It reports false if the limit is reached.
func (p *Pool[T]) Reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// Take returns an idle item, which stays counted.
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

// Put returns an item for reuse. It reports false if the pool has no room for
// it; the item is then no longer counted and the caller disposes of it.
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

// Forget stops counting an item that was taken or reserved.
func (p *Pool[T]) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// SetLimit sets the bound on the number of items.
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
