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

// callTimeout bounds a call to the admin API of an entry host.
const callTimeout = 10 * time.Second

// call sends a request with body as JSON to the admin API of the entry host and
// decodes the JSON response into into.
func call(method, path string, body, into any) error {
	reqBody, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+global.Admin+path, bytes.NewReader(reqBody))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("entry host %s: %w", global.Admin, err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("entry host %s: %w", global.Admin, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, respBody)
	}
	return json.Unmarshal(respBody, into)
}

// apiError is an error response of the admin API.
type apiError struct {
	statusCode int
	problem    harbor.Problem
}

// Error implements the error interface.
func (e *apiError) Error() string {
	return e.problem.Error
}

// errNoEndpoint means that the entry host has no such endpoint: hosts on the users' platform
// have others than those of the project's own deployment.
var errNoEndpoint = errors.New("the entry host has no such endpoint")

// decodeError converts an error response into an error. A command that returns
// it exits with exitRefused if the rules are invalid or in conflict.
func decodeError(statusCode int, respBody []byte) error {
	e := &apiError{statusCode: statusCode}
	if err := json.Unmarshal(respBody, &e.problem); err != nil {
		if statusCode == http.StatusNotFound {
			return errNoEndpoint
		}
		return fmt.Errorf("entry host responded with status %d: %s", statusCode, respBody)
	}
	if statusCode == http.StatusUnprocessableEntity || statusCode == http.StatusConflict {
		return &commandError{code: exitRefused, err: e}
	}
	return e
}

// conflictingRules returns the accepted rules if err reports that they are not the
// base of the request.
func conflictingRules(err error) (*harbor.RulesRecord, bool) {
	var apiErr *apiError
	if !errors.As(err, &apiErr) || apiErr.statusCode != http.StatusConflict {
		return nil, false
	}
	return apiErr.problem.Current, apiErr.problem.Current != nil
}

// printJSON prints value as JSON if the flag --json is set, and reports whether
// it did.
func printJSON(value any) bool {
	if !global.JSON {
		return false
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
	return true
}

// printTable prints rows of tab-separated cells, aligned, below a heading.
func printTable(heading string, rows []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, heading)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}
