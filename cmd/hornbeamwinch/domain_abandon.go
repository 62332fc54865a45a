package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/harbor"
)

// domainAbandonCommand lets other failure domains serve the keys that the
// newest rules took from a lost one, without proof that it stopped.
type domainAbandonCommand struct {
	By     string `long:"by" required:"true" description:"who orders it"`
	Reason string `long:"reason" required:"true" description:"why"`
	Yes    bool   `long:"yes" description:"do not ask for confirmation"`
	Args   struct {
		Domain string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

var errNotConfirmed = errors.New("not confirmed; nothing was done")

// Execute implements flags.Commander.
func (c *domainAbandonCommand) Execute([]string) error {
	current, err := fetchRules(0)
	if err != nil {
		return err
	}
	if !c.Yes && !c.confirm() {
		return &commandError{code: exitRefused, err: errNotConfirmed}
	}
	order := harbor.Abandonment{
		Domain:   berth.DomainID(c.Args.Domain),
		Revision: current.Revision,
		By:       c.By,
		Reason:   c.Reason,
	}
	if err := call(http.MethodPost, "/v1/abandonments", order, &order); err != nil {
		return err
	}
	fmt.Printf("%s is abandoned for rules revision %d\n", order.Domain, order.Revision)
	return nil
}

// confirm says what is given up and asks for the domain's name.
func (c *domainAbandonCommand) confirm() bool {
	fmt.Printf("The keys that the rules took from %[1]s will be served elsewhere without proof that\n"+
		"%[1]s has stopped serving them. If %[1]s is only cut off, these keys have two owners.\n"+
		"Type the name of the domain to go on: ", c.Args.Domain)
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == c.Args.Domain
}
