package jetty

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// grantSessions has the connections over which this host sends grants, one to each
// server. A connection leads to one process, so a later incarnation of a server never
// receives a grant in the session of an earlier one.
type grantSessions struct {
	upstream *upstream

	mu       sync.Mutex
	sessions map[serverAddress]*grantSession
	last     mooring.SessionID
}

// serverAddress is what an order names a server by.
type serverAddress struct {
	server  fairway.ServerID
	address string
}

// grantSession is the connection for the grants to one server.
type grantSession struct {
	// inUse holds a value while a grant is in progress, which guards the fields
	// below.
	inUse chan struct{}
	id    mooring.SessionID
	// conn is nil before the first grant and after a failed one.
	conn *connection
	pool *pool
}

func newGrantSessions(u *upstream) *grantSessions {
	return &grantSessions{upstream: u, sessions: make(map[serverAddress]*grantSession)}
}

// acquire returns the open session with a server for one grant. It begins a new
// session if the former one has ended and mayBegin allows it. The caller has to call
// release.
func (g *grantSessions) acquire(ctx context.Context, to mooring.ServerInstance, mayBegin func() bool) (*grantSession, error) {
	s := g.session(to)
	select {
	case s.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Op: "wait for connection", Kind: KindNotSent, Err: errConnectionLimit}
	}
	if s.conn != nil && !s.usable(time.Now()) {
		g.end(s)
	}
	if s.conn != nil {
		return s, nil
	}
	if !mayBegin() {
		<-s.inUse
		return nil, &Error{Op: "open connection", Kind: KindNotSent, Err: errLeaseExpired}
	}
	endpoint := fairway.Endpoint{ID: to.Server, Address: to.Address, Incarnation: to.Incarnation}
	c, p, err := g.upstream.get(ctx, endpoint, getOptions{maxIdleFraction: orderIdleFraction})
	if err != nil {
		<-s.inUse
		return nil, err
	}
	g.mu.Lock()
	g.last++
	s.id, s.conn, s.pool = g.last, c, p
	g.mu.Unlock()
	return s, nil
}

func (g *grantSessions) session(to mooring.ServerInstance) *grantSession {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := serverAddress{server: to.Server, address: to.Address}
	s := g.sessions[key]
	if s == nil {
		s = &grantSession{inUse: make(chan struct{}, 1)}
		g.sessions[key] = s
	}
	return s
}

// release ends the use of a session. If keep is false, the session ends as well.
func (g *grantSessions) release(s *grantSession, keep bool) {
	if keep && !s.conn.broken {
		_ = s.conn.SetDeadline(time.Time{})
		s.conn.idleSince = time.Now()
	} else {
		g.end(s)
	}
	<-s.inUse
}

func (g *grantSessions) end(s *grantSession) {
	g.upstream.discard(s.pool, s.conn)
	s.conn, s.pool = nil, nil
}

// usable reports whether the connection is still open and was used recently.
func (s *grantSession) usable(now time.Time) bool {
	idleLimit := time.Duration(orderIdleFraction * float64(s.conn.idleTimeout))
	return (s.conn.idleSince.IsZero() || now.Sub(s.conn.idleSince) < idleLimit) && s.conn.reusable()
}

// closeIdle ends the sessions that are not in use and not usable any more.
func (g *grantSessions) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for key, s := range g.sessions {
		select {
		case s.inUse <- struct{}{}:
		default:
			continue
		}
		if s.conn != nil && !s.usable(now) {
			g.end(s)
		}
		if s.conn == nil {
			delete(g.sessions, key)
		}
		<-s.inUse
	}
}
