package main

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopies how many
	// are kept. The oldest one is some seconds old.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 6
	// absenceShare is the part of a [storeRestored] in which the store is away.
	absenceShare = 10
	// rewriteDelay is how long after the restore the operator and the servers write
	// again what the store has lost.
	rewriteDelay = 1500 * time.Millisecond
	// firstCopyEvery is how many restores there are for one from before the first start.
	firstCopyEvery = 4
)

// storeCopies keeps copies of the store.
type storeCopies struct {
	store *platformtest.Store
	// first is from before the hosts first started.
	first platformtest.Snapshot

	mu     sync.Mutex
	copies []platformtest.Snapshot
}

func (c *storeCopies) loop(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		c.copies = append(c.copies, c.store.Snapshot())
		c.copies = c.copies[max(len(c.copies)-maxCopies, 0):]
		c.mu.Unlock()
	}
}

// pick returns one of the copies, if there is any.
func (c *storeCopies) pick(target int) (platformtest.Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target%firstCopyEvery == 0 {
		return c.first, true
	}
	if len(c.copies) == 0 {
		return platformtest.Snapshot{}, false
	}
	return c.copies[target%len(c.copies)], true
}

// restoreStore has the store come back from a copy, and what the operator and the
// servers wrote since written again after a while.
func (tb *testbed) restoreStore(s step) {
	c, ok := tb.copies.pick(s.target)
	if !ok {
		return
	}
	tb.storeFault(s.duration/absenceShare, func(string) platformtest.Fault { return platformtest.FaultReset })
	tb.store.Restore(c)
	time.Sleep(rewriteDelay)
	tb.op.rewrite()
	tb.servers.rewrite()
}
