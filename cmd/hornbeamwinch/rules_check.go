package main

import (
	"fmt"
	"net/http"
	"os"

	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/manifest"
)

// rulesCheckCommand checks a rules file without applying it.
type rulesCheckCommand struct {
	Offline bool `long:"offline" description:"check the syntax only, without an entry host"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *rulesCheckCommand) Execute([]string) error {
	text, file, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	if !c.Offline {
		if err := call(http.MethodPost, "/v1/rules/check", harbor.ApplyRulesRequest{Text: text}, &struct{}{}); err != nil {
			return err
		}
	}
	fmt.Printf("%s: %d rules, no errors\n", c.Args.File, len(file.Rules()))
	return nil
}

// readRules reads and parses a rules file.
func readRules(name string) (string, *manifest.File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return "", nil, err
	}
	file, err := manifest.Parse(name, string(text))
	if err != nil {
		return "", nil, &commandError{code: exitRefused, err: err}
	}
	return string(text), file, nil
}
