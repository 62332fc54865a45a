package drydock

import (
	"fmt"
	"sort"

	"hornbeamwinch.example/berth"
)

// CheckResult is the result of checking the records of all backend servers.
type CheckResult struct {
	// Executions is the number of recorded executions.
	Executions int `json:"executions"`
	// DuplicateRuns counts the executions of a request with an idempotency key
	// after its first one. It must be zero.
	DuplicateRuns int `json:"duplicate_runs"`
	// Overlaps counts pairs of executions for one key that overlapped in time
	// on two servers of a service divided by key. It must be zero.
	Overlaps int `json:"overlaps"`
	// OverLimit describes the servers that were sent more concurrent requests
	// than they have slots.
	OverLimit []string `json:"over_limit,omitempty"`
	// Examples describes some of the violations.
	Examples []string `json:"examples,omitempty"`
}

// HasViolations reports whether a guarantee of the router was violated.
func (c CheckResult) HasViolations() bool {
	return c.DuplicateRuns > 0 || c.Overlaps > 0 || len(c.OverLimit) > 0
}

// maxExamples bounds the violations that are described.
const maxExamples = 10

// CheckRecords checks the records of all backend servers. A service that is true
// in divided must never execute requests for one key on two servers at the same
// time. If slots is positive, no server may be sent more requests at once.
func CheckRecords(records []BackendRecords, divided map[berth.ServiceID]bool, slots int) CheckResult {
	var c CheckResult
	byKey := make(map[string][]Execution)
	runs := make(map[string]int)
	for _, r := range records {
		c.Executions += len(r.Executions)
		if slots > 0 && r.MaxOffered > slots {
			c.OverLimit = append(c.OverLimit, fmt.Sprintf("%s was sent %d at once", r.Server, r.MaxOffered))
		}
		for _, e := range r.Executions {
			if divided[e.Service] {
				id := string(e.Service) + "/" + e.Key
				byKey[id] = append(byKey[id], e)
			}
			if e.IdempotencyKey != "" {
				c.countExecution(runs, e)
			}
		}
	}
	for _, executions := range byKey {
		c.findOverlaps(executions)
	}
	return c
}

func (c *CheckResult) countExecution(runs map[string]int, e Execution) {
	id := string(e.Service) + "/" + e.IdempotencyKey
	runs[id]++
	if runs[id] > 1 {
		c.DuplicateRuns++
		c.describe("%s ran %d times", id, runs[id])
	}
}

// workEndedNS returns when the server's work on e ended. A server that was
// suspended while it ran a request detects the passed deadline only after it
// resumes, and then aborts the request. Its work ended at the deadline, not at
// the abort.
func (e Execution) workEndedNS() int64 {
	if e.Finished || e.DeadlineNS == 0 {
		return e.EndedNS
	}
	return min(e.EndedNS, e.DeadlineNS)
}

// findOverlaps compares each execution with the latest-ending earlier execution
// on each other server.
func (c *CheckResult) findOverlaps(executions []Execution) {
	sort.Slice(executions, func(i, j int) bool { return executions[i].BeganNS < executions[j].BeganNS })
	latest := make(map[string]Execution)
	for _, e := range executions {
		for server, other := range latest {
			if server != e.Server && other.workEndedNS() > e.BeganNS {
				c.Overlaps++
				c.describe("%s/%s ran on two servers: %+v and %+v", e.Service, e.Key, other, e)
			}
		}
		if e.workEndedNS() > latest[e.Server].workEndedNS() {
			latest[e.Server] = e
		}
	}
}

func (c *CheckResult) describe(format string, args ...any) {
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}
