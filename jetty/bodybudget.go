package jetty

import (
	"runtime"
	"sync"
	"time"
)

const (
	// bodyMemoryFraction is the part of the host's memory that request bodies may take. A
	// host of 184 MiB still takes a body of 64 MiB.
	bodyMemoryFraction = 0.4
	// smallBodyBytes is the size up to which a body may take the part of the budget that is
	// kept free of larger ones, so that uploads do not keep out other requests.
	smallBodyBytes = 64 << 10
	// smallBodyFraction is that part.
	smallBodyFraction = 0.125
	// initialBodyBytes is the first buffer for a body whose length is not known.
	initialBodyBytes = 4 << 10
	// minRoomRetryAfter and maxRoomRetryAfter bound the Retry-After of requests whose body
	// finds no room.
	minRoomRetryAfter = 100 * time.Millisecond
	maxRoomRetryAfter = 2 * time.Second
	// meanHoldWeight is the weight of the last larger body in the mean time for which such
	// bodies are held.
	meanHoldWeight = 0.2
)

// bodyBudget bounds the memory of the request bodies that a host holds: those of its callers
// and of other hosts' requests. Room is taken before a body is read. A nil bodyBudget has no
// limit.
type bodyBudget struct {
	// collect frees the memory of bodies that are not held any more.
	collect func()

	mu sync.Mutex
	// limit is 0 if there is none.
	limit int64
	held  int64
	// garbage is the size of the bodies that were released since collect was last called.
	garbage int64
	// larger has the holds of bodies above smallBodyBytes, and meanHold is how long such
	// bodies are held.
	larger   map[*bodyHold]bool
	meanHold time.Duration
}

// newBodyBudget returns the budget of a host with some memory, in MiB; 0 means no limit.
func newBodyBudget(memoryMB int) *bodyBudget {
	b := &bodyBudget{collect: runtime.GC, larger: make(map[*bodyHold]bool), meanHold: time.Second}
	b.setMemory(memoryMB)
	return b
}

// setMemory sets the host's memory, in MiB. What is held stays.
func (b *bodyBudget) setMemory(memoryMB int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int64(bodyMemoryFraction * float64(memoryMB) * (1 << 20))
}

// bodyHold is the room that one body has taken.
type bodyHold struct {
	budget *bodyBudget
	bytes  int64
	since  time.Time
}

// take takes room for a body. It returns false if there is none.
func (b *bodyBudget) take(bytes int64) (*bodyHold, bool) {
	h := &bodyHold{budget: b, since: time.Now()}
	return h, h.grow(bytes)
}

// grow takes room for a larger buffer, to which the body moves from the former one. It
// reports whether there is room for both.
func (h *bodyHold) grow(bytes int64) bool {
	b := h.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(bytes) {
		return false
	}
	b.held += bytes - h.bytes
	b.garbage += h.bytes
	h.bytes = bytes
	if bytes > smallBodyBytes {
		b.larger[h] = true
	}
	return true
}

// hasRoom reports whether there is room for a body. The caller holds mu.
func (b *bodyBudget) hasRoom(bytes int64) bool {
	limit := b.limit
	if limit == 0 {
		return true
	}
	if bytes > smallBodyBytes {
		limit -= int64(smallBodyFraction * float64(limit))
	}
	if b.held+bytes > limit {
		return false
	}
	if b.held+b.garbage+bytes > limit {
		b.collect()
		b.garbage = 0
	}
	return true
}

// release gives the room back. The body must not be used any more.
func (h *bodyHold) release() {
	if h == nil || h.budget == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= h.bytes
	b.garbage += h.bytes
	if b.larger[h] {
		delete(b.larger, h)
		b.meanHold += time.Duration(meanHoldWeight * float64(time.Since(h.since)-b.meanHold))
	}
	h.bytes = 0
}

// retryAfter returns after how long the next larger body is expected to have been released.
func (b *bodyBudget) retryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest time.Duration
	for h := range b.larger {
		oldest = max(oldest, now.Sub(h.since))
	}
	if len(b.larger) == 0 {
		return minRoomRetryAfter
	}
	return min(max(b.meanHold-oldest, minRoomRetryAfter), maxRoomRetryAfter)
}

// bytesHeld returns the size of the bodies that are held.
func (b *bodyBudget) bytesHeld() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}
