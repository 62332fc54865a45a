// Package gauge implements an HTTP handler that exposes the metrics of a tally
// scope in the Prometheus text format.
//
// # Usage
//
//	scope := tally.NewTestScope("hornbeamwinch", nil)
//	http.Handle("/metrics", gauge.MetricsHandler{Scope: scope})
package gauge

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// Snapshotter is a tally scope that returns snapshots of its metrics.
type Snapshotter interface {
	Snapshot() tally.Snapshot
}

// MetricsHandler is an http.Handler that serves the metrics of a scope.
type MetricsHandler struct {
	Scope Snapshotter
}

// ServeHTTP implements http.Handler.
func (h MetricsHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	snapshot := h.Scope.Snapshot()
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

// histogramLines returns a line per bucket with its cumulative count.
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
