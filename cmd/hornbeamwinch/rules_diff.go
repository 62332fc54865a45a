package main

import (
	"fmt"

	"hornbeamwinch.example/manifest"
)

// rulesDiffCommand compares a rules file with the accepted rules.
type rulesDiffCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *rulesDiffCommand) Execute([]string) error {
	_, edited, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	record, err := fetchRules(0)
	if err != nil {
		return err
	}
	accepted, err := manifest.Parse("accepted rules", record.Text)
	if err != nil {
		return err
	}
	changes := manifest.Diff(accepted, edited)
	for _, change := range changes {
		fmt.Println(change)
	}
	fmt.Printf("%d rules differ from revision %d\n", len(changes), record.Revision)
	return nil
}
