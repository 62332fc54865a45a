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

// journey is the way of one request through one entry host.
type journey struct {
	router  *Router
	ctx     context.Context
	request *Request
	service ServiceConfig
	sink    *countingSink
	// once says that the request must not run more than once.
	once  bool
	claim *Claim
	// sent says that a server may have run the request.
	sent bool

	tried   map[berth.ServerID]bool
	peers   map[berth.HostID]bool
	waited  time.Duration
	attempt int
	fresh   bool

	answered *recordedAnswer
}

// recordedAnswer is the answer to a request that must not be repeated, kept
// for the claim.
type recordedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// step is the result of one attempt: a final outcome, or nil to go on.
type step struct {
	outcome Outcome
}

var next = step{}

func final(o Outcome) step {
	return step{outcome: o}
}

// run makes attempts until one gives a final outcome.
func (j *journey) run() Outcome {
	for {
		j.attempt++
		if j.attempt > maxAttempts {
			return j.giveUp(ReasonRetriesExceeded, retryAfterOverload)
		}
		if j.ctx.Err() != nil {
			return j.giveUp(ReasonDeadline, retryAfterOverload)
		}
		s := j.try()
		if s.outcome != nil {
			return s.outcome
		}
	}
}

// giveUp returns the final outcome of a request without an answer.
func (j *journey) giveUp(reason Reason, retryAfter time.Duration) Outcome {
	if j.sent {
		return Unknown{Reason: reason, RetryAfter: retryAfter}
	}
	return Refused{Reason: reason, RetryAfter: retryAfter}
}

// try makes one attempt.
func (j *journey) try() step {
	home, ruled := j.router.cfg.Home(j.service.ID, j.request.Key)
	if !ruled {
		return final(Invalid{Status: statusNotFound, Reason: Reason(roster.KindNoRule.String())})
	}
	if home != manifest.AnyDomain && home != j.router.cfg.Domain {
		return j.forwardTo(home)
	}
	if j.service.Divided {
		return j.tryOwner()
	}
	return j.tryAny(home)
}

// tryOwner sends the request to the owner of its key.
func (j *journey) tryOwner() step {
	changed := j.router.cfg.Gate.Changed()
	ctx, permit, err := j.router.cfg.Gate.Admit(j.ctx, j.service.ID, j.request.Key)
	if err == nil {
		defer permit.End()
		return j.dispatch(ctx, permit)
	}
	var refusal *roster.Error
	if !errors.As(err, &refusal) {
		return final(j.giveUp(ReasonNoServer, retryAfterOutage))
	}
	j.log(Decision{Step: "refuse", Reason: Reason(refusal.Kind.String())})
	switch refusal.Kind {
	case roster.KindNotMember, roster.KindLeaseExpired, roster.KindNoTable:
		return j.forwardWithin(Reason(refusal.Kind.String()))
	case roster.KindMoving:
		return j.waitForMove(changed, Reason(refusal.Kind.String()))
	case roster.KindMisdirected:
		return next
	default:
		return final(j.giveUp(Reason(refusal.Kind.String()), retryAfterMove))
	}
}

// waitForMove waits a short time for the end of a move.
func (j *journey) waitForMove(changed <-chan struct{}, reason Reason) step {
	left := moveWait - j.waited
	if left <= 0 {
		return final(j.giveUp(reason, retryAfterMove))
	}
	began := time.Now()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		j.attempt--
	case <-timer.C:
	case <-j.ctx.Done():
	}
	j.waited += time.Since(began)
	return next
}

// tryAny sends the request to one of the servers of a service that is not
// divided by key.
func (j *journey) tryAny(home berth.DomainID) step {
	candidates := j.router.backends.live(j.service.ID, j.tried)
	if len(candidates) == 0 {
		return j.tryElsewhere(home)
	}
	chosen := pickTwo(candidates)
	ctx, permit, err := j.router.cfg.Gate.AdmitTo(j.ctx, j.service.ID, chosen.id)
	if err == nil {
		defer permit.End()
		return j.dispatch(ctx, permit)
	}
	var refusal *roster.Error
	if errors.As(err, &refusal) && refusal.Kind == roster.KindNoOwner {
		j.tried[chosen.id] = true
		return next
	}
	return j.tryElsewhere(home)
}

// tryElsewhere forwards a request for which this host has no server: to
// another host of the domain, or to another domain if the rule allows any.
func (j *journey) tryElsewhere(home berth.DomainID) step {
	if len(j.tried) == 0 && j.request.Hops < maxHops {
		if host, ok := j.peer(j.router.cfg.Domain); ok {
			return j.forward(host)
		}
	}
	if home == manifest.AnyDomain && j.request.Hops == 0 {
		if host, ok := j.peer(manifest.AnyDomain); ok {
			return j.forward(host)
		}
	}
	return final(j.giveUp(ReasonNoServer, retryAfterOutage))
}

// forwardTo hands the request to its home domain.
func (j *journey) forwardTo(home berth.DomainID) step {
	if j.request.Hops >= maxHops {
		return final(j.giveUp(Reason(roster.KindMisdirected.String()), retryAfterMove))
	}
	host, ok := j.peer(home)
	if !ok {
		return final(j.giveUp(ReasonNoEntryHost, retryAfterOutage))
	}
	return j.forward(host)
}

// forwardWithin hands the request to another host of this domain.
func (j *journey) forwardWithin(reason Reason) step {
	if j.request.Hops >= maxHops {
		return final(j.giveUp(reason, retryAfterOutage))
	}
	host, ok := j.peer(j.router.cfg.Domain)
	if !ok {
		return final(j.giveUp(reason, retryAfterOutage))
	}
	return j.forward(host)
}

// peer returns an entry host of domain that was not asked before.
func (j *journey) peer(domain berth.DomainID) (berth.Host, bool) {
	hosts := j.router.cfg.Directory.Hosts(domain)
	if len(hosts) == 0 {
		return berth.Host{}, false
	}
	start := rand.IntN(len(hosts))
	for i := range hosts {
		host := hosts[(start+i)%len(hosts)]
		if host.ID != j.router.cfg.Host && !j.peers[host.ID] {
			return host, true
		}
	}
	return berth.Host{}, false
}

// forward hands the request to host. The outcome is the other host's, unless
// the host was not reached.
func (j *journey) forward(host berth.Host) step {
	j.peers[host.ID] = true
	j.log(Decision{Step: "forward", Host: host.ID})
	handed := *j.request
	handed.Hops++
	outcome, err := j.router.cfg.Forwarder.Forward(j.ctx, host, &handed, j.sink)
	if err == nil {
		return j.afterForward(outcome)
	}
	j.log(Decision{Step: "forward_failed", Host: host.ID, Reason: ReasonForwardLost})
	if j.sink.headPassed {
		return final(Truncated{Bytes: j.sink.bytes})
	}
	if kindOf(err) == KindNotRun {
		return next
	}
	j.sent = true
	return j.retryOr(ReasonForwardLost)
}

// afterForward takes another host's outcome. A refusal by one host of the
// domain does not mean that all refuse.
func (j *journey) afterForward(outcome Outcome) step {
	refused, isRefusal := outcome.(Refused)
	if !isRefusal {
		return final(outcome)
	}
	switch refused.Reason {
	case Reason(roster.KindNotMember.String()), Reason(roster.KindLeaseExpired.String()),
		Reason(roster.KindNoTable.String()), ReasonNoEntryHost:
		return next
	default:
		return final(j.giveUp(refused.Reason, refused.RetryAfter))
	}
}

// retryOr goes on with a request that may have run if it may be repeated and
// the budget allows it.
func (j *journey) retryOr(reason Reason) step {
	if j.once && j.sent {
		return final(j.giveUp(reason, retryAfterOutage))
	}
	if !j.router.budgets[j.service.ID].Withdraw() {
		return final(j.giveUp(reason, retryAfterOverload))
	}
	return next
}

func (j *journey) log(d Decision) {
	d.RequestID = j.request.ID
	d.Service = j.service.ID
	d.Key = j.request.Key
	d.Attempt = j.attempt
	j.router.cfg.Decisions.LogDecision(d)
}

// settleClaim records the outcome of a request that must not be repeated.
func (j *journey) settleClaim(outcome Outcome) {
	if j.claim == nil {
		return
	}
	switch outcome.(type) {
	case Whole:
		if j.answered != nil {
			_ = j.claim.Complete(j.answered.status, j.answered.header, j.answered.body)
		}
	case Refused, Invalid:
		_ = j.claim.Withdraw()
	case Unknown, Truncated:
		// The claim stays open: the request is never sent again.
	}
}

// countingSink notes what has been passed to the caller.
type countingSink struct {
	Sink
	headPassed bool
	bytes      int64
}

// Head implements [Sink].
func (s *countingSink) Head(status int, header http.Header) error {
	s.headPassed = true
	return s.Sink.Head(status, header)
}

// Write implements [Sink].
func (s *countingSink) Write(data []byte) (int, error) {
	n, err := s.Sink.Write(data)
	s.bytes += int64(n)
	return n, err
}
