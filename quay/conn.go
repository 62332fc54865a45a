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

// pastDeadline is a deadline that makes pending reads and writes of a connection
// fail immediately.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a backend server. It carries one request at a time;
// net/http reads and writes the HTTP messages. Unlike http.Transport, conn
// records whether any byte of a request was written, and never retries a request
// by itself.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	written int64
	used    bool
	// While readingHead is set, headLeft is how many bytes may still be read.
	readingHead bool
	headLeft    int
}

// Write implements io.Writer and counts the bytes.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// maxHeadBytes bounds the head of a response, with the informational responses before it.
const maxHeadBytes = 64 << 10

var errHeadTooLong = errors.New("head of the response is too long")

// Read implements io.Reader. It fails once the head of a response is too long.
func (c *conn) Read(data []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(data)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(data[:min(len(data), c.headLeft)])
	c.headLeft -= n
	return n, err
}

func dial(ctx context.Context, address string) (*conn, error) {
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, newError("connect", KindNotRun, err)
	}
	c := &conn{Conn: netConn}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// roundTrip writes r and reads the header of its response. It calls check
// immediately before it writes the first byte.
func (c *conn) roundTrip(ctx context.Context, r *http.Request, check func() error) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	c.written = 0
	if err := check(); err != nil {
		return nil, newError("send", KindNotRun, err)
	}
	if err := r.Write(c); err != nil {
		return nil, newError("send", c.failureKind(), err)
	}
	resp, err := c.readHead(r)
	if err != nil {
		return nil, newError("receive", KindMayHaveRun, err)
	}
	if ctx.Err() != nil {
		_ = resp.Body.Close()
		return nil, newError("receive", KindMayHaveRun, ctx.Err())
	}
	c.used = true
	return resp, nil
}

// maxInterim bounds the informational responses that precede a final one.
const maxInterim = 16

// ErrInvalidStatus means that the status of a response is not one that HTTP defines for it.
var ErrInvalidStatus = errors.New("response has an invalid status")

// IsFinalStatus reports whether a status ends an exchange. net/http also parses statuses of three
// characters that are no such status, like "000", "+20" and "999", and it panics when a handler
// writes one below 100.
func IsFinalStatus(status int) bool {
	return status >= 200 && status <= 599
}

// readHead reads the head of a final response and skips informational ones. It fails with
// [ErrInvalidStatus] at any other response, also at a switch of protocols, which no request asks for.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.readingHead, c.headLeft = true, maxHeadBytes
	defer func() { c.readingHead = false }()
	for range maxInterim {
		resp, err := http.ReadResponse(c.reader, r)
		switch {
		case err != nil || IsFinalStatus(resp.StatusCode):
			return resp, err
		case resp.StatusCode < 100 || resp.StatusCode > 199 || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrInvalidStatus
		}
	}
	return nil, ErrInvalidStatus
}

// interrupt makes the running request fail. The caller closes the connection
// afterwards, from which the server detects that the request was abandoned.
func (c *conn) interrupt() {
	_ = c.SetDeadline(pastDeadline)
}

func (c *conn) failureKind() Kind {
	if c.written == 0 {
		return KindNotRun
	}
	return KindMayHaveRun
}

// isTimeout reports whether err was caused by the deadline of a connection.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// progressReader reads the body of a response. It fails if a single read takes
// longer than limit, or once ctx is done.
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
