package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"hornbeamwinch.example/harbor"
)

// explainCommand says where requests for a key go.
type explainCommand struct {
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"true"`
		Key     string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	query := url.Values{"service": {c.Args.Service}, "key": {c.Args.Key}}
	var e harbor.Explanation
	if err := call(http.MethodGet, "/v1/explain?"+query.Encode(), nil, &e); err != nil {
		return err
	}
	if printJSON(e) {
		return nil
	}
	if e.Rule == "" {
		return errors.New(e.Reason)
	}
	rows := []string{
		fmt.Sprintf("rule\t%s (line %d)", e.Rule, e.RuleLine),
		fmt.Sprintf("home\t%s", e.Home),
	}
	if e.Divided && e.Here {
		rows = append(rows,
			fmt.Sprintf("shard\t%d", e.Shard),
			fmt.Sprintf("owner\t%s", e.Owner),
			fmt.Sprintf("next owner\t%s", e.NextOwner),
			fmt.Sprintf("token\t%s", e.Token),
			fmt.Sprintf("in place\t%t", e.InPlace))
	}
	table("service\t"+c.Args.Service+"\nkey\t"+c.Args.Key, append(rows, "why\t"+e.Reason))
	return nil
}
