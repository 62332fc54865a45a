// Hornbeamwinchd is the entry host daemon: a reverse proxy that routes requests to
// backend servers which own keys exclusively.
//
// # Usage
//
//	hornbeamwinchd --settings /etc/hornbeamwinch.json
//	hornbeamwinchd --settings /etc/hornbeamwinch.json --check
//	hornbeamwinchd --platform
//	hornbeamwinchd --platform --second-send-share 0.05
//	hornbeamwinchd --platform --coordinate-priorities
//	hornbeamwinchd --version
//
// With --platform, the host works with the store, the settings file and the
// protocol of the platform that runs it and the backend servers (package
// platform). The path of that settings file is the value of --settings or, without
// that flag, of the environment variable HORNBEAMWINCH_NODE_FILE. There,
// --second-send-share allows second sends of slow requests (docs/design/second-sends.md), and
// --coordinate-priorities has coordinators admit requests of different priorities
// (docs/design/coordinated-admission.md).
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/sluice"
)

// options are the command line flags.
type options struct {
	Settings string `long:"settings" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version of the source and the id of the build, and exit"`
	Platform bool   `long:"platform" description:"use the store, settings file and protocol of the platform that runs the hosts and backend servers"`
	// SecondSendShare is passed on as [jetty.Settings.SecondSendShare].
	SecondSendShare float64 `long:"second-send-share" description:"limit of second sends of slow requests to another server, as a part of the requests, from 0 (none) to 0.2; requires --platform" default:"0"`
	// CoordinatePriorities is passed on as [jetty.Settings.CoordinatePriorities].
	CoordinatePriorities bool `long:"coordinate-priorities" description:"have one host for each server admit the requests of all hosts if they have different priorities, also where servers do not tell their load; requires --platform"`
}

// check returns an error if a flag has a value that is not allowed.
func (o *options) check() error {
	switch {
	case !(o.SecondSendShare >= 0 && o.SecondSendShare <= sluice.MaxSecondSendShare):
		return fmt.Errorf("--second-send-share is %v, and must be between 0 and %v", o.SecondSendShare, sluice.MaxSecondSendShare)
	case o.SecondSendShare > 0 && !o.Platform:
		return errors.New("--second-send-share requires --platform")
	case o.CoordinatePriorities && !o.Platform:
		return errors.New("--coordinate-priorities requires --platform")
	default:
		return nil
	}
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if o.Version {
		b := currentBuild()
		fmt.Println(b.Version, b.ID)
		return
	}
	if err := o.check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	s := newSignals()
	if o.Platform {
		runOnPlatform(o, s)
		return
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "the required flag --settings was not specified")
		os.Exit(exitUsage)
	}
	settings, err := charter.Load(o.Settings)
	exitOnError(err)
	if o.Check {
		fmt.Println("settings are valid")
		return
	}
	run(settings, s)
}

// exitOnError exits with exitSettings if the settings could not be loaded.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
}

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// run serves requests until the process receives SIGINT or SIGTERM.
func run(settings *charter.Settings, s *signals) {
	os.Exit(s.run(fx.New(
		harbor.Module(harbor.Config{Settings: settings}),
		fx.StopTimeout(harbor.StopTimeout(settings)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)))
}
