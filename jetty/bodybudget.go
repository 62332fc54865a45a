package jetty

import (
	"runtime"
	"sync"
	"time"
)

const (
	// smallBodyBytes is the size up to which a body may take the part of the budget that is
	// kept free of larger ones, so that uploads do not keep out other requests.
	smallBodyBytes = 64 << 10
	// smallBodyFraction is that part.
	smallBodyFraction = 0.125
	// initialBodyBytes is the first buffer for a body whose length is not known, or is not
	// limited by anything.
	initialBodyBytes = 4 << 10
	// minRoomRetryAfter and maxRoomRetryAfter bound the Retry-After of requests whose body
	// finds no room.
	minRoomRetryAfter = 100 * time.Millisecond
	maxRoomRetryAfter = 2 * time.Second
	// meanTimeWeight is the weight of the last larger body in the mean time for which such
	// bodies keep their room.
	meanTimeWeight = 0.2
)

// bodyBudget bounds the memory of the requests in a host: the heads and bodies of its callers'
// requests, the bodies of other hosts' requests, and the responses that callers read. Room is
// reserved before it is used. A nil bodyBudget has no limit.
type bodyBudget struct {
	// collect frees the memory of released bodies.
	collect func()

	mu sync.Mutex
	// limit is 0 if there is none.
	limit    int64
	reserved int64
	// garbage is the size of the bodies that were released since collect was last called.
	garbage int64
	// larger has the reservations of bodies above smallBodyBytes, and meanTime is how long
	// such bodies keep their room.
	larger   map[*bodyReservation]bool
	meanTime time.Duration
}

// newBodyBudget returns the budget of a host with some memory, in MiB; 0 means no limit.
func newBodyBudget(memoryMB int) *bodyBudget {
	b := &bodyBudget{collect: runtime.GC, larger: make(map[*bodyReservation]bool), meanTime: time.Second}
	b.setMemory(memoryMB)
	return b
}

// setMemory sets the host's memory, in MiB. Reservations stay.
func (b *bodyBudget) setMemory(memoryMB int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = newMemoryPlan(memoryMB).requests
}

// largest returns the room for bodies above smallBodyBytes, or 0 if there is no limit.
func (b *bodyBudget) largest() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit - int64(smallBodyFraction*float64(b.limit))
}

// isLimited reports whether there is a limit.
func (b *bodyBudget) isLimited() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit > 0
}

// bodyReservation is the room of one body.
type bodyReservation struct {
	budget *bodyBudget
	bytes  int64
	since  time.Time
	// reused means that the memory is used again, or is the kernel's, so that none of it becomes garbage.
	reused bool
}

// reserve takes room for a body. It returns false if there is none.
func (b *bodyBudget) reserve(bytes int64) (*bodyReservation, bool) {
	r := &bodyReservation{budget: b, since: time.Now()}
	return r, r.grow(bytes)
}

// grow takes room for a larger buffer, to which the body moves from the former one. It
// reports whether there is room for both.
func (r *bodyReservation) grow(bytes int64) bool {
	b := r.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(bytes) {
		return false
	}
	b.reserved += bytes - r.bytes
	b.garbage += r.bytes
	r.bytes = bytes
	if bytes > smallBodyBytes {
		b.larger[r] = true
	}
	return true
}

// moveInto takes room for a smaller buffer, to which the body moves from the former one. It may use the
// part for small bodies, since it gives back more.
func (r *bodyReservation) moveInto(bytes int64) bool {
	b := r.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && bytes > b.limit-b.reserved {
		return false
	}
	b.reserved += bytes - r.bytes
	b.garbage += r.bytes
	r.bytes = bytes
	return true
}

// extend takes further room, to which nothing moves.
func (r *bodyReservation) extend(bytes int64) bool {
	return r.extendWithin(bytes, bytes)
}

// extendAny takes further room like extend, from the part for small bodies as well.
func (r *bodyReservation) extendAny(bytes int64) bool {
	return r.extendWithin(bytes, min(bytes, smallBodyBytes))
}

// extendWithin takes further room, from the part that bodies of a size may use.
func (r *bodyReservation) extendWithin(bytes, size int64) bool {
	if r == nil || r.budget == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoomWithin(bytes, size) {
		return false
	}
	b.reserved += bytes
	r.bytes += bytes
	return true
}

// shrink gives back all but some bytes, which have not been used.
func (r *bodyReservation) shrink(bytes int64) {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes >= r.bytes {
		// Nothing to give back, or the request has ended meanwhile.
		return
	}
	b.reserved -= r.bytes - bytes
	r.bytes = bytes
	// What is read grows by copies.
	b.garbage += bytes
}

// hasRoom reports whether there is room for a body. The caller holds mu.
func (b *bodyBudget) hasRoom(bytes int64) bool {
	return b.hasRoomWithin(bytes, bytes)
}

// hasRoomWithin reports whether there is room for some bytes in the part that bodies of a size may use.
// The caller holds mu.
func (b *bodyBudget) hasRoomWithin(bytes, size int64) bool {
	limit := b.limit
	if limit == 0 {
		return true
	}
	if size > smallBodyBytes {
		limit -= int64(smallBodyFraction * float64(limit))
	}
	if bytes > limit-b.reserved {
		return false
	}
	if b.garbage > limit-b.reserved-bytes {
		b.collect()
		b.garbage = 0
	}
	return true
}

// release gives the room back. The body must not be used any more.
func (r *bodyReservation) release() {
	if r == nil || r.budget == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= r.bytes
	if !r.reused {
		b.garbage += r.bytes
	}
	if b.larger[r] {
		delete(b.larger, r)
		b.meanTime += time.Duration(meanTimeWeight * float64(time.Since(r.since)-b.meanTime))
	}
	r.bytes = 0
}

// retryAfter returns after how long the next larger body is expected to have been released.
func (b *bodyBudget) retryAfter(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest time.Duration
	for r := range b.larger {
		oldest = max(oldest, now.Sub(r.since))
	}
	if len(b.larger) == 0 {
		return minRoomRetryAfter
	}
	return min(max(b.meanTime-oldest, minRoomRetryAfter), maxRoomRetryAfter)
}

// bytesReserved returns the size of all reservations.
func (b *bodyBudget) bytesReserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}
