package main

import (
	"fmt"
	"net/http"
	"time"

	"hornbeamwinch.example/harbor"
)

// rulesHistoryCommand lists all accepted revisions of the rules.
type rulesHistoryCommand struct{}

// Execute implements flags.Commander.
func (c *rulesHistoryCommand) Execute([]string) error {
	var records []harbor.RulesRecord
	if err := call(http.MethodGet, "/v1/rules/history", nil, &records); err != nil {
		return err
	}
	if printJSON(records) {
		return nil
	}
	rows := make([]string, 0, len(records))
	for _, r := range records {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s", r.Revision, r.AcceptedAt.Format(time.RFC3339), r.By, r.Reason))
	}
	printTable("REVISION\tACCEPTED\tBY\tREASON", rows)
	return nil
}
