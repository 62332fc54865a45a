package harbor

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sendRecord tells whether a peer may have received a call. gRPC reports a call that found
// no connection with the same status as one that was cut off.
type sendRecord struct {
	sent atomic.Bool
}

type sendRecordKey struct{}

// withSendRecord returns a context for one call, whose record is kept by [sendRecorder].
func withSendRecord(ctx context.Context) (context.Context, *sendRecord) {
	r := &sendRecord{}
	return context.WithValue(ctx, sendRecordKey{}, r), r
}

// sendRecorder keeps the [sendRecord] of each call that has one. It implements
// stats.Handler.
type sendRecorder struct{}

// HandleRPC implements stats.Handler.
func (sendRecorder) HandleRPC(ctx context.Context, s stats.RPCStats) {
	r, ok := ctx.Value(sendRecordKey{}).(*sendRecord)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		if s.IsTransparentRetryAttempt {
			// gRPC repeats a call by itself only if the peer has not processed it.
			r.sent.Store(false)
		}
	case *stats.OutHeader:
		r.sent.Store(true)
	}
}

// TagRPC implements stats.Handler.
func (sendRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (sendRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sendRecorder) HandleConn(context.Context, stats.ConnStats) {}
