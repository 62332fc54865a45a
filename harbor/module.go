package harbor

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
)

// Module provides a [Daemon] built from a [Config] and ties its life to that
// of the fx application.
func Module(cfg Config) fx.Option {
	return fx.Module("harbor",
		fx.Supply(cfg),
		fx.Provide(New),
		fx.Invoke(func(lifecycle fx.Lifecycle, d *Daemon) {
			lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
		}),
	)
}

// StopTimeout returns how long a graceful shutdown may take.
func StopTimeout(s *charter.Settings) time.Duration {
	const rest = 5 * time.Second
	return s.Timing.BalancerWaitMS.Duration() + s.Timing.DrainLimitMS.Duration() + rest
}

// DiscardLogger returns a logger that writes nothing.
func DiscardLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: discard{}}}
}

// discard is an io.Writer that drops what it is given.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(data []byte) (int, error) {
	return len(data), nil
}

// Status returns this host's view, as the operators' API gives it.
func (d *Daemon) Status(context.Context) Status {
	return d.status()
}

// rules returns access to the rules in the store.
func (d *Daemon) rules() *ruleStore {
	return &ruleStore{store: d.store, nonce: randomNonce, now: time.Now}
}

// updateRules hands the kept rules to the gate.
func (d *Daemon) updateRules() {
	opened := berth.RulesRevision(0)
	if table := d.gate.View().Table; table != nil {
		opened = table.Rules.Opened
	}
	d.gate.SetRules(d.book.For(opened))
}

// tableChanged brings the router and the rules in line with the table.
func (d *Daemon) tableChanged() {
	table := d.gate.View().Table
	if table == nil {
		return
	}
	d.router.UpdateTable(table)
	d.updateRules()
	d.book.Prune(table.Rules.Opened)
}
