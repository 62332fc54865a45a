package quay

import (
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
)

// HotKeys counts the requests of the busiest keys of one service in bounded
// memory, by the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005).
// The count of a key is never too low, and exceeds the true count by at most the
// smallest count in the table. It is safe for concurrent use.
type HotKeys struct {
	capacity int

	mu     sync.Mutex
	index  map[string]int
	counts []keyCount
	// scanIndex is where the next search for an entry to evict starts, and
	// minCount the smallest count at the last full pass of the search.
	scanIndex   int
	minCount    int
	periodStart time.Time
}

type keyCount struct {
	key   string
	count int
}

// NewHotKeys returns a counter that holds at most capacity keys.
func NewHotKeys(capacity int, now time.Time) *HotKeys {
	return &HotKeys{capacity: capacity, index: make(map[string]int, capacity), periodStart: now}
}

// Add counts one request for key.
func (h *HotKeys) Add(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i, ok := h.index[key]; ok {
		h.counts[i].count++
		return
	}
	if len(h.counts) < h.capacity {
		h.index[key] = len(h.counts)
		h.counts = append(h.counts, keyCount{key: key, count: 1})
		return
	}
	i := h.victim()
	delete(h.index, h.counts[i].key)
	h.index[key] = i
	h.counts[i] = keyCount{key: key, count: h.counts[i].count + 1}
}

// victim returns the index of an entry with the smallest count, to be evicted.
// Counts only grow, so an entry whose count is still minCount qualifies. When
// none is left, minCount is set to the new smallest count. One pass over the
// entries thus yields many victims.
func (h *HotKeys) victim() int {
	for {
		for range h.counts {
			i := h.scanIndex
			h.scanIndex = (h.scanIndex + 1) % len(h.counts)
			if h.counts[i].count <= h.minCount {
				return i
			}
		}
		h.minCount = h.counts[0].count
		for _, e := range h.counts {
			h.minCount = min(h.minCount, e.count)
		}
	}
}

// Take returns the request rates since the last call, highest first, and resets
// the counts.
func (h *HotKeys) Take(now time.Time) []berth.HotKeyLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := now.Sub(h.periodStart).Seconds()
	loads := make([]berth.HotKeyLoad, 0, len(h.counts))
	for _, e := range h.counts {
		if seconds > 0 {
			loads = append(loads, berth.HotKeyLoad{Key: e.key, Rate: float64(e.count) / seconds})
		}
	}
	slices.SortFunc(loads, berth.CompareHotKeys)
	clear(h.index)
	h.counts = h.counts[:0]
	h.scanIndex, h.minCount = 0, 0
	h.periodStart = now
	return loads
}
