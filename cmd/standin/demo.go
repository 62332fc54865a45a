package main

import (
	"context"
	"os"
	"time"

	"hornbeamwinch.example/drydock"
)

// demoCommand runs a complete deployment with traffic in one process.
type demoCommand struct {
	Duration time.Duration `long:"duration" default:"9s" description:"how long callers send"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the callers' choices"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	demo := drydock.NewDemo(drydock.DemoConfig{Duration: c.Duration, Seed: c.Seed, Output: os.Stdout})
	return demo.Run(context.Background())
}
