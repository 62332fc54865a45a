package main

import (
	"fmt"
	"slices"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

const (
	// gracePeriod is the time from SIGTERM until a host must have exited, as in the
	// settings of the hosts. Work in its last part may be cut for requests that
	// were sent no later than earlyRequest after SIGTERM.
	gracePeriod = 6 * time.Second
	lastPart    = gracePeriod / 6
	// stopWindow is how long after its SIGTERM a host counts as stopping.
	stopWindow   = gracePeriod + time.Second
	earlyRequest = 3 * time.Second
	// lossSlack is how long after it was sent a request may still cross the close
	// of its connection.
	lossSlack = 200 * time.Millisecond
	// contactTime is how long after a fault that is not planned a lost request is
	// no violation.
	contactTime = 3 * time.Second
)

// failedRequest is a request that got no complete response from a backend server.
type failedRequest struct {
	id      string
	host    *host
	process int
	// sentAt is before the first byte was sent, writtenAt after the last one.
	sentAt    time.Time
	writtenAt time.Time
	endedAt   time.Time
	// timeLeft is the time that the request had.
	timeLeft time.Duration
	// status is the host's own; 0 means that the connection ended without a complete
	// response.
	status int
}

func (r failedRequest) String() string {
	term := "no SIGTERM"
	if at := r.host.terminatedAt(r.process); !at.IsZero() {
		term = fmt.Sprintf("sent %.3f s after SIGTERM", r.sentAt.Sub(at).Seconds())
	}
	return fmt.Sprintf("%s: host %d process %d, %s, status %d after %.3f s of %v", r.id, r.host.n, r.process, term, r.status, r.endedAt.Sub(r.sentAt).Seconds(), r.timeLeft)
}

// cutAtEnd reports whether the request was sent early enough after the SIGTERM of
// its host, and ended late enough with a server at work, for the host to cut it.
func (r failedRequest) cutAtEnd(executions []platformtest.Execution) bool {
	at := r.host.terminatedAt(r.process)
	if at.IsZero() || r.sentAt.Sub(at) > earlyRequest || r.endedAt.Sub(at) < gracePeriod-lastPart {
		return false
	}
	return slices.ContainsFunc(executions, func(e platformtest.Execution) bool {
		return e.EndedAt.IsZero() || e.EndedAt.Sub(at) >= gracePeriod-lastPart
	})
}

// interrupted reports whether the host ended the request after the SIGTERM while
// its server was at work. An attempt that was given up before does not count.
func (r failedRequest) interrupted(e platformtest.Execution) bool {
	at := r.host.terminatedAt(r.process)
	if at.IsZero() || r.endedAt.Before(at) || r.endedAt.Sub(at) > stopWindow {
		return false
	}
	switch e.End {
	case platformtest.EndNone:
		return true
	case platformtest.EndAbandoned:
		return e.EndedAt.After(at)
	case platformtest.EndCompleted:
		return e.EndedAt.After(r.endedAt)
	default:
		return false
	}
}

// findLoss returns what was lost of a request, given its executions in the order of
// their start, or an empty string if the host may have ended it like that.
func (r failedRequest) findLoss(executions []platformtest.Execution) string {
	if r.endedAt.Sub(r.sentAt) >= r.timeLeft || r.cutAtEnd(executions) {
		return ""
	}
	if r.status != 0 {
		if i := slices.IndexFunc(executions, r.interrupted); i >= 0 {
			return "the host responded itself while " + executions[i].Server + " was at work"
		}
		return ""
	}
	if len(executions) == 0 {
		if r.endedAt.Sub(r.writtenAt) > lossSlack {
			return "the connection ended without a response"
		}
		return ""
	}
	if last := executions[len(executions)-1]; last.End != platformtest.EndFailed {
		return "the connection ended after " + last.Server + " had begun to work"
	}
	return ""
}

// checkLosses checks that no request was lost while only planned things happened.
func (tb *testbed) checkLosses(executions map[string][]platformtest.Execution) {
	for _, r := range tb.checker.failedRequests() {
		if !tb.onlyPlanned(interval{from: r.sentAt.Add(-contactTime), to: r.endedAt}) {
			continue
		}
		ran := executions[r.id]
		slices.SortFunc(ran, func(a, b platformtest.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
		if loss := r.findLoss(ran); loss != "" {
			tb.checker.recordViolation("lost at %.3f s: %s: %s", r.endedAt.Sub(tb.checker.start).Seconds(), r, loss)
		} else if len(ran) > 0 {
			tb.checker.log("not counted: %s", r)
		}
	}
}

// checkExits checks that no process ended otherwise than it was told while only
// planned things happened.
func (tb *testbed) checkExits() {
	for _, h := range tb.hosts {
		for _, p := range h.ended() {
			if fault := p.findFault(); fault != "" && tb.onlyPlanned(interval{from: p.exitedAt.Add(-gracePeriod - contactTime), to: p.exitedAt}) {
				tb.checker.recordViolation("host %d process %d %s", h.n, p.n, fault)
			}
		}
	}
}
