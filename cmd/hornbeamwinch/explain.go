package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"hornbeamwinch.example/harbor"
)

// explainCommand shows where requests for a key are routed: the rule that applies
// and the home of the key. For a service divided by key, it also shows the shard
// and its owner if the entry host belongs to the home domain. On the users' platform, it shows
// where a request would go.
type explainCommand struct {
	platformExplainOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE|HOST" required:"true"`
		Key     string `positional-arg-name:"KEY|PATH" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Platform {
		return c.explainOnPlatform(c.Args.Service, c.Args.Key)
	}
	query := url.Values{"service": {c.Args.Service}, "key": {c.Args.Key}}
	var explanation harbor.Explanation
	if err := call(http.MethodGet, "/v1/explain?"+query.Encode(), nil, &explanation); err != nil {
		return err
	}
	if printJSON(explanation) {
		return nil
	}
	if explanation.Rule == "" {
		return errors.New(explanation.Reason)
	}
	rows := []string{
		fmt.Sprintf("rule\t%s (line %d)", explanation.Rule, explanation.RuleLine),
		fmt.Sprintf("home\t%s", explanation.Home),
	}
	if explanation.Divided && explanation.Here {
		rows = append(rows,
			fmt.Sprintf("shard\t%d", explanation.Shard),
			fmt.Sprintf("owner\t%s", explanation.Owner),
			fmt.Sprintf("next owner\t%s", explanation.NextOwner),
			fmt.Sprintf("token\t%s", explanation.Token),
			fmt.Sprintf("in place\t%t", explanation.InPlace))
	}
	printTable("service\t"+c.Args.Service+"\nkey\t"+c.Args.Key, append(rows, "why\t"+explanation.Reason))
	return nil
}
