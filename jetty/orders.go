package jetty

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// grantTimeout bounds a grant, which a server answers at once.
	grantTimeout = 350 * time.Millisecond
	// releaseTimeout bounds a release, which a server answers when the work
	// under way has ended. A release that was lost is sent again after it.
	releaseTimeout = 700 * time.Millisecond
	// orderIdleFraction is the part of a connection's idle limit within which it
	// may carry an order.
	orderIdleFraction = 0.8
	// orderConnections is the number of connections to a server for orders: as
	// many as a keeper has under way there.
	orderConnections = 3
	// maxOrderAnswerBytes bounds the body of an answer to an order.
	maxOrderAnswerBytes = 64 << 10
)

var errTermEnded = errors.New("this host is not the placer any more")

// orderSender sends grants and releases to backend servers.
type orderSender struct {
	protocol Protocol
	upstream *upstream
	logs     *logs
	metrics  *metrics
}

// send sends an order if the term still lasts.
func (o *orderSender) send(ctx context.Context, t *term, order mooring.Order) mooring.OrderCompleted {
	began := bootTimeNow()
	result, handover, err := o.exchange(ctx, t, order)
	answered := mooring.OrderCompleted{Order: order, Result: result, Handover: handover, Began: began, Ended: bootTimeNow()}
	o.logs.orderAnswered(answered, err)
	o.metrics.orderAnswered(order, result)
	return answered
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
	s := fairway.Endpoint{ID: order.To.Server, Address: order.To.Address, Incarnation: order.To.Incarnation}
	c, p, err := o.upstream.get(ctx, s, getOptions{maxIdleFraction: orderIdleFraction})
	if errors.Is(err, errConnectionLimit) {
		return mooring.ResultNotTried, "", err
	}
	if err != nil {
		return mooring.ResultNotSent, "", err
	}
	m := &outgoingRequest{
		Method: http.MethodPost,
		Target: path,
		Host:   order.To.Address,
		Header: http.Header{
			"Content-Type":                        {"application/json"},
			o.protocol.Headers().ExpectedInstance: {string(order.To.Server)},
		},
		Body: body,
	}
	// The next placer relies on the time after which nothing is sent.
	if !t.mayOrder() {
		o.upstream.put(p, c)
		return mooring.ResultNotTried, "", errTermEnded
	}
	w, err := c.roundTrip(ctx, m, o.protocol.Headers().RequestID, "")
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(w.Body, maxOrderAnswerBytes))
	}
	if err != nil {
		o.upstream.discard(p, c)
		if kindOf(err) == KindNotSent {
			return mooring.ResultNotSent, "", err
		}
		return mooring.ResultNoAnswer, "", err
	}
	if w.Close {
		o.upstream.discard(p, c)
	} else {
		o.upstream.put(p, c)
	}
	result, handover := o.protocol.DecodeOrderResponse(w.StatusCode, w.Header)
	return result, handover, nil
}
