package jetty

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
)

// usageInterval is the time between two log lines of what a host has used.
const usageInterval = 10 * time.Second

// storeRole is what a host does for others, as far as it has to call the store for that.
type storeRole string

const (
	// storeRolePlacer is the placer.
	storeRolePlacer storeRole = "placer"
	// storeRoleFeeder watches the store for other hosts.
	storeRoleFeeder storeRole = "feeder"
	// storeRoleFed has a feeder, and calls the store if that fails.
	storeRoleFed storeRole = "fed"
	// storeRoleAlone knows of no feeder, as after a start.
	storeRoleAlone storeRole = "alone"
)

// storeCall is the kind of a call to the store.
type storeCall struct {
	op     string
	result string
	role   storeRole
}

// opening is why a connection to a server was opened.
type opening struct {
	service fairway.ServiceName
	reason  openReason
}

// openReason is why no kept connection was used.
type openReason string

// The reasons, as they appear in server_connections_opened_total.
const (
	// openFirst is the first connection to a server.
	openFirst openReason = "first"
	// openBusy means that all others carry a request.
	openBusy openReason = "busy"
	// openIdle means that the last one had been idle for too long.
	openIdle openReason = "idle"
	// openClosed means that the server had closed the last one, or had sent bytes
	// that belong to no request.
	openClosed openReason = "closed"
	// openDropped means that the last one ended with a failed or abandoned request.
	openDropped openReason = "dropped"
	// openProbe looks for a way to the servers, without a request.
	openProbe openReason = "probe"
)

// usage counts what the host has used since the last log line. The metrics count the same
// without end.
type usage struct {
	mu         sync.Mutex
	storeCalls map[storeCall]int64
	openings   map[opening]int64
}

func newUsage() *usage {
	return &usage{storeCalls: make(map[storeCall]int64), openings: make(map[opening]int64)}
}

func (u *usage) addStoreCall(c storeCall) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.storeCalls[c]++
}

func (u *usage) addOpenings(opened map[opening]int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for o, n := range opened {
		u.openings[o] += n
	}
}

// take returns the counts as texts, sorted, and resets them.
func (u *usage) take() (storeCalls, openings []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, n := range u.storeCalls {
		storeCalls = append(storeCalls, fmt.Sprintf("%s %s %s %d", c.role, c.op, c.result, n))
	}
	for o, n := range u.openings {
		openings = append(openings, fmt.Sprintf("%s %s %d", o.service, o.reason, n))
	}
	clear(u.storeCalls)
	clear(u.openings)
	slices.Sort(storeCalls)
	slices.Sort(openings)
	return storeCalls, openings
}

// storeRole returns the present role of this host.
func (h *Host) storeRole() storeRole {
	plan := h.clusterState.feedPlan()
	switch {
	case h.election.active():
		return storeRolePlacer
	case plan.feeder == "":
		return storeRoleAlone
	case plan.feeds:
		return storeRoleFeeder
	default:
		return storeRoleFed
	}
}

// storeResult returns how a call to the store ended.
func storeResult(err error) string {
	var e *ledger.Error
	switch {
	case errors.As(err, &e):
		return e.Kind.String()
	case err != nil:
		return "failed"
	default:
		return "ok"
	}
}
