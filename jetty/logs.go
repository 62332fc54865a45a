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
	"hornbeamwinch.example/sluice"
)

const (
	// Budgets of lines a second for each class of lines. Together they bound
	// the log of a host to about 40 KB/s.
	successLines = 5
	failureLines = 60
	beliefLines  = 100
)

// logs writes the decision log: a JSON object a line. Each class of lines has
// a budget; what is left out is counted in a later line.
type logs struct {
	logger  *log.Logger
	queue   *lineQueue
	success lineBudget
	failed  lineBudget
	belief  lineBudget
	// leftOut counts the lines left out since they were last counted.
	leftOut atomic.Int64
}

// lineBudget bounds the lines of a class in each second.
type lineBudget struct {
	mu      sync.Mutex
	limit   int
	second  int64
	used    int
	dropped int
}

// take allows a line, or reports false. It returns the number of lines left
// out since the last one.
func (b *lineBudget) take(now time.Time) (dropped int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	if b.used >= b.limit {
		b.dropped++
		return 0, false
	}
	b.used++
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

// newLogs returns logs that write to w without blocking.
func newLogs(w io.Writer, s *Settings) *logs {
	if w == nil {
		w = os.Stdout
	}
	queue := newLineQueue(w)
	logger := &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: queue},
		Context:    log.NewContext(nil).Str("host", string(s.Host)).Str("domain", string(s.Domain)).Value(),
	}
	return &logs{
		logger:  logger,
		queue:   queue,
		success: lineBudget{limit: successLines},
		failed:  lineBudget{limit: failureLines},
		belief:  lineBudget{limit: beliefLines},
	}
}

// standard returns a logger for net/http, which reports panics of handlers and
// connections that cannot be accepted.
func (l *logs) standard() *stdlog.Logger {
	return stdlog.New(serverMessages{logs: l}, "", 0)
}

// serverMessages logs the messages of net/http.
type serverMessages struct {
	logs *logs
}

// Write implements io.Writer.
func (m serverMessages) Write(data []byte) (int, error) {
	m.logs.line(&m.logs.belief, true).Str("text", strings.TrimSpace(string(data))).Msg(string(eventHTTPServerMessage))
	return len(data), nil
}

func (l *logs) line(b *lineBudget, warn bool) *log.Entry {
	dropped, ok := b.take(time.Now())
	if lost := int(l.queue.dropped.Swap(0)); lost > 0 {
		l.leftOut.Add(int64(lost))
		dropped += lost
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

// close writes the lines that wait.
func (l *logs) close() {
	l.queue.close()
}

func (l *logs) started(s *Settings) {
	l.logger.Info().
		Str("caller_address", s.CallerAddress).
		Str("peer_address", s.PeerAddress).
		Str("admin_address", s.AdminAddress).
		Str("store_address", s.StoreAddress).
		Msg(string(eventHostStarted))
}

func (l *logs) stopping() { l.logger.Info().Msg(string(eventHostStopping)) }

func (l *logs) stopped() { l.logger.Info().Msg(string(eventHostStopped)) }

func (l *logs) reloaded(err error) { l.logger.Info().Err(err).Msg(string(eventSettingsReloaded)) }

func (l *logs) lost(dependency string, err error) {
	l.logger.Warn().Str("dependency", dependency).Err(err).Msg(string(eventDependencyLost))
}

func (l *logs) regained(dependency string, after time.Duration) {
	l.logger.Info().Str("dependency", dependency).Dur("after", after).Msg(string(eventDependencyRegained))
}

func (l *logs) failure(op string, err error) {
	l.line(&l.belief, true).Str("op", op).Err(err).Msg(string(eventOperationFailed))
}

func (l *logs) feedFailed(feeder string, revision ledger.Revision, err error) {
	l.line(&l.belief, true).Str("feeder", feeder).Uint64("revision", uint64(revision)).Err(err).Msg(string(eventFeedFailed))
}

func (l *logs) compacted(revision ledger.Revision) {
	l.line(&l.belief, true).Uint64("revision", uint64(revision)).Msg(string(eventStoreHistoryGone))
}

func (l *logs) configured(c *fairway.Config) {
	l.line(&l.belief, false).Uint64("version", uint64(c.Version)).Int("routes", len(c.Routes)).Dur("idle_timeout", c.Limits.IdleTimeout).Msg(string(eventConfigurationInForce))
}

func (l *logs) sighted(r ServerRecord) {
	e := l.line(&l.belief, false).Str("server", string(r.ID))
	if r.Err != nil {
		e.Err(r.Err).Msg(string(eventServerGone))
		return
	}
	e.Str("service", string(r.Sighting.Service)).
		Str("address", r.Sighting.Address).
		Int64("born", int64(r.Sighting.Born)).
		Bool("draining", r.Sighting.Draining).
		Msg(string(eventServerSighted))
}

func (l *logs) unreadable(r Unreadable) {
	l.line(&l.belief, true).Str("key", r.Key).Err(r.Err).Msg(string(eventEntryUnreadable))
}

func (l *logs) placerChanged(p placerView) {
	l.line(&l.belief, false).Str("placer", p.address).Uint64("revision", uint64(p.revision)).Msg(string(eventPlacerChanged))
}

func (l *logs) term(event string, revision ledger.Revision) {
	l.line(&l.belief, false).Str("event", event).Uint64("revision", uint64(revision)).Msg(string(eventPlacerTerm))
}

// succeeded logs that the earlier placers have ended.
func (l *logs) succeeded(earlier []string, after time.Duration) {
	l.line(&l.belief, false).Strs("earlier", earlier).Dur("after", after).Msg(string(eventEarlierPlacersEnded))
}

// moved logs the changes of a table.
func (l *logs) moved(service fairway.ServiceName, moves []mooring.Move, revision ledger.Revision) {
	for _, m := range moves {
		l.line(&l.belief, false).
			Str("service", string(service)).
			Str("keys", m.Span.String()).
			Str("from", string(m.From)).
			Str("to", string(m.To)).
			Uint64("fence", uint64(m.Fence)).
			Uint64("revision", uint64(revision)).
			Str("reason", string(m.Reason)).
			Msg(string(eventKeysMoved))
	}
}

// ordered logs orders other than renewals that went well.
func (l *logs) ordered(a mooring.Answered, err error) {
	if a.Result == mooring.ResultAccepted && !a.Order.Release {
		return
	}
	l.line(&l.belief, a.Result != mooring.ResultAccepted).
		Str("server", string(a.Order.To.Server)).
		Bool("release", a.Order.Release).
		Str("keys", a.Order.Span.String()).
		Uint64("fence", uint64(a.Order.Fence)).
		Str("result", a.Result.String()).
		Dur("took", a.Ended.Sub(a.Began)).
		Err(err).
		Msg(string(eventOrderAnswered))
}

func (l *logs) request(b *lineBudget, warn bool, r *request) *log.Entry {
	e := l.line(b, warn).Str("request_id", r.id)
	if r.config != nil {
		e.Uint64("config_version", uint64(r.config.Version))
	}
	if r.route != nil {
		e.Str("route", string(r.route.Name)).Str("service", string(r.service.Name)).Int("sends", r.sends)
	}
	if r.key != nil {
		e.Uint16("key", uint16(*r.key)).
			Uint64("fence", uint64(r.fence)).
			Uint64("table_revision", uint64(r.tableRevision))
	}
	return e
}

func (l *logs) refused(r *request, d sluice.Refuse) {
	l.request(&l.failed, true, r).
		Str("reason", string(d.Reason)).
		Int("ahead", d.Ahead).
		Dur("time_left", time.Until(r.deadline)).
		Dur("retry_after", d.RetryAfter).
		Msg(string(eventRequestRefused))
}

func (l *logs) notRun(r *request, s fairway.Sighting, status int) {
	l.request(&l.failed, true, r).Str("server", string(s.ID)).Int("status", status).Msg(string(eventServerTurnedAway))
}

func (l *logs) sendFailed(r *request, s fairway.Sighting, reason reason, err error) {
	l.request(&l.failed, true, r).Str("server", string(s.ID)).Str("reason", string(reason)).Err(err).Msg(string(eventSendFailed))
}

// answered logs the end of a request.
func (l *logs) answered(r *request, answer reply, took time.Duration) {
	budget, warn := &l.failed, true
	if a, ok := answer.(passOn); ok && a.status < 500 {
		budget, warn = &l.success, false
	}
	e := l.request(budget, warn, r).Dur("took", took)
	outcome, reason := outcomeOf(answer)
	e.Str("outcome", string(outcome))
	switch a := answer.(type) {
	case passOn:
		e.Str("server", string(a.server)).Int("status", a.status)
	case refuse:
		e.Str("reason", string(reason)).Dur("retry_after", a.retryAfter)
	default:
		e.Str("reason", string(reason))
	}
	e.Msg(string(eventRequestAnswered))
}

// outcomeOf returns how an answer is logged and counted.
func outcomeOf(answer reply) (outcome, reason) {
	switch a := answer.(type) {
	case passOn:
		return outcomeWhole, ""
	case refuse:
		return outcomeNotRun, a.reason
	case fail:
		return outcomeUnknown, a.reason
	case reject:
		return outcomeRejected, a.reason
	default:
		return outcomeCallerLeft, ""
	}
}
