package jetty

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// maxRelays bounds the requests of other hosts that are under way, and maxCarried those
	// with the ones that this host sends as a carrier.
	maxRelays  = 64
	maxCarried = 1024
	// relayGoTimeout is how long an accepted request keeps its slot before it is
	// to be sent.
	relayGoTimeout = 250 * time.Millisecond
	// maxRelayConnects is the number of servers to which a relayed request is sent
	// until a connection can be opened.
	maxRelayConnects = 3
)

type relayServerStream = grpc.BidiStreamingServer[signal.RelayMessage, signal.RelayReply]

// relayServer sends the requests of other entry hosts to backend servers. Each is
// one send: attempts, retries and second sends are up to the first host. It
// implements signal.RelayServer.
type relayServer struct {
	signal.UnimplementedRelayServer

	forwarder *forwarder
	stopping  func() bool
	inFlight  atomic.Int64
}

// relayedRequest is a request of another entry host while this host handles it.
type relayedRequest struct {
	*forwarder
	stream relayServerStream
	r      *request
	req    *sluice.Request
	adm    *admission
	// permit is that of the server's coordinator for the present send, if any.
	permit *permit
	// carried is set if this host is a carrier of the first host.
	carried bool
	// accepted is when the offer was accepted.
	accepted time.Time
	messages chan *signal.RelayMessage
}

// Forward implements signal.RelayServer.
func (s *relayServer) Forward(stream relayServerStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	offer := first.GetOffer()
	if offer == nil {
		return status.Error(codes.InvalidArgument, "no offer")
	}
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	defer s.inFlight.Add(-1)
	limit := int64(maxRelays)
	if offer.GetCarried() {
		limit = maxCarried
	}
	switch full := s.inFlight.Add(1) > limit; {
	case s.stopping():
		return refuseRelay(stream, sluice.Refuse{Reason: sluice.Reason(reasonHostStopping), RetryAfter: stoppingRetryAfter})
	case full && offer.GetCarried():
		return refuseRelay(stream, sluice.Refuse{Reason: sluice.Reason(reasonCarrierFull), RetryAfter: exhaustedRetryAfter})
	case full:
		return refuseRelay(stream, sluice.Refuse{Reason: sluice.ReasonOverload, RetryAfter: exhaustedRetryAfter})
	case s.forwarder.reach.cut():
		return refuseRelay(stream, sluice.Refuse{Reason: sluice.ReasonSuspected, RetryAfter: exhaustedRetryAfter})
	}
	r, ok := s.request(offer)
	if !ok {
		return refuseRelay(stream, sluice.Refuse{Reason: sluice.ReasonNoServer, RetryAfter: exhaustedRetryAfter})
	}
	if r.body, ok = s.forwarder.bodies.reserve(int64(offer.GetBodyBytes())); !ok {
		return refuseRelay(stream, sluice.Refuse{Reason: sluice.Reason(reasonNoMemory), RetryAfter: s.forwarder.bodies.retryAfter(time.Now())})
	}
	defer r.body.release()
	defer r.answers.end()
	adm := s.forwarder.admissions.get(r.service, s.forwarder.clusterState.catalog())
	req := &sluice.Request{
		Route:         r.route.Name,
		Priority:      r.route.Priority,
		Key:           r.key,
		Objective:     r.route.Objective,
		SoftDeadline:  instantOf(r.arrived.Add(time.Duration(offer.GetSoftLeftMicros()) * time.Microsecond)),
		Deadline:      instantOf(r.deadline),
		ResponseBytes: offer.GetResponseBytes(),
	}
	for _, id := range offer.GetTried() {
		req.Tried = append(req.Tried, fairway.ServerID(id))
	}
	relayed := &relayedRequest{
		forwarder: s.forwarder, stream: stream, r: r, req: req, adm: adm, carried: offer.GetCarried(), messages: make(chan *signal.RelayMessage),
	}
	return relayed.run(int(offer.GetBodyBytes()))
}

// request returns the request that an offer describes, or false if this host does
// not know its service or cannot take its body.
func (s *relayServer) request(offer *signal.RelayOffer) (*request, bool) {
	config := s.forwarder.clusterState.activeConfig.Current()
	if config == nil || offer.GetBodyBytes() > maxRelayedBodyBytes {
		return nil, false
	}
	service := config.Services[fairway.ServiceName(offer.GetService())]
	if service == nil || service.Divided != (offer.Key != nil) {
		return nil, false
	}
	repeat := fairway.RepeatNever
	if offer.GetRepeatable() {
		repeat = fairway.RepeatAllowed
	}
	now := time.Now()
	r := &request{
		id: offer.GetRequestId(), service: service, config: config, arrived: now,
		route: &fairway.Route{
			Name: fairway.RouteName(offer.GetRoute()), Repeat: repeat, Priority: int(offer.GetPriority()),
			Objective: time.Duration(offer.GetObjectiveMicros()) * time.Microsecond, MaxAttempts: 1,
		},
		deadline: now.Add(time.Duration(offer.GetLeftMicros()) * time.Microsecond),
		outgoingRequest: outgoingRequest{
			Method: offer.GetMethod(), Target: offer.GetTarget(), Host: offer.GetHostHeader(), Header: make(http.Header),
		},
	}
	for _, h := range offer.GetHeaders() {
		r.outgoingRequest.Header.Add(h.GetName(), string(h.GetValue()))
	}
	if offer.Key != nil {
		key := mooring.Key(offer.GetKey())
		r.key = &key
	}
	return r, true
}

func refuseRelay(stream relayServerStream, d sluice.Refuse) error {
	return stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Refused{Refused: &signal.RelayRefusal{
		Reason: string(d.Reason), RetryAfterMillis: uint64(d.RetryAfter.Milliseconds()),
	}}})
}

// run admits the request, has it confirmed, and sends it. The context of the stream
// ends when the caller leaves or the first host is lost.
func (q *relayedRequest) run(bodyBytes int) error {
	ctx, unbind := q.drain.bind(q.stream.Context())
	defer unbind()
	server, refusal := q.acquire(ctx)
	switch {
	case refusal != nil:
		return refuseRelay(q.stream, *refusal)
	case server == nil:
		return status.Error(codes.Canceled, "the request was given up")
	case !q.r.answers.reserveForward(q.bodies):
		q.finish(*server, sluice.OutcomeCanceled, 0)
		return refuseRelay(q.stream, sluice.Refuse{Reason: sluice.Reason(reasonNoMemory), RetryAfter: q.bodies.retryAfter(time.Now())})
	}
	if !q.carried {
		if err := q.confirm(ctx, *server, bodyBytes); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithDeadline(ctx, q.r.deadline)
	defer cancel()
	return q.send(ctx, *server)
}

// confirm accepts the offer, and waits until the request is to be sent.
func (q *relayedRequest) confirm(ctx context.Context, server fairway.Endpoint, bodyBytes int) error {
	q.accepted = time.Now()
	err := q.stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Accepted{Accepted: &signal.RelayAccepted{Server: string(server.ID)}}})
	if err == nil {
		err = q.receive(ctx, bodyBytes)
	}
	if err != nil {
		q.finish(server, sluice.OutcomeCanceled, 0)
	}
	return err
}

// acquire waits for admission. It returns neither a server nor a refusal if ctx is
// done before that.
func (q *relayedRequest) acquire(ctx context.Context) (*fairway.Endpoint, *sluice.Refuse) {
	ctx, cancel := context.WithDeadline(ctx, q.r.deadline)
	defer cancel()
	ctx, unbind := q.drain.bindQueued(ctx, q.r.deadline)
	defer unbind()
	decision, permit := q.admit(ctx, q.adm, q.r, q.req)
	q.permit = permit
	switch decision := decision.(type) {
	case sluice.Dispatch:
		return &decision.Server, nil
	case sluice.Refuse:
		return nil, &decision
	default:
		return nil, nil
	}
}

func (q *relayedRequest) finish(s fairway.Endpoint, outcome sluice.Outcome, took time.Duration) {
	q.adm.finish(sluice.ServerInstanceOf(s), q.r.route.Name, outcome, took, q.r.route.Objective)
	q.permit.release(outcome, took)
}

// readLoop passes on the messages of the first host. It ends with the stream.
func (q *relayedRequest) readLoop() {
	defer close(q.messages)
	defer q.recoverer.at(placePeerCall, nil)
	for {
		m, err := q.stream.Recv()
		if err != nil {
			return
		}
		select {
		case q.messages <- m:
		case <-q.stream.Context().Done():
			return
		}
	}
}

// receive waits for the RelayGo of the request, and for its body. It sets the
// deadline: the time left counts from the acceptance, which came before the first
// host determined it, so the deadline is never later than the caller's.
func (q *relayedRequest) receive(ctx context.Context, bodyBytes int) error {
	go q.readLoop()
	timer := time.NewTimer(relayGoTimeout)
	defer timer.Stop()
	var started bool
	body := make([]byte, 0, bodyBytes)
	for !started || len(body) < bodyBytes {
		select {
		case m, ok := <-q.messages:
			switch {
			case !ok:
				return status.Error(codes.Canceled, "the request was given up")
			case !started:
				if m.GetGo() == nil {
					return status.Error(codes.InvalidArgument, "no go")
				}
				started = true
				left := time.Duration(m.GetGo().GetLeftMicros()) * time.Microsecond
				if deadline := q.accepted.Add(left); deadline.Before(q.r.deadline) {
					q.r.deadline = deadline
				}
				timer.Reset(time.Until(q.r.deadline))
			default:
				body = append(body, m.GetData()...)
			}
		case <-timer.C:
			return status.Error(codes.DeadlineExceeded, "the request did not come in time")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if len(body) > bodyBytes {
		return status.Error(codes.InvalidArgument, "the body is too long")
	}
	q.r.outgoingRequest.Body = body
	return nil
}

// send sends the request once. It moves on to another server while connections cannot
// be opened.
func (q *relayedRequest) send(ctx context.Context, s fairway.Endpoint) error {
	for connects := 1; ; connects++ {
		began := time.Now()
		q.metrics.requestSent(q.r.service.Name, connects > 1)
		resp, err := q.roundTrip(ctx, q.r, s)
		took := time.Since(began)
		if err == nil {
			return q.pass(ctx, s, resp, took)
		}
		if errors.Is(ctx.Err(), context.Canceled) || kindOf(err) == KindCanceled {
			q.finish(s, sluice.OutcomeCanceled, took)
			return q.fail(ctx, s, err)
		}
		q.finish(s, failureOutcome(err), took)
		q.logs.sendFailed(q.r, s, "", err)
		if kindOf(err) != KindNotSent || connects == maxRelayConnects {
			return q.fail(ctx, s, err)
		}
		q.req.Tried = append(q.req.Tried, s.ID)
		q.req.Deadline = instantOf(q.r.deadline)
		next, _ := q.acquire(ctx)
		if next == nil {
			return q.fail(ctx, s, err)
		}
		s = *next
	}
}

// fail reports a send that ended without a response. A timeout is the end of the
// request's time; a server that acknowledges nothing fails as with a reset.
func (q *relayedRequest) fail(ctx context.Context, s fairway.Endpoint, err error) error {
	kind := signal.RelayFailureKind_RELAY_FAILURE_KIND_RESET
	switch kindOf(err) {
	case KindNotSent:
		kind = signal.RelayFailureKind_RELAY_FAILURE_KIND_NOT_SENT
	case KindTimeout:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = signal.RelayFailureKind_RELAY_FAILURE_KIND_TIMEOUT
		}
	case KindInvalidResponse:
		kind = signal.RelayFailureKind_RELAY_FAILURE_KIND_INVALID
	default:
	}
	return q.stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Failed{Failed: &signal.RelayFailure{
		Kind: kind, Error: err.Error(), Server: string(s.ID),
		ServerEnded: kindOf(err) == KindServerEnded, Incarnation: int64(s.Incarnation), Version: string(s.Version),
	}}})
}

// pass passes a response on as it is. A response that breaks off gets no end.
func (q *relayedRequest) pass(ctx context.Context, s fairway.Endpoint, resp *backendResponse, took time.Duration) error {
	outcome := q.serverOutcome(q.r, resp)
	q.finish(s, outcome, took)
	if outcome == sluice.OutcomeAnswered {
		q.adm.recordResponse(q.r.route.Name, s.ID, len(resp.body), took)
	}
	if resp.remaining != nil {
		stop := context.AfterFunc(ctx, resp.interrupt)
		defer stop()
	}
	err := q.passBody(s, resp, took)
	if resp.finish != nil {
		resp.finish(err == nil)
	}
	return err
}

func (q *relayedRequest) passBody(s fairway.Endpoint, resp *backendResponse, took time.Duration) error {
	head := &signal.RelayHead{
		Status: uint32(resp.status), Headers: relayHeaders(resp.header), Server: string(s.ID), TookMicros: uint64(took.Microseconds()),
		ServerIncarnation: int64(s.Incarnation),
	}
	if q.carried && resp.remaining == nil {
		head.Whole, head.Body = true, resp.body
	}
	err := q.stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Head{Head: head}})
	if err != nil || head.Whole {
		return err
	}
	w := &relayWriter{stream: q.stream}
	_, err = w.Write(resp.body)
	if err == nil && resp.remaining != nil {
		_, err = io.CopyBuffer(w, resp.remaining, make([]byte, relayChunkBytes))
	}
	if err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return q.stream.Send(&signal.RelayReply{Part: &signal.RelayReply_End{End: &signal.RelayEnd{Bytes: w.total}}})
}

// relayWriter writes the body of a response to a stream.
type relayWriter struct {
	stream relayServerStream
	total  uint64
}

// Write implements io.Writer.
func (w *relayWriter) Write(data []byte) (int, error) {
	n := 0
	for n < len(data) {
		chunk := data[n:min(n+relayChunkBytes, len(data))]
		if err := w.stream.Send(&signal.RelayReply{Part: &signal.RelayReply_Data{Data: chunk}}); err != nil {
			return n, err
		}
		n += len(chunk)
		w.total += uint64(len(chunk))
	}
	return n, nil
}
