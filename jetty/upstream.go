package jetty

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
)

const (
	// connectionFraction is the part of a server's connection limit that the
	// hosts use together, since a server may accept fewer connections while its
	// queue is long.
	connectionFraction = 0.7
	// requestConnections is the minimum number of connections to a server for
	// requests. It equals the smallest window that a host has at a server. With
	// more, many hosts together would exceed what a server accepts.
	requestConnections = 2
)

var errConnectionLimit = errors.New("all connections that this host may open to the server are in use")

// upstream has the connection pools of all backend servers.
type upstream struct {
	mu    sync.Mutex
	pools map[fairway.ServerID]*pool
	hosts int
	// sharing, if set, returns how many of the hosts send to the servers of a service.
	sharing func(service fairway.ServiceName, hosts int) int
	// keepTimes has how long servers keep unused connections, by service.
	keepTimes map[fairway.ServiceName]time.Duration
	// minConnections is the lower bound of a pool's limit.
	minConnections int
	dial           DialFunc
	reach          reachability
	// opened counts the connections opened since the last call of count.
	opened map[opening]int64
}

// pool has the connections to one incarnation of a backend server.
type pool struct {
	service     fairway.ServiceName
	address     string
	incarnation fairway.Incarnation
	// lost is why the last connection that could have been kept is gone, or empty.
	lost  openReason
	idle  []*connection
	open  int
	limit int
	// closed pools keep no idle connections.
	closed bool
}

// newUpstream returns an upstream without connections. If dial is nil, connections
// are plain TCP connections.
func newUpstream(minConnections int, dial DialFunc) *upstream {
	if dial == nil {
		dial = dialTCP
	}
	return &upstream{
		pools: make(map[fairway.ServerID]*pool), hosts: 1, minConnections: minConnections, dial: dial, reach: alwaysReaching{},
		opened: make(map[opening]int64), keepTimes: make(map[fairway.ServiceName]time.Duration),
	}
}

// update closes the pools of servers that are no longer in catalog or have
// restarted, and sets the limits of the others.
func (u *upstream) update(catalog *fairway.Catalog, config *fairway.Config, hosts int) {
	var dropped []*connection
	u.mu.Lock()
	u.hosts = max(hosts, 1)
	for id, p := range u.pools {
		s, ok := catalog.Get(id)
		if !ok || s.Address != p.address || s.Incarnation != p.incarnation {
			dropped = append(dropped, p.idle...)
			p.idle, p.closed = nil, true
			delete(u.pools, id)
			continue
		}
		p.limit = u.connectionLimit(s, config)
	}
	u.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

// connectionLimit returns this host's share of a server's connection limit, but
// at least minConnections.
func (u *upstream) connectionLimit(s fairway.Endpoint, config *fairway.Config) int {
	limit := u.minConnections
	if config != nil {
		if service := config.Services[s.Service]; service != nil && service.MaxConnections > 0 {
			hosts := u.hosts
			if u.sharing != nil {
				hosts = u.sharing(s.Service, hosts)
			}
			limit = int(connectionFraction * float64(service.MaxConnections) / float64(hosts))
		}
	}
	return max(limit, u.minConnections)
}

// poolOf returns the pool of a server, which replaces that of an earlier incarnation,
// and the idle connections of the replaced one. The caller holds mu.
func (u *upstream) poolOf(s fairway.Endpoint, config *fairway.Config) (*pool, []*connection) {
	var stale []*connection
	p := u.pools[s.ID]
	if p == nil || p.address != s.Address || p.incarnation != s.Incarnation {
		if p != nil {
			stale, p.idle, p.closed = p.idle, nil, true
		}
		p = &pool{service: s.Service, address: s.Address, incarnation: s.Incarnation, limit: u.connectionLimit(s, config)}
		u.pools[s.ID] = p
	}
	return p, stale
}

// openReason returns why a connection has to be opened. The caller holds the mutex of the
// upstream.
func (p *pool) openReason() openReason {
	switch {
	case p.open > 0:
		return openBusy
	case p.lost != "":
		return p.lost
	default:
		return openFirst
	}
}

// getOptions restricts which connection get returns.
type getOptions struct {
	config *fairway.Config
	// maxIdleFraction is the part of its idle timeout for which a kept
	// connection may have been unused. Zero asks for a new connection.
	maxIdleFraction float64
	// requestID is the id of the request that is to be sent. A connection is not used if
	// it has carried that request.
	requestID string
}

// get returns a connection to a server: an idle one if possible, else a new one
// if the pool's limit allows it.
func (u *upstream) get(ctx context.Context, s fairway.Endpoint, opts getOptions) (*connection, *pool, error) {
	u.mu.Lock()
	p, stale := u.poolOf(s, opts.config)
	var found *connection
	now := time.Now()
	for i := len(p.idle) - 1; found == nil && i >= 0; i-- {
		c := p.idle[i]
		switch {
		case now.Sub(c.idleSince) >= time.Duration(opts.maxIdleFraction*float64(c.idleTimeout)):
			p.lost = openIdle
		case !c.reusable():
			p.lost = openClosed
		case c.mayConfuse(opts.requestID):
			continue
		default:
			found = c
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if found == nil {
			stale = append(stale, c)
			p.open--
		}
	}
	if found == nil && p.open >= p.limit && len(p.idle) > 0 {
		// All that are idle have carried the request.
		stale = append(stale, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
		p.lost = openDropped
	}
	full := found == nil && p.open >= p.limit
	if found == nil && !full {
		u.opened[opening{service: p.service, reason: p.openReason()}]++
		p.open++
	}
	u.mu.Unlock()
	for _, c := range stale {
		_ = c.Close()
	}
	if full {
		return nil, nil, &Error{Op: "connect", Kind: KindNotSent, Err: errConnectionLimit}
	}
	if found != nil {
		return found, p, nil
	}
	c, err := dial(ctx, u.dial, s.Address)
	u.reach.recordConnect(s.ID, err)
	if err != nil {
		if isHang(ctx, err) {
			u.dropIdle(s.ID)
		}
		u.decrementOpen(p)
		return nil, nil, err
	}
	return c, p, nil
}

// connect opens a connection to a server, unless the pool's limit is reached. It is kept
// if the pool has none that is idle.
func (u *upstream) connect(ctx context.Context, s fairway.Endpoint, config *fairway.Config) error {
	u.mu.Lock()
	p, stale := u.poolOf(s, config)
	full := p.open >= p.limit
	if !full {
		p.open++
		u.opened[opening{service: p.service, reason: openProbe}]++
	}
	u.mu.Unlock()
	for _, c := range stale {
		_ = c.Close()
	}
	if full {
		return &Error{Op: "connect", Kind: KindNotSent, Err: errConnectionLimit}
	}
	c, err := dial(ctx, u.dial, s.Address)
	u.reach.recordConnect(s.ID, err)
	if err != nil {
		if isHang(ctx, err) {
			u.dropIdle(s.ID)
		}
		u.decrementOpen(p)
		return err
	}
	u.mu.Lock()
	needed := len(p.idle) == 0
	u.mu.Unlock()
	if needed {
		u.put(p, c)
		return nil
	}
	u.decrementOpen(p)
	_ = c.Close()
	return nil
}

// dropIdle closes the idle connections to a server to which packets are lost. A refused
// connection is no reason, since kept ones may live on.
func (u *upstream) dropIdle(id fairway.ServerID) {
	u.mu.Lock()
	var dropped []*connection
	if p := u.pools[id]; p != nil {
		dropped, p.idle = p.idle, nil
		p.open -= len(dropped)
		p.lost = openDropped
	}
	u.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

// count returns the number of open connections, and of those opened since the
// last call.
func (u *upstream) count() (open int, opened map[opening]int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		open += p.open
	}
	opened, u.opened = u.opened, make(map[opening]int64)
	return open, opened
}

// inUse returns the number of connections to each server that carry requests, or are being
// opened.
func (u *upstream) inUse() map[fairway.ServerID]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	used := make(map[fairway.ServerID]int, len(u.pools))
	for id, p := range u.pools {
		used[id] = p.open - len(p.idle)
	}
	return used
}

// keepTime returns how long servers of a service keep unused connections, or 0 if this host
// has not learned it.
func (u *upstream) keepTime(service fairway.ServiceName) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keepTimes[service]
}

// put returns a connection without a request in progress to its pool, or closes
// it if it cannot be kept.
func (u *upstream) put(p *pool, c *connection) {
	c.endSending()
	if c.broken || !c.reusable() {
		u.discard(p, c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	u.mu.Lock()
	if c.idleTimeoutStated {
		u.keepTimes[p.service] = c.idleTimeout
	}
	if !p.closed && p.open <= p.limit {
		p.idle = append(p.idle, c)
		u.mu.Unlock()
		return
	}
	p.open--
	u.mu.Unlock()
	_ = c.Close()
}

// discard closes a connection that must not be used again.
func (u *upstream) discard(p *pool, c *connection) {
	c.endSending()
	c.reset()
	u.mu.Lock()
	defer u.mu.Unlock()
	p.open--
	p.lost = openDropped
}

// decrementOpen counts a connection of p as closed.
func (u *upstream) decrementOpen(p *pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p.open--
}

// closeIdle closes connections that have been idle for longer than their
// timeout.
func (u *upstream) closeIdle() {
	var stale []*connection
	now := time.Now()
	u.mu.Lock()
	for _, p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
				p.open--
				p.lost = openIdle
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
	u.mu.Unlock()
	for _, c := range stale {
		_ = c.Close()
	}
}
