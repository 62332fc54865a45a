package quay

import (
	"context"
	"time"

	"hornbeamwinch.example/roster"
)

// attempt is one send of a request to a server. It holds one of the server's slots,
// and a permit, until it ends.
type attempt struct {
	backend *backend
	permit  *roster.Permit
	ctx     context.Context
	cancel  context.CancelFunc
	start   time.Time
	// rejected is set if the server certified that it did not run the request,
	// notGranted if that was for want of a current grant, and abandoned if it may
	// still run it.
	rejected   bool
	notGranted bool
	abandoned  bool
	// slotTaken is set if another attempt has taken over the slot.
	slotTaken bool

	resp *response
	err  error
}

func newAttempt(ctx context.Context, permit *roster.Permit, b *backend) *attempt {
	a := &attempt{backend: b, permit: permit, start: time.Now()}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// run sends the request on c and passes the attempt on once the header of the
// response has been read.
func (a *attempt) run(c *conn, r *Request, opts sendOptions, ended chan<- *attempt) {
	a.resp, a.err = a.backend.sendOn(a.ctx, c, a.permit, r, opts)
	ended <- a
}

// runOnNewConn is like run, but on a new connection.
func (a *attempt) runOnNewConn(r *Request, ended chan<- *attempt) {
	a.resp, a.err = a.backend.send(a.ctx, a.permit, r, sendOptions{newConn: true})
	ended <- a
}

// answered reports whether the server has responded, other than by a rejection.
func (a *attempt) answered() bool {
	return a.err == nil && !certifiesNotRun(a.resp.Response)
}

// recordRejection records whether the server has rejected the request.
func (a *attempt) recordRejection() {
	a.rejected = certifiesNotRun(a.resp.Response)
	a.notGranted = a.rejected && lacksGrant(rejectionReason(a.resp.Response))
}

// end releases the slot and the permit.
func (a *attempt) end() {
	if !a.abandoned {
		a.permit.Complete()
	}
	a.permit.End()
	a.cancel()
	switch {
	case a.slotTaken:
	case a.abandoned:
		a.backend.limiter.ReleaseAbandoned(time.Since(a.start))
	case a.notGranted:
		a.backend.limiter.Return()
	default:
		a.backend.limiter.Release(time.Since(a.start), a.rejected)
	}
}

// send sends the request and returns the attempt whose result counts, either first
// or a second one. The other one has ended then.
func (r *routedRequest) send(first *attempt) *attempt {
	opts := r.options()
	c, err := first.backend.connect(first.ctx, opts.newConn)
	if err != nil {
		first.err = err
		return first
	}
	ended := make(chan *attempt, 2)
	if !c.used || opts.responseHeaderTimeout == 0 {
		first.run(c, r.request, opts, ended)
		return first
	}
	go first.run(c, r.request, opts, ended)
	timer := time.NewTimer(opts.responseHeaderTimeout)
	defer timer.Stop()
	select {
	case <-ended:
		return first
	case <-timer.C:
		return r.sendAgain(first, ended)
	}
}

// sendAgain sends a request once more whose first attempt has no response yet. Its
// connection may be dead, or the server may be at work. The first response counts, so
// the first attempt is not given up for a second one that may fail. Only if there is
// no other free slot does the second attempt take over the slot of the first, as all
// slots may be held by dead connections.
func (r *routedRequest) sendAgain(first *attempt, ended chan *attempt) *attempt {
	r.log(Decision{Step: "overdue", Server: first.permit.Server.ID, Reason: ReasonServerUnresponsive})
	second := r.secure(first)
	if second == nil {
		return <-ended
	}
	if first.slotTaken {
		return r.replace(first, second, ended)
	}
	go second.runOnNewConn(r.request, ended)
	a, other := <-ended, first
	if a == first {
		other = second
	}
	if !a.answered() {
		r.drop(a)
		return <-ended
	}
	other.cancel()
	<-ended
	r.drop(other)
	return a
}

// replace gives up first and sends the request by second, which takes over the slot
// after the delay that any abandoned request needs.
func (r *routedRequest) replace(first, second *attempt, ended chan *attempt) *attempt {
	select {
	case <-ended:
		first.slotTaken, second.slotTaken = false, true
		second.end()
		return first
	default:
	}
	first.cancel()
	<-ended
	r.drop(first)
	timer := time.NewTimer(abandonedSlotDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-second.ctx.Done():
	}
	second.runOnNewConn(r.request, ended)
	return second
}

// secure returns a second attempt, which has a permit, a slot and a retry from the
// budget. It returns nil if one of them is not to be had.
func (r *routedRequest) secure(first *attempt) *attempt {
	ctx, permit, err := r.admitAgain(first)
	if err != nil {
		return nil
	}
	second := newAttempt(ctx, permit, r.router.backends.get(permit.Server.ID))
	if !r.secureSlot(first, second) {
		second.cancel()
		permit.End()
		return nil
	}
	r.attempt++
	r.logDispatch(permit)
	return second
}

// admitAgain admits the request to the owner of its key or, if the service is not
// divided, to one of the servers: that of first if the chosen one has no free slot.
func (r *routedRequest) admitAgain(first *attempt) (context.Context, *roster.Permit, error) {
	if r.service.Divided {
		return r.router.cfg.Gate.Admit(r.ctx, r.service.ID, r.request.Key)
	}
	chosen := first.backend
	if candidates := r.router.backends.available(r.service.ID, r.triedServers); len(candidates) > 0 {
		chosen = pickLessLoaded(candidates)
	}
	if chosen.limiter.Load() >= chosen.limiter.Share() {
		chosen = first.backend
	}
	return r.router.cfg.Gate.AdmitTo(r.ctx, r.service.ID, chosen.id)
}

// secureSlot takes a retry from the budget and a slot for second.
func (r *routedRequest) secureSlot(first, second *attempt) bool {
	if second.backend == nil || !r.router.retryBudgets[r.service.ID].Withdraw() {
		return false
	}
	if second.backend.limiter.TryAcquire() {
		return true
	}
	l := first.backend.limiter
	first.slotTaken = second.backend == first.backend && l.InFlight() <= l.Share()
	return first.slotTaken
}

// drop ends an attempt whose result does not count.
func (r *routedRequest) drop(a *attempt) {
	if a.err != nil {
		a.abandoned = kindOf(a.err) != KindNotRun
	} else {
		a.recordRejection()
		a.abandoned = !a.rejected
		a.resp.release(false)
	}
	r.mayHaveRun = r.mayHaveRun || a.abandoned
	a.end()
}
