package harbor

import (
	"io"
	stdlog "log"
	"os"
	"time"

	"github.com/phuslu/log"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/quay"
)

// logs writes the daemon's log. Each log line is one JSON object. There is one
// log line for each placement decision, and if enabled for each routing decision
// and each request.
type logs struct {
	logger *log.Logger
	// routing enables the log lines for routing decisions and requests.
	routing bool
}

var _ quay.DecisionLog = (*logs)(nil)

func newLogs(s *charter.Settings, logger *log.Logger) *logs {
	if logger == nil {
		logger = &log.Logger{
			Level:      log.ParseLevel(s.Log.Level),
			TimeFormat: time.RFC3339Nano,
			Writer:     &log.IOWriter{Writer: os.Stderr},
		}
	}
	logger.Context = log.NewContext(nil).
		Str("host", string(s.Host.ID)).
		Str("domain", string(s.Host.Domain)).
		Value()
	return &logs{logger: logger, routing: s.Log.Routing}
}

// stdLogger returns a logger for net/http that discards all messages, because
// they are not of interest.
func (l *logs) stdLogger() *stdlog.Logger {
	return stdlog.New(io.Discard, "", 0)
}

func (l *logs) hostStarted(d *Daemon) {
	l.logger.Info().
		Uint64("incarnation", uint64(d.incarnation)).
		Str("caller_address", d.settings.Host.CallerAddress).
		Str("peer_address", d.settings.Host.PeerAddress).
		Str("admin_address", d.settings.Host.AdminAddress).
		Msg("entry host started")
}

func (l *logs) hostStopped() {
	l.logger.Info().Msg("entry host stopped")
}

func (l *logs) operationFailed(op string, err error) {
	l.logger.Warn().Str("op", op).Err(err).Msg("operation failed")
}

func (l *logs) termChanged(event string, domain berth.DomainID) {
	l.logger.Info().Str("event", event).Str("placer_domain", string(domain)).Msg("placer term changed")
}

// placementDecided logs a placement decision.
func (l *logs) placementDecided(d berth.Decision) {
	l.logger.Info().
		Str("service", string(d.Service)).
		Uint32("shard", uint32(d.Shard)).
		Str("from", string(d.From)).
		Str("to", string(d.To)).
		Str("token", d.Token.String()).
		Uint64("version", uint64(d.Version)).
		Str("reason", string(d.Reason)).
		Msg("placement decision")
}

// LogDecision implements quay.DecisionLog.
func (l *logs) LogDecision(d quay.Decision) {
	if !l.routing {
		return
	}
	line := l.logger.Info().
		Str("request_id", d.RequestID).
		Str("service", string(d.Service)).
		Str("key", d.Key).
		Int("attempt", d.Attempt).
		Str("step", d.Step)
	if d.Divided {
		line.Uint32("shard", uint32(d.Shard)).Str("token", d.Token.String())
	}
	if d.Server != "" {
		line.Str("server", string(d.Server)).Uint64("version", uint64(d.Version))
	}
	if d.Host != "" {
		line.Str("to_host", string(d.Host))
	}
	if d.Reason != "" {
		line.Str("reason", string(d.Reason))
	}
	line.Msg("routing decision")
}

// requestAnswered logs the outcome of a request.
func (l *logs) requestAnswered(r *quay.Request, outcome quay.Outcome, latency time.Duration) {
	if !l.routing {
		return
	}
	name, reason := outcomeName(outcome)
	l.logger.Info().
		Str("request_id", r.ID).
		Str("service", string(r.Service)).
		Str("key", r.Key).
		Str("outcome", name).
		Str("reason", string(reason)).
		Dur("took", latency).
		Msg("request answered")
}

// outcomeName returns the names under which an outcome and its reason are
// logged.
func outcomeName(outcome quay.Outcome) (string, quay.Reason) {
	switch o := outcome.(type) {
	case quay.Whole:
		return quay.OutcomeWhole, ""
	case quay.Refused:
		return quay.OutcomeNotRun, o.Reason
	case quay.Unknown:
		return quay.OutcomeUnknown, o.Reason
	case quay.Invalid:
		return quay.OutcomeNotRun, o.Reason
	default:
		return "cut", ""
	}
}
