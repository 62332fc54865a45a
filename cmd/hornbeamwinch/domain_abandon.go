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

// domainAbandonCommand abandons a lost failure domain: other domains may serve
// the keys that the accepted rules moved away from it, without proof that it has
// stopped serving them.
type domainAbandonCommand struct {
	By     string `long:"by" required:"true" description:"who orders it"`
	Reason string `long:"reason" required:"true" description:"why"`
	Yes    bool   `long:"yes" description:"do not ask for confirmation"`
	Args   struct {
		Domain string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

var errNotConfirmed = errors.New("not confirmed; no domain was abandoned")

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

// confirm warns that single ownership is no longer guaranteed and reports whether
// the operator typed the name of the domain to confirm.
func (c *domainAbandonCommand) confirm() bool {
	fmt.Printf("Other failure domains will serve the keys that the rules moved away from %[1]s, without proof\n"+
		"that %[1]s has stopped serving them. If it is running but unreachable, these keys have two owners.\n"+
		"Type the name of the domain to continue: ", c.Args.Domain)
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == c.Args.Domain
}
