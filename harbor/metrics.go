package harbor

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/berth"
)

// metrics holds the daemon's tally scope and serves its values as text.
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

// placed counts a placement decision.
func (m *metrics) placed(d berth.Decision) {
	m.scope.Tagged(map[string]string{
		"service": string(d.Service),
		"reason":  string(d.Reason),
	}).Counter("placement_decisions").Inc(1)
}

func (m *metrics) latency(service berth.ServiceID, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": string(service)}).
		Histogram("request_latency", latencyBuckets).
		RecordDuration(took)
}

// ServeHTTP writes every metric in the Prometheus text format.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	snapshot := m.scope.Snapshot()
	var lines []string
	for _, counter := range snapshot.Counters() {
		lines = append(lines, metricLine(counter.Name(), counter.Tags(), float64(counter.Value())))
	}
	for _, gauge := range snapshot.Gauges() {
		lines = append(lines, metricLine(gauge.Name(), gauge.Tags(), gauge.Value()))
	}
	for _, histogram := range snapshot.Histograms() {
		lines = append(lines, histogramLines(histogram)...)
	}
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// histogramLines returns cumulative bucket lines.
func histogramLines(histogram tally.HistogramSnapshot) []string {
	bounds := make([]time.Duration, 0, len(histogram.Durations()))
	for bound := range histogram.Durations() {
		bounds = append(bounds, bound)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	var lines []string
	total := int64(0)
	for _, bound := range bounds {
		total += histogram.Durations()[bound]
		tags := map[string]string{"le": fmt.Sprintf("%g", bound.Seconds())}
		for name, value := range histogram.Tags() {
			tags[name] = value
		}
		lines = append(lines, metricLine(histogram.Name()+"_bucket", tags, float64(total)))
	}
	return lines
}

func metricLine(name string, tags map[string]string, value float64) string {
	names := make([]string, 0, len(tags))
	for tag := range tags {
		names = append(names, tag)
	}
	sort.Strings(names)
	pairs := make([]string, 0, len(names))
	for _, tag := range names {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, tags[tag]))
	}
	name = strings.NewReplacer(".", "_", "+", "_").Replace(name)
	return fmt.Sprintf("%s{%s} %g", name, strings.Join(pairs, ","), value)
}
