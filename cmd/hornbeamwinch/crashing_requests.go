package main

import (
	"fmt"
	"net/http"

	"hornbeamwinch.example/jetty"
)

type crashingRequestsCommands struct {
	List  crashingRequestsListCommand  `command:"list" description:"list the requests under which servers have ended"`
	Clear crashingRequestsClearCommand `command:"clear" description:"have a request sent again that crashed servers"`
}

// crashingRequestsListCommand lists what an entry host on the platform knows.
type crashingRequestsListCommand struct{}

// Execute implements flags.Commander.
func (c *crashingRequestsListCommand) Execute([]string) error {
	var known []jetty.CrashingRequest
	if err := call(http.MethodGet, "/crashing_requests", nil, &known); err != nil {
		return err
	}
	if printJSON(known) {
		return nil
	}
	rows := make([]string, 0, len(known))
	for _, r := range known {
		state, callers := "tried one at a time", "one"
		if r.Rejected {
			state = "not sent"
		}
		if r.AnyCaller {
			callers = "any"
		}
		last := r.Crashes[len(r.Crashes)-1]
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s", r.Fingerprint, r.Service, callers, state, len(r.Crashes), last.Server, last.Version))
	}
	printTable("FINGERPRINT\tSERVICE\tCALLERS\tSTATE\tCRASHES\tLAST SERVER\tVERSION", rows)
	return nil
}

// crashingRequestsClearCommand clears a request on all entry hosts.
type crashingRequestsClearCommand struct {
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *crashingRequestsClearCommand) Execute([]string) error {
	return call(http.MethodDelete, "/crashing_requests/"+c.Args.Fingerprint, nil, &struct{}{})
}
