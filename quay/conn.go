package quay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// pastDeadline makes pending reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection to a backend server. It carries one request at a
// time; HTTP itself is read and written by net/http. Unlike http.Transport it
// tells exactly whether a byte of a request was written, and never repeats a
// request on its own.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	written int64
	used    bool
}

// Write implements io.Writer and counts the bytes.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

func dial(ctx context.Context, address string) (*conn, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, newError("connect", KindNotRun, err)
	}
	return &conn{Conn: nc, reader: bufio.NewReader(nc)}, nil
}

// exchange writes r and reads the head of its answer. The check runs right
// before the first byte is written. A positive headWait bounds the wait for
// the head.
func (c *conn) exchange(ctx context.Context, r *http.Request, check func() error, headWait time.Duration) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	c.written = 0
	if err := check(); err != nil {
		return nil, newError("send", KindNotRun, err)
	}
	if err := r.Write(c); err != nil {
		return nil, newError("send", c.failureKind(), err)
	}
	if headWait > 0 {
		_ = c.SetReadDeadline(time.Now().Add(headWait))
	}
	w, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, newError("receive", KindMayHaveRun, err)
	}
	if ctx.Err() != nil {
		_ = w.Body.Close()
		return nil, newError("receive", KindMayHaveRun, ctx.Err())
	}
	_ = c.SetReadDeadline(time.Time{})
	c.used = true
	return w, nil
}

// interrupt makes the running exchange fail. Closing the connection afterwards
// tells the server that the request was given up.
func (c *conn) interrupt() {
	_ = c.SetDeadline(pastDeadline)
}

func (c *conn) failureKind() Kind {
	if c.written == 0 {
		return KindNotRun
	}
	return KindMayHaveRun
}

// isTimeout reports whether err came from a deadline of a connection.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// progressReader reads the body of an answer and fails if a single read takes
// longer than the limit, or once ctx is done.
type progressReader struct {
	ctx   context.Context
	conn  *conn
	body  io.Reader
	limit time.Duration
}

// Read implements io.Reader.
func (p *progressReader) Read(data []byte) (int, error) {
	if err := p.ctx.Err(); err != nil {
		return 0, err
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(p.limit))
	return p.body.Read(data)
}
