// Hornbeamwinchd is the entry host daemon.
//
// # Usage
//
//	hornbeamwinchd --settings /etc/hornbeamwinch.json
//	hornbeamwinchd --settings /etc/hornbeamwinch.json --check
//	hornbeamwinchd --platform
//
// With --platform, the host runs on the users' platform. The settings are then
// the platform's own file, whose path is in the environment variable
// HORNBEAMWINCH_NODE_FILE unless --settings gives another.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/harbor"
)

// options are the command line flags.
type options struct {
	Settings string `long:"settings" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Platform bool   `long:"platform" description:"run on the users' platform"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if o.Platform {
		runOnPlatform(o)
		return
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "the required flag --settings was not specified")
		os.Exit(exitUsage)
	}
	settings, err := charter.Load(o.Settings)
	exitOn(err)
	if o.Check {
		fmt.Println("settings are valid")
		return
	}
	run(settings)
}

// exitOn ends the process if the settings cannot be used.
func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
}

// Exit codes.
const (
	exitUsage    = 2
	exitSettings = 3
)

// run serves until the process is told to end.
func run(settings *charter.Settings) {
	fx.New(
		harbor.Module(harbor.Config{Settings: settings}),
		fx.StopTimeout(harbor.StopTimeout(settings)),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	).Run()
}
