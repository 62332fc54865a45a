package jetty

import (
	"context"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// secondSend has the servers that had a request at once.
type secondSend struct {
	first  fairway.ServerID
	second fairway.ServerID
}

// The kinds of the metric of second sends: those sent, those whose answer counted, and the
// sends, first or second, that were canceled for the other one.
const (
	secondSent     = "sent"
	secondWon      = "won"
	secondCanceled = "canceled"
)

// planSecond sets when a second send beside the pending attempt is decided on. There is none
// beside an attempt of a peer, beside two attempts, or beside one that a coordinator has
// admitted: this host does not know which servers have room then.
func (e *exchange) planSecond() {
	e.secondAt = time.Time{}
	if !e.adm.secondSends.Enabled() || len(e.pending) != 1 || e.pending[0].relay != nil || e.pending[0].permit != nil || e.pending[0].second {
		return
	}
	e.scheduleSecond(e.adm.planSecond(e.r.route.Name, e.secondRequest()))
}

// secondRequest describes the request and its pending attempt.
func (e *exchange) secondRequest() sluice.SecondSendRequest {
	first := e.pending[0]
	return sluice.SecondSendRequest{
		Repeatable: e.r.repeatable(), Keyed: e.r.key != nil,
		Suspected: first.trial != nil || e.suspicion() != sluice.SuspicionNone,
		Sends:     e.r.sends, MaxAttempts: e.r.route.MaxAttempts,
		SentAt: instantOf(first.began), Deadline: instantOf(e.r.deadline),
	}
}

func (e *exchange) scheduleSecond(d sluice.SecondSendDecision) {
	if later, ok := d.(sluice.SecondSendLater); ok {
		e.secondAt = timeOf(later.At)
	}
}

// trySecond sends the request to a second server beside the pending attempt, unless that has
// ended meanwhile or the second send is held back.
func (e *exchange) trySecond(ctx context.Context) {
	e.secondAt = time.Time{}
	if ctx.Err() != nil || e.drain.excludes(e.r.deadline) || e.reach.cut() || slices.ContainsFunc(e.pending, (*attempt).isDone) {
		return
	}
	server, decision := e.adm.sendSecond(e.r.route.Name, e.secondRequest(), e.req)
	switch d := decision.(type) {
	case sluice.SecondSendLater:
		e.recordHeld(d.Reason)
		e.scheduleSecond(d)
		return
	case sluice.SecondSendNever:
		e.recordHeld(d.Reason)
		return
	}
	if e.crashes.suspicion(e.r, server.Version) != sluice.SuspicionNone {
		e.adm.finish(sluice.ServerInstanceOf(server), e.r.route.Name, sluice.OutcomeCanceled, 0, 0)
		e.recordHeld(sluice.SecondSendSuspected)
		return
	}
	e.metrics.requestSent(e.r.service.Name, true)
	e.metrics.secondSend(e.r.service.Name, secondSent)
	e.r.second = &secondSend{first: e.pending[0].server.ID, second: server.ID}
	e.req.Tried = append(e.req.Tried, server.ID)
	e.start(&attempt{exchange: e, server: server, ctx: ctx, second: true})
}

// recordHeld counts a request whose second send is held back, once for each reason in a row.
func (e *exchange) recordHeld(reason sluice.SecondSendReason) {
	if reason != e.secondHeld && reason != sluice.SecondSendNotDue {
		e.metrics.secondSendHeld(e.r.service.Name, reason)
	}
	e.secondHeld = reason
}

// recordSecondEnd counts the work of a second send that ended without a response.
func (e *exchange) recordSecondEnd(a *attempt) {
	if a.second && a.err != nil {
		e.adm.addExtraWork(a.took)
	}
}

// settleSecond takes account of the attempt whose answer counts. The pending ones are canceled
// afterwards.
func (e *exchange) settleSecond(a *attempt) {
	if !a.second {
		return
	}
	e.metrics.secondSend(e.r.service.Name, secondWon)
	for _, p := range e.pending {
		p.lost = true
	}
}

// abandon records the end of an attempt that was canceled, since another one was answered or
// nobody waits for the answer.
func (a *attempt) abandon() {
	e := a.exchange
	if a.second || a.lost {
		e.metrics.secondSend(e.r.service.Name, secondCanceled)
		e.adm.addExtraWork(a.took)
	}
	if !a.lost || a.relay != nil {
		a.finish(sluice.OutcomeCanceled)
		return
	}
	e.adm.recordTime(e.r.route.Name, a.took)
	a.permit.release(sluice.OutcomeCanceled, a.took)
	if !a.overdue {
		e.adm.finishLost(sluice.ServerInstanceOf(a.server), a.took)
	}
}

// planSecond decides on a second send, and changes nothing.
func (a *admission) planSecond(route fairway.RouteName, r sluice.SecondSendRequest) sluice.SecondSendDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.secondSends.Plan(monotonicNow(), route, r)
}

// sendSecond decides on a second send. If it takes place now, the caller must call finish or
// finishLost afterwards.
func (a *admission) sendSecond(route fairway.RouteName, r sluice.SecondSendRequest, req *sluice.Request) (fairway.Endpoint, sluice.SecondSendDecision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.secondSends.Send(monotonicNow(), route, r, req)
}

// finishLost records the end of a request that was canceled, since a second send was answered
// first.
func (a *admission) finishLost(instance sluice.ServerInstance, elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.FinishLost(monotonicNow(), instance, elapsed))
}

// recordTime adds the time of a send that was not a second one.
func (a *admission) recordTime(route fairway.RouteName, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.secondSends.RecordTime(monotonicNow(), route, took)
}

func (a *admission) addExtraWork(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extraWork += took
}
