package jetty

import (
	"context"
	"slices"
	"sync"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// actionWorkers is the number of actions, such as orders, in progress at most.
	actionWorkers = 64
	// maxSlowOrders is how many of them may be orders that take long: releases, which end
	// with the requests for their keys, and orders to servers that have not answered.
	maxSlowOrders = 32
)

// actionQueue has the actions of the assigners that wait for a worker. It answers the load
// after the loss of a placer, or of many servers: the grants of servers that answer do not
// wait for orders that take long.
type actionQueue struct {
	mu      sync.Mutex
	waiting []assignerAction
	// ready has a signal for each worker that may find an action.
	ready chan struct{}
	// answering has the servers whose last order was answered.
	answering map[mooring.ServerInstance]bool
	// busy has the servers that have not answered yet, or not lately, and have an order in
	// progress. They get one at a time.
	busy map[mooring.ServerInstance]bool
	slow int
}

func newActionQueue() *actionQueue {
	return &actionQueue{
		ready: make(chan struct{}, actionWorkers), answering: make(map[mooring.ServerInstance]bool), busy: make(map[mooring.ServerInstance]bool),
	}
}

// add appends an action.
func (q *actionQueue) add(a assignerAction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, a)
	q.wake()
}

// wake lets one worker look for an action.
func (q *actionQueue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
		// All workers will look.
	}
}

// take waits for the first action that may be begun. It returns false if ctx is done before
// that. The caller has to call done after the action.
func (q *actionQueue) take(ctx context.Context) (startedAction, bool) {
	for ctx.Err() == nil {
		if a, ok := q.tryTake(); ok {
			return a, true
		}
		select {
		case <-ctx.Done():
		case <-q.ready:
		}
	}
	return startedAction{}, false
}

// startedAction is an action in progress, with what it occupies in the queue.
type startedAction struct {
	assignerAction
	slow bool
	busy bool
}

// tryTake takes the first action that may be begun, if there is one. If others wait, another
// worker looks as well.
func (q *actionQueue) tryTake() (startedAction, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Orders to a server are begun in the order in which they were added.
	passed := make(map[mooring.ServerInstance]bool)
	for i, a := range q.waiting {
		started, ok := q.begin(a, passed)
		if ok {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			if len(q.waiting) > 0 {
				q.wake()
			}
			return started, true
		}
	}
	return startedAction{}, false
}

// begin decides whether an action may be begun now, and counts it if so.
func (q *actionQueue) begin(a assignerAction, passed map[mooring.ServerInstance]bool) (startedAction, bool) {
	started := startedAction{assignerAction: a}
	order, ok := a.action.(mooring.SendOrder)
	if !ok {
		return started, true
	}
	to := order.Order.To
	started.busy = !q.answering[to]
	started.slow = started.busy || order.Order.Release
	if passed[to] || started.busy && q.busy[to] || started.slow && q.slow >= maxSlowOrders {
		passed[to] = true
		return startedAction{}, false
	}
	if started.slow {
		q.slow++
	}
	if started.busy {
		q.busy[to] = true
	}
	return started, true
}

// done records the end of an action.
func (q *actionQueue) done(a startedAction, e mooring.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.slow {
		q.slow--
	}
	if order, ok := a.action.(mooring.SendOrder); ok {
		to := order.Order.To
		if a.busy {
			delete(q.busy, to)
		}
		if completed, ok := e.(mooring.OrderCompleted); ok {
			q.recordResult(to, order.Order.Release, completed.Result)
		}
	}
	q.wake()
}

// recordResult records whether a server answers. A release without a response may only have
// had to wait for requests.
func (q *actionQueue) recordResult(to mooring.ServerInstance, release bool, result mooring.Result) {
	switch result {
	case mooring.ResultNotTried, mooring.ResultSessionEnded:
	case mooring.ResultNotSent:
		delete(q.answering, to)
	case mooring.ResultNoResponse:
		if !release {
			delete(q.answering, to)
		}
	default:
		q.answering[to] = true
	}
}

// forget drops what is known of servers that are no longer listed.
func (q *actionQueue) forget(catalog *fairway.Catalog) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for to := range q.answering {
		if e, ok := catalog.Get(to.Server); !ok || e.Incarnation != to.Incarnation {
			delete(q.answering, to)
		}
	}
}
