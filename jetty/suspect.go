package jetty

import (
	"context"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// maxTrialWait is the part of its time left for which a suspected request waits for a
// trial.
const maxTrialWait = 0.5

// suspicion returns how certain it is that the request crashes servers: the least of the
// versions of its service's servers.
func (e *exchange) suspicion() sluice.Suspicion {
	if _, ok := e.crashes.digest(e.r); !ok {
		return sluice.SuspicionNone
	}
	servers := slices.DeleteFunc(slices.Clone(e.clusterState.catalog().ByService(e.r.service.Name)), func(s fairway.Endpoint) bool { return s.Evacuated })
	if len(servers) == 0 {
		return sluice.SuspicionPossible
	}
	least := sluice.SuspicionCertain
	for _, s := range servers {
		least = min(least, e.crashes.suspicion(e.r, s.Version))
	}
	return least
}

// refuseCertain returns the result of a request that is known to crash servers.
func (e *exchange) refuseCertain() result {
	return e.lastResult(e.refuse(e.r, sluice.Refuse{Reason: sluice.Reason(reasonCrashesServers), RetryAfter: crashingRetryAfter}))
}

// refuseTrial returns the result of a request that may crash servers and cannot be tried.
func (e *exchange) refuseTrial(retryAfter time.Duration) result {
	return e.lastResult(e.refuse(e.r, sluice.Refuse{Reason: sluice.Reason(reasonCrashSuspected), RetryAfter: retryAfter}))
}

// beginTrial starts an attempt of a request that may crash servers: the only one in the
// fleet, at a server that has no other such request. It returns a result if that is not
// possible. It is not made beside another attempt.
func (e *exchange) beginTrial(ctx context.Context) result {
	if len(e.pending) > 0 {
		return nil
	}
	defer func() { e.req.Excluded = nil }()
	waitUntil := time.Now().Add(time.Duration(maxTrialWait * float64(time.Until(e.r.deadline))))
	for time.Now().Before(waitUntil) {
		decision := e.acquire(ctx)
		e.updateToken()
		switch decision := decision.(type) {
		case sluice.Dispatch:
			if res, done := e.tryAt(ctx, decision.Server); done {
				return res
			}
			e.req.Excluded = append(e.req.Excluded, decision.Server.ID)
			if e.r.key == nil {
				continue
			}
		case sluice.Refuse:
			if len(e.req.Excluded) == 0 {
				return e.lastResult(e.refuse(e.r, decision))
			}
			e.req.Excluded = nil
		default:
			if ctx.Err() != nil {
				return e.interrupted(ctx, e.r)
			}
			// The drain has begun.
			return nil
		}
		pause(ctx, sluice.TrialPoll)
	}
	return e.refuseTrial(exhaustedRetryAfter)
}

// tryAt starts an attempt at a server that has admitted a suspected request. It reports
// false if the request has to wait for another one there, or for another server.
func (e *exchange) tryAt(ctx context.Context, s fairway.Endpoint) (res result, done bool) {
	notSent := func() { e.adm.finish(sluice.ServerInstanceOf(s), sluice.OutcomeCanceled, 0, 0) }
	switch e.crashes.suspicion(e.r, s.Version) {
	case sluice.SuspicionNone:
		return e.dispatch(ctx, s, nil), true
	case sluice.SuspicionCertain:
		notSent()
		if e.r.key != nil || e.suspicion() == sluice.SuspicionCertain {
			return e.refuseCertain(), true
		}
		return nil, false
	default:
	}
	if !e.crashes.mayRisk(e.r, s) {
		notSent()
		return e.refuseTrial(noTrialRetryAfter), true
	}
	t := &sluice.Trial{Content: e.r.ensureDigest().Content, Server: s.ID}
	switch decision := e.crashes.beginTrial(ctx, *t, time.Until(e.r.deadline)).(type) {
	case sluice.TrialGranted:
		return e.dispatch(ctx, s, t), true
	case sluice.TrialRefused:
		notSent()
		return e.refuseTrial(decision.RetryAfter), true
	default:
		notSent()
		return nil, false
	}
}

// recordCrash records that a server has ended with an attempt.
func (e *exchange) recordCrash(a *attempt) {
	s := a.server
	if a.relay != nil {
		s = a.relay.ended
	}
	e.crashes.serverEnded(e.r, s, a.trial != nil)
}
