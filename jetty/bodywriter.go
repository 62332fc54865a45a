package jetty

// bodyWriter writes a long request body while the response is read: a server may respond
// before it has read all of the body, and read on later.
type bodyWriter struct {
	conn  *connection
	data  []byte
	watch *ackWatch
	// err is set before done is closed.
	err  error
	done chan struct{}
}

func startBodyWriter(c *connection, data []byte) *bodyWriter {
	w := &bodyWriter{conn: c, data: data, watch: startAckWatch(c), done: make(chan struct{})}
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
	w.watch.end()
	return w.err == nil
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
