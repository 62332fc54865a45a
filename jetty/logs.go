package jetty

import (
	"io"
	stdlog "log"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// Limits of lines per second for each class of lines. Together they bound
	// the log of a host to about 40 KB/s.
	successLinesPerSecond = 5
	failureLinesPerSecond = 60
	systemLinesPerSecond  = 100
	closedLinesPerSecond  = 5
)

// logs writes the decision log, one JSON object per line. Each class of lines
// is rate limited; the number of dropped lines is part of a later line.
type logs struct {
	logger  *log.Logger
	queue   *logQueue
	success lineLimiter
	failed  lineLimiter
	system  lineLimiter
	closed  lineLimiter
	// leftOut counts the dropped lines since the metrics were last updated.
	leftOut atomic.Int64
}

// lineLimiter limits the lines of a class in each second.
type lineLimiter struct {
	mu      sync.Mutex
	limit   int
	second  int64
	used    int
	dropped int
}

// allow reports whether a line may be written. If so, it returns the number of
// lines dropped since the previous one.
func (l *lineLimiter) allow(now time.Time) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	if l.used >= l.limit {
		l.dropped++
		return 0, false
	}
	l.used++
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}

// newLogs returns logs that write to w, or to standard output if w is nil,
// without blocking.
func newLogs(w io.Writer, s *Settings) *logs {
	if w == nil {
		w = os.Stdout
	}
	queue := newLogQueue(w)
	logger := &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: queue},
		Context:    log.NewContext(nil).Str("host", string(s.Host)).Str("domain", string(s.Domain)).Value(),
	}
	return &logs{
		logger:  logger,
		queue:   queue,
		success: lineLimiter{limit: successLinesPerSecond},
		failed:  lineLimiter{limit: failureLinesPerSecond},
		system:  lineLimiter{limit: systemLinesPerSecond},
		closed:  lineLimiter{limit: closedLinesPerSecond},
	}
}

// stdLogger returns a logger for net/http, which reports panics of handlers and
// failures to accept connections.
func (l *logs) stdLogger() *stdlog.Logger {
	return stdlog.New(httpServerLog{logs: l}, "", 0)
}

// httpServerLog is an io.Writer that logs the messages of net/http.
type httpServerLog struct {
	logs *logs
}

// Write implements io.Writer.
func (w httpServerLog) Write(data []byte) (int, error) {
	w.logs.newLine(&w.logs.system, true).Str("text", strings.TrimSpace(string(data))).Msg(string(eventHTTPServerMessage))
	return len(data), nil
}

// newLine starts a line of a class. It returns nil if the class has reached
// its limit; the methods of a nil [log.Entry] do nothing.
func (l *logs) newLine(limiter *lineLimiter, warn bool) *log.Entry {
	dropped, ok := limiter.allow(time.Now())
	if unwritten := int(l.queue.dropped.Swap(0)); unwritten > 0 {
		l.leftOut.Add(int64(unwritten))
		dropped += unwritten
	}
	if !ok {
		l.leftOut.Add(1)
		return nil
	}
	e := l.logger.Info()
	if warn {
		e = l.logger.Warn()
	}
	if dropped > 0 {
		e.Int("lines_left_out", dropped)
	}
	return e
}

// close writes the lines still queued. Later lines are dropped.
func (l *logs) close() {
	l.queue.close()
}

func (l *logs) started(s *Settings, b Build) {
	l.logger.Info().
		Str("version", b.Version).
		Str("build", b.ID).
		Str("caller_address", s.CallerAddress).
		Str("peer_address", s.PeerAddress).
		Str("admin_address", s.AdminAddress).
		Str("store_address", s.StoreAddress).
		Msg(string(eventHostStarted))
}

// hostUsage logs the calls to the store and the connections opened to servers since the
// last such line.
func (l *logs) hostUsage(storeCalls, connectionsOpened []string) {
	l.newLine(&l.system, false).
		Strs("store_calls", storeCalls).
		Strs("connections_opened", connectionsOpened).
		Msg(string(eventHostUsage))
}

func (l *logs) stopping() { l.logger.Info().Msg(string(eventHostStopping)) }

// stopSummary says what a shutdown did not complete.
type stopSummary struct {
	took time.Duration
	// connectionsCut counts the callers' connections that were closed while a
	// request was being read or answered.
	connectionsCut int
}

func (l *logs) stopped(s stopSummary) {
	l.logger.Info().
		Dur("took", s.took).
		Int("connections_cut", s.connectionsCut).
		Msg(string(eventHostStopped))
}

func (l *logs) settingsReloaded(err error) {
	l.logger.Info().Err(err).Msg(string(eventSettingsReloaded))
}

func (l *logs) dependencyLost(dependency string, err error) {
	l.logger.Warn().Str("dependency", dependency).Err(err).Msg(string(eventDependencyLost))
}

func (l *logs) dependencyRegained(dependency string, after time.Duration) {
	l.logger.Info().Str("dependency", dependency).Dur("after", after).Msg(string(eventDependencyRegained))
}

// connectionClosed logs a connection to the host that is closed early.
func (l *logs) connectionClosed(reason closeReason) {
	l.newLine(&l.closed, true).Str("reason", string(reason)).Msg(string(eventConnectionClosed))
}

func (l *logs) operationFailed(op string, err error) {
	l.newLine(&l.system, true).Str("op", op).Err(err).Msg(string(eventOperationFailed))
}

func (l *logs) feedFailed(feeder string, revision ledger.Revision, err error) {
	withRevision(l.newLine(&l.system, true).Str("feeder", feeder), revision).Err(err).Msg(string(eventFeedFailed))
}

func (l *logs) storeCompacted(revision ledger.Revision) {
	withRevision(l.newLine(&l.system, true), revision).Msg(string(eventStoreCompacted))
}

// storeRestored logs that the store has come back from an older copy.
func (l *logs) storeRestored(before, revision ledger.Revision) {
	withRevision(l.newLine(&l.system, true), revision).
		Uint64("revision_before", before.Number()).
		Uint32("store_era_before", uint32(before.Era())).
		Msg(string(eventStoreRestored))
}

// recalled logs what another host has told this one, which has just started, of what the
// store may have forgotten.
func (l *logs) recalled(peer string, reply *signal.RecallReply, err error) {
	l.newLine(&l.system, err != nil).
		Str("peer", peer).
		Bool("configuration", reply.GetConfig() != nil).
		Int("departures", len(reply.GetDepartures())).
		Int("tables", len(reply.GetTables())).
		Int("servers", len(reply.GetServers())).
		Err(err).
		Msg(string(eventRecalled))
}

// withRevision adds a revision as the store counts it, and its era if the store states
// one.
func withRevision(e *log.Entry, revision ledger.Revision) *log.Entry {
	e = e.Uint64("revision", revision.Number())
	if era := revision.Era(); era != 0 {
		e = e.Uint32("store_era", uint32(era))
	}
	return e
}

func (l *logs) configApplied(c *fairway.Config) {
	l.newLine(&l.system, false).Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Dur("idle_timeout", c.Limits.IdleTimeout).Msg(string(eventConfigurationInForce))
}

// evacuationBegan logs that this host has read the key of an evacuation.
func (l *logs) evacuationBegan(domain fairway.Domain, bound time.Duration) {
	l.logger.Info().Str("evacuated_domain", string(domain)).Dur("bound", bound).Msg(string(eventEvacuationBegan))
}

// evacuationEmpty logs that the servers of an evacuated domain have no more requests of this
// host, and get none.
func (l *logs) evacuationEmpty(domain fairway.Domain, after time.Duration) {
	l.logger.Info().Str("evacuated_domain", string(domain)).Dur("after", after).Msg(string(eventEvacuationEmpty))
}

// evacuationEnded logs that the key of an evacuation is gone.
func (l *logs) evacuationEnded(domain fairway.Domain, lasted time.Duration) {
	l.logger.Info().Str("evacuated_domain", string(domain)).Dur("lasted", lasted).Msg(string(eventEvacuationEnded))
}

func (l *logs) serverUpdated(r ServerRecord) {
	e := l.newLine(&l.system, false).Str("server", string(r.ID))
	if r.Err != nil {
		e.Err(shortenError(r.Err)).Msg(string(eventServerRemoved))
		return
	}
	e.Str("service", string(r.Endpoint.Service)).
		Str("address", r.Endpoint.Address).
		Int64("born", int64(r.Endpoint.Incarnation)).
		Bool("draining", r.Endpoint.Draining).
		Msg(string(eventServerRegistered))
}

// limitChanged logs the limit that a server names, or that it names none any more.
func (l *logs) limitChanged(instance sluice.ServerInstance, r *limitRecord) {
	l.newLine(&l.system, false).
		Str("server", string(instance.Server)).
		Str("service", string(r.service)).
		Bool("limited", r.evidence.Limited()).
		Float64("limit", float64(r.evidence.Limit)).
		Msg(string(eventLimitChanged))
}

// serverLeaving logs that a server instance leaves according to a response to this host, or
// to another one.
func (l *logs) serverLeaving(server sluice.ServerInstance, service fairway.ServiceName, elsewhere bool) {
	l.newLine(&l.system, false).
		Str("server", string(server.Server)).
		Int64("born", int64(server.Incarnation)).
		Str("service", string(service)).
		Bool("elsewhere", elsewhere).
		Msg(string(eventServerLeaving))
}

// serverClosed logs that a server instance takes nothing from this host for some time.
func (l *logs) serverClosed(server sluice.ServerInstance, service fairway.ServiceName, d time.Duration) {
	l.newLine(&l.system, false).
		Str("server", string(server.Server)).
		Int64("born", int64(server.Incarnation)).
		Str("service", string(service)).
		Dur("closed_for", d).
		Msg(string(eventServerClosed))
}

// serverCold logs that a server instance tells that it is cold for some time.
func (l *logs) serverCold(server sluice.ServerInstance, service fairway.ServiceName, d time.Duration) {
	l.newLine(&l.system, false).
		Str("server", string(server.Server)).
		Int64("born", int64(server.Incarnation)).
		Str("service", string(service)).
		Dur("cold_for", d).
		Msg(string(eventServerCold))
}

// serverSpeed logs that the speed of a server relative to the others has changed.
func (l *logs) serverSpeed(server sluice.ServerInstance, service fairway.ServiceName, former, speed float64) {
	l.newLine(&l.system, false).
		Str("server", string(server.Server)).
		Int64("born", int64(server.Incarnation)).
		Str("service", string(service)).
		Float64("former_speed", former).
		Float64("speed", speed).
		Msg(string(eventServerSpeed))
}

// coordinatorsChanged logs which hosts coordinate.
func (l *logs) coordinatorsChanged(t *coordinatorTable) {
	l.newLine(&l.system, false).Strs("coordinators", t.names()).Msg(string(eventCoordinatorsChanged))
}

// coordinating logs that this host begins or ends to admit the requests of other hosts.
func (l *logs) coordinating(begins bool) {
	event := "ended"
	if begins {
		event = "began"
	}
	l.newLine(&l.system, false).Str("event", event).Msg(string(eventCoordinating))
}

func (l *logs) recordUnreadable(r UnreadableRecord) {
	l.newLine(&l.system, true).Str("key", r.Key).Err(shortenError(r.Err)).Msg(string(eventEntryUnreadable))
}

func (l *logs) placerChanged(p placerRecord) {
	withRevision(l.newLine(&l.system, false).Str("placer", p.address), p.revision).Msg(string(eventPlacerChanged))
}

func (l *logs) placerTerm(event string, revision ledger.Revision) {
	withRevision(l.newLine(&l.system, false).Str("event", event), revision).Msg(string(eventPlacerTerm))
}

// placerTermBegan logs the begin of a term, and what it waits for.
func (l *logs) placerTermBegan(t *term) {
	withRevision(l.newLine(&l.system, false).Str("event", "began"), t.revision).
		Bool("continued", t.continued != nil).
		Bool("era_recorded", t.fence.created).
		Bool("restored", t.fence.restored).
		Strs("earlier", t.predecessors.Addresses).
		Bool("earlier_incomplete", t.predecessors.Incomplete).
		Msg(string(eventPlacerTerm))
}

// earlierPlacersEnded logs that the terms of the earlier placers have ended.
func (l *logs) earlierPlacersEnded(earlier []string, after time.Duration) {
	l.newLine(&l.system, false).Strs("earlier", earlier).Dur("after", after).Msg(string(eventEarlierPlacersEnded))
}

// keysMoved logs the changes of a service's table.
func (l *logs) keysMoved(service fairway.ServiceName, moves []mooring.Move, revision ledger.Revision) {
	for _, m := range moves {
		e := withRevision(l.newLine(&l.system, false), revision).
			Str("service", string(service)).
			Str("keys", m.KeyRange.String()).
			Str("from", string(m.From)).
			Str("to", string(m.To)).
			Uint64("fence", uint64(m.Token)).
			Uint32("fence_era", uint32(m.Token.Era())).
			Uint64("former_fence", uint64(m.FormerToken)).
			Uint32("former_fence_era", uint32(m.FormerToken.Era())).
			Str("reason", string(m.Reason))
		if m.Proof != "" {
			e = e.Str("proof", string(m.Proof))
		}
		e.Msg(string(eventKeysMoved))
	}
}

// orderAnswered logs orders, except accepted grants, which are too frequent.
func (l *logs) orderAnswered(completed mooring.OrderCompleted, err error) {
	if completed.Result == mooring.ResultAccepted && !completed.Order.Release {
		return
	}
	l.newLine(&l.system, completed.Result != mooring.ResultAccepted).
		Str("server", string(completed.Order.To.Server)).
		Bool("release", completed.Order.Release).
		Str("keys", completed.Order.KeyRange.String()).
		Uint64("fence", uint64(completed.Order.Token)).
		Str("result", completed.Result.String()).
		Dur("took", completed.Ended.Sub(completed.Began)).
		Err(err).
		Msg(string(eventOrderAnswered))
}

func (l *logs) requestLine(limiter *lineLimiter, warn bool, r *request) *log.Entry {
	e := l.newLine(limiter, warn).Str("request_id", r.id)
	if r.config != nil {
		e.Uint64("config_version", uint64(r.config.Version))
	}
	if r.route != nil {
		e.Str("route", string(r.route.Name)).Str("service", string(r.service.Name)).Int("sends", r.sends)
	}
	if r.key != nil {
		e.Uint16("key", uint16(*r.key)).
			Uint64("fence", uint64(r.token)).
			Uint64("table_revision", ledger.Revision(r.tableRevision).Number())
	}
	return e
}

func (l *logs) requestRefused(r *request, d sluice.Refuse) {
	l.requestLine(&l.failed, true, r).
		Str("reason", string(d.Reason)).
		Int("ahead", d.Ahead).
		Dur("time_left", time.Until(r.deadline)).
		Dur("retry_after", d.RetryAfter).
		Msg(string(eventRequestRefused))
}

// requestRelayed logs the offer of a request to a peer. That a carrier has accepted it is no
// more than a success.
func (l *logs) requestRelayed(r *request, o relayedOffer, carried bool) {
	limiter, failed := &l.failed, o.refused != nil || o.err != nil
	if carried && !failed {
		limiter = &l.success
	}
	e := l.requestLine(limiter, failed, r).Str("peer", string(o.peer)).Bool("carried", carried)
	if o.refused != nil {
		e.Str("reason", string(o.refused.Reason)).Dur("retry_after", o.refused.RetryAfter)
	}
	e.Err(o.err).Msg(string(eventRequestRelayed))
}

func (l *logs) serverRejected(r *request, s fairway.Endpoint, status int) {
	l.requestLine(&l.failed, true, r).Str("server", string(s.ID)).Int("status", status).Msg(string(eventServerRejected))
}

func (l *logs) sendFailed(r *request, s fairway.Endpoint, reason reason, err error) {
	e := l.requestLine(&l.failed, true, r).Str("server", string(s.ID)).Str("reason", string(reason))
	if kindOf(err) == KindServerEnded {
		e = e.Bool("server_ended", true)
	}
	e.Err(err).Msg(string(eventSendFailed))
}

// suspectedRequest is a request that was at a server when it ended.
type suspectedRequest struct {
	digest sluice.RequestDigest
	// crashes is the number of servers that have ended under it.
	crashes int
	// alone reports whether no other suspected request was at the server.
	alone bool
	// certain reports whether it is not sent any more.
	certain bool
}

// requestSuspected logs that a server has ended while a request was there.
func (l *logs) requestSuspected(r *request, s fairway.Endpoint, suspected suspectedRequest) {
	l.requestLine(&l.system, true, r).
		Str("server", string(s.ID)).
		Str("server_version", string(s.Version)).
		Hex("fingerprint", suspected.digest.Content[:]).
		Hex("caller_fingerprint", suspected.digest.ByCaller[:]).
		Int("crashes", suspected.crashes).
		Bool("alone", suspected.alone).
		Bool("certain", suspected.certain).
		Msg(string(eventRequestSuspected))
}

// requestCleared logs that an operator has cleared a request.
func (l *logs) requestCleared(f sluice.Fingerprint) {
	l.newLine(&l.system, false).Hex("fingerprint", f[:]).Msg(string(eventRequestCleared))
}

// requestAnswered logs the end of a request.
func (l *logs) requestAnswered(r *request, res result, elapsed time.Duration) {
	limiter, warn := &l.failed, true
	if v, ok := res.(backendResponse); ok && v.status < 500 {
		limiter, warn = &l.success, false
	}
	e := l.requestLine(limiter, warn, r).Dur("took", elapsed)
	outcome, reason := outcomeOf(res)
	e.Str("outcome", string(outcome))
	switch v := res.(type) {
	case backendResponse:
		e.Str("server", string(v.server)).Int("status", v.status)
	case refusal:
		e.Str("reason", string(reason)).Dur("retry_after", v.retryAfter)
	default:
		e.Str("reason", string(reason))
	}
	if r.second != nil {
		e.Str("first_server", string(r.second.first)).Str("second_server", string(r.second.second)).Str("counted_server", string(countedServer(res)))
	}
	e.Msg(string(eventRequestAnswered))
}

// countedServer returns the server whose answer is passed on, or nothing.
func countedServer(res result) fairway.ServerID {
	if v, ok := res.(backendResponse); ok {
		return v.server
	}
	return ""
}

// outcomeOf returns the outcome and the reason by which a result is logged and
// counted.
func outcomeOf(res result) (outcome, reason) {
	switch v := res.(type) {
	case backendResponse:
		return outcomeWhole, ""
	case refusal:
		return outcomeNotRun, v.reason
	case gatewayError:
		return outcomeUnknown, v.reason
	case clientError:
		return outcomeClientError, v.reason
	default:
		return outcomeCallerLeft, ""
	}
}
