package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"
)

// signals receives the signals to this process, whose default action would end it
// with requests in flight. It receives them until the process exits, so there is no
// moment in the start or the stop at which a signal does that.
type signals struct {
	// stop receives SIGINT and SIGTERM. One that arrives before the start is
	// complete stays in it.
	stop chan os.Signal
	// reload receives SIGHUP.
	reload chan os.Signal
}

func newSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// run starts app, stops it at SIGINT or SIGTERM, and returns the exit code. Unlike
// [fx.App.Run], it stops app in order if the signal comes during the start.
func (s *signals) run(app *fx.App) int {
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		fmt.Fprintln(os.Stderr, "start:", err)
		return exitFailed
	}
	<-s.stop
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		fmt.Fprintln(os.Stderr, "stop:", err)
		return exitFailed
	}
	return 0
}
