package harbor

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"google.golang.org/grpc/connectivity"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/signal"
)

const (
	// connectTimeout bounds the time to connect to another entry host.
	connectTimeout = 300 * time.Millisecond
	// hopTimeoutMargin is subtracted from the timeout at each hop, so that the
	// forwarding host still has time to respond to its caller.
	hopTimeoutMargin = 5 * time.Millisecond
)

// forwarder forwards requests to other entry hosts over gRPC. It implements
// quay.Forwarder.
type forwarder struct {
	clients *peerClients
}

// Forward implements quay.Forwarder.
func (f *forwarder) Forward(ctx context.Context, host berth.Host, r *quay.Request, sink quay.Sink) (quay.Outcome, error) {
	client, err := f.connected(ctx, host.Address)
	if err != nil {
		return nil, &quay.Error{Op: "forward", Kind: quay.KindNotRun, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, record := withSendRecord(ctx)
	outcome, err := call(ctx, client, r, sink)
	if err != nil {
		f.discardTimedOut(ctx, host.Address)
		kind := quay.KindMayHaveRun
		if !record.sent.Load() {
			kind = quay.KindNotRun
		}
		return nil, &quay.Error{Op: "forward", Kind: kind, Err: err}
	}
	return outcome, nil
}

// call has a peer route a request, and passes the response to sink.
func call(ctx context.Context, client signal.PeersClient, r *quay.Request, sink quay.Sink) (quay.Outcome, error) {
	stream, err := client.Forward(ctx, newForwardRequest(ctx, r))
	if err != nil {
		return nil, err
	}
	return relay(stream, sink)
}

var errNotConnected = errors.New("entry host cannot be reached")

// connected returns a client whose connection is established. If it fails, no
// byte of the request has been sent.
func (f *forwarder) connected(ctx context.Context, address string) (signal.PeersClient, error) {
	client, err := f.clients.client(address)
	if err != nil {
		return nil, err
	}
	conn := f.clients.conn(address)
	if conn == nil {
		return nil, errNotConnected
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn.Connect()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return client, nil
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return nil, errNotConnected
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, errNotConnected
		}
	}
}

// discardTimedOut closes the connection to address if the call on it has
// exceeded its deadline. The next call opens a new one.
func (f *forwarder) discardTimedOut(ctx context.Context, address string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.clients.closeConn(address)
	}
}

func newForwardRequest(ctx context.Context, r *quay.Request) *signal.ForwardRequest {
	message := &signal.ForwardRequest{
		RequestId: r.ID,
		Service:   string(r.Service),
		Key:       r.Key,
		Method:    r.Method,
		Path:      r.Path,
		Query:     r.Query,
		Headers:   encodeHeader(r.Header),
		Body:      r.Body,
		Hops:      uint32(r.Hops),
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline)-hopTimeoutMargin, time.Millisecond)
		message.TimeoutMicros = uint64(remaining.Microseconds())
	}
	return message
}

var errStreamEnded = errors.New("stream ended without an outcome")

// relay copies the chunks of a response to sink and returns the outcome at its
// end.
func relay(stream signal.Peers_ForwardClient, sink quay.Sink) (quay.Outcome, error) {
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, errStreamEnded
		}
		if err != nil {
			return nil, err
		}
		switch part := chunk.GetPart().(type) {
		case *signal.ForwardChunk_Head:
			// Hosts of earlier releases pass on invalid statuses.
			if part.Head.GetStatus() > math.MaxUint16 || !quay.IsFinalStatus(int(part.Head.GetStatus())) {
				return nil, quay.ErrInvalidStatus
			}
			err = sink.Head(int(part.Head.GetStatus()), decodeHeader(part.Head.GetHeaders()))
		case *signal.ForwardChunk_Data:
			_, err = sink.Write(part.Data)
		case *signal.ForwardChunk_End:
			return decodeOutcome(part.End), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func decodeHeader(headers []*signal.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		header.Add(h.GetName(), h.GetValue())
	}
	return header
}
