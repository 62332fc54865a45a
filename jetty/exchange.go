package jetty

import (
	"context"
	"errors"
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
	// nextAt is when a further attempt begins beside the pending one; zero means
	// never.
	nextAt time.Time
	// secondAt is when a second send beside the pending one is decided on; zero means
	// never. secondHeld is why it was last held back.
	secondAt   time.Time
	secondHeld sluice.SecondSendReason
	// fallback is the failure that a server reported while another attempt was
	// pending.
	fallback result

	// caller is done once the caller has left.
	caller context.Context
	// unsent counts the attempts that ended before a byte was sent, and retries
	// those of them whose retry, taken from the budget, is left to the next one.
	unsent  int
	retries int
	// unreached are the servers to which this host could not send the request.
	unreached []fairway.ServerID
	// peers are those to which the request has been offered.
	peers []peerAddress
	// carried is set once the request has been offered to carriers. It is offered to them
	// once, and then sent directly.
	carried bool
	// disowned is set once the owner of the key has said that it does not hold it,
	// under the token in r.
	disowned bool
}

const (
	// ownerChangeTimeout is how long a request waits for another owner, or another token,
	// of its key once the known one does not hold it. A server that moves its keys
	// rejects requests until this host has read the table.
	ownerChangeTimeout = 100 * time.Millisecond
	// ownerChangePoll is the time between two looks at the table.
	ownerChangePoll = 10 * time.Millisecond
)

// maxUnsent is the number of attempts of which no byte was sent that do not count
// as sends.
const maxUnsent = 3

// attempt is one send of a request to one server.
type attempt struct {
	exchange *exchange
	server   fairway.Endpoint
	began    time.Time
	// overdueAt is when the response is overdue; zero means never.
	overdueAt time.Time
	// overdue attempts no longer count as in flight for admission: their servers
	// may be lost, and are tried again with other requests.
	overdue bool
	// relay is set for an attempt of a peer. Its server is known afterwards, and
	// admission at this host does not count it.
	relay *relayCall
	// retry is set if the attempt has taken a retry from the budget.
	retry bool
	// trial is set for an attempt of a request that may crash servers.
	trial *sluice.Trial
	// permit is that of the server's coordinator, or nil if this host has admitted the request.
	permit *permit
	// second is set for a second send, and lost for an attempt beside which a second send
	// was answered first.
	second bool
	lost   bool

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
	a.send()
	a.took = time.Since(a.began)
	a.setDone()
	if a.trial != nil {
		defer e.crashes.endTrial(*a.trial, kindOf(a.err) == KindServerEnded)
	}
	select {
	case e.ended <- a:
	case <-e.over:
		a.abandon()
		a.discard()
	}
}

// send sets the response or the error. After a panic the request may have run.
func (a *attempt) send() {
	e := a.exchange
	defer e.recoverer.at(placeAttempt, func() { a.resp, a.err = nil, &Error{Op: "send", Kind: KindInvalidResponse, Err: errPanic} })
	if a.relay != nil {
		a.resp, a.err = a.relay.run(a.ctx)
		a.server = fairway.Endpoint{ID: a.relay.server}
	} else {
		a.resp, a.err = e.roundTrip(a.ctx, e.r, a.server)
	}
}

// finish records the outcome of the attempt at the admission controller.
func (a *attempt) finish(outcome sluice.Outcome) {
	if a.relay != nil {
		return
	}
	instance, objective := sluice.ServerInstanceOf(a.server), a.exchange.r.route.Objective
	switch {
	case errors.Is(a.err, errConnectionLimit):
		// The server has not rejected anything.
		a.permit.release(sluice.OutcomeCanceled, a.took)
	case a.resp != nil:
		a.permit.releaseAnswered(outcome, a.took, a.resp.header)
	default:
		a.permit.release(outcome, a.took)
	}
	switch {
	case !a.overdue:
		a.exchange.adm.finish(instance, a.exchange.r.route.Name, outcome, a.took, objective)
	case outcome == sluice.OutcomeAnswered:
		a.exchange.adm.recordLate(instance, a.took, objective)
	}
}

// setOverdue records that the response is overdue.
func (a *attempt) setOverdue() {
	a.overdue = true
	if a.relay != nil {
		return
	}
	a.exchange.adm.finish(sluice.ServerInstanceOf(a.server), a.exchange.r.route.Name, sluice.OutcomeTimeout, time.Since(a.began), 0)
	a.permit.overdue(time.Since(a.began))
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
	e.nextAt = time.Time{}
	if e.disowned && !e.ownerChanged(ctx) {
		return e.lastResult(e.retriesExhausted(e.r, reasonServerRejected))
	}
	if e.drain.excludes(e.r.deadline) {
		return e.lastResult(e.stopped(e.r))
	}
	switch e.suspicion() {
	case sluice.SuspicionCertain:
		return e.refuseCertain()
	case sluice.SuspicionPossible:
		return e.beginTrial(ctx)
	default:
	}
	if e.reach.cut() && e.startRelay(ctx, "") {
		return nil
	}
	if e.startCarried(ctx) {
		return nil
	}
	if n := len(e.unreached); n > 0 && e.r.key != nil && e.startRelay(ctx, e.unreached[n-1]) {
		return nil
	}
	start := time.Now()
	decision, permit := e.acquire(ctx)
	e.metrics.requestQueued(e.r.service.Name, time.Since(start))
	e.updateToken()
	switch decision := decision.(type) {
	case sluice.Dispatch:
		if e.crashes.suspicion(e.r, decision.Server.Version) != sluice.SuspicionNone {
			// A server has ended under the same request meanwhile.
			e.giveBack(decision.Server, permit)
			return e.beginTrial(ctx)
		}
		return e.dispatch(ctx, decision.Server, permit, nil)
	case sluice.Refuse:
		if e.mayReachMore(decision) && e.startRelay(ctx, e.requiredServer(decision)) {
			return nil
		}
		if len(e.pending) > 0 {
			e.nextAt = time.Now().Add(max(decision.RetryAfter, exhaustedRetryAfter))
			return nil
		}
		return e.lastResult(e.refuse(e.r, decision))
	default:
		if ctx.Err() != nil && len(e.pending) == 0 {
			return e.interrupted(ctx, e.r)
		}
		// The drain has begun, or the pending attempt has ended.
		return nil
	}
}

// updateToken records the token under which the key of the request is owned.
func (e *exchange) updateToken() {
	if e.r.key != nil {
		e.r.token, e.r.tableRevision = e.adm.owners.tokenOf(*e.r.key)
	}
}

// ownerChanged waits until this host knows another assignment of the key than the one
// that was rejected, and reports whether it does. A server that does not hold a key would
// reject the request again, as would one of another service that has its address.
func (e *exchange) ownerChanged(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerChangeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if token, _ := e.adm.owners.tokenOf(*e.r.key); token != e.r.token {
			e.disowned = false
			return true
		}
		pause(ctx, ownerChangePoll)
	}
	return false
}

// lastResult returns the result of a request that is not sent again, which is nil
// while an attempt is pending.
func (e *exchange) lastResult(res result) result {
	switch {
	case len(e.pending) > 0:
		return nil
	case e.fallback != nil:
		return e.fallback
	default:
		return res
	}
}

// acquire waits for admission, by the coordinator of the server if it has one. It returns nil
// if ctx is done before that, if a drain begins that excludes the request, or if a pending
// attempt ends.
func (e *exchange) acquire(ctx context.Context) (sluice.Decision, *permit) {
	ctx, unbind := e.drain.bindQueued(ctx, e.r.deadline)
	defer unbind()
	for _, a := range e.pending {
		stop := context.AfterFunc(a.done, unbind)
		defer stop()
	}
	return e.admit(ctx, e.adm, e.r, e.req)
}

// giveBack ends the admission of a request that is not sent.
func (e *exchange) giveBack(s fairway.Endpoint, permit *permit) {
	e.adm.finish(sluice.ServerInstanceOf(s), e.r.route.Name, sluice.OutcomeCanceled, 0, 0)
	permit.release(sluice.OutcomeCanceled, 0)
}

// dispatch starts an attempt at a server, which may be a trial. It returns a result if the
// request may not be sent and no attempt is pending.
func (e *exchange) dispatch(ctx context.Context, s fairway.Endpoint, permit *permit, trial *sluice.Trial) result {
	notSent := func() {
		e.giveBack(s, permit)
		if trial != nil {
			e.crashes.endTrial(*trial, false)
		}
	}
	switch {
	case ctx.Err() != nil:
		notSent()
		return e.lastResult(e.interrupted(ctx, e.r))
	case slices.ContainsFunc(e.pending, (*attempt).isDone):
		notSent()
		return nil
	case e.r.sends > 0 && !e.takeRetry():
		notSent()
		e.nextAt = time.Now().Add(exhaustedRetryAfter)
		return e.lastResult(e.retriesExhausted(e.r, reasonRetryBudget))
	case !e.reserveForward(ctx, e.r):
		notSent()
		return e.lastResult(e.refuseForMemory(e.r))
	}
	e.metrics.requestSent(e.r.service.Name, e.r.sends > 0)
	e.req.Tried = append(e.req.Tried, s.ID)
	e.start(&attempt{exchange: e, server: s, ctx: ctx, permit: permit, trial: trial})
	return nil
}

// takeRetry takes a retry from the budget, or one that an earlier attempt took and
// did not use.
func (e *exchange) takeRetry() bool {
	if e.retries > 0 {
		e.retries--
		return true
	}
	return e.adm.allowRetry()
}

// mayReachMore reports whether a request was refused for servers that this host does
// not reach, so that a peer may do better.
func (e *exchange) mayReachMore(decision sluice.Refuse) bool {
	return decision.Reason == sluice.ReasonSuspected || decision.Reason == sluice.ReasonNoServer && len(e.unreached) > 0
}

// requiredServer returns the owner of the key of a refused request, or nothing if any
// server may answer it.
func (e *exchange) requiredServer(decision sluice.Refuse) fairway.ServerID {
	if e.r.key == nil {
		return ""
	}
	return decision.Server
}

// sentTo returns the servers to which the request was sent.
func (e *exchange) sentTo() []fairway.ServerID {
	return slices.DeleteFunc(slices.Clone(e.req.Tried), func(id fairway.ServerID) bool { return slices.Contains(e.unreached, id) })
}

// startRelay starts an attempt of a peer, if there is one that has answers of a server
// that this host does not reach, or of any server if it is empty. It reports whether
// it did.
func (e *exchange) startRelay(ctx context.Context, server fairway.ServerID) bool {
	if e.relay == nil || ctx.Err() != nil || len(e.r.outgoingRequest.Body) > maxRelayedBodyBytes ||
		slices.ContainsFunc(e.pending, (*attempt).isDone) {
		return false
	}
	var peers []peerAddress
	for _, peer := range e.reach.relayPeers(server) {
		if len(e.peers)+len(peers) < maxOfferedPeers && !slices.Contains(e.peers, peer) {
			peers = append(peers, peer)
		}
	}
	if len(peers) == 0 || e.r.sends > 0 && !e.takeRetry() || !e.reserveForward(ctx, e.r) {
		return false
	}
	e.peers = append(e.peers, peers...)
	e.start(&attempt{exchange: e, ctx: ctx, relay: &relayCall{
		relayClient: e.relay, r: e.r, mayGo: func() bool { return e.suspicion() == sluice.SuspicionNone }, offer: e.relay.relayOffer(e.r, e.req, e.sentTo()), peers: peers, caller: e.caller,
	}})
	return true
}

// startCarried starts an attempt of a carrier of the server that owns the key of the
// request, unless this host is to send it itself. It reports whether it did. A request that
// must not be repeated takes no further host into its way, and one with a body is sent
// directly, so that carriers keep no bodies.
func (e *exchange) startCarried(ctx context.Context) bool {
	if e.carriers == nil || e.relay == nil || e.carried || e.r.key == nil || !e.r.repeatable() || ctx.Err() != nil ||
		len(e.r.outgoingRequest.Body) > 0 || len(e.pending) > 0 {
		return false
	}
	server, ok := e.adm.openOwner(*e.r.key)
	if !ok {
		return false
	}
	peers := slices.DeleteFunc(e.carriers.peersFor(e.r.service.Name, server), func(p peerAddress) bool { return !e.reach.usablePeer(p) })
	if len(peers) == 0 || e.r.sends > 0 && !e.takeRetry() || !e.reserveForward(ctx, e.r) {
		return false
	}
	e.carried = true
	e.updateToken()
	offer := e.relay.relayOffer(e.r, e.req, e.sentTo())
	offer.Carried = true
	e.start(&attempt{exchange: e, ctx: ctx, relay: &relayCall{
		relayClient: e.relay, r: e.r, offer: offer, peers: peers, carried: true, caller: e.caller,
	}})
	return true
}

// start starts an attempt, beside the pending one if there is one.
func (e *exchange) start(a *attempt) {
	a.began, a.retry = time.Now(), e.r.sends > 0
	a.done, a.setDone = context.WithCancel(context.Background())
	e.r.sends++
	if timeout := e.responseTimeout(e.r, e.adm); timeout > 0 && a.trial == nil {
		a.overdueAt = a.began.Add(timeout)
	}
	e.pending = append(e.pending, a)
	e.nextAt = e.pending[0].overdueAt
	e.planSecond()
	go a.run()
}

// recordEnd takes account of an attempt that has ended. One of which no byte was sent
// counts neither as a send nor as a retry, up to maxUnsent.
func (e *exchange) recordEnd(a *attempt) {
	if a.relay != nil {
		e.recordOffers(a.relay)
	}
	notSent := kindOf(a.err) == KindNotSent && !errors.Is(a.err, errConnectionLimit)
	if a.relay != nil && !notSent && a.server.ID != "" {
		e.metrics.requestSent(e.r.service.Name, a.retry)
		e.req.Tried = append(e.req.Tried, a.server.ID)
	}
	if !notSent || e.unsent >= maxUnsent {
		return
	}
	e.unsent++
	e.r.sends--
	if a.retry {
		e.retries++
	}
	switch {
	case errors.Is(a.err, errServerExcluded):
		e.req.Tried = slices.DeleteFunc(e.req.Tried, func(id fairway.ServerID) bool { return id == a.server.ID })
	case a.relay == nil:
		e.unreached = append(e.unreached, a.server.ID)
	}
}

// recordOffers logs and counts the offers of a relay. The peers that had none may get
// one later.
func (e *exchange) recordOffers(c *relayCall) {
	for _, o := range c.offers {
		e.logs.requestRelayed(e.r, o, c.carried)
		e.metrics.requestRelayed(o, c.carried)
	}
	unused := c.peers[len(c.offers):]
	e.peers = slices.DeleteFunc(e.peers, func(p peerAddress) bool { return slices.Contains(unused, p) })
}

// await waits until another attempt is to be made, and returns nil then, or until
// there is a result.
func (e *exchange) await(ctx context.Context) result {
	for len(e.pending) > 0 {
		var next <-chan time.Time
		if len(e.pending) == 1 && !e.nextAt.IsZero() && e.mayRetry(ctx, e.r) {
			timer := time.NewTimer(time.Until(e.nextAt))
			defer timer.Stop()
			next = timer.C
		}
		var second <-chan time.Time
		if len(e.pending) == 1 && !e.secondAt.IsZero() {
			timer := time.NewTimer(time.Until(e.secondAt))
			defer timer.Stop()
			second = timer.C
		}
		select {
		case a := <-e.ended:
			if res := e.handle(ctx, a); res != nil {
				return res
			}
		case <-second:
			e.trySecond(ctx)
		case <-next:
			a := e.pending[0]
			if !a.overdue && !a.overdueAt.IsZero() && time.Now().After(a.overdueAt) {
				a.setOverdue()
			}
			return nil
		}
	}
	return nil
}

// clearWhenWhole returns a response that clears its request of the suspicion that it crashes
// servers once all of it has been passed on.
func (e *exchange) clearWhenWhole(resp backendResponse) backendResponse {
	finish := resp.finish
	resp.finish = func(whole bool) {
		finish(whole)
		if whole {
			e.crashes.answered(e.r)
		}
	}
	return resp
}

// handle evaluates an attempt that has ended. It returns nil if another attempt is
// to be made or is pending.
func (e *exchange) handle(ctx context.Context, a *attempt) result {
	e.pending = slices.DeleteFunc(e.pending, func(p *attempt) bool { return p == a })
	var res result
	var again bool
	e.recordEnd(a)
	e.recordSecondEnd(a)
	if kindOf(a.err) == KindServerEnded {
		e.recordCrash(a)
	}
	if a.err != nil {
		res, again = e.handleFailure(ctx, e.r, a)
	} else {
		e.recordOutcome(e.r, e.adm, a)
		e.disowned = e.r.key != nil && a.resp.status == http.StatusMisdirectedRequest && (a.relay == nil || e.adm.owns(a.server.ID, *e.r.key))
		res, again = e.handleResponse(ctx, e.r, a.resp, a.server)
	}
	resp, answered := res.(backendResponse)
	switch {
	case answered && resp.remaining == nil:
		e.crashes.answered(e.r)
	case answered:
		res = e.clearWhenWhole(resp)
	}
	switch {
	case answered && (resp.status < http.StatusInternalServerError || len(e.pending) == 0):
		e.settleSecond(a)
		return res
	case answered && e.fallback == nil && resp.remaining == nil:
		e.fallback = res
	default:
		a.discard()
	}
	if len(e.pending) == 0 && !again {
		return e.lastResult(res)
	}
	if len(e.pending) > 0 {
		e.nextAt = e.pending[0].overdueAt
		if again && !a.second && !e.pending[0].second {
			e.nextAt = time.Now()
		}
	}
	return nil
}
