package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"hornbeamwinch.example/jetty"
)

// platformExplainOptions describe a request to an entry host on the users' platform.
type platformExplainOptions struct {
	Platform   bool   `long:"platform" description:"explain a request to an entry host on the platform; the arguments are HOST and PATH"`
	Method     string `long:"method" default:"GET" description:"method of the request, with --platform"`
	Key        string `long:"key" description:"key of the request, with --platform"`
	TimeLeftMS string `long:"time-left-ms" description:"time that the caller has, in milliseconds, with --platform"`
}

// explainOnPlatform shows where a request would go now, and why. The entry host neither sends
// nor counts it.
func (o *platformExplainOptions) explainOnPlatform(host, path string) error {
	query := url.Values{"method": {o.Method}, "host": {host}, "path": {path}, "key": {o.Key}, "time_left_ms": {o.TimeLeftMS}}
	var e jetty.Explanation
	if err := call(http.MethodGet, "/explain?"+query.Encode(), nil, &e); err != nil {
		return err
	}
	if printJSON(e) {
		return nil
	}
	if e.Refusal != nil {
		printTable("host\t"+string(e.Host), []string{"decision\t" + describeRefusal(e.Refusal)})
		return nil
	}
	for _, s := range e.Services {
		printTable(fmt.Sprintf("host\t%s", e.Host), explainService(&e, &s))
		if len(s.Candidates) > 0 {
			printTable("SERVER\tDOMAIN\tROOM\tCOST MS\tIN FLIGHT\tWINDOW\tLATENCY MS\tERRORS\tSTATE", explainCandidates(s.Candidates))
		}
	}
	return nil
}

func explainService(e *jetty.Explanation, s *jetty.ServiceExplanation) []string {
	rows := []string{
		fmt.Sprintf("configuration\tversion %d", e.ConfigVersion),
		fmt.Sprintf("route\t%s", e.Route),
		fmt.Sprintf("service\t%s (%.3g of the requests)", s.Service, s.Part),
	}
	if s.Key != nil {
		rows = append(rows, fmt.Sprintf("key\t%d", *s.Key))
	}
	switch s.Decision {
	case jetty.DecisionSend:
		return append(rows, fmt.Sprintf("decision\tsend to %s", s.Server))
	case jetty.DecisionByPeer:
		return append(rows, "decision\thave another entry host send it")
	case jetty.DecisionWait:
		return append(rows, "decision\twait for room")
	default:
		return append(rows, "decision\t"+describeRefusal(s.Refusal))
	}
}

func describeRefusal(r *jetty.ExplainedRefusal) string {
	text := fmt.Sprintf("refuse with %d %s", r.Status, r.Reason)
	if r.RetryAfterMS > 0 {
		text += fmt.Sprintf(", Retry-After %.3f", r.RetryAfterMS/1000)
	}
	if r.Ahead > 0 {
		text += fmt.Sprintf(", %d ahead", r.Ahead)
	}
	return text
}

func explainCandidates(candidates []jetty.ExplainedCandidate) []string {
	var rows []string
	for _, c := range candidates {
		var states []string
		if c.SuspectedMS > 0 {
			states = append(states, fmt.Sprintf("does not respond, tried again in %.0f ms", c.SuspectedMS))
		}
		if c.ClosedMS > 0 {
			states = append(states, fmt.Sprintf("closed for %.0f ms", c.ClosedMS))
		}
		if c.Limited {
			states = append(states, "names a limit")
		}
		if c.Overloaded {
			states = append(states, "overloaded")
		}
		if c.Leaving {
			states = append(states, "leaving")
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%t\t%.1f\t%d\t%.2f\t%.1f\t%.2f\t%s",
			c.Server, c.Domain, c.Room, c.CostMS, c.InFlight, c.Window, c.LatencyMS, c.Errors, strings.Join(states, ", ")))
	}
	return rows
}
