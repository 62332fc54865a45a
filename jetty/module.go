package jetty

import (
	"go.uber.org/fx"
)

// Module provides a [Host] built from a [Config], which starts and stops with
// the fx application.
func Module(cfg Config) fx.Option {
	return fx.Module("jetty",
		fx.Supply(cfg),
		fx.Provide(New),
		fx.Invoke(func(lifecycle fx.Lifecycle, h *Host) {
			lifecycle.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}
