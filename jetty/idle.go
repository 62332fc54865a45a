package jetty

import (
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
)

// idleConnections closes the kept connections of callers that have been unused
// for longer than the configuration in force allows. The limit may change while
// a connection is unused, which http.Server.IdleTimeout does not follow.
type idleConnections struct {
	book *fairway.Book

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// changed is the http.Server.ConnState hook.
func (i *idleConnections) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

// sweep closes the connections that are over the limit.
func (i *idleConnections) sweep() {
	config := i.book.Current()
	if config == nil || config.Limits.IdleTimeout <= 0 {
		return
	}
	var over []net.Conn
	now := time.Now()
	i.mu.Lock()
	for c, since := range i.since {
		if now.Sub(since) > config.Limits.IdleTimeout {
			over = append(over, c)
			delete(i.since, c)
		}
	}
	i.mu.Unlock()
	for _, c := range over {
		_ = c.Close()
	}
}
