package jetty

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// latencyBuckets are the upper bounds of the request latency histogram.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// metrics counts in a tally scope. Scopes with tags are kept, since tally
// builds a name for each call otherwise.
type metrics struct {
	scope tally.TestScope

	mu     sync.Mutex
	tagged map[metricTags]tally.Scope
}

type metricTags struct {
	first  string
	second string
	third  string
}

func newMetrics() *metrics {
	return &metrics{
		scope:  tally.NewTestScope("hornbeamwinch", nil),
		tagged: make(map[metricTags]tally.Scope),
	}
}

func (m *metrics) with(tags metricTags, names ...string) tally.Scope {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.tagged[tags]
	if s == nil {
		values := [...]string{tags.first, tags.second, tags.third}
		named := make(map[string]string, len(names))
		for i, name := range names {
			named[name] = values[i]
		}
		s = m.scope.Tagged(named)
		m.tagged[tags] = s
	}
	return s
}

func (m *metrics) answered(r *request, answer reply, took time.Duration) {
	route := ""
	if r.route != nil {
		route = string(r.route.Name)
	}
	outcome, reason := outcomeOf(answer)
	m.with(metricTags{route, outcome, reason}, "route", "outcome", "reason").Counter("requests_total").Inc(1)
	if _, ok := answer.(passOn); ok {
		m.with(metricTags{first: route}, "route").Histogram("request_seconds", latencyBuckets).RecordDuration(took)
	}
}

func (m *metrics) moved(service fairway.ServiceName, moves []mooring.Move) {
	for _, move := range moves {
		m.with(metricTags{first: string(service), second: string(move.Reason)}, "service", "reason").
			Counter("key_moves_total").Inc(1)
	}
}

func (m *metrics) ordered(o mooring.Order, result mooring.Result) {
	kind := "grant"
	if o.Release {
		kind = "release"
	}
	m.with(metricTags{first: kind, second: result.String()}, "kind", "result").Counter("orders_total").Inc(1)
}

// storeCall counts a call to the store.
func (m *metrics) storeCall(op string, err error, took time.Duration) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	s := m.with(metricTags{first: op, second: result}, "op", "result")
	s.Counter("store_calls_total").Inc(1)
	s.Histogram("store_call_seconds", latencyBuckets).RecordDuration(took)
}
