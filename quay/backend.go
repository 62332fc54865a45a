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

// backend is this host's end of one backend server.
type backend struct {
	id      berth.ServerID
	address string
	limiter *Limiter
	pool    Pool[*conn]
}

// answer is an answer whose body is still to be read.
type answer struct {
	*http.Response
	backend *backend
	conn    *conn
	// reused says that the connection had carried an earlier request.
	reused bool
}

// send runs one exchange with the server. A request that must not be repeated
// leaves on a new connection, so that a dead one cannot make its outcome
// unknown.
func (b *backend) send(ctx context.Context, permit *roster.Permit, r *Request, opts sendOptions) (*answer, error) {
	c, err := b.connect(ctx, opts.fresh)
	if err != nil {
		return nil, err
	}
	reused := c.used
	headWait := time.Duration(0)
	if reused {
		headWait = opts.silentAfter
	}
	w, err := c.exchange(ctx, newServerRequest(ctx, permit, r, opts), permit.Check, headWait)
	if err != nil {
		b.discard(c)
		return nil, err
	}
	if echo := w.Header.Get(HeaderRequestID); echo != "" && echo != r.ID {
		b.discard(c)
		return nil, newError("receive", KindMayHaveRun, errForeignAnswer)
	}
	return &answer{Response: w, backend: b, conn: c, reused: reused}, nil
}

var (
	errForeignAnswer = errors.New("answer belongs to another request")
	errNoConnection  = errors.New("this host's share of the server's connections is in use")
)

// sendOptions vary one exchange.
type sendOptions struct {
	fresh       bool
	silentAfter time.Duration
	// offset and etag ask for the rest of an answer that broke off.
	offset int64
	etag   string
}

func (b *backend) connect(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if c, ok := b.pool.Take(); ok {
			return c, nil
		}
	}
	if !b.reserve() {
		return nil, newError("connect", KindNotRun, errNoConnection)
	}
	c, err := dial(ctx, b.address)
	if err != nil {
		b.pool.Forget()
		return nil, err
	}
	return c, nil
}

// reserve makes room for a new connection, at the cost of an idle one if need
// be.
func (b *backend) reserve() bool {
	if b.pool.Reserve() {
		return true
	}
	c, ok := b.pool.Take()
	if !ok {
		return false
	}
	b.discard(c)
	return b.pool.Reserve()
}

// discard closes a connection that must not carry another request.
func (b *backend) discard(c *conn) {
	_ = c.Close()
	b.pool.Forget()
}

// close ends the idle connections.
func (b *backend) close() {
	for _, c := range b.pool.Drain() {
		_ = c.Close()
	}
}

// finish returns the connection for reuse if the body was read to its end.
func (a *answer) finish(whole bool) {
	_ = a.conn.SetDeadline(time.Time{})
	if !whole || a.Close || !a.backend.pool.Put(a.conn) {
		_ = a.conn.Close()
		if !whole || a.Close {
			a.backend.pool.Forget()
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
		left := max(1, time.Until(deadline).Milliseconds())
		header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
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

// serverPath returns the path under which a backend server takes r.
func serverPath(r *Request) string {
	return "/s/" + string(r.Service) + "/" + r.Key + r.Path
}

// backends holds the backend servers of the table that the host follows.
type backends struct {
	host         berth.HostID
	frontSetSize int
	services     map[berth.ServiceID]ServiceConfig

	mu    sync.Mutex
	table *berth.Table
	byID  map[berth.ServerID]*backend
}

// update adopts the servers and shares of table.
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
		b.adopt(current, server)
		kept[server.ID] = current
	}
	for _, dropped := range b.byID {
		dropped.limiter.SetShare(0)
		dropped.close()
	}
	b.byID = kept
}

// adopt sets the share of one server. Servers that are lost keep no idle
// connections.
func (b *backends) adopt(current *backend, server berth.Server) {
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

// withinShares reports whether this host has no more requests at any server
// than its share allows. It has more for a while after a share has shrunk.
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

// live returns the servers of service that may be given work and of which this
// host has a share, except those in tried.
func (b *backends) live(service berth.ServiceID, tried map[berth.ServerID]bool) []*backend {
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
