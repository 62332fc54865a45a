package harbor

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
)

// Module returns an fx module that provides a [Daemon] built from cfg, and
// starts and stops it with the fx application.
func Module(cfg Config) fx.Option {
	return fx.Module("harbor",
		fx.Supply(cfg),
		fx.Provide(New),
		fx.Invoke(func(lifecycle fx.Lifecycle, d *Daemon) {
			lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
		}),
	)
}

// StopTimeout returns the maximum duration of a graceful shutdown.
func StopTimeout(s *charter.Settings) time.Duration {
	const margin = 5 * time.Second
	return s.Timing.BalancerWaitMS.Duration() + s.Timing.DrainLimitMS.Duration() + margin
}

// DiscardLogger returns a logger that writes nothing.
func DiscardLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: discard{}}}
}

// discard is an io.Writer that discards all data.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(data []byte) (int, error) {
	return len(data), nil
}

// Status returns the state of this host, as served by the admin API.
func (d *Daemon) Status(context.Context) Status {
	return d.status()
}

// storedRules returns access to the rules in the store.
func (d *Daemon) storedRules() *ruleStore {
	return &ruleStore{store: d.store, nonce: randomNonce, now: time.Now}
}

// updateRules passes the cached rules to the gate.
func (d *Daemon) updateRules() {
	opened := berth.RulesRevision(0)
	if table := d.gate.View().Table; table != nil {
		opened = table.Rules.Opened
	}
	d.gate.SetRules(d.rulesCache.For(opened))
}

// applyTable updates the router, the gate's rules and the rules cache to the
// gate's current table.
func (d *Daemon) applyTable() {
	table := d.gate.View().Table
	if table == nil {
		return
	}
	d.router.UpdateTable(table)
	d.updateRules()
	d.rulesCache.Prune(table.Rules.Opened)
}
