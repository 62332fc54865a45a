package jetty

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server,
	// which takes a round trip and a few milliseconds at the server.
	connectTimeout = 300 * time.Millisecond
	// userTimeout is how long data that a server does not acknowledge is waited for. It
	// is less than most deadlines of callers, so that there is time for another send.
	// While a long body is sent, an [ackWatch] keeps to it instead of the kernel.
	userTimeout = time.Second
	// keepAliveInterval is the time between probes of a connection in which nothing
	// else is sent. They end one that hangs by userTimeout, within 2.5 s.
	keepAliveInterval = time.Second
	// defaultIdleTimeout applies to servers that send no timeout in a
	// Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of the server's Keep-Alive timeout that
	// is used. At a large site a host has a request for a server every 9 s, and
	// servers close connections after 10 s. The remainder, more than a second,
	// covers the network delay.
	idleTimeoutFraction = 0.85
	// ownHeadBytes is how much larger than the head of the request the head of its
	// response may be, with the informational responses before it. Servers repeat
	// headers of the request and add a few of their own.
	ownHeadBytes = 32 << 10
	// maxMismatched is the number of responses to other requests that are
	// skipped.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of such a response.
	maxMismatchedBytes = 1 << 20
	// concurrentBodyBytes is the size from which a request body is written
	// while the response is read, since a server may respond before it has read
	// the whole body.
	concurrentBodyBytes = 32 << 10
	// maxErrorText bounds the text of an error, since net/http quotes what it has
	// received.
	maxErrorText = 200
	// maxRefusedRequests is the number of requests that a connection has not answered with
	// success after which it is closed.
	maxRefusedRequests = 64
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// pastDeadline makes pending reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0)

var (
	errMismatchedResponse = errors.New("response belongs to another request")
	errHeadTooLong        = errors.New("head of the response is too long")
	errBodyTooLong        = errors.New("body of the response is too long")
)

// connection is a connection to a backend server. It carries one request at a
// time; net/http parses and formats the messages. Unlike [http.Transport] it
// never repeats a request, and it reports whether any byte was written.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	written int64
	// While readingHead is set, headLeft is how many bytes may still be read.
	readingHead bool
	headLeft    int
	// A kept connection may be used again until idleSince plus idleTimeout.
	idleSince   time.Time
	idleTimeout time.Duration
	// idleTimeoutStated reports whether the server has stated the timeout.
	idleTimeoutStated bool
	// broken connections must not be used again.
	broken bool
	// sending writes a long request body until the response is complete; nil means none.
	sending *bodyWriter
	// answered is set once the connection has carried a response. What follows without
	// an id may be another copy of that one.
	answered bool
	// refused has the hashes of the ids of the requests that it has carried and that may be
	// sent again: those without a successful response.
	refused []uint64
}

// recordRefused records that a request that the connection has carried may be sent again.
func (c *connection) recordRefused(id string) {
	c.refused = append(c.refused, xxhash.Sum64String(id))
	if len(c.refused) >= maxRefusedRequests {
		c.broken = true
	}
}

// mayConfuse reports whether another copy of an earlier response on this connection could
// be taken for the response to a request.
func (c *connection) mayConfuse(id string) bool {
	return id == "" && c.answered || slices.Contains(c.refused, xxhash.Sum64String(id))
}

// Write implements io.Writer and counts the bytes.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read implements io.Reader. It fails once the head of a response is too long.
func (c *connection) Read(data []byte) (int, error) {
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

// DialFunc opens a TCP connection to a backend server. The host sets the options of the
// socket if the connection has the methods of [net.TCPConn] for that.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is the [DialFunc] that is used unless [Config] has another.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// dial opens a connection to a backend server.
func dial(ctx context.Context, dialServer DialFunc, address string) (*connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	nc, err := dialServer(dialCtx, address)
	if err != nil {
		if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
			return nil, &Error{Op: "connect", Kind: KindCanceled, Err: err}
		}
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: err}
	}
	limitHangs(nc)
	c := &connection{Conn: nc, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// limitHangs sets the socket options that end a connection whose other side does not
// acknowledge anything. A connection without them only hangs for longer.
func limitHangs(nc net.Conn) {
	socket, ok := nc.(interface {
		syscall.Conn
		SetKeepAliveConfig(net.KeepAliveConfig) error
	})
	if !ok {
		return
	}
	_ = socket.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3})
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = setUserTimeout(raw, userTimeout)
}

// isHang reports whether err means that the other side did not acknowledge anything,
// other than because ctx was done.
func isHang(ctx context.Context, err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

// reusable reports whether the connection is still open and nothing has arrived
// since the last response.
func (c *connection) reusable() bool {
	if c.broken || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// reset closes the connection and drops the bytes that are not yet delivered,
// so that a canceled request cannot arrive later.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// outgoingRequest is a request to a backend server.
type outgoingRequest struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// head returns the request up to its body.
func (m *outgoingRequest) head() []byte {
	var b bytes.Buffer
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	// A write to a bytes.Buffer cannot fail.
	_ = m.Header.Write(&b)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// roundTrip sends m and reads the head of its response. It fails when ctx is
// done. Responses that name another request than id are skipped. A long body may
// still be on its way to the server afterwards.
func (c *connection) roundTrip(ctx context.Context, m *outgoingRequest, idHeader, id string) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	c.written = 0
	data := m.head()
	maxHead := len(data) + ownHeadBytes
	concurrent := len(m.Body) >= concurrentBodyBytes
	if !concurrent {
		data = append(data, m.Body...)
	}
	if _, err := c.Write(data); err != nil {
		return nil, c.classifyError(ctx, "send", err)
	}
	if concurrent {
		c.sending = startBodyWriter(c, m.Body)
	}
	resp, err := c.readResponse(responseOptions{method: m.Method, idHeader: idHeader, id: id, maxHead: maxHead})
	if err != nil {
		c.endSending()
		return nil, c.classifyError(ctx, "receive", err)
	}
	if c.sending != nil && isUnframed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, writer: c.sending}
	}
	c.updateIdleTimeout(resp.Header)
	return resp, nil
}

// responseOptions are what readResponse has to know about a request.
type responseOptions struct {
	method       string
	idHeader, id string
	// maxHead bounds the bytes of the response's head.
	maxHead int
}

// readResponse reads responses until one names the request id. The first one on a
// connection may name none; the caller decides whether that is acceptable. Orders have an
// empty id, so that any response with an id is skipped.
func (c *connection) readResponse(opts responseOptions) (*http.Response, error) {
	r := &http.Request{Method: opts.method}
	for mismatched := 0; ; {
		resp, err := c.readHead(r, opts.maxHead)
		if err != nil {
			return nil, err
		}
		echo := resp.Header.Get(opts.idHeader)
		if echo == opts.id || echo == "" && !c.answered {
			c.answered = true
			return resp, nil
		}
		if mismatched++; echo == "" || mismatched > maxMismatched || resp.ContentLength < 0 || resp.ContentLength > maxMismatchedBytes {
			return nil, errMismatchedResponse
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of a final response. The informational responses that it
// skips count towards the limit. It fails with errInvalidStatus at any other response.
func (c *connection) readHead(r *http.Request, limit int) (*http.Response, error) {
	c.readingHead, c.headLeft = true, limit
	defer func() { c.readingHead = false }()
	for {
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		switch {
		case isFinalStatus(resp.StatusCode):
			return resp, nil
		case !isInformationalStatus(resp.StatusCode):
			return nil, errInvalidStatus
		}
	}
}

// errInvalidStatus means that the status of a response is not one that HTTP defines for it.
var errInvalidStatus = errors.New("response has an invalid status")

// isFinalStatus reports whether a status ends an exchange. net/http also parses statuses of
// three characters that are no such status, like "000", "+20" and "999", and it panics when a
// handler writes one below 100.
func isFinalStatus(status int) bool {
	return status >= 200 && status <= 599
}

// isInformationalStatus reports whether a status announces a final response. A switch of protocols,
// which no request of a host asks for, does not.
func isInformationalStatus(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// readBody reads the body of a response, but no more than limit bytes of it. It
// fails when ctx is done.
func (c *connection) readBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		c.endSending()
		return nil, c.classifyError(ctx, "read response", err)
	}
	return body, nil
}

// interrupt makes the exchange in progress fail.
func (c *connection) interrupt() {
	_ = c.SetDeadline(pastDeadline)
}

// classifyError wraps the error of an exchange in an [Error] with its kind.
func (c *connection) classifyError(ctx context.Context, op string, err error) error {
	kind := KindReset
	var timeout net.Error
	switch {
	case c.written == 0 && ctx.Err() == nil:
		kind = KindNotSent
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		kind = KindCanceled
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		kind = KindTimeout
	case errors.Is(err, errMismatchedResponse):
		kind = KindInvalidResponse
	case !isClosed(err):
		kind = KindInvalidResponse
	}
	return &Error{Op: op, Kind: kind, Err: shortenError(err)}
}

// shortenError returns err, or an error with the start of its text if that is too
// long for the log.
func shortenError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorText {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxErrorText], "") + "...")
}

// isClosed reports whether err means that the connection was closed.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// updateIdleTimeout sets the idle timeout from the server's Keep-Alive header.
func (c *connection) updateIdleTimeout(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			c.idleTimeout = time.Duration(idleTimeoutFraction * float64(n) * float64(time.Second))
			c.idleTimeoutStated = true
		}
	}
}
