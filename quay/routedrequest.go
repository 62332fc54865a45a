package quay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/roster"
)

// routedRequest is the state of one request while this entry host routes it.
type routedRequest struct {
	router  *Router
	ctx     context.Context
	request *Request
	service ServiceConfig
	sink    *countingSink
	// atMostOnce is set if the request must not be executed more than once.
	atMostOnce bool
	claim      *Claim
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool

	// triedServers and triedHosts are not tried again.
	triedServers map[berth.ServerID]bool
	triedHosts   map[berth.HostID]bool
	// waited is the total time spent waiting for moves and grants.
	waited  time.Duration
	attempt int
	// newConn requires a new connection for the next attempt.
	newConn bool

	recorded *recordedResponse
}

// recordedResponse is the response to a request that must not be repeated, to be
// recorded with the claim.
type recordedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt. A nil outcome means that another
// attempt follows.
type attemptResult struct {
	outcome Outcome
}

var anotherAttempt = attemptResult{}

func final(o Outcome) attemptResult {
	return attemptResult{outcome: o}
}

// run makes attempts until one has a final outcome.
func (r *routedRequest) run() Outcome {
	for {
		r.attempt++
		if r.attempt > maxAttempts {
			return r.failureOutcome(ReasonAttemptsExceeded, retryAfterOverload)
		}
		if r.ctx.Err() != nil {
			return r.failureOutcome(r.endReason(), retryAfterOverload)
		}
		result := r.try()
		if result.outcome != nil {
			return result.outcome
		}
	}
}

// failureOutcome returns the outcome of a request that ends without a response:
// [Unknown] if a server may have run it, and [Refused] otherwise.
func (r *routedRequest) failureOutcome(reason Reason, retryAfter time.Duration) Outcome {
	if r.mayHaveRun {
		return Unknown{Reason: reason, RetryAfter: retryAfter}
	}
	return Refused{Reason: reason, RetryAfter: retryAfter}
}

// endReason returns the reason why the context of the request is done.
func (r *routedRequest) endReason() Reason {
	if errors.Is(context.Cause(r.ctx), ErrHostStopping) {
		return ReasonHostStopping
	}
	return ReasonDeadline
}

// try makes one attempt.
func (r *routedRequest) try() attemptResult {
	home, found := r.router.cfg.Home(r.service.ID, r.request.Key)
	if !found {
		return final(Invalid{Status: statusNotFound, Reason: Reason(roster.KindNoRule.String())})
	}
	if home != manifest.AnyDomain && home != r.router.cfg.Domain {
		return r.forwardToDomain(home)
	}
	if r.service.Divided {
		return r.tryOwner()
	}
	return r.tryAnyServer(home)
}

// tryOwner dispatches the request to the owner of its key.
func (r *routedRequest) tryOwner() attemptResult {
	changed := r.router.cfg.Gate.Changed()
	ctx, permit, err := r.router.cfg.Gate.Admit(r.ctx, r.service.ID, r.request.Key)
	if err == nil {
		defer permit.End()
		return r.dispatch(ctx, permit)
	}
	var refusal *roster.Error
	if !errors.As(err, &refusal) {
		return final(r.failureOutcome(ReasonNoServer, retryAfterOutage))
	}
	r.log(Decision{Step: "refuse", Reason: Reason(refusal.Kind.String())})
	switch refusal.Kind {
	case roster.KindNotMember, roster.KindNoTable:
		return r.forwardInDomain(Reason(refusal.Kind.String()))
	case roster.KindLeaseExpired:
		return r.forwardOrAwaitLease(changed)
	case roster.KindMoving:
		return r.waitForMove(changed, Reason(refusal.Kind.String()))
	case roster.KindMisdirected:
		return anotherAttempt
	default:
		return final(r.failureOutcome(Reason(refusal.Kind.String()), retryAfterMove))
	}
}

// forwardOrAwaitLease forwards the request to another entry host of this domain. If
// none is left and a server may have run the request, it waits for the next lease: the
// request has been sent under one that has ended since, as on a host that was
// suspended, and the next round usually confirms the table.
func (r *routedRequest) forwardOrAwaitLease(changed <-chan struct{}) attemptResult {
	reason := Reason(roster.KindLeaseExpired.String())
	_, another := r.untriedHost(r.router.cfg.Domain)
	if r.mayHaveRun && (!another || r.request.Hops >= maxHops) {
		return r.waitForMove(changed, reason)
	}
	return r.forwardInDomain(reason)
}

// waitForMove waits for the next change of the table, of the rules or of the lease,
// which may end the move of the key, for at most the rest of [maxMoveWait]. An
// attempt that ends with such a change does not count towards [maxAttempts].
func (r *routedRequest) waitForMove(changed <-chan struct{}, reason Reason) attemptResult {
	remaining := maxMoveWait - r.waited
	if remaining <= 0 {
		return final(r.failureOutcome(reason, retryAfterMove))
	}
	start := time.Now()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
		r.attempt--
	case <-timer.C:
	case <-r.ctx.Done():
	}
	r.waited += time.Since(start)
	return anotherAttempt
}

// tryAnyServer dispatches the request to one of the servers of a service that is
// not divided by key.
func (r *routedRequest) tryAnyServer(home berth.DomainID) attemptResult {
	candidates := r.router.backends.available(r.service.ID, r.triedServers)
	if len(candidates) == 0 {
		return r.forwardOrRefuse(home)
	}
	chosen := pickLessLoaded(candidates)
	ctx, permit, err := r.router.cfg.Gate.AdmitTo(r.ctx, r.service.ID, chosen.id)
	if err == nil {
		defer permit.End()
		return r.dispatch(ctx, permit)
	}
	var refusal *roster.Error
	if errors.As(err, &refusal) && refusal.Kind == roster.KindNoOwner {
		r.triedServers[chosen.id] = true
		return anotherAttempt
	}
	return r.forwardOrRefuse(home)
}

// forwardOrRefuse handles a request for which this host has no server. It
// forwards the request to another host of this domain, or to any domain if the
// rule allows that; otherwise the request fails.
func (r *routedRequest) forwardOrRefuse(home berth.DomainID) attemptResult {
	if len(r.triedServers) == 0 && r.request.Hops < maxHops {
		if host, ok := r.untriedHost(r.router.cfg.Domain); ok {
			return r.forward(host)
		}
	}
	if home == manifest.AnyDomain && r.request.Hops == 0 {
		if host, ok := r.untriedHost(manifest.AnyDomain); ok {
			return r.forward(host)
		}
	}
	return final(r.failureOutcome(ReasonNoServer, retryAfterOutage))
}

// forwardToDomain forwards the request to an entry host of its home domain.
func (r *routedRequest) forwardToDomain(home berth.DomainID) attemptResult {
	if r.request.Hops >= maxHops {
		return final(r.failureOutcome(Reason(roster.KindMisdirected.String()), retryAfterMove))
	}
	host, ok := r.untriedHost(home)
	if !ok {
		return final(r.failureOutcome(ReasonNoEntryHost, retryAfterOutage))
	}
	return r.forward(host)
}

// forwardInDomain forwards the request to another entry host of this domain.
func (r *routedRequest) forwardInDomain(reason Reason) attemptResult {
	if r.request.Hops >= maxHops {
		return final(r.failureOutcome(reason, retryAfterOutage))
	}
	host, ok := r.untriedHost(r.router.cfg.Domain)
	if !ok {
		return final(r.failureOutcome(reason, retryAfterOutage))
	}
	return r.forward(host)
}

// untriedHost returns an entry host of domain to which the request has not been
// forwarded yet, chosen at random.
func (r *routedRequest) untriedHost(domain berth.DomainID) (berth.Host, bool) {
	hosts := r.router.cfg.Directory.Hosts(domain)
	if len(hosts) == 0 {
		return berth.Host{}, false
	}
	start := rand.IntN(len(hosts))
	for i := range hosts {
		host := hosts[(start+i)%len(hosts)]
		if host.ID != r.router.cfg.Host && !r.triedHosts[host.ID] {
			return host, true
		}
	}
	return berth.Host{}, false
}

// forward forwards the request to host and adopts its outcome. If the host was
// not reached, another attempt follows. If it was reached but returned no
// outcome, the request may have run: it ends truncated if part of the response
// has been passed on, and [routedRequest.retryOrFail] decides otherwise.
func (r *routedRequest) forward(host berth.Host) attemptResult {
	if !r.withdrawClaim() {
		return final(r.failureOutcome(ReasonStoreUnavailable, retryAfterOutage))
	}
	r.triedHosts[host.ID] = true
	r.log(Decision{Step: "forward", Host: host.ID})
	forwarded := *r.request
	forwarded.Hops++
	outcome, err := r.router.cfg.Forwarder.Forward(r.ctx, host, &forwarded, r.sink)
	if err == nil {
		return r.handleForwardOutcome(outcome)
	}
	r.log(Decision{Step: "forward_failed", Host: host.ID, Reason: ReasonForwardLost})
	if r.sink.headSent {
		return final(Truncated{Bytes: r.sink.bytes})
	}
	if kindOf(err) == KindNotRun {
		return anotherAttempt
	}
	r.mayHaveRun = true
	return r.retryOrFail(ReasonForwardLost)
}

// withdrawClaim withdraws the claim of a request that has not run here, so that another
// host can make one. It reports whether there is none any more.
func (r *routedRequest) withdrawClaim() bool {
	if r.claim == nil {
		return true
	}
	if err := r.claim.Withdraw(); err != nil {
		return false
	}
	r.claim = nil
	return true
}

// handleForwardOutcome handles the outcome that another host returned. If that
// host refused the request for a reason of its own, other hosts of the domain may
// still accept it.
func (r *routedRequest) handleForwardOutcome(outcome Outcome) attemptResult {
	refused, isRefusal := outcome.(Refused)
	if !isRefusal {
		return final(outcome)
	}
	switch refused.Reason {
	case Reason(roster.KindNotMember.String()), Reason(roster.KindLeaseExpired.String()),
		Reason(roster.KindNoTable.String()), ReasonNoEntryHost, ReasonHostStopping:
		return anotherAttempt
	default:
		return final(r.failureOutcome(refused.Reason, refused.RetryAfter))
	}
}

// retryOrFail lets another attempt follow if the retry budget allows it, unless
// the request may have run and must not be repeated.
func (r *routedRequest) retryOrFail(reason Reason) attemptResult {
	if r.atMostOnce && r.mayHaveRun {
		return final(r.failureOutcome(reason, retryAfterOutage))
	}
	if !r.router.retryBudgets[r.service.ID].Withdraw() {
		return final(r.failureOutcome(reason, retryAfterOverload))
	}
	return anotherAttempt
}

func (r *routedRequest) log(d Decision) {
	d.RequestID = r.request.ID
	d.Service = r.service.ID
	d.Key = r.request.Key
	d.Attempt = r.attempt
	r.router.cfg.Decisions.LogDecision(d)
}

// closeClaim updates the claim of a request that must not be repeated according
// to its outcome.
func (r *routedRequest) closeClaim(outcome Outcome) {
	if r.claim == nil {
		return
	}
	switch outcome.(type) {
	case Whole:
		if r.recorded != nil {
			_ = r.claim.Complete(r.recorded.status, r.recorded.header, r.recorded.body)
		}
	case Refused, Invalid:
		_ = r.claim.Withdraw()
	case Unknown, Truncated:
		// The claim stays open, so that the request is not sent again.
	}
}

// countingSink records how much of the response has been passed to the caller.
type countingSink struct {
	Sink
	headSent bool
	bytes    int64
}

// Head implements [Sink].
func (s *countingSink) Head(status int, header http.Header) error {
	s.headSent = true
	return s.Sink.Head(status, header)
}

// Write implements [Sink].
func (s *countingSink) Write(data []byte) (int, error) {
	n, err := s.Sink.Write(data)
	s.bytes += int64(n)
	return n, err
}
