package jetty

import (
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/fairway"
)

// routeMetrics has the metrics of the requests of one route. They have a scope of their own,
// since a scope never forgets the metrics that were once in it.
type routeMetrics struct {
	scope   tally.TestScope
	seconds tally.Histogram

	mu       sync.Mutex
	requests map[requestOutcome]tally.Counter
}

// requestOutcome is how a request has ended.
type requestOutcome struct {
	outcome outcome
	reason  reason
}

func newRouteMetrics(route fairway.RouteName) *routeMetrics {
	scope := tally.NewTestScope(metricPrefix, map[string]string{"route": string(route)})
	return &routeMetrics{
		scope: scope, seconds: scope.Histogram(string(metricRequestSeconds), latencyBuckets),
		requests: make(map[requestOutcome]tally.Counter),
	}
}

// answered counts a completed request, and times it if it ended with a backend server's
// response.
func (m *routeMetrics) answered(res result, elapsed time.Duration) {
	var o requestOutcome
	o.outcome, o.reason = outcomeOf(res)
	m.counter(o).Inc(1)
	if _, ok := res.(backendResponse); ok {
		m.seconds.RecordDuration(elapsed)
	}
}

func (m *routeMetrics) counter(o requestOutcome) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.requests[o]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"outcome": string(o.outcome), "reason": string(o.reason)}).Counter(string(metricRequests))
		m.requests[o] = c
	}
	return c
}

// joinedSnapshot is the snapshot of several scopes that have no metric in common. It
// implements tally.Snapshot.
type joinedSnapshot []tally.Snapshot

// Counters implements tally.Snapshot.
func (s joinedSnapshot) Counters() map[string]tally.CounterSnapshot {
	return join(s, tally.Snapshot.Counters)
}

// Gauges implements tally.Snapshot.
func (s joinedSnapshot) Gauges() map[string]tally.GaugeSnapshot {
	return join(s, tally.Snapshot.Gauges)
}

// Timers implements tally.Snapshot.
func (s joinedSnapshot) Timers() map[string]tally.TimerSnapshot {
	return join(s, tally.Snapshot.Timers)
}

// Histograms implements tally.Snapshot.
func (s joinedSnapshot) Histograms() map[string]tally.HistogramSnapshot {
	return join(s, tally.Snapshot.Histograms)
}

func join[T any](snapshots []tally.Snapshot, metricsOf func(tally.Snapshot) map[string]T) map[string]T {
	all := make(map[string]T)
	for _, s := range snapshots {
		maps.Copy(all, metricsOf(s))
	}
	return all
}
