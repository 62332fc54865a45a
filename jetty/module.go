package jetty

import (
	"go.uber.org/fx"
)

// Module returns an fx module that provides a [Host] built from cfg, and starts
// and stops it with the fx application.
func Module(cfg Config) fx.Option {
	return fx.Module("jetty",
		fx.Supply(cfg),
		fx.Provide(New),
		fx.Invoke(func(lifecycle fx.Lifecycle, h *Host) {
			lifecycle.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
	)
}
