package quay

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// shedFactor is applied to the window when the server sheds load.
	shedFactor = 0.5
	// windowGain is added to the window for each completed request, divided
	// by the window, so that it grows by about one slot per window.
	windowGain = 0.2
	// abandonedHold is how long the slot of an abandoned request stays taken.
	abandonedHold = 250 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the mean service
	// time.
	serviceTimeWeight = 0.1
)

// Limiter holds one host's part of the slots of one backend server, and the
// queue of the requests that wait for a slot, ordered by deadline. It is safe
// for concurrent use.
type Limiter struct {
	queueLimit int

	mu          sync.Mutex
	share       int
	window      float64
	inFlight    int
	queue       waiters
	serviceTime time.Duration
}

// NewLimiter returns a limiter without slots.
func NewLimiter(queueLimit int) *Limiter {
	return &Limiter{queueLimit: queueLimit}
}

// SetShare sets the host's part of the server's slots.
func (l *Limiter) SetShare(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots == l.share {
		return
	}
	l.share = slots
	l.window = float64(slots)
	l.grant()
}

// Share returns the host's part of the server's slots.
func (l *Limiter) Share() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}

// Load returns the number of requests that run or wait.
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

// Acquire waits for a slot until the deadline of ctx. It refuses at once if
// the queue is full or if the request could not finish in time. Its errors
// have [KindQueueFull] or [KindTooLate].
func (l *Limiter) Acquire(ctx context.Context, now time.Time) error {
	w, err := l.enter(ctx, now)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return l.abandon(w, ctx.Err())
	}
}

// enter takes a free slot or joins the queue. It returns nil if it has a slot.
func (l *Limiter) enter(ctx context.Context, now time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 {
		return nil, newError("acquire slot", KindQueueFull, errors.New("no share of the server's slots"))
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
	if now.Add(l.waitBefore(deadline)).After(deadline) {
		return nil, newError("acquire slot", KindTooLate, errors.New("queue is longer than the deadline"))
	}
	w := &waiter{deadline: deadline, granted: make(chan struct{})}
	heap.Push(&l.queue, w)
	return w, nil
}

// waitBefore estimates the time until a request with the given deadline has
// run, counting the requests that are ahead of it.
func (l *Limiter) waitBefore(deadline time.Time) time.Duration {
	ahead := 1
	for _, w := range l.queue {
		if !w.deadline.After(deadline) {
			ahead++
		}
	}
	rounds := float64(ahead)/float64(l.limit()) + 1
	return time.Duration(rounds * float64(l.serviceTime))
}

// limit returns the number of slots in use at most: the share, or less while
// the server sheds load. At least one stays, to notice when it recovers.
func (l *Limiter) limit() int {
	return min(l.share, max(1, int(l.window)))
}

// abandon leaves the queue. A slot that was granted meanwhile is passed on.
func (l *Limiter) abandon(w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&l.queue, w.index)
	} else {
		l.inFlight--
		l.grant()
	}
	return newError("acquire slot", KindTooLate, cause)
}

// Release returns a slot after a request that took the given time.
func (l *Limiter) Release(took time.Duration, shed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if shed {
		l.window = max(1, l.window*shedFactor)
	} else {
		l.window = min(float64(l.share), l.window+windowGain/max(1, l.window))
		l.serviceTime += time.Duration(serviceTimeWeight * float64(took-l.serviceTime))
	}
	l.grant()
}

// ReleaseAbandoned returns the slot of a request that was given up after it had
// been sent. The server may run it until it notices the closed connection, so
// the slot stays taken for a while; otherwise the server would now and then
// get more requests than it has slots.
func (l *Limiter) ReleaseAbandoned(took time.Duration) {
	time.AfterFunc(abandonedHold, func() { l.Release(took, false) })
}

// grant hands free slots to the waiters with the earliest deadlines.
func (l *Limiter) grant() {
	for l.share > 0 && l.inFlight < l.limit() && len(l.queue) > 0 {
		w, _ := heap.Pop(&l.queue).(*waiter)
		l.inFlight++
		close(w.granted)
	}
}

// waiter is a request in the queue. Its index is -1 once it has left.
type waiter struct {
	deadline time.Time
	granted  chan struct{}
	index    int
}

// waiters is a heap by deadline.
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
