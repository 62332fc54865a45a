package main

import (
	"context"
	"os"

	"hornbeamwinch.example/drydock"
)

// measureCommand measures the costs listed in docs/CAPACITY.md.
type measureCommand struct {
	Logic bool `long:"logic" description:"measure only what needs no listeners and no traffic"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	if c.Logic {
		return drydock.MeasureLogic(os.Stdout)
	}
	return drydock.Measure(context.Background(), os.Stdout)
}
