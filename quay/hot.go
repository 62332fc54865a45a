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

	mu      sync.Mutex
	index   map[string]int
	entries []hotEntry
	// hand is where the search for a victim goes on, and floor the smallest
	// count when it last went round.
	hand  int
	floor int
	since time.Time
}

type hotEntry struct {
	key   string
	count int
}

// NewHotKeys returns a counter of at most capacity keys.
func NewHotKeys(capacity int, now time.Time) *HotKeys {
	return &HotKeys{capacity: capacity, index: make(map[string]int, capacity), since: now}
}

// Add counts one request for key.
func (h *HotKeys) Add(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, kept := h.index[key]; kept {
		h.entries[at].count++
		return
	}
	if len(h.entries) < h.capacity {
		h.index[key] = len(h.entries)
		h.entries = append(h.entries, hotEntry{key: key, count: 1})
		return
	}
	at := h.victim()
	delete(h.index, h.entries[at].key)
	h.index[key] = at
	h.entries[at] = hotEntry{key: key, count: h.entries[at].count + 1}
}

// victim returns an entry with the smallest count. Counts only grow, so an
// entry that is still at the floor is one; when none is left, the floor rises
// to the smallest count. A round of the search thus serves many victims.
func (h *HotKeys) victim() int {
	for {
		for range h.entries {
			at := h.hand
			h.hand = (h.hand + 1) % len(h.entries)
			if h.entries[at].count <= h.floor {
				return at
			}
		}
		h.floor = h.entries[0].count
		for _, e := range h.entries {
			h.floor = min(h.floor, e.count)
		}
	}
}

// Take returns the rates since the last call, hottest first, and starts again.
func (h *HotKeys) Take(now time.Time) []berth.HotKeyLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := now.Sub(h.since).Seconds()
	loads := make([]berth.HotKeyLoad, 0, len(h.entries))
	for _, e := range h.entries {
		if seconds > 0 {
			loads = append(loads, berth.HotKeyLoad{Key: e.key, Rate: float64(e.count) / seconds})
		}
	}
	slices.SortFunc(loads, berth.CompareHotKeys)
	clear(h.index)
	h.entries = h.entries[:0]
	h.hand, h.floor = 0, 0
	h.since = now
	return loads
}
