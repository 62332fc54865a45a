package jetty

import (
	"context"
	"net/http"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// exchange sends one request to backend servers until one of them answers. It
// may have the request at two servers at a time: if the first has not answered in
// time, a second is tried as well, and the first response counts. An attempt is not
// given up for another one that may fail too.
type exchange struct {
	*forwarder
	r   *request
	adm *admission
	req *sluice.Request

	// pending has the attempts in progress, and ended receives those that have
	// ended. Once over is closed, attempts are no longer received.
	pending []*attempt
	ended   chan *attempt
	over    chan struct{}
	// parallel reports whether a further attempt may begin while one is pending.
	parallel bool
	// fallback is the failure that a server reported while another attempt was
	// pending.
	fallback result
}

// attempt is one send of a request to one server.
type attempt struct {
	exchange *exchange
	server   fairway.Endpoint
	began    time.Time
	// overdueAt is when another server is tried; zero means never.
	overdueAt time.Time
	// overdue is set once the admission controller knows that the attempt is.
	overdue bool

	ctx  context.Context
	resp *backendResponse
	err  error
	took time.Duration
	// done is done once resp, err and took are set.
	done    context.Context
	setDone context.CancelFunc
}

// run sends the request and passes the attempt on to the exchange.
func (a *attempt) run() {
	e := a.exchange
	a.resp, a.err = e.roundTrip(a.ctx, e.r, a.server)
	a.took = time.Since(a.began)
	a.setDone()
	select {
	case e.ended <- a:
	case <-e.over:
		e.adm.finish(sluice.ServerInstanceOf(a.server), sluice.OutcomeCanceled, a.took, 0)
		a.discard()
	}
}

func (a *attempt) isDone() bool {
	return a.done.Err() != nil
}

// discard gives up the rest of a response that is not passed on.
func (a *attempt) discard() {
	if a.resp != nil && a.resp.finish != nil {
		a.resp.finish(false)
	}
}

// run returns the result for the caller. The attempts that are still pending then
// are canceled.
func (e *exchange) run(ctx context.Context) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(e.over)
	for {
		if res := e.begin(ctx); res != nil {
			return res
		}
		if res := e.await(ctx); res != nil {
			return res
		}
	}
}

// begin waits for admission and starts an attempt. It returns a result if that is
// not possible and no attempt is pending.
func (e *exchange) begin(ctx context.Context) result {
	if e.drain.excludes(e.r.deadline) {
		return e.impossible(e.stopped(e.r))
	}
	start := time.Now()
	decision := e.acquire(ctx)
	e.metrics.requestQueued(e.r.service.Name, time.Since(start))
	if e.r.key != nil {
		e.r.token, e.r.tableRevision = e.adm.owners.tokenOf(*e.r.key)
	}
	switch decision := decision.(type) {
	case sluice.Dispatch:
		return e.dispatch(ctx, decision.Server)
	case sluice.Refuse:
		if len(e.pending) > 0 {
			return e.impossible(nil)
		}
		return e.impossible(e.refuse(e.r, decision))
	default:
		if ctx.Err() != nil && len(e.pending) == 0 {
			return e.interrupted(ctx, e.r)
		}
		// The drain has begun, or the pending attempt has ended.
		return nil
	}
}

// impossible returns the result of a request that cannot be sent again. If an
// attempt is pending, that is the last one, and there is no result yet.
func (e *exchange) impossible(res result) result {
	switch {
	case len(e.pending) > 0:
		e.parallel = false
		return nil
	case e.fallback != nil:
		return e.fallback
	default:
		return res
	}
}

// acquire waits for admission. It returns nil if ctx is done before that, if a drain
// begins that excludes the request, or if a pending attempt ends.
func (e *exchange) acquire(ctx context.Context) sluice.Decision {
	ctx, unbind := e.drain.bindQueued(ctx, e.r.deadline)
	defer unbind()
	for _, a := range e.pending {
		stop := context.AfterFunc(a.done, unbind)
		defer stop()
	}
	return e.adm.acquire(ctx, e.req)
}

// dispatch starts an attempt at a server. It returns a result if the request may
// not be sent and no attempt is pending.
func (e *exchange) dispatch(ctx context.Context, s fairway.Endpoint) result {
	switch {
	case ctx.Err() != nil:
		e.adm.finish(sluice.ServerInstanceOf(s), sluice.OutcomeCanceled, 0, 0)
		return e.impossible(e.interrupted(ctx, e.r))
	case slices.ContainsFunc(e.pending, (*attempt).isDone):
		e.adm.finish(sluice.ServerInstanceOf(s), sluice.OutcomeCanceled, 0, 0)
		return nil
	case e.r.sends > 0 && !e.adm.allowRetry():
		e.adm.finish(sluice.ServerInstanceOf(s), sluice.OutcomeCanceled, 0, 0)
		return e.impossible(e.retriesExhausted(e.r, reasonRetryBudget))
	}
	e.metrics.requestSent(e.r.service.Name, e.r.sends > 0)
	e.req.Tried = append(e.req.Tried, s.ID)
	a := &attempt{exchange: e, server: s, began: time.Now(), ctx: ctx}
	if timeout := e.responseTimeout(e.r, e.adm); timeout > 0 {
		a.overdueAt = a.began.Add(timeout)
	}
	a.done, a.setDone = context.WithCancel(context.Background())
	e.r.sends++
	e.pending = append(e.pending, a)
	go a.run()
	return nil
}

// await waits until another attempt is to be made, and returns nil then, or until
// there is a result.
func (e *exchange) await(ctx context.Context) result {
	for len(e.pending) > 0 {
		var overdue <-chan time.Time
		first := e.pending[0]
		if e.parallel && len(e.pending) == 1 && !first.overdueAt.IsZero() {
			timer := time.NewTimer(time.Until(first.overdueAt))
			defer timer.Stop()
			overdue = timer.C
		}
		select {
		case a := <-e.ended:
			if res := e.handle(ctx, a); res != nil {
				return res
			}
		case <-overdue:
			first.overdueAt = time.Time{}
			if !first.overdue {
				first.overdue = true
				e.adm.recordOverdue(sluice.ServerInstanceOf(first.server), time.Since(first.began))
			}
			if e.mayRetry(ctx, e.r) {
				return nil
			}
		}
	}
	return nil
}

// handle evaluates an attempt that has ended. It returns nil if another attempt is
// to be made or is pending.
func (e *exchange) handle(ctx context.Context, a *attempt) result {
	e.pending = slices.DeleteFunc(e.pending, func(p *attempt) bool { return p == a })
	var res result
	var again bool
	if a.err != nil {
		res, again = e.handleFailure(ctx, e.r, e.adm, a)
	} else {
		e.recordOutcome(e.r, e.adm, a.server, a.resp, a.took)
		res, again = e.handleResponse(ctx, e.r, a.resp, a.server)
	}
	resp, answered := res.(backendResponse)
	switch {
	case answered && resp.status < http.StatusInternalServerError:
		return res
	case len(e.pending) > 0:
		if answered && e.fallback == nil && resp.remaining == nil {
			e.fallback = res
		} else {
			a.discard()
		}
		if again {
			e.pending[0].overdueAt = time.Now()
		}
		return nil
	case again:
		return nil
	case !answered && e.fallback != nil:
		return e.fallback
	default:
		return res
	}
}
