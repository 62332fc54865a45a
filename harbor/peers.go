package harbor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/signal"
)

var errQueueFull = errors.New("event queue is full; dropping the event")

// peerServer handles the gRPC calls of other entry hosts.
type peerServer struct {
	signal.UnimplementedPeersServer
	daemon *Daemon
}

// Follow implements signal.PeersServer. It passes the caller's report to the
// placer if the caller is in the same domain, and returns the table, rules and
// rosters that the caller lacks.
func (p *peerServer) Follow(_ context.Context, r *signal.FollowRequest) (*signal.FollowReply, error) {
	d := p.daemon
	if r.GetDomain() == string(d.settings.Host.Domain) {
		d.report(r)
	}
	view := d.gate.View()
	reply := &signal.FollowReply{
		Host:        string(d.settings.Host.ID),
		Incarnation: uint64(d.incarnation),
		Confirmed:   view.Confirmed,
	}
	if view.Confirmed {
		reply.AgeMicros = uint64(view.ConfirmationAge.Microseconds()) + 1
	}
	reply.Rosters = encodeRosters(d.directory.NewerThan(r.GetRosters()))
	newest := d.rulesCache.Newest().Revision
	reply.RulesRevision = uint64(newest)
	if newest > berth.RulesRevision(r.GetRulesRevision()) {
		reply.Rules = d.rulesCache.Encode()
	}
	if view.Table == nil {
		return reply, nil
	}
	reply.Epoch = uint64(view.Table.Epoch)
	reply.Version = uint64(view.Table.Version)
	if r.GetDomain() == string(d.settings.Host.Domain) && reply.GetVersion() > r.GetVersion() {
		p.addTable(reply, view.Table, view.Revision)
	}
	return reply, nil
}

func (p *peerServer) addTable(reply *signal.FollowReply, table *berth.Table, revision berth.StoreRevision) {
	value, err := berth.EncodeTable(table)
	if err != nil {
		p.daemon.logs.operationFailed("encode table", err)
		return
	}
	reply.Table = value
	reply.TableRevision = uint64(revision)
}

// report passes a host's report to the placer, if it runs on this host.
func (d *Daemon) report(r *signal.FollowRequest) {
	if !d.placerRunner.isActive() {
		return
	}
	host := berth.HostID(r.GetHost())
	d.placerRunner.post(berth.HostReported{
		Host:         host,
		Address:      r.GetAddress(),
		Incarnation:  berth.Incarnation(r.GetIncarnation()),
		Epoch:        berth.Epoch(r.GetEpoch()),
		Followed:     berth.Version(r.GetVersion()),
		Drained:      berth.Version(r.GetSettled()),
		WithinShares: berth.Version(r.GetWithinShares()),
		Leaving:      r.GetLeaving(),
	})
	for _, s := range r.GetServers() {
		id := berth.ServerID(s.GetServer())
		d.placerRunner.post(berth.ServerObserved{
			Server:    id,
			Host:      host,
			Condition: berth.Condition(s.GetCondition()),
		})
		if s.GetReleasedVersion() > 0 {
			d.placerRunner.post(berth.ServerReleased{Server: id, Version: berth.Version(s.GetReleasedVersion())})
		}
	}
	if len(r.GetHotKeys()) > 0 {
		d.placerRunner.hotKeys.set(host, r.GetHotKeys())
	}
}

// Nudge implements signal.PeersServer. It starts a round of table sync.
func (p *peerServer) Nudge(context.Context, *signal.NudgeRequest) (*signal.NudgeReply, error) {
	p.daemon.tableSync.syncNow()
	return &signal.NudgeReply{}, nil
}

// Status implements signal.PeersServer. It returns the state of this host as
// JSON.
func (p *peerServer) Status(context.Context, *signal.StatusRequest) (*signal.StatusReply, error) {
	return &signal.StatusReply{Json: p.daemon.admin.statusJSON()}, nil
}

// Forward implements signal.PeersServer. It routes a request that another entry
// host has forwarded and streams the response.
func (p *peerServer) Forward(r *signal.ForwardRequest, stream signal.Peers_ForwardServer) error {
	ctx := stream.Context()
	if r.GetTimeoutMicros() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.GetTimeoutMicros())*time.Microsecond)
		defer cancel()
	}
	sink := &streamSink{stream: stream}
	outcome := p.daemon.route(ctx, forwardedRequest(r), sink)
	return stream.Send(&signal.ForwardChunk{Part: &signal.ForwardChunk_End{End: encodeOutcome(outcome)}})
}

func forwardedRequest(r *signal.ForwardRequest) *quay.Request {
	header := make(http.Header, len(r.GetHeaders()))
	for _, h := range r.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	return &quay.Request{
		ID:      r.GetRequestId(),
		Service: berth.ServiceID(r.GetService()),
		Key:     r.GetKey(),
		Method:  r.GetMethod(),
		Path:    r.GetPath(),
		Query:   r.GetQuery(),
		Header:  header,
		Body:    r.GetBody(),
		Hops:    int(r.GetHops()),
	}
}

// streamSink writes a response to the entry host that forwarded the request.
type streamSink struct {
	stream signal.Peers_ForwardServer
}

// Head implements quay.Sink.
func (s *streamSink) Head(status int, header http.Header) error {
	head := &signal.ForwardHead{Status: uint32(status), Headers: encodeHeader(header)}
	return s.stream.Send(&signal.ForwardChunk{Part: &signal.ForwardChunk_Head{Head: head}})
}

// Write implements quay.Sink.
func (s *streamSink) Write(data []byte) (int, error) {
	err := s.stream.Send(&signal.ForwardChunk{Part: &signal.ForwardChunk_Data{Data: data}})
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

func encodeHeader(header http.Header) []*signal.Header {
	var encoded []*signal.Header
	for name, values := range header {
		for _, value := range values {
			encoded = append(encoded, &signal.Header{Name: name, Value: value})
		}
	}
	return encoded
}

func encodeOutcome(outcome quay.Outcome) *signal.ForwardEnd {
	switch o := outcome.(type) {
	case quay.Whole:
		return &signal.ForwardEnd{
			Kind: signal.OutcomeKind_OUTCOME_KIND_WHOLE, Status: uint32(o.Status), Bytes: uint64(o.Bytes),
		}
	case quay.Refused:
		return &signal.ForwardEnd{
			Kind: signal.OutcomeKind_OUTCOME_KIND_REFUSED, Reason: string(o.Reason),
			RetryAfterMillis: uint64(o.RetryAfter.Milliseconds()),
		}
	case quay.Unknown:
		return &signal.ForwardEnd{
			Kind: signal.OutcomeKind_OUTCOME_KIND_UNKNOWN, Reason: string(o.Reason),
			RetryAfterMillis: uint64(o.RetryAfter.Milliseconds()),
		}
	case quay.Invalid:
		return &signal.ForwardEnd{
			Kind: signal.OutcomeKind_OUTCOME_KIND_INVALID, Reason: string(o.Reason), Status: uint32(o.Status),
		}
	default:
		return &signal.ForwardEnd{Kind: signal.OutcomeKind_OUTCOME_KIND_CUT}
	}
}

func decodeOutcome(end *signal.ForwardEnd) quay.Outcome {
	retryAfter := time.Duration(end.GetRetryAfterMillis()) * time.Millisecond
	switch end.GetKind() {
	case signal.OutcomeKind_OUTCOME_KIND_WHOLE:
		return quay.Whole{Status: int(end.GetStatus()), Bytes: int64(end.GetBytes())}
	case signal.OutcomeKind_OUTCOME_KIND_REFUSED:
		return quay.Refused{Reason: quay.Reason(end.GetReason()), RetryAfter: retryAfter}
	case signal.OutcomeKind_OUTCOME_KIND_UNKNOWN:
		return quay.Unknown{Reason: quay.Reason(end.GetReason()), RetryAfter: retryAfter}
	case signal.OutcomeKind_OUTCOME_KIND_INVALID:
		return quay.Invalid{Status: int(end.GetStatus()), Reason: quay.Reason(end.GetReason())}
	default:
		return quay.Truncated{Bytes: int64(end.GetBytes())}
	}
}
