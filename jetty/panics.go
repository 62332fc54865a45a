package jetty

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// loopRestartDelay is the pause before a loop runs again that has panicked.
const loopRestartDelay = 200 * time.Millisecond

// place is where a panic is recovered from. It ends what failed there and nothing else.
type place string

// The places, as they appear in panics_total.
const (
	// placeRequest is the request of a caller.
	placeRequest place = "request"
	// placeAttempt is a send of a request to a server, directly or through another host.
	placeAttempt place = "attempt"
	// placePeerCall is a call of another entry host.
	placePeerCall place = "peer_call"
	// placeRecord is a record of the store.
	placeRecord place = "record"
	// placeLoop is a loop of the host, which runs again.
	placeLoop place = "loop"
	// placeTerm is the work of the placer, whose term ends.
	placeTerm place = "term"
)

var errPanic = errors.New("unexpected error in this host")

// recoverer logs and counts panics. A nil recoverer lets them end the process.
type recoverer struct {
	logs    *logs
	metrics *metrics
}

// at ends a panic of the function that defers it, and then calls handle, which may be nil.
func (r *recoverer) at(p place, handle func()) {
	if r == nil {
		return
	}
	value := recover()
	if value == nil {
		return
	}
	r.logs.panicked(p, value, debug.Stack())
	r.metrics.panicked(p)
	if handle != nil {
		handle()
	}
}

// loop runs a loop until ctx is done, again if it panics.
func (r *recoverer) loop(ctx context.Context, run func(context.Context)) {
	for r.once(ctx, run) && ctx.Err() == nil {
		pause(ctx, loopRestartDelay)
	}
}

// once runs a loop and reports whether it has panicked.
func (r *recoverer) once(ctx context.Context, run func(context.Context)) (panicked bool) {
	defer r.at(placeLoop, func() { panicked = true })
	run(ctx)
	return false
}

// options has calls of other hosts that panic fail alone.
func (r *recoverer) options() []grpc.ServerOption {
	failed := status.Error(codes.Internal, errPanic.Error())
	unary := func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
		defer r.at(placePeerCall, func() { resp, err = nil, failed })
		return handler(ctx, req)
	}
	stream := func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
		defer r.at(placePeerCall, func() { err = failed })
		return handler(srv, ss)
	}
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(unary), grpc.ChainStreamInterceptor(stream)}
}

// panicked logs a panic with its stack.
func (l *logs) panicked(p place, value any, stack []byte) {
	l.newLine(&l.system, true).
		Str("place", string(p)).
		Str("error", fmt.Sprint(value)).
		Str("stack", string(stack)).
		Msg(string(eventPanicked))
}

func (m *metrics) panicked(p place) {
	m.withTags(metricTags{first: string(p)}, "place").Counter(string(metricPanics)).Inc(1)
}
