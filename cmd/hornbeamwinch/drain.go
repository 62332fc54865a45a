package main

import (
	"fmt"
	"net/http"
	"net/url"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/harbor"
)

// drainCommand drains a backend server: its keys and new requests move to other
// servers.
type drainCommand struct {
	By     string `long:"by" required:"true" description:"who orders it"`
	Reason string `long:"reason" description:"why"`
	Args   struct {
		Server string `positional-arg-name:"SERVER" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	drain := harbor.Drain{Server: berth.ServerID(c.Args.Server), By: c.By, Reason: c.Reason}
	if err := call(http.MethodPost, "/v1/drains", drain, &drain); err != nil {
		return err
	}
	fmt.Printf("%s is draining\n", drain.Server)
	return nil
}

// undrainCommand ends the drain of a backend server.
type undrainCommand struct {
	Args struct {
		Server string `positional-arg-name:"SERVER" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *undrainCommand) Execute([]string) error {
	var drain harbor.Drain
	if err := call(http.MethodDelete, "/v1/drains/"+url.PathEscape(c.Args.Server), nil, &drain); err != nil {
		return err
	}
	fmt.Printf("%s is no longer draining\n", drain.Server)
	return nil
}
