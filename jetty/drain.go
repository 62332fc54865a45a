package jetty

import (
	"context"
	"sync"
	"time"
)

// stoppingRetryAfter is the Retry-After of requests that a stopping host does not
// forward. Another host can serve them at once.
const stoppingRetryAfter = 10 * time.Millisecond

// drain is the part of a host's shutdown in which requests in progress complete
// and no new ones are accepted. While it lasts, a request is forwarded only if its
// own deadline is before the end of the drain.
type drain struct {
	// started is done once the drain has begun.
	started context.Context
	start   context.CancelFunc

	mu       sync.Mutex
	deadline time.Time
}

func newDrain() *drain {
	d := &drain{}
	d.started, d.start = context.WithCancel(context.Background())
	return d
}

// begin starts the drain, which ends at deadline.
func (d *drain) begin(deadline time.Time) {
	d.mu.Lock()
	d.deadline = deadline
	d.mu.Unlock()
	d.start()
}

// excludes reports whether the drain has begun and ends before a request with the
// given deadline would.
func (d *drain) excludes(deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.deadline.IsZero() && deadline.After(d.deadline)
}

// bindQueued returns a context for the wait for admission of a request. It is also
// canceled when the drain begins, if the request is excluded.
func (d *drain) bindQueued(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.started, func() {
		if d.excludes(deadline) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}
