package main

import (
	"context"
	"os"

	"hornbeamwinch.example/drydock"
)

// measureCommand measures the slopes of docs/CAPACITY.md.
type measureCommand struct{}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	return drydock.Measure(context.Background(), os.Stdout)
}
