package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// outcome is what a client got for a request.
type outcome struct {
	id     string
	status int
	signed bool
	body   string
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
}

// client sends requests one after the other on a kept connection, and opens a new one when
// the machine has closed it.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

const connectTimeout = time.Second

func (c *client) send(r clientRequest) outcome {
	began := time.Now()
	o := outcome{id: r.id}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
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
		body, err = io.ReadAll(resp.Body)
		o.status, o.body, o.signed = resp.StatusCode, string(body), resp.Header.Get("Hornbeamwinch-Server-Signature") != ""
	}
	o.err, o.took = err, time.Since(began)
	if err != nil || resp.Close {
		c.close()
	}
	return o
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
