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
	// copyBufferBytes is the size of the parts in which a body is passed on.
	copyBufferBytes = 32 << 10
	// maxRecordedAnswer bounds the answer to a request that must not be
	// repeated, in bytes, because it is held in memory as a whole.
	maxRecordedAnswer = 8 << 20
	// maxResumes bounds the continuations of one broken answer.
	maxResumes = 3
)

// dispatch sends the request to the server of permit.
func (j *journey) dispatch(ctx context.Context, permit *roster.Permit) step {
	b := j.router.backends.get(permit.Server.ID)
	if b == nil || b.limiter.Share() == 0 {
		return j.forwardToFront(permit)
	}
	if err := b.limiter.Acquire(ctx, time.Now()); err != nil {
		if ctx.Err() != nil && j.ctx.Err() == nil {
			// The table changed while the request waited for a slot.
			return next
		}
		j.log(Decision{Step: "refuse", Server: permit.Server.ID, Reason: ReasonOverload})
		return final(j.giveUp(ReasonOverload, retryAfterOverload))
	}
	began := time.Now()
	shed := false
	abandoned := false
	defer func() {
		if abandoned {
			b.limiter.ReleaseAbandoned(time.Since(began))
			return
		}
		b.limiter.Release(time.Since(began), shed)
	}()
	if j.once && j.claim == nil {
		if s := j.openClaim(ctx); s.outcome != nil {
			return s
		}
	}
	j.log(Decision{
		Step: "dispatch", Server: permit.Server.ID, Shard: permit.Shard,
		Divided: permit.Divided, Token: permit.Token, Version: permit.Version,
	})
	a, err := b.send(ctx, permit, j.request, j.options())
	if err != nil {
		abandoned = kindOf(err) != KindNotRun
		return j.sendFailed(ctx, permit, err)
	}
	shed = isNotRun(a.Response)
	if shed {
		return j.serverRefused(permit, a)
	}
	s := j.passAnswer(ctx, permit, a)
	_, whole := s.outcome.(Whole)
	abandoned = !whole
	return s
}

// forwardToFront hands the request to a host that has a share of the server's
// limits.
func (j *journey) forwardToFront(permit *roster.Permit) step {
	if j.request.Hops >= maxHops {
		return final(j.giveUp(ReasonNoEntryHost, retryAfterMove))
	}
	table := j.router.cfg.Gate.View().Table
	for _, id := range table.FrontSet(permit.Server.ID, j.router.cfg.FrontSetSize) {
		host := table.Host(id)
		share := table.ShareOf(id, permit.Server, j.router.cfg.FrontSetSize)
		usable := host != nil && host.State == berth.HostActive && share.Slots > 0
		if usable && id != j.router.cfg.Host && !j.peers[id] {
			permit.End()
			return j.forward(*host)
		}
	}
	return final(j.giveUp(ReasonNoEntryHost, retryAfterMove))
}

func (j *journey) options() sendOptions {
	opts := sendOptions{fresh: j.once || j.fresh}
	if !j.once {
		opts.silentAfter = j.service.ResponseHeaderTimeout
	}
	return opts
}

// openClaim obtains the right to send a request that must not be repeated.
func (j *journey) openClaim(ctx context.Context) step {
	result, err := j.router.cfg.Claims.Open(ctx, j.request)
	switch {
	case err != nil:
		j.log(Decision{Step: "refuse", Reason: ReasonStoreUnavailable})
		return final(Refused{Reason: ReasonStoreUnavailable, RetryAfter: retryAfterOutage})
	case result.Claim != nil:
		j.claim = result.Claim
		return next
	case result.Reused:
		return final(Invalid{Status: http.StatusUnprocessableEntity, Reason: ReasonIdempotencyKeyReused})
	case result.Stored != nil:
		return j.replay(result.Stored)
	default:
		return final(Unknown{Reason: ReasonInProgress, RetryAfter: retryAfterOutage})
	}
}

// replay passes on the recorded answer of an earlier request.
func (j *journey) replay(stored *StoredResponse) step {
	header := stored.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(HeaderReplayed, "true")
	j.log(Decision{Step: "replay"})
	if err := j.sink.Head(stored.Status, header); err != nil {
		return final(Truncated{})
	}
	if _, err := j.sink.Write(stored.Body); err != nil {
		return final(Truncated{Bytes: j.sink.bytes})
	}
	return final(Whole{Status: stored.Status, Bytes: int64(len(stored.Body))})
}

// sendFailed decides how to go on after an exchange without an answer.
func (j *journey) sendFailed(ctx context.Context, permit *roster.Permit, err error) step {
	reason := failureReason(err)
	j.log(Decision{Step: "send_failed", Server: permit.Server.ID, Reason: reason})
	j.fresh = true
	if kindOf(err) != KindNotRun {
		j.sent = true
		if ctx.Err() != nil && j.ctx.Err() != nil {
			return final(j.giveUp(ReasonDeadline, retryAfterOutage))
		}
		return j.retryOr(reason)
	}
	if j.service.Divided && reason == ReasonConnectFailed {
		return final(j.giveUp(reason, retryAfterMove))
	}
	j.tried[permit.Server.ID] = true
	return j.retryOr(reason)
}

func failureReason(err error) Reason {
	var refusal *roster.Error
	switch {
	case errors.As(err, &refusal):
		return Reason(refusal.Kind.String())
	case errors.Is(err, errForeignAnswer):
		return ReasonMismatchedResponse
	case kindOf(err) == KindNotRun:
		return ReasonConnectFailed
	case isTimeout(err):
		return ReasonServerUnresponsive
	default:
		return ReasonConnectionLost
	}
}

// isNotRun reports whether the server certifies that it did not run the
// request.
func isNotRun(w *http.Response) bool {
	return w.StatusCode >= http.StatusBadRequest && w.Header.Get(HeaderNotRun) == "true"
}

// serverRefused goes on after a refusal by the server.
func (j *journey) serverRefused(permit *roster.Permit, a *answer) step {
	_, err := io.Copy(io.Discard, io.LimitReader(a.Body, copyBufferBytes))
	a.finish(err == nil)
	reason := ReasonServerRefused
	if text := a.Header.Get(HeaderReason); text != "" {
		reason = Reason("server_" + text)
	}
	j.log(Decision{Step: "server_refused", Server: permit.Server.ID, Reason: reason})
	if j.service.Divided {
		return j.ownerRefused(reason)
	}
	j.tried[permit.Server.ID] = true
	if !j.router.budgets[j.service.ID].Withdraw() {
		return final(j.giveUp(reason, retryAfterOverload))
	}
	return next
}

// Reasons with which a backend server refuses a request for want of a grant.
// The grant is on its way when a shard has just been placed.
const (
	serverNoGrant    Reason = "server_no_grant"
	serverStaleToken Reason = "server_stale_token"
)

// ownerRefused waits for the grant of a shard that has just been placed; any
// other refusal by the one owner is final.
func (j *journey) ownerRefused(reason Reason) step {
	if reason != serverNoGrant && reason != serverStaleToken {
		return final(j.giveUp(reason, retryAfterOverload))
	}
	const grantWait = 25 * time.Millisecond
	if j.waited >= moveWait {
		return final(j.giveUp(reason, retryAfterMove))
	}
	j.waited += grantWait
	j.attempt--
	timer := time.NewTimer(grantWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.ctx.Done():
	}
	return next
}

// passAnswer passes an answer to the caller. An answer that breaks off before
// its end is continued if the service allows it, and cut visibly otherwise.
func (j *journey) passAnswer(ctx context.Context, permit *roster.Permit, a *answer) step {
	j.sent = true
	header := EndToEnd(a.Header)
	if a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	if j.once {
		return j.passRecorded(ctx, a, header)
	}
	if err := j.sink.Head(a.StatusCode, header); err != nil {
		a.finish(false)
		return final(Truncated{})
	}
	err := j.copyBody(ctx, a)
	a.finish(err == nil)
	for range maxResumes {
		if err == nil || !j.canResume(a) {
			break
		}
		err = j.resume(permit, a)
	}
	if err != nil {
		j.log(Decision{Step: "answer_cut", Server: permit.Server.ID, Reason: ReasonConnectionLost})
		return final(Truncated{Bytes: j.sink.bytes})
	}
	return final(Whole{Status: a.StatusCode, Bytes: j.sink.bytes})
}

// passRecorded reads the whole answer of a request that must not be repeated
// before any of it is passed on, so that it can be recorded with the claim.
func (j *journey) passRecorded(ctx context.Context, a *answer, header http.Header) step {
	reader := &progressReader{ctx: ctx, conn: a.conn, body: a.Body, limit: j.service.ProgressTimeout}
	body, err := io.ReadAll(io.LimitReader(reader, maxRecordedAnswer+1))
	whole := err == nil && len(body) <= maxRecordedAnswer
	a.finish(whole)
	if err != nil {
		return final(j.giveUp(ReasonConnectionLost, retryAfterOutage))
	}
	if !whole {
		return final(j.giveUp(ReasonAnswerTooLarge, 0))
	}
	j.answered = &recordedAnswer{status: a.StatusCode, header: header, body: body}
	if err := j.sink.Head(a.StatusCode, header); err != nil {
		return final(Whole{Status: a.StatusCode})
	}
	n, _ := j.sink.Write(body)
	return final(Whole{Status: a.StatusCode, Bytes: int64(n)})
}

var errCallerGone = errors.New("caller stopped reading")

// copyBody passes on the body of a part by part.
func (j *journey) copyBody(ctx context.Context, a *answer) error {
	stop := context.AfterFunc(ctx, a.conn.interrupt)
	defer stop()
	reader := &progressReader{ctx: ctx, conn: a.conn, body: a.Body, limit: j.service.ProgressTimeout}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if _, writeErr := j.sink.Write(buffer[:n]); writeErr != nil {
				return errCallerGone
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

// canResume reports whether the rest of a can be had from another server: the
// content must be identified by a strong entity tag.
func (j *journey) canResume(a *answer) bool {
	etag := a.Header.Get("Etag")
	strong := etag != "" && !strings.HasPrefix(etag, "W/")
	return j.service.Resumable && !j.service.Divided && strong &&
		j.request.Method == http.MethodGet && a.StatusCode == http.StatusOK &&
		j.request.Header.Get("Range") == "" && j.ctx.Err() == nil
}

var errNotResumed = errors.New("no server continued the answer")

// resume continues a broken answer on another server.
func (j *journey) resume(permit *roster.Permit, broken *answer) error {
	j.tried[permit.Server.ID] = true
	candidates := j.router.backends.live(j.service.ID, j.tried)
	if len(candidates) == 0 || !j.router.budgets[j.service.ID].Withdraw() {
		return errNotResumed
	}
	b := pickTwo(candidates)
	ctx, another, err := j.router.cfg.Gate.AdmitTo(j.ctx, j.service.ID, b.id)
	if err != nil {
		return err
	}
	defer another.End()
	if err := b.limiter.Acquire(ctx, time.Now()); err != nil {
		return err
	}
	began := time.Now()
	whole := false
	defer func() {
		if whole {
			b.limiter.Release(time.Since(began), false)
			return
		}
		b.limiter.ReleaseAbandoned(time.Since(began))
	}()
	j.tried[b.id] = true
	j.log(Decision{Step: "resume", Server: b.id, Version: another.Version})
	etag := broken.Header.Get("Etag")
	a, err := b.send(ctx, another, j.request, sendOptions{fresh: true, offset: j.sink.bytes, etag: etag})
	if err != nil {
		return err
	}
	if !continues(a.Response, etag, j.sink.bytes) {
		a.finish(false)
		return errNotResumed
	}
	err = j.copyBody(ctx, a)
	whole = err == nil
	a.finish(whole)
	return err
}

// continues reports whether w is the rest of the content with the given tag
// from offset on.
func continues(w *http.Response, etag string, offset int64) bool {
	start := "bytes " + strconv.FormatInt(offset, 10) + "-"
	return w.StatusCode == http.StatusPartialContent &&
		w.Header.Get("Etag") == etag &&
		strings.HasPrefix(w.Header.Get("Content-Range"), start)
}
