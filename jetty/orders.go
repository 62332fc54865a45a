package jetty

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// grantTimeout bounds a grant, which a server answers immediately.
	grantTimeout = 350 * time.Millisecond
	// releaseTimeout bounds a release, which a server answers when its requests
	// for the keys have ended. A lost release is sent again after this time.
	releaseTimeout = 700 * time.Millisecond
	// orderIdleFraction is the fraction of a connection's idle timeout within
	// which the connection may be reused for an order.
	orderIdleFraction = 0.8
	// orderConnections is the number of connections to a server for orders: one for
	// each of the releases that an assigner has in flight there, and one for grants.
	orderConnections = 4
	// maxOrderResponseBytes bounds the body of a response to an order.
	maxOrderResponseBytes = 64 << 10
)

var (
	errTermEnded    = errors.New("this host is no longer the placer")
	errSessionEnded = errors.New("the connection of the earlier grants is closed")
	errNoResponse   = errors.New("the server did not respond")
	errUnencodable  = errors.New("the order cannot be encoded")
)

// orderSender sends grants and releases to backend servers.
type orderSender struct {
	protocol Protocol
	// upstream has the connections for orders, from which the sessions take theirs.
	upstream *upstream
	grants   *grantSessions
	logs     *logs
	metrics  *metrics
}

// orderSenderConfig holds the parameters of an [orderSender].
type orderSenderConfig struct {
	Protocol Protocol
	Upstream *upstream
	Logs     *logs
	Metrics  *metrics
}

func newOrderSender(cfg orderSenderConfig) *orderSender {
	return &orderSender{
		protocol: cfg.Protocol, upstream: cfg.Upstream, grants: newGrantSessions(cfg.Upstream), logs: cfg.Logs, metrics: cfg.Metrics,
	}
}

// send sends an order if the term still allows it, and returns the outcome.
func (o *orderSender) send(ctx context.Context, t *term, order mooring.Order) mooring.OrderCompleted {
	completed := mooring.OrderCompleted{Order: order, Began: bootTimeNow()}
	var err error
	if order.Release {
		completed.Result, completed.Handover, err = o.sendRelease(ctx, t, order)
	} else {
		completed.Result, completed.Session, err = o.sendGrant(ctx, t, order)
	}
	completed.Ended = bootTimeNow()
	o.recordReach(order.To.Server, completed.Result)
	o.logs.orderAnswered(completed, err)
	o.metrics.orderAnswered(order, completed.Result)
	return completed
}

// recordReach records what the outcome of an order says about the path to its server.
// A failed connect has been recorded already.
func (o *orderSender) recordReach(server fairway.ServerID, result mooring.Result) {
	switch result {
	case mooring.ResultNotSent, mooring.ResultNotTried, mooring.ResultSessionEnded:
	case mooring.ResultNoResponse:
		o.upstream.reach.recordExchange(server, &Error{Op: "send order", Kind: KindTimeout, Err: errNoResponse})
	default:
		o.upstream.reach.recordExchange(server, nil)
	}
}

// sendGrant sends a grant in the session with its server. It returns the session if
// the grant may have arrived.
func (o *orderSender) sendGrant(ctx context.Context, t *term, order mooring.Order) (mooring.Result, mooring.SessionID, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	s, err := o.grants.acquire(ctx, order.To)
	if err != nil {
		return unsentResult(err), 0, err
	}
	if order.Session != 0 && order.Session != s.id {
		o.grants.release(s, true)
		return mooring.ResultSessionEnded, 0, errSessionEnded
	}
	id := s.id
	resp, err := o.exchange(ctx, t, s.conn, order)
	o.grants.release(s, err == nil && !resp.Close || errors.Is(err, errTermEnded))
	if err != nil {
		result := failedResult(err)
		if result != mooring.ResultNoResponse {
			id = 0
		}
		return result, id, err
	}
	result, _ := o.protocol.DecodeOrderResponse(resp.StatusCode, resp.Header)
	return result, id, nil
}

// sendRelease sends a release and returns the handover. Any incarnation of the server
// may execute it.
func (o *orderSender) sendRelease(ctx context.Context, t *term, order mooring.Order) (mooring.Result, string, error) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	endpoint := fairway.Endpoint{ID: order.To.Server, Address: order.To.Address, Incarnation: order.To.Incarnation}
	c, p, err := o.upstream.get(ctx, endpoint, getOptions{maxIdleFraction: orderIdleFraction})
	if err != nil {
		return unsentResult(err), "", err
	}
	resp, err := o.exchange(ctx, t, c, order)
	switch {
	case errors.Is(err, errTermEnded):
		o.upstream.put(p, c)
		return mooring.ResultNotTried, "", err
	case err != nil:
		o.upstream.discard(p, c)
		return failedResult(err), "", err
	case resp.Close:
		o.upstream.discard(p, c)
	default:
		o.upstream.put(p, c)
	}
	result, handover := o.protocol.DecodeOrderResponse(resp.StatusCode, resp.Header)
	return result, handover, nil
}

// unsentResult returns the result of an order for which there was no connection.
func unsentResult(err error) mooring.Result {
	if errors.Is(err, errConnectionLimit) {
		return mooring.ResultNotTried
	}
	return mooring.ResultNotSent
}

// failedResult returns the result of an exchange without a response.
func failedResult(err error) mooring.Result {
	switch {
	case errors.Is(err, errTermEnded), errors.Is(err, errUnencodable):
		return mooring.ResultNotTried
	case kindOf(err) == KindNotSent:
		return mooring.ResultNotSent
	default:
		return mooring.ResultNoResponse
	}
}

// exchange sends an order over a connection and reads the whole response.
func (o *orderSender) exchange(ctx context.Context, t *term, c *connection, order mooring.Order) (*http.Response, error) {
	path, body, err := o.protocol.EncodeOrder(order)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnencodable, err)
	}
	req := &outgoingRequest{
		Method: http.MethodPost,
		Target: path,
		Host:   order.To.Address,
		Header: http.Header{
			"Content-Type":                        {"application/json"},
			o.protocol.Headers().ExpectedInstance: {string(order.To.Server)},
		},
		Body: body,
	}
	// The next placer relies on no order being sent once mayOrder has become
	// false. The check comes last, since opening a connection takes time.
	if !t.mayOrder() {
		return nil, errTermEnded
	}
	resp, err := c.roundTrip(ctx, req, o.protocol.Headers().RequestID, "")
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderResponseBytes))
	}
	return resp, err
}
