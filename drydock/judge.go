package drydock

import (
	"fmt"
	"sort"

	"hornbeamwinch.example/berth"
)

// CheckResult is what the records of the backend servers show.
type CheckResult struct {
	Executions int `json:"executions"`
	// DuplicateRuns counts executions of a request that must not be repeated
	// beyond its first. It must be zero.
	DuplicateRuns int `json:"duplicate_runs"`
	// Overlaps counts pairs of executions of one key that overlapped in time
	// on two servers of a service divided by key. It must be zero.
	Overlaps int `json:"overlaps"`
	// OverLimit lists servers that were sent more requests at once than they
	// have slots.
	OverLimit []string `json:"over_limit,omitempty"`
	// Examples describe some of the faults.
	Examples []string `json:"examples,omitempty"`
}

// HasViolations reports whether a promise was broken.
func (v CheckResult) HasViolations() bool {
	return v.DuplicateRuns > 0 || v.Overlaps > 0 || len(v.OverLimit) > 0
}

// maxExamples bounds the faults that are described.
const maxExamples = 10

// CheckRecords examines the records of all backend servers. The services in divided
// must never run one key on two servers at the same time.
func CheckRecords(records []BackendRecords, divided map[berth.ServiceID]bool, slots int) CheckResult {
	var v CheckResult
	byKey := make(map[string][]Execution)
	runs := make(map[string]int)
	for _, r := range records {
		v.Executions += len(r.Executions)
		if slots > 0 && r.MaxOffered > slots {
			v.OverLimit = append(v.OverLimit, fmt.Sprintf("%s was sent %d at once", r.Server, r.MaxOffered))
		}
		for _, e := range r.Executions {
			if divided[e.Service] {
				id := string(e.Service) + "/" + e.Key
				byKey[id] = append(byKey[id], e)
			}
			if e.IdempotencyKey != "" {
				v.countRun(runs, e)
			}
		}
	}
	for _, executions := range byKey {
		v.findOverlaps(executions)
	}
	return v
}

func (v *CheckResult) countRun(runs map[string]int, e Execution) {
	id := string(e.Service) + "/" + e.IdempotencyKey
	runs[id]++
	if runs[id] > 1 {
		v.DuplicateRuns++
		v.describe("%s ran %d times", id, runs[id])
	}
}

// workEndedNS returns when the server's work on e ended. A server that was
// frozen with a request in hand finds its deadline passed when it wakes, and
// gives the request up; its work ended at the deadline, not at the waking.
func (e Execution) workEndedNS() int64 {
	if e.Finished || e.DeadlineNS == 0 {
		return e.EndedNS
	}
	return min(e.EndedNS, e.DeadlineNS)
}

// findOverlaps compares each execution with the latest end on any other
// server.
func (v *CheckResult) findOverlaps(executions []Execution) {
	sort.Slice(executions, func(i, j int) bool { return executions[i].BeganNS < executions[j].BeganNS })
	latest := make(map[string]Execution)
	for _, e := range executions {
		for server, other := range latest {
			if server != e.Server && other.workEndedNS() > e.BeganNS {
				v.Overlaps++
				v.describe("%s/%s ran on two servers: %+v and %+v", e.Service, e.Key, other, e)
			}
		}
		if e.workEndedNS() > latest[e.Server].workEndedNS() {
			latest[e.Server] = e
		}
	}
}

func (v *CheckResult) describe(format string, args ...any) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}
