package drydock

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hornbeamwinch.example/harbor"
)

// clientTimeout bounds a call to a fake or to the admin address of an entry
// host.
const clientTimeout = 5 * time.Second

// CallJSON sends body as JSON to an address and decodes the JSON response into
// into. A nil body sends none, and a nil into ignores the response body.
func CallJSON(ctx context.Context, method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: "encode call", Kind: KindCall, Err: err}
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return &Error{Op: "call " + path, Kind: KindCall, Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return &Error{Op: "call " + path, Kind: KindCall, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &Error{Op: "call " + path, Kind: KindCall, Err: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return &Error{Op: "call " + path, Kind: KindCall, Err: fmt.Errorf("status %d: %s", response.StatusCode, data)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &Error{Op: "call " + path, Kind: KindCall, Err: err}
	}
	return nil
}

var errTimedOut = errors.New("condition not met within the time limit")

// pollInterval is the interval at which WaitFor checks its condition.
const pollInterval = 20 * time.Millisecond

// WaitFor checks condition at intervals and returns once it holds. It returns an
// error if the limit passes or ctx is done first.
func WaitFor(ctx context.Context, what string, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return &Error{Op: "wait for " + what, Kind: KindCall, Err: errTimedOut}
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// ApplyRules replaces the accepted rules by text, through the entry host with
// the given admin address, and returns the record of the new revision.
func ApplyRules(ctx context.Context, admin, text, by string) (harbor.RulesRecord, error) {
	var current, applied harbor.RulesRecord
	if err := CallJSON(ctx, http.MethodGet, admin, "/v1/rules", nil, &current); err != nil {
		return applied, err
	}
	request := harbor.ApplyRulesRequest{Base: current.Revision, Text: text, By: by}
	err := CallJSON(ctx, http.MethodPost, admin, "/v1/rules", request, &applied)
	return applied, err
}

// FetchStatus returns the status of the entry host with the given admin address.
func FetchStatus(ctx context.Context, admin string) (harbor.Status, error) {
	var status harbor.Status
	err := CallJSON(ctx, http.MethodGet, admin, "/v1/status", nil, &status)
	return status, err
}

// Converged reports whether the status of an entry host shows a confirmed table
// whose shards are all placed on live servers, with none moving and all entry
// hosts active; at least the given revision of the rules opened; and an entry
// host known in every failure domain.
func Converged(status harbor.Status, rules harbor.RulesStatus) bool {
	if !status.Confirmed || status.Rules.Opened < rules.Opened || len(status.UnknownDomains) > 0 {
		return false
	}
	placed := 0
	for _, server := range status.Servers {
		if server.Moving > 0 {
			return false
		}
		if server.State != "live" && server.Shards > 0 {
			return false
		}
		placed += server.Shards
	}
	for _, host := range status.Hosts {
		if host.State != "active" {
			return false
		}
	}
	return placed > 0
}
