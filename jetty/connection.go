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
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server,
	// which takes a round trip and a few milliseconds at the server.
	connectTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept unused if the server does
	// not say how long it keeps it.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of the time stated by the server that is used. At a
	// large site a host has a request for a server every 9 s, and servers close
	// connections after 10 s; a second and more is left for the way.
	idleTimeoutFraction = 0.85
	// maxMismatched is the number of answers to other requests that are skipped.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of such an answer.
	maxMismatchedBytes = 1 << 20
	// concurrentBodyBytes is the size from which a request body is written beside the
	// reading of the answer, since a server may answer before it has read all.
	concurrentBodyBytes = 32 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// pastDeadline makes pending reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0)

var (
	errMismatchedResponse = errors.New("answer belongs to another request")
	errEarlyResponse      = errors.New("server answered before it had read the request")
)

// connection is one connection to a backend server. It carries one request at
// a time; net/http reads and writes the messages. It is never repeated by the
// library, and it tells whether a byte was written.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	written int64
	// idleSince and idleLimit say until when it may be used again.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
	// broken connections must not be used again.
	broken bool
}

// Write implements io.Writer and counts the bytes.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

func dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
			return nil, &Error{Op: "connect", Kind: KindCanceled, Err: err}
		}
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: err}
	}
	return &connection{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// reusable reports whether nothing has arrived since the last answer and the
// connection is still open.
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

// reset closes the connection. Bytes that have not arrived yet are dropped,
// so that a request that was given up cannot arrive later.
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

// head returns the message up to its body.
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

// bodyWriter writes a long request body while the answer is awaited.
type bodyWriter struct {
	conn *connection
	data []byte
	// err is set before done is closed.
	err  error
	done chan struct{}
}

func (w *bodyWriter) run() {
	defer close(w.done)
	_, w.err = w.conn.Write(w.data)
}

// roundTrip sends m and reads the head of its answer. Once ctx is done, the
// exchange fails. Answers that name another request than id are skipped.
func (c *connection) roundTrip(ctx context.Context, m *outgoingRequest, idHeader, id string) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	c.written = 0
	var long *bodyWriter
	data := m.head()
	if len(m.Body) < concurrentBodyBytes {
		data = append(data, m.Body...)
	} else {
		long = &bodyWriter{conn: c, data: m.Body, done: make(chan struct{})}
	}
	if _, err := c.Write(data); err != nil {
		return nil, c.classifyError(ctx, "send", err)
	}
	if long != nil {
		go long.run()
	}
	w, err := c.readResponse(m, idHeader, id)
	if long != nil {
		if werr := c.finishBody(long, err); werr != nil && err == nil {
			c.broken = true
		}
	}
	if err != nil {
		return nil, c.classifyError(ctx, "receive", err)
	}
	c.updateIdleTimeout(w.Header)
	return w, nil
}

// finishBody waits for the rest of a long body if it is as good as written. A
// server that answered early may leave the rest unread.
func (c *connection) finishBody(long *bodyWriter, readErr error) error {
	select {
	case <-long.done:
		return long.err
	default:
	}
	_ = c.SetWriteDeadline(pastDeadline)
	<-long.done
	if readErr != nil {
		return readErr
	}
	return errEarlyResponse
}

// readResponse reads answers until one belongs to the request, or to none: then
// the caller decides whether it is enough. An order has no id, so that any
// answer with one is foreign.
func (c *connection) readResponse(m *outgoingRequest, idHeader, id string) (*http.Response, error) {
	r := &http.Request{Method: m.Method}
	for foreign := 0; ; {
		w, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if w.StatusCode >= 100 && w.StatusCode < 200 && w.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if echo := w.Header.Get(idHeader); echo == id || echo == "" {
			return w, nil
		}
		if foreign++; foreign > maxMismatched || w.ContentLength < 0 || w.ContentLength > maxMismatchedBytes {
			return nil, errMismatchedResponse
		}
		if _, err := io.Copy(io.Discard, w.Body); err != nil {
			return nil, err
		}
	}
}

// interrupt makes the running exchange fail.
func (c *connection) interrupt() {
	_ = c.SetDeadline(pastDeadline)
}

// classifyError classifies the error of an exchange.
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
	return &Error{Op: op, Kind: kind, Err: err}
}

// isClosed reports whether err came from the end of the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// updateIdleTimeout takes the server's word on how long it keeps an unused connection.
func (c *connection) updateIdleTimeout(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			c.idleTimeout = time.Duration(idleTimeoutFraction * float64(n) * float64(time.Second))
		}
	}
}
