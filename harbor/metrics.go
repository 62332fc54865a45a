package harbor

import (
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/berth"
)

// metrics records the daemon's metrics in a tally scope, which the admin server
// serves as text.
type metrics struct {
	scope tally.TestScope
}

// latencyBuckets are the upper bounds of the request latency histogram.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, time.Second, 5 * time.Second,
}

func newMetrics() *metrics {
	return &metrics{scope: tally.NewTestScope("hornbeamwinch", nil)}
}

// placementDecided counts a placement decision.
func (m *metrics) placementDecided(d berth.Decision) {
	m.scope.Tagged(map[string]string{
		"service": string(d.Service),
		"reason":  string(d.Reason),
	}).Counter("placement_decisions").Inc(1)
}

func (m *metrics) requestLatency(service berth.ServiceID, latency time.Duration) {
	m.scope.Tagged(map[string]string{"service": string(service)}).
		Histogram("request_latency", latencyBuckets).
		RecordDuration(latency)
}
