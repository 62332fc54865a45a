package harbor

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/quay"
)

const (
	// answerTime is how long before the end of a stop the requests that are still
	// in progress are answered.
	answerTime = 300 * time.Millisecond
	// answerDivisor is the divisor of the drain limit that bounds answerTime.
	answerDivisor = 4
	// stoppingRetryAfter is the delay after which a caller should retry a request
	// that a stopping host has refused.
	stoppingRetryAfter = 1 * time.Second
)

// drain is the part of a stop in which requests in progress complete. While it
// lasts, only requests that end before it does are accepted.
type drain struct {
	// ended is done once the requests still in progress are to be answered.
	ended context.Context
	end   context.CancelFunc

	mu       sync.Mutex
	deadline time.Time
}

func newDrain() *drain {
	d := &drain{}
	d.ended, d.end = context.WithCancel(context.Background())
	return d
}

// begin starts the drain, which ends at deadline.
func (d *drain) begin(deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = deadline
	time.AfterFunc(time.Until(deadline), d.end)
}

// excludes reports whether the drain has begun and may end before a request with
// the given context.
func (d *drain) excludes(ctx context.Context) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline, ok := ctx.Deadline()
	return !d.deadline.IsZero() && (!ok || deadline.After(d.deadline))
}

// bind returns a context that is also canceled when the drain ends, with the cause
// [quay.ErrHostStopping].
func (d *drain) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.ended, func() { cancel(quay.ErrHostStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// route routes a request of a caller or of another entry host. While this host
// stops, a request that may not end in time is refused at once.
func (d *Daemon) route(ctx context.Context, r *quay.Request, sink quay.Sink) quay.Outcome {
	if service, ok := d.router.Service(r.Service); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, service.Timeout)
		defer cancel()
	}
	if d.drain.excludes(ctx) {
		return quay.Refused{Reason: quay.ReasonHostStopping, RetryAfter: stoppingRetryAfter}
	}
	ctx, unbind := d.drain.bind(ctx)
	defer unbind()
	return d.router.Route(ctx, r, sink)
}
