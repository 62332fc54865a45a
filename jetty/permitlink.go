package jetty

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/signal"
)

const (
	// coordinatorExclusion is how long a coordinator is left alone that has not answered or
	// refuses to coordinate.
	coordinatorExclusion = time.Second
	// permitReleaseDelay is the time for which ended permits are gathered, and permitReleaseTimeout bounds
	// the call that tells them.
	permitReleaseDelay   = 4 * time.Millisecond
	permitReleaseTimeout = 200 * time.Millisecond
	// maxPiggybacked bounds the ended permits that a request for a permit tells.
	maxPiggybacked = 32
	// maxUnreleased bounds the ended permits that are kept for a coordinator that does not
	// answer. Those that are dropped expire.
	maxUnreleased = 2048
)

// permitLink is the way to one coordinator.
type permitLink struct {
	peer    peerAddress
	client  signal.PermitsClient
	session uint64

	mu sync.Mutex
	// released are the permits whose end the coordinator has not been told.
	released []*signal.ReleasedPermit
	// telling is set while a call tells some.
	telling bool
	// excludedUntil is until when the coordinator is left alone.
	excludedUntil time.Time
}

// usable reports whether the coordinator has not failed a moment ago.
func (l *permitLink) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.excludedUntil)
}

// fail records that the coordinator has not answered, or refuses to coordinate.
func (l *permitLink) fail(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excludedUntil = now.Add(coordinatorExclusion)
}

// add adds ended permits to those that the coordinator is to be told.
func (l *permitLink) add(released ...*signal.ReleasedPermit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = append(l.released, released...)
	if excess := len(l.released) - maxUnreleased; excess > 0 {
		l.released = slices.Delete(l.released, 0, excess)
	}
}

// take returns up to n of the ended permits, which the caller tells.
func (l *permitLink) take(n int) []*signal.ReleasedPermit {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.released[:min(n, len(l.released))]
	l.released = l.released[len(taken):]
	return taken
}

// begin reports whether ended permits are to be told now.
func (l *permitLink) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.telling || len(l.released) == 0 || !now.After(l.excludedUntil) {
		return false
	}
	l.telling = true
	return true
}

// pending reports whether there are ended permits that no call tells.
func (l *permitLink) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.telling && len(l.released) > 0
}

// isIdle reports whether there is nothing to tell, or the coordinator does not answer.
func (l *permitLink) isIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.telling && (len(l.released) == 0 || !now.After(l.excludedUntil))
}

// run tells the coordinator which permits have ended. A call that fails is repeated later,
// unless the coordinator knows no permits.
func (l *permitLink) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, permitReleaseTimeout)
	defer cancel()
	released := l.take(maxUnreleased)
	_, err := l.client.Release(ctx, &signal.PermitReleases{Session: l.session, Released: released})
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		l.add(released...)
		l.fail(time.Now())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.telling = false
}
