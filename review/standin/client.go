package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// outcome is what a client got for a request.
type outcome struct {
	id     string
	status int
	signed bool
	body   string
	// received is the number of bytes of the body that have come.
	received int
	// err is set if the connection ended without a complete answer, and connectErr if it
	// could not be opened.
	err        error
	connectErr bool
	took       time.Duration
}

// clientRequest is a request of a client.
type clientRequest struct {
	id, method, host, path string
	key                    int
	body                   []byte
	deadline               time.Duration
	// bytesPerSecond bounds how fast the body is sent; 0 means no bound.
	bytesPerSecond int
	// readBytesPerSecond bounds how fast the body of the answer is read; 0 means no bound.
	readBytesPerSecond int
}

// client sends requests one after the other on a kept connection, and opens a new one when
// the machine has closed it.
type client struct {
	address string
	// window bounds the bytes that are under way to the client, as a network does; 0 means
	// that the loopback interface takes what it can.
	window int
	conn   net.Conn
	reader *bufio.Reader
}

// segmentBytes is the largest segment on a network other than the loopback interface.
const segmentBytes = 1400

// limitWindow sets the window of a connection that is to be opened.
func (c *client) limitWindow(_, _ string, raw syscall.RawConn) error {
	if c.window == 0 {
		return nil
	}
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.window),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
		)
	})
	return errors.Join(err, setErr)
}

const connectTimeout = time.Second

func (c *client) send(r clientRequest) outcome {
	began := time.Now()
	o := outcome{id: r.id}
	if c.conn == nil {
		dialer := net.Dialer{Timeout: connectTimeout, Control: c.limitWindow}
		conn, err := dialer.Dial("tcp", c.address)
		if err != nil {
			o.err, o.connectErr = err, true
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(began.Add(r.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nHornbeamwinch-Request-Id: %s\r\nHornbeamwinch-Deadline-Ms: %d\r\nHornbeamwinch-Shard-Key: %d\r\n",
		r.method, r.path, r.host, r.id, r.deadline.Milliseconds(), r.key)
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	_, err := io.WriteString(c.conn, head+"\r\n")
	if err == nil {
		err = c.sendBody(r)
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: r.method})
	}
	if err == nil {
		var body []byte
		body, err = readBody(resp.Body, r.readBytesPerSecond)
		o.received = len(body)
		o.status, o.body, o.signed = resp.StatusCode, string(body), resp.Header.Get("Hornbeamwinch-Server-Signature") != ""
	}
	o.err, o.took = err, time.Since(began)
	if err != nil || resp.Close {
		c.close()
	}
	return o
}

// readBody reads the body of an answer, no faster than bytesPerSecond unless that is 0. It
// returns what has come.
func readBody(body io.Reader, bytesPerSecond int) ([]byte, error) {
	if bytesPerSecond == 0 {
		return io.ReadAll(body)
	}
	const chunkBytes = 16 << 10
	began, read, chunk := time.Now(), []byte(nil), make([]byte, chunkBytes)
	for {
		n, err := body.Read(chunk)
		read = append(read, chunk[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return read, nil
		case err != nil:
			return read, err
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(len(read)) / float64(bytesPerSecond) * float64(time.Second)))))
	}
}

// sendBody sends the body of a request, no faster than the request says.
func (c *client) sendBody(r clientRequest) error {
	const chunkBytes = 256 << 10
	began, sent := time.Now(), 0
	for chunk := range slices.Chunk(r.body, chunkBytes) {
		if r.bytesPerSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(r.bytesPerSecond) * float64(time.Second)))))
		}
		if _, err := c.conn.Write(chunk); err != nil {
			return err
		}
		sent += len(chunk)
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// String describes the outcome for the record.
func (o outcome) String() string {
	switch {
	case o.connectErr:
		return fmt.Sprintf("no connection for %s: %v", o.id, o.err)
	case o.err != nil:
		return fmt.Sprintf("the connection ends without a complete answer to %s after %.3f s: %v", o.id, o.took.Seconds(), o.err)
	default:
		return fmt.Sprintf("%s is answered %d after %.3f s (of a worker: %v)", o.id, o.status, o.took.Seconds(), o.signed)
	}
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
