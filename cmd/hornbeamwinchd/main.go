// Hornbeamwinchd is the entry host daemon.
//
// # Usage
//
//	hornbeamwinchd --settings /etc/hornbeamwinch.json
//	hornbeamwinchd --settings /etc/hornbeamwinch.json --check
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
	Settings string `long:"settings" required:"true" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	settings, err := charter.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return
	}
	run(settings)
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
