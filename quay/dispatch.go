package quay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/roster"
)

const (
	// copyBufferBytes is the size of the buffer for copying a response body.
	copyBufferBytes = 32 << 10
	// maxRecordedResponseBytes bounds the response to a request that must not be
	// repeated, because the whole body is buffered in memory.
	maxRecordedResponseBytes = 8 << 20
	// maxResumes bounds the attempts to resume one truncated response.
	maxResumes = 3
)

// dispatch sends the request to the server of permit and passes on the response.
func (r *routedRequest) dispatch(ctx context.Context, permit *roster.Permit) attemptResult {
	b := r.router.backends.get(permit.Server.ID)
	if b == nil || b.limiter.Share() == 0 {
		return r.forwardToFrontSet(permit)
	}
	if err := b.limiter.Acquire(ctx, time.Now()); err != nil {
		if ctx.Err() != nil && r.ctx.Err() == nil {
			// The table changed or the route lease ended while the request waited
			// for a slot.
			return anotherAttempt
		}
		reason := ReasonOverload
		if r.endReason() == ReasonHostStopping {
			reason = ReasonHostStopping
		}
		r.log(Decision{Step: "refuse", Server: permit.Server.ID, Reason: reason})
		return final(r.failureOutcome(reason, retryAfterOverload))
	}
	a := newAttempt(ctx, permit, b)
	defer func() { a.end() }()
	if r.atMostOnce && r.claim == nil {
		if result := r.openClaim(ctx); result.outcome != nil {
			return result
		}
	}
	r.logDispatch(permit)
	a = r.send(a)
	if a.err != nil {
		a.abandoned = kindOf(a.err) != KindNotRun
		return r.handleSendError(a.ctx, a.permit, a.err)
	}
	a.recordRejection()
	if a.rejected {
		return r.handleRejection(a.permit, a.resp)
	}
	result := r.passResponse(a.ctx, a.permit, a.resp)
	_, whole := result.outcome.(Whole)
	a.abandoned = !whole
	return result
}

func (r *routedRequest) logDispatch(permit *roster.Permit) {
	r.log(Decision{
		Step: "dispatch", Server: permit.Server.ID, Shard: permit.Shard,
		Divided: permit.Divided, Token: permit.Token, Version: permit.Version,
	})
}

// forwardToFrontSet forwards the request to an entry host of the server's front
// set, which has a share of the server's slots.
func (r *routedRequest) forwardToFrontSet(permit *roster.Permit) attemptResult {
	if r.request.Hops >= maxHops {
		return final(r.failureOutcome(ReasonNoEntryHost, retryAfterMove))
	}
	table := r.router.cfg.Gate.View().Table
	for _, id := range table.FrontSet(permit.Server.ID, r.router.cfg.FrontSetSize) {
		host := table.Host(id)
		share := table.ShareOf(id, permit.Server, r.router.cfg.FrontSetSize)
		usable := host != nil && host.State == berth.HostActive && share.Slots > 0
		if usable && id != r.router.cfg.Host && !r.triedHosts[id] {
			permit.End()
			return r.forward(*host)
		}
	}
	return final(r.failureOutcome(ReasonNoEntryHost, retryAfterMove))
}

func (r *routedRequest) options() sendOptions {
	opts := sendOptions{newConn: r.atMostOnce || r.newConn}
	if !r.atMostOnce {
		opts.responseHeaderTimeout = r.service.ResponseHeaderTimeout
	}
	return opts
}

// openClaim claims the idempotency key of a request that must not be repeated.
// A nil outcome means that the request may be sent. Otherwise the outcome is
// that of an earlier request with the key, or the reason why there is no claim.
func (r *routedRequest) openClaim(ctx context.Context) attemptResult {
	result, err := r.router.cfg.Claims.Open(ctx, r.request)
	switch {
	case err != nil:
		r.log(Decision{Step: "refuse", Reason: ReasonStoreUnavailable})
		return final(Refused{Reason: ReasonStoreUnavailable, RetryAfter: retryAfterOutage})
	case result.Claim != nil:
		r.claim = result.Claim
		return anotherAttempt
	case result.Reused:
		return final(Invalid{Status: http.StatusUnprocessableEntity, Reason: ReasonIdempotencyKeyReused})
	case result.Stored != nil:
		return r.replay(result.Stored)
	default:
		return final(Unknown{Reason: ReasonInProgress, RetryAfter: retryAfterOutage})
	}
}

// replay passes on the recorded response to an earlier request.
func (r *routedRequest) replay(stored *StoredResponse) attemptResult {
	header := stored.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderReplayed, "true")
	r.log(Decision{Step: "replay"})
	if err := r.sink.Head(stored.Status, header); err != nil {
		return final(Truncated{})
	}
	if _, err := r.sink.Write(stored.Body); err != nil {
		return final(Truncated{Bytes: r.sink.bytes})
	}
	return final(Whole{Status: stored.Status, Bytes: int64(len(stored.Body))})
}

// handleSendError decides whether to retry after a request to which no response
// was received.
func (r *routedRequest) handleSendError(ctx context.Context, permit *roster.Permit, err error) attemptResult {
	reason := failureReason(err)
	r.log(Decision{Step: "send_failed", Server: permit.Server.ID, Reason: reason})
	r.newConn = true
	if kindOf(err) != KindNotRun {
		r.mayHaveRun = true
		if ctx.Err() != nil && r.ctx.Err() != nil {
			return final(r.failureOutcome(r.endReason(), retryAfterOutage))
		}
		return r.retryOrFail(reason)
	}
	if r.service.Divided && reason == ReasonConnectFailed {
		return final(r.failureOutcome(reason, retryAfterMove))
	}
	r.triedServers[permit.Server.ID] = true
	return r.retryOrFail(reason)
}

func failureReason(err error) Reason {
	var refusal *roster.Error
	switch {
	case errors.As(err, &refusal):
		return Reason(refusal.Kind.String())
	case errors.Is(err, errMismatchedResponse):
		return ReasonMismatchedResponse
	case errors.Is(err, ErrInvalidStatus):
		return ReasonInvalidStatus
	case kindOf(err) == KindNotRun:
		return ReasonConnectFailed
	case isTimeout(err):
		return ReasonServerUnresponsive
	default:
		return ReasonConnectionLost
	}
}

// certifiesNotRun reports whether the server rejected the request and certifies
// that it did not run it.
func certifiesNotRun(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderNotRun) == "true"
}

// rejectionReason returns the reason of a rejection.
func rejectionReason(resp *http.Response) Reason {
	if text := resp.Header.Get(HeaderReason); text != "" {
		return Reason("server_" + text)
	}
	return ReasonServerRejected
}

// handleRejection decides whether to retry a request that the server rejected.
func (r *routedRequest) handleRejection(permit *roster.Permit, resp *response) attemptResult {
	// Another copy of the rejection, late, would pass for the response to the next send of the
	// request on this connection.
	resp.release(false)
	reason := rejectionReason(resp.Response)
	r.log(Decision{Step: "server_refused", Server: permit.Server.ID, Reason: reason})
	if r.service.Divided {
		return r.handleOwnerRejection(reason)
	}
	r.triedServers[permit.Server.ID] = true
	if !r.router.retryBudgets[r.service.ID].Withdraw() {
		return final(r.failureOutcome(reason, retryAfterOverload))
	}
	return anotherAttempt
}

// Reasons with which a backend server rejects a request because it has no
// current grant for the shard. When the shard has just been placed, the grant may
// not have reached the server yet.
const (
	reasonServerNoGrant    Reason = "server_no_grant"
	reasonServerStaleToken Reason = "server_stale_token"
)

// lacksGrant reports whether reason says that the server has no current grant.
func lacksGrant(reason Reason) bool {
	return reason == reasonServerNoGrant || reason == reasonServerStaleToken
}

// handleOwnerRejection waits and retries if the owner may be about to receive the
// grant for a shard that has just been placed. Any other rejection by the owner
// is final, because no other server may run the request.
func (r *routedRequest) handleOwnerRejection(reason Reason) attemptResult {
	if !lacksGrant(reason) {
		return final(r.failureOutcome(reason, retryAfterOverload))
	}
	const grantWait = 25 * time.Millisecond
	if r.waited >= maxMoveWait {
		return final(r.failureOutcome(reason, retryAfterMove))
	}
	r.waited += grantWait
	r.attempt--
	timer := time.NewTimer(grantWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
	return anotherAttempt
}

// passResponse passes a response to the caller. If the response breaks off, it is
// resumed on another server if the service allows that; otherwise it ends
// visibly truncated.
func (r *routedRequest) passResponse(ctx context.Context, permit *roster.Permit, resp *response) attemptResult {
	r.mayHaveRun = true
	header := EndToEnd(resp.Header)
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if r.atMostOnce {
		return r.recordAndPass(ctx, resp, header)
	}
	if err := r.sink.Head(resp.StatusCode, header); err != nil {
		resp.release(false)
		return final(Truncated{})
	}
	err := r.copyBody(ctx, resp)
	resp.release(err == nil)
	for range maxResumes {
		if err == nil || !r.canResume(resp) {
			break
		}
		err = r.resume(permit, resp)
	}
	if err != nil {
		r.log(Decision{Step: "answer_cut", Server: permit.Server.ID, Reason: ReasonConnectionLost})
		return final(Truncated{Bytes: r.sink.bytes})
	}
	return final(Whole{Status: resp.StatusCode, Bytes: r.sink.bytes})
}

// recordAndPass handles the response to a request that must not be repeated. It
// reads the whole body before it passes on any of it, so that the response can
// be recorded with the claim.
func (r *routedRequest) recordAndPass(ctx context.Context, resp *response, header http.Header) attemptResult {
	reader := &progressReader{ctx: ctx, conn: resp.conn, body: resp.Body, limit: r.service.ProgressTimeout}
	body, err := io.ReadAll(io.LimitReader(reader, maxRecordedResponseBytes+1))
	whole := err == nil && len(body) <= maxRecordedResponseBytes
	resp.release(whole)
	if err != nil {
		return final(r.failureOutcome(ReasonConnectionLost, retryAfterOutage))
	}
	if !whole {
		return final(r.failureOutcome(ReasonResponseTooLarge, 0))
	}
	r.recorded = &recordedResponse{status: resp.StatusCode, header: header, body: body}
	if err := r.sink.Head(resp.StatusCode, header); err != nil {
		return final(Whole{Status: resp.StatusCode})
	}
	n, _ := r.sink.Write(body)
	return final(Whole{Status: resp.StatusCode, Bytes: int64(n)})
}

var errCallerLeft = errors.New("caller stopped reading")

// copyBody copies the body of resp to the caller.
func (r *routedRequest) copyBody(ctx context.Context, resp *response) error {
	stop := context.AfterFunc(ctx, resp.conn.interrupt)
	defer stop()
	reader := &progressReader{ctx: ctx, conn: resp.conn, body: resp.Body, limit: r.service.ProgressTimeout}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if _, writeErr := r.sink.Write(buffer[:n]); writeErr != nil {
				return errCallerLeft
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// canResume reports whether the rest of resp can be requested from another
// server. For that, a strong entity tag must identify the content.
func (r *routedRequest) canResume(resp *response) bool {
	etag := resp.Header.Get("Etag")
	strong := etag != "" && !strings.HasPrefix(etag, "W/")
	return r.service.Resumable && !r.service.Divided && strong &&
		r.request.Method == http.MethodGet && resp.StatusCode == http.StatusOK &&
		r.request.Header.Get("Range") == "" && r.ctx.Err() == nil
}

var errNotResumed = errors.New("no other server returned the rest of the response")

// resume requests the rest of a truncated response from another server and copies
// it to the caller.
func (r *routedRequest) resume(permit *roster.Permit, truncated *response) error {
	r.triedServers[permit.Server.ID] = true
	candidates := r.router.backends.available(r.service.ID, r.triedServers)
	if len(candidates) == 0 || !r.router.retryBudgets[r.service.ID].Withdraw() {
		return errNotResumed
	}
	b := pickLessLoaded(candidates)
	ctx, newPermit, err := r.router.cfg.Gate.AdmitTo(r.ctx, r.service.ID, b.id)
	if err != nil {
		return err
	}
	defer newPermit.End()
	if err := b.limiter.Acquire(ctx, time.Now()); err != nil {
		return err
	}
	start := time.Now()
	whole := false
	defer func() {
		if whole {
			b.limiter.Release(time.Since(start), false)
			return
		}
		b.limiter.ReleaseAbandoned(time.Since(start))
	}()
	r.triedServers[b.id] = true
	r.log(Decision{Step: "resume", Server: b.id, Version: newPermit.Version})
	etag := truncated.Header.Get("Etag")
	resp, err := b.send(ctx, newPermit, r.request, sendOptions{newConn: true, offset: r.sink.bytes, etag: etag})
	if err != nil {
		return err
	}
	if !continues(resp.Response, etag, r.sink.bytes) {
		resp.release(false)
		return errNotResumed
	}
	err = r.copyBody(ctx, resp)
	whole = err == nil
	resp.release(whole)
	return err
}

// continues reports whether resp holds the rest, from offset on, of the content
// with the given entity tag.
func continues(resp *http.Response, etag string, offset int64) bool {
	start := "bytes " + strconv.FormatInt(offset, 10) + "-"
	return resp.StatusCode == http.StatusPartialContent &&
		resp.Header.Get("Etag") == etag &&
		strings.HasPrefix(resp.Header.Get("Content-Range"), start)
}
