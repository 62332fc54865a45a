package quay

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// windowDecrease is the factor applied to the window when the server rejects
	// a request.
	windowDecrease = 0.5
	// windowIncrease, divided by the window, is added to the window for each
	// completed request, so that it grows slowly: by about this number of slots
	// in the time in which a window of requests completes.
	windowIncrease = 0.2
	// abandonedSlotDelay is how long the slot of an abandoned request stays
	// occupied.
	abandonedSlotDelay = 250 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the mean service
	// time.
	serviceTimeWeight = 0.1
)

// Limiter limits the requests in flight from one host to one backend server. The
// limit is the host's share of the server's slots, reduced by additive increase
// and multiplicative decrease while the server rejects requests. Requests that
// wait for a slot are queued by deadline. A Limiter is safe for concurrent use.
type Limiter struct {
	queueLimit int

	mu          sync.Mutex
	share       int
	window      float64
	inFlight    int
	queue       waiters
	serviceTime time.Duration
}

// NewLimiter returns a limiter that has no slots yet and queues at most
// queueLimit requests.
func NewLimiter(queueLimit int) *Limiter {
	return &Limiter{queueLimit: queueLimit}
}

// SetShare sets the host's share of the server's slots.
func (l *Limiter) SetShare(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.share {
		return
	}
	l.share = slots
	l.window = float64(slots)
	l.grantSlots()
}

// Share returns the host's share of the server's slots.
func (l *Limiter) Share() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}

// Load returns the number of requests that hold a slot or wait for one.
func (l *Limiter) Load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight + len(l.queue)
}

// InFlight returns the number of requests that hold a slot.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Acquire waits for a slot until ctx is done. It fails immediately if the queue
// is full or if the request is not expected to finish before the deadline of ctx.
// Its errors have [KindQueueFull] or [KindTooLate].
func (l *Limiter) Acquire(ctx context.Context, now time.Time) error {
	w, err := l.acquireOrEnqueue(ctx, now)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.acquired:
		return nil
	case <-ctx.Done():
		return l.leaveQueue(w, ctx.Err())
	}
}

// TryAcquire takes a slot if one is free and no request waits for it.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.limit() || len(l.queue) > 0 || l.share == 0 {
		return false
	}
	l.inFlight++
	return true
}

// acquireOrEnqueue takes a free slot or adds a waiter to the queue. It returns a
// nil waiter if it took a slot.
func (l *Limiter) acquireOrEnqueue(ctx context.Context, now time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 {
		return nil, newError("acquire slot", KindQueueFull, errors.New("this host has no share of the server's slots"))
	}
	if l.inFlight < l.limit() && len(l.queue) == 0 {
		l.inFlight++
		return nil, nil
	}
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = now.Add(time.Hour)
	}
	if len(l.queue) >= l.queueLimit {
		return nil, newError("acquire slot", KindQueueFull, errors.New("queue is full"))
	}
	if now.Add(l.estimateWait(deadline)).After(deadline) {
		return nil, newError("acquire slot", KindTooLate, errors.New("estimated queueing time exceeds the deadline"))
	}
	w := &waiter{deadline: deadline, acquired: make(chan struct{})}
	heap.Push(&l.queue, w)
	return w, nil
}

// estimateWait estimates the time until a request with the given deadline has
// finished, from the number of requests ahead of it in the queue.
func (l *Limiter) estimateWait(deadline time.Time) time.Duration {
	ahead := 1
	for _, w := range l.queue {
		if !w.deadline.After(deadline) {
			ahead++
		}
	}
	rounds := float64(ahead)/float64(l.limit()) + 1
	return time.Duration(rounds * float64(l.serviceTime))
}

// limit returns the maximum number of slots to use: the share, or fewer while the
// server rejects requests. At least one slot remains, so that the limiter can
// detect when the server has recovered.
func (l *Limiter) limit() int {
	return min(l.share, max(1, int(l.window)))
}

// leaveQueue removes w from the queue. If w has been given a slot in the
// meantime, the slot goes to the next waiter.
func (l *Limiter) leaveQueue(w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&l.queue, w.index)
	} else {
		l.inFlight--
		l.grantSlots()
	}
	return newError("acquire slot", KindTooLate, cause)
}

// Release returns the slot of a request that has taken the given time; rejected
// says whether the server rejected it.
func (l *Limiter) Release(elapsed time.Duration, rejected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if rejected {
		l.window = max(1, l.window*windowDecrease)
	} else {
		l.window = min(float64(l.share), l.window+windowIncrease/max(1, l.window))
		l.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-l.serviceTime))
	}
	l.grantSlots()
}

// Return returns the slot of a request that says nothing about the server's load.
func (l *Limiter) Return() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.grantSlots()
}

// ReleaseAbandoned returns the slot of a request that was abandoned after it had
// been sent, after a delay. The server may run the request until it detects that
// the connection is closed; if the slot were free at once, the server would
// sometimes have more requests than slots.
func (l *Limiter) ReleaseAbandoned(elapsed time.Duration) {
	time.AfterFunc(abandonedSlotDelay, func() { l.Release(elapsed, false) })
}

// grantSlots gives free slots to the waiters with the earliest deadlines.
func (l *Limiter) grantSlots() {
	for l.share > 0 && l.inFlight < l.limit() && len(l.queue) > 0 {
		w, _ := heap.Pop(&l.queue).(*waiter)
		l.inFlight++
		close(w.acquired)
	}
}

// waiter is a request in the queue. Its index is -1 once it has left the queue.
type waiter struct {
	deadline time.Time
	acquired chan struct{}
	index    int
}

// waiters is a heap ordered by deadline.
type waiters []*waiter

func (q waiters) Len() int           { return len(q) }
func (q waiters) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w, _ := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}
