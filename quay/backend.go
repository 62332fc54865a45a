package quay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/roster"
)

// backend holds this host's connections to one backend server and limits the
// requests that it sends there.
type backend struct {
	id      berth.ServerID
	address string
	limiter *Limiter
	pool    Pool[*conn]
}

// response is a server's response whose body has not been read yet.
type response struct {
	*http.Response
	backend *backend
	conn    *conn
}

// send sends r to the server and returns once the header of the response has
// been read. A request that must not be repeated is sent on a new connection:
// on an idle one that the server has closed, its outcome would be unknown.
func (b *backend) send(ctx context.Context, permit *roster.Permit, r *Request, opts sendOptions) (*response, error) {
	c, err := b.connect(ctx, opts.newConn)
	if err != nil {
		return nil, err
	}
	return b.sendOn(ctx, c, permit, r, opts)
}

// sendOn is like send, on a connection of [backend.connect].
func (b *backend) sendOn(ctx context.Context, c *conn, permit *roster.Permit, r *Request, opts sendOptions) (*response, error) {
	resp, err := c.roundTrip(ctx, newServerRequest(ctx, permit, r, opts), permit.Check)
	if err != nil {
		b.discard(c)
		return nil, err
	}
	if responseID := resp.Header.Get(HeaderRequestID); responseID != "" && responseID != r.ID {
		b.discard(c)
		return nil, newError("receive", KindMayHaveRun, errMismatchedResponse)
	}
	return &response{Response: resp, backend: b, conn: c}, nil
}

var (
	errMismatchedResponse = errors.New("response belongs to another request")
	errConnectionLimit    = errors.New("this host's share of the server's connections is exhausted")
)

// sendOptions holds the options of [backend.send].
type sendOptions struct {
	// newConn requires a new connection.
	newConn bool
	// responseHeaderTimeout bounds the wait for the response header on a reused
	// connection, after which the request is sent once more; zero means no bound.
	responseHeaderTimeout time.Duration
	// offset and etag request the rest of a truncated response, as a byte range.
	offset int64
	etag   string
}

func (b *backend) connect(ctx context.Context, newConn bool) (*conn, error) {
	if !newConn {
		if c, ok := b.pool.Take(); ok {
			return c, nil
		}
	}
	if !b.reserveConn() {
		return nil, newError("connect", KindNotRun, errConnectionLimit)
	}
	c, err := dial(ctx, b.address)
	if err != nil {
		b.pool.Discard()
		return nil, err
	}
	return c, nil
}

// reserveConn makes room for a new connection. It closes as many idle ones as necessary:
// after the limit has been reduced, more than one.
func (b *backend) reserveConn() bool {
	for !b.pool.Reserve() {
		c, ok := b.pool.Take()
		if !ok {
			return false
		}
		b.discard(c)
	}
	return true
}

// discard closes a connection that must not be reused.
func (b *backend) discard(c *conn) {
	_ = c.Close()
	b.pool.Discard()
}

// close closes the idle connections.
func (b *backend) close() {
	for _, c := range b.pool.Drain() {
		_ = c.Close()
	}
}

// release returns the connection to the pool if the body was read completely,
// the server keeps the connection open and the pool is not over its limit. It
// closes the connection otherwise.
func (r *response) release(whole bool) {
	_ = r.conn.SetDeadline(time.Time{})
	if !whole || r.Close || !r.backend.pool.Put(r.conn) {
		_ = r.conn.Close()
		if !whole || r.Close {
			r.backend.pool.Discard()
		}
	}
}

// newServerRequest builds the request to a backend server.
func newServerRequest(ctx context.Context, permit *roster.Permit, r *Request, opts sendOptions) *http.Request {
	header := EndToEnd(r.Header)
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderService, string(r.Service))
	header.Set(HeaderKey, url.QueryEscape(r.Key))
	if permit.Divided {
		header.Set(HeaderShard, strconv.FormatUint(uint64(permit.Shard), 10))
		header.Set(HeaderToken, permit.Token.String())
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	if opts.etag != "" {
		header.Set("Range", "bytes="+strconv.FormatInt(opts.offset, 10)+"-")
		header.Set("If-Range", opts.etag)
	}
	request := &http.Request{
		Method:     r.Method,
		URL:        &url.URL{Scheme: "http", Host: permit.Server.Address, Path: serverPath(r), RawQuery: r.Query},
		Host:       permit.Server.Address,
		Header:     header,
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	return request
}

// serverPath returns the path at which a backend server accepts r.
func serverPath(r *Request) string {
	return "/s/" + string(r.Service) + "/" + r.Key + r.Path
}

// backends holds the backend servers of the host's current assignment table.
type backends struct {
	host         berth.HostID
	frontSetSize int
	services     map[berth.ServiceID]ServiceConfig

	mu    sync.Mutex
	table *berth.Table
	byID  map[berth.ServerID]*backend
}

// update replaces the servers and this host's shares by those of table.
func (b *backends) update(table *berth.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if table == nil || table == b.table {
		return
	}
	b.table = table
	kept := make(map[berth.ServerID]*backend, len(table.Servers))
	for _, server := range table.Servers {
		current, exists := b.byID[server.ID]
		if !exists || current.address != server.Address {
			current = &backend{
				id:      server.ID,
				address: server.Address,
				limiter: NewLimiter(b.services[server.Service].QueueLimit),
			}
		} else {
			delete(b.byID, server.ID)
		}
		b.applyShare(current, server)
		kept[server.ID] = current
	}
	for _, removed := range b.byID {
		removed.limiter.SetShare(0)
		removed.close()
	}
	b.byID = kept
}

// applyShare sets this host's share of one server's slots and connections. Idle
// connections to a server that is not live are closed.
func (b *backends) applyShare(current *backend, server berth.Server) {
	share := b.table.ShareOf(b.host, server, b.frontSetSize)
	current.limiter.SetShare(int(share.Slots))
	current.pool.SetLimit(int(share.Connections))
	if server.State != berth.ServerLive {
		current.close()
	}
}

func (b *backends) get(id berth.ServerID) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[id]
}

// withinShares reports whether the number of this host's requests at each server
// is within its share. It may exceed a share that has just been reduced, until
// enough requests have finished.
func (b *backends) withinShares() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, current := range b.byID {
		if current.limiter.InFlight() > current.limiter.Share() {
			return false
		}
	}
	return true
}

// available returns the live servers of service of which this host has a share,
// except those in tried.
func (b *backends) available(service berth.ServiceID, tried map[berth.ServerID]bool) []*backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []*backend
	if b.table == nil {
		return nil
	}
	for _, server := range b.table.Servers {
		if server.Service != service || server.State != berth.ServerLive || tried[server.ID] {
			continue
		}
		if current := b.byID[server.ID]; current != nil && current.limiter.Share() > 0 {
			found = append(found, current)
		}
	}
	return found
}
