package main

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hornbeamwinch.example/jetty"
	"hornbeamwinch.example/platform"
)

// runOnPlatform serves requests, with the store, settings file and protocol of the
// platform (package platform), until the process receives SIGINT or SIGTERM.
func runOnPlatform(o options, s *signals) {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	exitOnError(err)
	settings.SecondSendShare, settings.CoordinatePriorities = o.SecondSendShare, o.CoordinatePriorities
	if o.Check {
		fmt.Println("settings are valid")
		return
	}
	// The store records its calls on the host, but the host is created from the
	// store. fx.Populate sets host below, before the store is called.
	var host *jetty.Host
	store := platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress,
		Observe: func(op string, err error, elapsed time.Duration) { host.RecordStoreCall(op, err, elapsed) },
	})
	os.Exit(s.run(fx.New(
		jetty.Module(jetty.Config{
			Settings:      settings,
			Build:         currentBuild(),
			Store:         store,
			Protocol:      platform.Protocol{},
			Reload:        func() (*jetty.Settings, error) { return platform.LoadSettings(path) },
			ReloadSignals: s.reload,
		}),
		fx.Populate(&host),
		fx.StopTimeout(settings.Bounds.Shutdown),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)))
}
