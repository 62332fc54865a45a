package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"hornbeamwinch.example/harbor"
)

// callTimeout bounds one call to an entry host.
const callTimeout = 10 * time.Second

// call sends body to the entry host and decodes its answer into into.
func call(method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, "http://"+shared.Admin+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: callTimeout}
	w, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("entry host %s: %w", shared.Admin, err)
	}
	defer func() { _ = w.Body.Close() }()
	answer, err := io.ReadAll(w.Body)
	if err != nil {
		return fmt.Errorf("entry host %s: %w", shared.Admin, err)
	}
	if w.StatusCode >= http.StatusBadRequest {
		return refusal(w.StatusCode, answer)
	}
	return json.Unmarshal(answer, into)
}

// refusedError is a refusal by an entry host.
type refusedError struct {
	status  int
	problem harbor.Problem
}

// Error implements the error interface.
func (e *refusedError) Error() string {
	return e.problem.Error
}

// refusal turns an error answer into an error with the right exit code.
func refusal(status int, answer []byte) error {
	e := &refusedError{status: status}
	if err := json.Unmarshal(answer, &e.problem); err != nil {
		return fmt.Errorf("entry host answered %d: %s", status, answer)
	}
	if status == http.StatusUnprocessableEntity || status == http.StatusConflict {
		return &commandError{code: exitRefused, err: e}
	}
	return e
}

// conflictOf returns the rules that came first if err says that the rules
// changed.
func conflictOf(err error) (*harbor.RulesRecord, bool) {
	var refused *refusedError
	if !errors.As(err, &refused) || refused.status != http.StatusConflict {
		return nil, false
	}
	return refused.problem.Current, refused.problem.Current != nil
}

// printJSON prints value and reports whether JSON was asked for.
func printJSON(value any) bool {
	if !shared.JSON {
		return false
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
	return true
}

// table prints rows of tab-separated cells below a heading.
func table(heading string, rows []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, heading)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}
