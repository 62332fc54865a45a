package main

import (
	"fmt"
	"net/http"
	"time"

	"hornbeamwinch.example/harbor"
)

// rulesShowCommand prints the accepted rules or an earlier revision.
type rulesShowCommand struct {
	Revision uint64 `long:"revision" description:"an earlier revision instead of the accepted one"`
}

// Execute implements flags.Commander.
func (c *rulesShowCommand) Execute([]string) error {
	record, err := fetchRules(c.Revision)
	if err != nil {
		return err
	}
	if printJSON(record) {
		return nil
	}
	fmt.Printf("# revision %d, accepted %s, by %s\n", record.Revision, record.AcceptedAt.Format(time.RFC3339), record.By)
	fmt.Print(record.Text)
	return nil
}

// fetchRules returns a revision of the rules; zero stands for the accepted one.
func fetchRules(revision uint64) (harbor.RulesRecord, error) {
	path := "/v1/rules"
	if revision > 0 {
		path = fmt.Sprintf("/v1/rules?revision=%d", revision)
	}
	var record harbor.RulesRecord
	err := call(http.MethodGet, path, nil, &record)
	return record, err
}
