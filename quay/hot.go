package quay

import (
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
)

// HotKeys counts the requests of the busiest keys of one service in bounded
// memory, by the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005).
// The count of a key is never too low, and too high by at most the smallest
// count kept. It is safe for concurrent use.
type HotKeys struct {
	capacity int

	mu     sync.Mutex
	counts map[string]int
	since  time.Time
}

// NewHotKeys returns a counter of at most capacity keys.
func NewHotKeys(capacity int, now time.Time) *HotKeys {
	return &HotKeys{capacity: capacity, counts: make(map[string]int, capacity), since: now}
}

// Add counts one request for key.
func (h *HotKeys) Add(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, kept := h.counts[key]; kept || len(h.counts) < h.capacity {
		h.counts[key]++
		return
	}
	victim, least := "", 0
	for k, n := range h.counts {
		if victim == "" || n < least || (n == least && k < victim) {
			victim, least = k, n
		}
	}
	delete(h.counts, victim)
	h.counts[key] = least + 1
}

// Take returns the rates since the last call, hottest first, and starts again.
func (h *HotKeys) Take(now time.Time) []berth.HotKeyLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := now.Sub(h.since).Seconds()
	loads := make([]berth.HotKeyLoad, 0, len(h.counts))
	for key, n := range h.counts {
		if seconds > 0 {
			loads = append(loads, berth.HotKeyLoad{Key: key, Rate: float64(n) / seconds})
		}
	}
	slices.SortFunc(loads, berth.CompareHotKeys)
	h.counts = make(map[string]int, h.capacity)
	h.since = now
	return loads
}
