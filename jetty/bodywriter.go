package jetty

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
)

// bodyWriter writes a long request body while the response is read: a server may respond
// before it has read all of the body, and read on later.
type bodyWriter struct {
	conn *connection
	data []byte
	// unwatch ends the watch for acknowledgements.
	unwatch func()
	// err is set before done is closed.
	err  error
	done chan struct{}
}

func startBodyWriter(c *connection, data []byte) *bodyWriter {
	w := &bodyWriter{conn: c, data: data, unwatch: sync.OnceFunc(startAckWatch(c).end), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *bodyWriter) run() {
	defer close(w.done)
	_, w.err = w.conn.Write(w.data)
}

// end stops the write if it is still in progress, and reports whether the whole body has
// been written.
func (w *bodyWriter) end() bool {
	select {
	case <-w.done:
	default:
		_ = w.conn.SetWriteDeadline(pastDeadline)
		<-w.done
	}
	w.unwatch()
	return w.err == nil
}

// unframedBody is the body of a response that only the end of its connection delimits, read
// while the body of the request is still written. The kernel reports a reset once, to either
// side: if the write gets it, the read ends as if the connection had ended in order.
type unframedBody struct {
	io.ReadCloser
	writer *bodyWriter
}

// Read implements io.Reader.
func (b *unframedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) && b.writer.wasReset() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// wasReset stops the write, and reports whether it failed since the server reset a connection
// that it had not ended. A reset after its end fails the write with EPIPE.
func (w *bodyWriter) wasReset() bool {
	w.end()
	return errors.Is(w.err, syscall.ECONNRESET)
}

// isUnframed reports whether only the end of its connection delimits the body of a response.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endSending stops the write of a long body. A connection on which a body was not written
// whole cannot be used again.
func (c *connection) endSending() {
	if c.sending == nil {
		return
	}
	if !c.sending.end() {
		c.broken = true
	}
	c.sending = nil
}
