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

// runOnPlatform serves on the users' platform until the process is told to end.
func runOnPlatform(o options) {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	exitOn(err)
	if o.Check {
		fmt.Println("settings are valid")
		return
	}
	// The store counts its calls on the host, which needs the store first.
	var host *jetty.Host
	store := platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress,
		Observe: func(op string, err error, took time.Duration) { host.RecordStoreCall(op, err, took) },
	})
	fx.New(
		jetty.Module(jetty.Config{
			Settings: settings,
			Store:    store,
			Protocol: platform.Protocol{},
			Reload:   func() (*jetty.Settings, error) { return platform.LoadSettings(path) },
		}),
		fx.Populate(&host),
		fx.StopTimeout(settings.Bounds.Shutdown),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	).Run()
}
