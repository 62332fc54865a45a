package jetty

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

const (
	// endCheckTimeout bounds a check whether a server has ended.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckMemory is how long the result of a check is used for other requests that
	// were at the same server.
	endCheckMemory = 300 * time.Millisecond
)

// endChecks tells servers that have ended from those that have only closed connections,
// as servers do that are full: an ended one refuses new connections. A path that is cut may
// refuse them as well.
type endChecks struct {
	upstream *upstream

	mu     sync.Mutex
	checks map[sluice.ServerInstance]*endCheck
}

// endCheck is one check of a server. The result is set before done is closed.
type endCheck struct {
	began time.Time
	ended bool
	done  chan struct{}
}

func newEndChecks(u *upstream) *endChecks {
	return &endChecks{upstream: u, checks: make(map[sluice.ServerInstance]*endCheck)}
}

// ended reports whether a server has ended that closed a connection with a request.
func (c *endChecks) ended(s fairway.Endpoint, config *fairway.Config) bool {
	instance := sluice.ServerInstanceOf(s)
	c.mu.Lock()
	check := c.checks[instance]
	if check != nil && time.Since(check.began) < endCheckMemory {
		c.mu.Unlock()
		<-check.done
		return check.ended
	}
	check = &endCheck{began: time.Now(), done: make(chan struct{})}
	for other, former := range c.checks {
		if time.Since(former.began) > endCheckMemory {
			delete(c.checks, other)
		}
	}
	c.checks[instance] = check
	c.mu.Unlock()
	defer close(check.done)
	// The request may be over meanwhile, and other requests wait for the result.
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	check.ended = errors.Is(c.upstream.connect(ctx, s, config), syscall.ECONNREFUSED)
	return check.ended
}
