package jetty

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// hopTimeout bounds the time until a peer confirms that it has an offer.
	hopTimeout = 150 * time.Millisecond
	// maxOfferFraction is the part of the time left for which an offer may wait in
	// the queue of a peer. The rest is for another peer.
	maxOfferFraction = 0.5
	// maxOfferedPeers is the number of peers to which a request is offered.
	maxOfferedPeers = 2
	// relayChunkBytes is the size of the messages that carry bodies.
	relayChunkBytes = 32 << 10
	// maxRelayedBodyBytes bounds the request bodies that are passed on, which the
	// peer keeps in memory.
	maxRelayedBodyBytes = 1 << 20
)

var (
	errRelayNotAccepted = errors.New("no peer has accepted the request")
	errRelayCut         = errors.New("the peer's response has no end")
	errRelayMessage     = errors.New("unexpected message of the peer")
	errCrashSuspected   = errors.New("a server has ended under the same request meanwhile")
)

// relayClient passes requests on to peers.
type relayClient struct {
	host    HostID
	headers Headers
	conns   *peerConns
	reach   reachability
	notices *notices
	loads   *serverLoads
	// bodies bounds the memory of responses; nil means no limit.
	bodies *bodyBudget
}

// relayCall passes one request on. Its results are set by run.
type relayCall struct {
	*relayClient
	r     *request
	offer *signal.RelayOffer
	peers []peerAddress
	// carried is set if the peers are carriers of the request's server.
	carried bool
	// caller is done once the caller has left. It outlives the context of run,
	// so that a long response can still be read.
	caller context.Context

	// offers are those made.
	offers []relayedOffer
	// refused is the last refusal of a peer, if none has accepted the offer.
	refused *sluice.Refuse
	// server is the one to which the peer sends the request.
	server fairway.ServerID
	// ended is the server if it has ended with the request.
	ended fairway.Endpoint
	// mayGo reports whether an accepted request may still be sent.
	mayGo func() bool
}

// relayedOffer is what became of the offer to a peer: it was accepted unless there is a
// refusal or an error.
type relayedOffer struct {
	peer    peerAddress
	refused *sluice.Refuse
	err     error
}

// relayHop is the stream of one request to one peer.
type relayHop struct {
	peer   peerAddress
	stream grpc.BidiStreamingClient[signal.RelayMessage, signal.RelayReply]
	cancel context.CancelFunc
	// unbind separates the stream from the context of the attempt.
	unbind func() bool
}

// relayOffer returns the offer of a request that was sent to the servers tried.
func (c *relayClient) relayOffer(r *request, req *sluice.Request, tried []fairway.ServerID) *signal.RelayOffer {
	offer := &signal.RelayOffer{
		Host: string(c.host), RequestId: r.id, Service: string(r.service.Name), Route: string(r.route.Name),
		Method: r.outgoingRequest.Method, Target: r.outgoingRequest.Target, HostHeader: r.outgoingRequest.Host,
		Headers: relayHeaders(r.outgoingRequest.Header), BodyBytes: uint64(len(r.outgoingRequest.Body)),
		Priority: int32(req.Priority), ObjectiveMicros: uint64(max(req.Objective, 0).Microseconds()),
		Repeatable: r.repeatable(), ResponseBytes: req.ResponseBytes,
	}
	if r.key != nil {
		key := uint32(*r.key)
		offer.Key = &key
	}
	for _, id := range tried {
		offer.Tried = append(offer.Tried, string(id))
	}
	return offer
}

// run offers the request to the peers in turn. Once one has accepted it, the request
// is sent, and offered to no other. Errors of the kind KindNotSent mean that it
// has not been sent.
func (c *relayCall) run(ctx context.Context) (*backendResponse, error) {
	err := error(&Error{Op: "relay", Kind: KindNotSent, Err: errRelayNotAccepted})
	for _, peer := range c.peers {
		if ctx.Err() != nil {
			break
		}
		hop, hopErr := c.open(ctx, peer)
		if hopErr != nil {
			err = &Error{Op: "relay to " + string(peer), Kind: KindNotSent, Err: hopErr}
			c.offers = append(c.offers, relayedOffer{peer: peer, err: hopErr})
			continue
		}
		if c.carried {
			resp, err := c.awaitCarried(ctx, hop)
			if err != nil || resp == nil || resp.remaining == nil {
				hop.close()
			}
			if resp != nil || err != nil || c.refusedForAll() {
				return resp, c.notSentIfRefused(err)
			}
			continue
		}
		accepted, hopErr := c.awaitAcceptance(ctx, hop)
		if !accepted {
			hop.close()
			if hopErr != nil {
				err = &Error{Op: "relay to " + string(peer), Kind: KindNotSent, Err: hopErr}
			}
			continue
		}
		c.refused = nil
		resp, err := c.exchange(ctx, hop)
		if err != nil || resp.remaining == nil {
			hop.close()
		}
		return resp, err
	}
	return nil, err
}

// refusedForAll reports whether a carrier has refused the request for a reason that holds
// for other hosts as well: it knows the load of the server.
func (c *relayCall) refusedForAll() bool {
	if !c.carried || c.refused == nil {
		return false
	}
	switch c.refused.Reason {
	case sluice.ReasonOverload, sluice.ReasonTooLate, sluice.ReasonNoOwner, sluice.ReasonClosed:
		return true
	default:
		return false
	}
}

// isFinal reports whether the request is not sent in another way after its last refusal.
// Two carriers that do not reach the server are enough to tell.
func (c *relayCall) isFinal() bool {
	return c.refused != nil && (!c.carried || c.refusedForAll() || c.refused.Reason == sluice.ReasonSuspected && len(c.offers) >= carriersPerServer)
}

// close ends the stream.
func (h *relayHop) close() {
	h.unbind()
	h.cancel()
}

// open opens a stream to a peer and offers the request. It returns once the peer has
// confirmed that it has the offer.
func (c *relayCall) open(ctx context.Context, peer peerAddress) (*relayHop, error) {
	conn, err := c.conns.get(peer)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithDeadline(c.caller, c.r.deadline)
	hop := &relayHop{peer: peer, cancel: cancel, unbind: context.AfterFunc(ctx, cancel)}
	timer := time.AfterFunc(hopTimeout, cancel)
	offer := c.offer
	offer.SoftLeftMicros = time.Until(c.r.arrived.Add(c.r.route.Objective)).Microseconds()
	offer.LeftMicros = uint64(max(time.Until(c.r.deadline), 0).Microseconds())
	hop.stream, err = signal.NewRelayClient(conn).Forward(streamCtx)
	if err == nil {
		err = hop.stream.Send(&signal.RelayMessage{Part: &signal.RelayMessage_Offer{Offer: offer}})
	}
	if err == nil && c.carried {
		err = hop.stream.CloseSend()
	}
	if err == nil {
		_, err = hop.stream.Header()
	}
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		hop.close()
		c.recordBreak(ctx, peer, err)
		return nil, err
	}
	c.reach.recordHop(peer, nil)
	return hop, nil
}

// awaitCarried reads the answer of a carrier, which sends the request without further word.
// It returns neither a response nor an error if the carrier has refused. If the carrier is
// lost, the request may have been sent.
func (c *relayCall) awaitCarried(ctx context.Context, hop *relayHop) (*backendResponse, error) {
	reply, err := hop.stream.Recv()
	if err != nil {
		c.recordBreak(ctx, hop.peer, err)
		c.offers = append(c.offers, relayedOffer{peer: hop.peer, err: err})
		return nil, c.classifyError(ctx, err)
	}
	switch part := reply.GetPart().(type) {
	case *signal.RelayReply_Refused:
		c.recordRefusal(hop.peer, part.Refused)
		return nil, nil
	case *signal.RelayReply_Failed:
		c.recordAcceptance(hop.peer)
		return nil, c.failure(part.Failed)
	case *signal.RelayReply_Head:
		c.recordAcceptance(hop.peer)
		return c.readResponse(ctx, hop, part.Head)
	default:
		return nil, &Error{Op: "relay", Kind: KindInvalidResponse, Err: errRelayMessage}
	}
}

// notSentIfRefused returns err, or the error of a request that a carrier has refused.
func (c *relayCall) notSentIfRefused(err error) error {
	if err == nil && c.refused != nil {
		return &Error{Op: "relay", Kind: KindNotSent, Err: errRelayNotAccepted}
	}
	return err
}

func (c *relayCall) recordAcceptance(peer peerAddress) {
	c.refused = nil
	c.offers = append(c.offers, relayedOffer{peer: peer})
}

func (c *relayCall) recordRefusal(peer peerAddress, r *signal.RelayRefusal) {
	c.refused = &sluice.Refuse{
		Reason:     relayReason(r.GetReason()),
		RetryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond,
	}
	c.offers = append(c.offers, relayedOffer{peer: peer, refused: c.refused})
}

// awaitAcceptance waits until the peer has accepted the offer. It sets refused if the
// peer has refused it.
func (c *relayCall) awaitAcceptance(ctx context.Context, hop *relayHop) (bool, error) {
	timer := time.AfterFunc(time.Duration(maxOfferFraction*float64(time.Until(c.r.deadline))), hop.cancel)
	reply, err := hop.stream.Recv()
	inTime := timer.Stop()
	if err == nil && !inTime {
		err = context.DeadlineExceeded
	}
	if err == nil {
		switch part := reply.GetPart().(type) {
		case *signal.RelayReply_Accepted:
			c.server = fairway.ServerID(part.Accepted.GetServer())
			c.recordAcceptance(hop.peer)
			return true, nil
		case *signal.RelayReply_Refused:
			c.recordRefusal(hop.peer, part.Refused)
			return false, nil
		default:
			err = errRelayMessage
		}
	}
	if inTime {
		c.recordBreak(ctx, hop.peer, err)
	}
	c.offers = append(c.offers, relayedOffer{peer: hop.peer, err: err})
	return false, err
}

// recordBreak records a hop that broke, unless this host ended it.
func (c *relayCall) recordBreak(ctx context.Context, peer peerAddress, err error) {
	if ctx.Err() == nil && c.caller.Err() == nil && time.Until(c.r.deadline) > 0 {
		c.reach.recordHop(peer, err)
	}
}

// relayReason returns the reason of a refusal by a peer. Those that this host does
// not know are not passed on.
func relayReason(text string) sluice.Reason {
	if text != "" && slices.Contains(reasons, reason(text)) {
		return sluice.Reason(text)
	}
	return sluice.ReasonOverload
}

// exchange has an accepted request sent and reads its response.
func (c *relayCall) exchange(ctx context.Context, hop *relayHop) (*backendResponse, error) {
	left := time.Until(c.r.deadline)
	switch {
	case left <= 0 || ctx.Err() != nil:
		return nil, &Error{Op: "relay", Kind: KindNotSent, Err: context.DeadlineExceeded}
	case !c.mayGo():
		return nil, &Error{Op: "relay", Kind: KindNotSent, Err: errCrashSuspected}
	}
	// A failure to send shows in what is received.
	_ = hop.stream.Send(&signal.RelayMessage{Part: &signal.RelayMessage_Go{Go: &signal.RelayGo{LeftMicros: uint64(left.Microseconds())}}})
	for chunk := range slices.Chunk(c.r.outgoingRequest.Body, relayChunkBytes) {
		if err := hop.stream.Send(&signal.RelayMessage{Part: &signal.RelayMessage_Data{Data: chunk}}); err != nil {
			break
		}
	}
	_ = hop.stream.CloseSend()
	reply, err := hop.stream.Recv()
	if err != nil {
		c.recordBreak(ctx, hop.peer, err)
		return nil, c.classifyError(ctx, err)
	}
	switch part := reply.GetPart().(type) {
	case *signal.RelayReply_Failed:
		return nil, c.failure(part.Failed)
	case *signal.RelayReply_Head:
		return c.readResponse(ctx, hop, part.Head)
	default:
		return nil, &Error{Op: "relay", Kind: KindInvalidResponse, Err: errRelayMessage}
	}
}

// classifyError returns the error of a stream that broke after the request may have
// been sent.
func (c *relayCall) classifyError(ctx context.Context, err error) error {
	kind := KindReset
	switch {
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		kind = KindCanceled
	case ctx.Err() != nil, time.Until(c.r.deadline) <= 0:
		kind = KindTimeout
	}
	return &Error{Op: "relay", Kind: kind, Err: err}
}

// failure returns the error that the peer reports.
func (c *relayCall) failure(f *signal.RelayFailure) error {
	if f.GetServer() != "" {
		c.server = fairway.ServerID(f.GetServer())
	}
	kind := KindReset
	if f.GetServerEnded() {
		kind = KindServerEnded
		c.ended = fairway.Endpoint{
			ID: c.server, Incarnation: fairway.Incarnation(f.GetIncarnation()), Version: fairway.SoftwareVersion(f.GetVersion()),
		}
	}
	switch f.GetKind() {
	case signal.RelayFailureKind_RELAY_FAILURE_KIND_NOT_SENT:
		kind = KindNotSent
	case signal.RelayFailureKind_RELAY_FAILURE_KIND_TIMEOUT:
		kind = KindTimeout
	case signal.RelayFailureKind_RELAY_FAILURE_KIND_INVALID:
		kind = KindInvalidResponse
	default:
	}
	return &Error{Op: "relay", Kind: kind, Err: errors.New(f.GetError())}
}

// readResponse reads a response: whole, or up to maxBufferedBytes if it is longer, and up to unreservedBytes if
// there is no room for it.
func (c *relayCall) readResponse(ctx context.Context, hop *relayHop, head *signal.RelayHead) (*backendResponse, error) {
	c.server = fairway.ServerID(head.GetServer())
	// Hosts of earlier releases pass on invalid statuses.
	if head.GetStatus() > math.MaxUint16 || !isFinalStatus(int(head.GetStatus())) {
		return nil, &Error{Op: "relay", Kind: KindInvalidResponse, Err: errInvalidStatus}
	}
	resp := &backendResponse{status: int(head.GetStatus()), header: make(http.Header), server: c.server}
	for _, h := range head.GetHeaders() {
		resp.header.Add(h.GetName(), string(h.GetValue()))
	}
	notRun := resp.header.Get(c.headers.NotRun) != "" || resp.status == http.StatusMisdirectedRequest
	if resp.header.Get(c.headers.RequestID) != c.r.id && !notRun {
		return nil, &Error{Op: "relay", Kind: KindInvalidResponse, Err: errNoRequestID}
	}
	from := sluice.ServerInstance{Server: c.server, Incarnation: fairway.Incarnation(head.GetServerIncarnation())}
	c.notices.observeRelayed(c.r, from, resp.status, resp.header, monotonicNow())
	c.loads.observeRelayed(c.r, from, resp.status, resp.header, monotonicNow())
	if head.GetWhole() {
		resp.body = head.GetBody()
		// It is in memory already, so it is used whether there is room or not.
		_ = c.r.answers.reserve(c.bodies, int64(len(resp.body)))
		return resp, nil
	}
	body := &relayBody{stream: hop.stream}
	limit := int64(maxBufferedBytes)
	room := c.r.answers.reserve(c.bodies, contentLength(resp.header))
	if room == nil {
		limit = unreservedBytes
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if room != nil {
		room.shrink(int64(len(data)))
	}
	if err != nil {
		return nil, c.classifyError(ctx, err)
	}
	resp.body = data
	if int64(len(data)) > limit {
		if !hop.unbind() {
			return nil, c.classifyError(ctx, errRelayCut)
		}
		resp.remaining = body
		resp.finish, resp.interrupt = func(bool) { hop.cancel() }, hop.cancel
	}
	return resp, nil
}

// contentLength returns the length that a header states, or -1 if it states none.
func contentLength(h http.Header) int64 {
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		return n
	}
	return -1
}

// relayBody reads the body of a response from a stream. It reports io.EOF only once
// the peer has stated the end.
type relayBody struct {
	stream grpc.BidiStreamingClient[signal.RelayMessage, signal.RelayReply]
	data   []byte
	total  uint64
	err    error
}

// Read implements io.Reader.
func (b *relayBody) Read(p []byte) (int, error) {
	for len(b.data) == 0 && b.err == nil {
		b.receive()
	}
	if len(b.data) == 0 {
		return 0, b.err
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *relayBody) receive() {
	reply, err := b.stream.Recv()
	if err != nil {
		b.err = fmt.Errorf("%w: %w", errRelayCut, noEOF(err))
		return
	}
	switch part := reply.GetPart().(type) {
	case *signal.RelayReply_Data:
		b.data = part.Data
		b.total += uint64(len(part.Data))
	case *signal.RelayReply_End:
		b.err = io.EOF
		if part.End.GetBytes() != b.total {
			b.err = errRelayCut
		}
	default:
		b.err = errRelayMessage
	}
}

// noEOF replaces io.EOF, which would make a cut body look whole.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// relayHeaders converts headers to their form in a relay.
func relayHeaders(h http.Header) []*signal.RelayHeader {
	var headers []*signal.RelayHeader
	for name, values := range h {
		for _, value := range values {
			headers = append(headers, &signal.RelayHeader{Name: name, Value: []byte(value)})
		}
	}
	return headers
}
