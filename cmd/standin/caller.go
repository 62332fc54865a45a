package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/drydock"
)

// callerCommand sends requests to entry hosts and prints the counted outcomes.
type callerCommand struct {
	Hosts    []string      `long:"host" required:"true" description:"caller address of an entry host; may be repeated"`
	Service  string        `long:"service" required:"true" description:"service to send requests to"`
	Method   string        `long:"method" default:"GET" description:"HTTP method"`
	Path     string        `long:"path" description:"path after the key"`
	Keys     int           `long:"keys" default:"100" description:"number of keys"`
	Prefix   string        `long:"prefix" default:"key-" description:"prefix of the keys"`
	Workers  int           `long:"workers" default:"8" description:"callers at the same time"`
	Pause    time.Duration `long:"pause" default:"5ms" description:"time between two requests of one caller"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long to send"`
	Timeout  time.Duration `long:"timeout" default:"2s" description:"bound on one request"`
	Once     bool          `long:"once" description:"send idempotency keys and repeat requests without a whole response"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the random choices"`
}

// Execute implements flags.Commander.
func (c *callerCommand) Execute([]string) error {
	caller := drydock.NewCaller(drydock.CallerConfig{
		Hosts: c.Hosts,
		Seed:  c.Seed,
		Workloads: []drydock.Workload{{
			Service: berth.ServiceID(c.Service), Method: c.Method, Path: c.Path,
			Keys: c.Keys, KeyPrefix: c.Prefix, Workers: c.Workers,
			Pause: c.Pause, Timeout: c.Timeout, IdempotencyKeys: c.Once,
		}},
	})
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	caller.Run(ctx)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(caller.Stats())
}
