package jetty

import (
	"context"
	"errors"
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
	// orderConnections is the number of connections to a server for orders: as
	// many as an assigner has orders in flight there.
	orderConnections = 3
	// maxOrderResponseBytes bounds the body of a response to an order.
	maxOrderResponseBytes = 64 << 10
)

var errTermEnded = errors.New("this host is no longer the placer")

// orderSender sends grants and releases to backend servers.
type orderSender struct {
	protocol Protocol
	upstream *upstream
	logs     *logs
	metrics  *metrics
}

// send sends an order if the term still allows it, and returns the outcome.
func (o *orderSender) send(ctx context.Context, t *term, order mooring.Order) mooring.OrderCompleted {
	began := bootTimeNow()
	result, handover, err := o.exchange(ctx, t, order)
	completed := mooring.OrderCompleted{Order: order, Result: result, Handover: handover, Began: began, Ended: bootTimeNow()}
	o.logs.orderAnswered(completed, err)
	o.metrics.orderAnswered(order, result)
	return completed
}

func (o *orderSender) exchange(ctx context.Context, t *term, order mooring.Order) (mooring.Result, string, error) {
	path, body, err := o.protocol.EncodeOrder(order)
	if err != nil {
		return mooring.ResultNotTried, "", err
	}
	timeout := grantTimeout
	if order.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	endpoint := fairway.Endpoint{ID: order.To.Server, Address: order.To.Address, Incarnation: order.To.Incarnation}
	c, p, err := o.upstream.get(ctx, endpoint, getOptions{maxIdleFraction: orderIdleFraction})
	if errors.Is(err, errConnectionLimit) {
		return mooring.ResultNotTried, "", err
	}
	if err != nil {
		return mooring.ResultNotSent, "", err
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
		o.upstream.put(p, c)
		return mooring.ResultNotTried, "", errTermEnded
	}
	resp, err := c.roundTrip(ctx, req, o.protocol.Headers().RequestID, "")
	if err == nil {
		err = readOrderBody(ctx, c, resp)
	}
	if err != nil {
		o.upstream.discard(p, c)
		if kindOf(err) == KindNotSent {
			return mooring.ResultNotSent, "", err
		}
		return mooring.ResultNoResponse, "", err
	}
	if resp.Close {
		o.upstream.discard(p, c)
	} else {
		o.upstream.put(p, c)
	}
	result, handover := o.protocol.DecodeOrderResponse(resp.StatusCode, resp.Header)
	return result, handover, nil
}

// readOrderBody reads the body of a response to an order, which has to be complete
// for the connection to be used again.
func readOrderBody(ctx context.Context, c *connection, resp *http.Response) error {
	body, err := c.readBody(ctx, resp, maxOrderResponseBytes+1)
	if err == nil && len(body) > maxOrderResponseBytes {
		err = &Error{Op: "read response", Kind: KindInvalidResponse, Err: errBodyTooLong}
	}
	return err
}
