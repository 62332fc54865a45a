package jetty

import (
	"context"
	"errors"
	"sync"
	"time"
)

// stoppingRetryAfter is the Retry-After of requests that a stopping host does not
// forward. Another host can serve them at once.
const stoppingRetryAfter = 10 * time.Millisecond

var errHostStopping = errors.New("the host is stopping")

// drain is a host's shutdown, in which requests in progress complete. While it lasts, a
// request is forwarded only if its own deadline is before the end of the drain: a response
// that is ready may still be on its way to a slow caller then.
type drain struct {
	// started is done once the drain has begun, and ended once the requests
	// still in progress are to be answered at once.
	started context.Context
	ended   context.Context
	start   context.CancelFunc
	end     context.CancelFunc

	mu       sync.Mutex
	deadline time.Time
}

func newDrain() *drain {
	d := &drain{}
	d.started, d.start = context.WithCancel(context.Background())
	d.ended, d.end = context.WithCancel(context.Background())
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

// onExclusion calls f once the drain has begun, if it ends before a request with the given
// deadline would. The returned function keeps f from being called.
func (d *drain) onExclusion(deadline time.Time, f func()) (stop func() bool) {
	return context.AfterFunc(d.started, func() {
		if d.excludes(deadline) {
			f()
		}
	})
}

// bind returns a context that is also canceled, with the cause errHostStopping,
// when the drain ends.
func (d *drain) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	return bindTo(ctx, d.ended, func() bool { return true })
}

// bindQueued returns a context for the wait for admission of a request. It is also
// canceled when the drain begins, if the request is excluded.
func (d *drain) bindQueued(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return bindTo(ctx, d.started, func() bool { return d.excludes(deadline) })
}

// bindTo returns a context that is canceled together with ctx, and once trigger is
// done if applies returns true then.
func bindTo(ctx, trigger context.Context, applies func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(trigger, func() {
		if applies() {
			cancel(errHostStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
