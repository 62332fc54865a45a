package jetty

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// warmCheckTimeout bounds a health check before a request. Servers that tell whether they are
// cold respond to it at once.
const warmCheckTimeout = 300 * time.Millisecond

var (
	errServerCold    = fmt.Errorf("%w: it is cold", errServerExcluded)
	errOtherInstance = errors.New("another server has the address")
)

// warmChecks asks servers whether they are cold before they get requests again, after their
// connections were lost: a server may have restarted, and its registration may say so only
// seconds later. The zero pointer asks nobody.
type warmChecks struct {
	protocol Protocol
	headers  Headers
	cold     *coldServers
	upstream *upstream
	metrics  *metrics
}

// needed reports whether a server is to be asked before a request is sent over a connection.
// One that has carried a request before leads to a process that was known then.
func (w *warmChecks) needed(s fairway.Endpoint, service *fairway.Service, c *connection) bool {
	if w == nil || c.answered {
		return false
	}
	if _, bounded := w.cold.rate(service); !bounded || service.HealthPath == "" {
		return false
	}
	return w.upstream.doubted(s) && !w.cold.isCold(monotonicNow(), sluice.ServerInstanceOf(s))
}

// check asks a server over a new connection, which may carry the next request if the server is
// warm. Otherwise, and if the server does not answer, it fails with [KindNotSent]. All
// admissions know then that the server is cold.
func (w *warmChecks) check(ctx context.Context, s fairway.Endpoint, service *fairway.Service, c *connection) error {
	ctx, cancel := context.WithTimeout(ctx, warmCheckTimeout)
	defer cancel()
	asked := time.Now()
	w.metrics.healthChecked(service.Name)
	m := &outgoingRequest{Method: http.MethodGet, Target: service.HealthPath, Host: s.Address, Header: make(http.Header)}
	resp, err := c.roundTrip(ctx, m, w.headers.RequestID, "")
	if err != nil {
		return &Error{Op: "check health", Kind: KindNotSent, Err: err}
	}
	if _, err := c.readBody(ctx, resp, maxBufferedBytes); err != nil {
		return &Error{Op: "check health", Kind: KindNotSent, Err: err}
	}
	if id := resp.Header.Get(w.headers.Instance); id != "" && id != string(s.ID) {
		return &Error{Op: "check health", Kind: KindNotSent, Err: errOtherInstance}
	}
	w.upstream.trust(s, asked)
	left := w.protocol.DecodeColdStart(resp.Header)
	if left <= 0 {
		return nil
	}
	now := monotonicNow()
	w.cold.set(now, s, service, now.Add(left))
	return &Error{Op: "check health", Kind: KindNotSent, Err: errServerCold}
}
