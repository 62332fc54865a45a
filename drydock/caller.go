package drydock

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/quay"
)

// Workload is the traffic for one service.
type Workload struct {
	Service berth.ServiceID
	Method  string
	// Keys is the number of keys, named KeyPrefix and a number.
	Keys      int
	KeyPrefix string
	// Path is appended to the key, for example "/file".
	Path string
	// Workers is the number of concurrent senders. Each sends its requests one
	// after another.
	Workers int
	// Pause is the time between two requests of one sender.
	Pause time.Duration
	// IdempotencyKeys sends each request with a new idempotency key. A request
	// without a whole response is repeated with the same key through a randomly
	// chosen entry host.
	IdempotencyKeys bool
	// Timeout bounds each send of a request.
	Timeout time.Duration
	// HotKey receives the fraction HotShare of the requests, if it is set.
	HotKey   string
	HotShare float64
}

// CallerConfig holds the parameters of a [Caller].
type CallerConfig struct {
	// Hosts are the caller addresses of the entry hosts.
	Hosts     []string
	Workloads []Workload
	Seed      uint64
}

// ServiceStats counts the outcomes of one service's requests. Each send of a
// repeated request counts.
type ServiceStats struct {
	Service  berth.ServiceID `json:"service"`
	Requests int64           `json:"requests"`
	Whole    int64           `json:"whole"`
	Refused  int64           `json:"refused"`
	Unknown  int64           `json:"unknown"`
	// Truncated counts responses that ended early in a way that the HTTP client
	// detects.
	Truncated int64 `json:"broken"`
	// Wrong counts responses that belonged to another request, had an
	// unexpected status, or were incomplete without an error of the HTTP
	// client. It must stay zero.
	Wrong int64 `json:"wrong"`
	// Unreachable counts requests whose entry host could not be connected to.
	Unreachable int64 `json:"unreachable"`
	P50Micros   int64 `json:"p50_us"`
	P99Micros   int64 `json:"p99_us"`
	// LongestGap is the longest time for which requests for one key failed,
	// from the first failure to the next whole response. An unreachable request
	// does not count as the first failure.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// Reasons counts the reasons of requests without a whole response.
	Reasons []ReasonCount `json:"reasons,omitempty"`
}

// ReasonCount is the number of requests that failed for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Caller sends requests to entry hosts and checks the responses.
type Caller struct {
	cfg    CallerConfig
	client *http.Client

	mu       sync.Mutex
	services map[berth.ServiceID]*serviceCounters
}

// serviceCounters accumulates the results for one service.
type serviceCounters struct {
	stats   ServiceStats
	latency *hdrhistogram.Histogram
	reasons map[string]int64
	// failingSince holds, by key, the first failure since the last whole
	// response.
	failingSince map[string]time.Time
	// longestGaps holds, by key, the longest time without a whole response.
	longestGaps map[string]time.Duration
}

const (
	histogramMaxMicros = 3_600_000_000
	histogramDigits    = 3
	callerDialTimeout  = 500 * time.Millisecond
)

// NewCaller returns a caller that sends nothing until [Caller.Run].
func NewCaller(cfg CallerConfig) *Caller {
	dialer := &net.Dialer{Timeout: callerDialTimeout}
	c := &Caller{
		cfg: cfg,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			DialContext:         dialer.DialContext,
		}},
		services: make(map[berth.ServiceID]*serviceCounters),
	}
	for _, w := range cfg.Workloads {
		c.services[w.Service] = &serviceCounters{
			stats:        ServiceStats{Service: w.Service},
			latency:      hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
			reasons:      make(map[string]int64),
			failingSince: make(map[string]time.Time),
			longestGaps:  make(map[string]time.Duration),
		}
	}
	return c
}

// Run sends requests until ctx is done.
func (c *Caller) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i, w := range c.cfg.Workloads {
		for n := range w.Workers {
			worker := &callerWorker{
				caller:   c,
				workload: w,
				random:   rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)<<32|uint64(n))),
			}
			group.Go(func() { worker.run(ctx) })
		}
	}
	group.Wait()
	c.client.CloseIdleConnections()
}

// Stats returns the counters so far, in the order of the workloads.
func (c *Caller) Stats() []ServiceStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := make([]ServiceStats, 0, len(c.cfg.Workloads))
	for _, w := range c.cfg.Workloads {
		s := c.services[w.Service]
		t := s.stats
		t.P50Micros = s.latency.ValueAtPercentile(50)
		t.P99Micros = s.latency.ValueAtPercentile(99)
		for _, gap := range s.longestGaps {
			t.LongestGap = max(t.LongestGap, gap)
		}
		for _, since := range s.failingSince {
			t.LongestGap = max(t.LongestGap, time.Since(since))
		}
		for reason, n := range s.reasons {
			t.Reasons = append(t.Reasons, ReasonCount{Reason: reason, Count: n})
		}
		stats = append(stats, t)
	}
	return stats
}

// callerWorker sends the requests of one sender, one after another.
type callerWorker struct {
	caller   *Caller
	workload Workload
	random   *rand.Rand
	sent     int
}

func (w *callerWorker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.sendNext(ctx)
		timer := time.NewTimer(w.workload.Pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// maxSends bounds the sends of one request that has an idempotency key.
const maxSends = 3

// sendNext sends one request. If the workload uses idempotency keys, it repeats
// the request with the same key until it gets a whole response, at most maxSends
// times in all.
func (w *callerWorker) sendNext(ctx context.Context) {
	key := w.key()
	w.sent++
	idempotencyKey := ""
	if w.workload.IdempotencyKeys {
		idempotencyKey = strconv.FormatUint(w.random.Uint64(), 36)
	}
	for range maxSends {
		result := w.send(ctx, key, idempotencyKey)
		if ctx.Err() != nil && result.kind != resultWhole {
			return
		}
		w.caller.recordResult(w.workload, key, result)
		if !w.workload.IdempotencyKeys || result.kind == resultWhole {
			return
		}
	}
}

func (w *callerWorker) key() string {
	if w.workload.HotKey != "" && w.random.Float64() < w.workload.HotShare {
		return w.workload.HotKey
	}
	return w.workload.KeyPrefix + strconv.Itoa(w.random.IntN(w.workload.Keys))
}

// resultKind classifies the result of one send.
type resultKind int

const (
	resultWhole resultKind = iota
	resultRefused
	resultUnknown
	resultTruncated
	resultWrong
	resultUnreachable
)

type callResult struct {
	kind    resultKind
	reason  string
	elapsed time.Duration
}

// send sends one request and checks its response.
func (w *callerWorker) send(ctx context.Context, key, idempotencyKey string) callResult {
	ctx, cancel := context.WithTimeout(ctx, w.workload.Timeout)
	defer cancel()
	host := w.caller.cfg.Hosts[w.random.IntN(len(w.caller.cfg.Hosts))]
	target := "http://" + host + "/s/" + string(w.workload.Service) + "/" + url.PathEscape(key) + w.workload.Path
	var body io.Reader
	if w.workload.Method == http.MethodPost {
		body = strings.NewReader(`{"amount":1}`)
	}
	r, err := http.NewRequestWithContext(ctx, w.workload.Method, target, body)
	if err != nil {
		return callResult{kind: resultUnreachable, reason: err.Error()}
	}
	id := strconv.FormatUint(w.random.Uint64(), 16)
	r.Header.Set(quay.HeaderRequestID, id)
	r.Header.Set(quay.HeaderTimeout, strconv.FormatInt(w.workload.Timeout.Milliseconds(), 10))
	if idempotencyKey != "" {
		r.Header.Set(quay.HeaderIdempotencyKey, idempotencyKey)
	}
	began := time.Now()
	response, err := w.caller.client.Do(r)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	result := checkResponse(response, data, err, id, key, w.workload.Path)
	result.elapsed = time.Since(began)
	return result
}

// classifyError classifies a send without a response. If the connection was not
// established, the request was certainly not sent; otherwise its outcome is
// unknown.
func classifyError(err error) callResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return callResult{kind: resultUnreachable, reason: "dial"}
	}
	return callResult{kind: resultUnknown, reason: "no_answer"}
}

// checkResponse verifies that a response is whole and belongs to the request.
func checkResponse(response *http.Response, data []byte, err error, id, key, path string) callResult {
	if err != nil {
		return callResult{kind: resultTruncated, reason: "cut"}
	}
	reason := response.Header.Get(quay.HeaderReason)
	switch response.Header.Get(quay.HeaderOutcome) {
	case quay.OutcomeNotRun:
		return callResult{kind: resultRefused, reason: reason}
	case quay.OutcomeUnknown:
		return callResult{kind: resultUnknown, reason: reason}
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(quay.HeaderRequestID) != id {
		return callResult{kind: resultWrong, reason: fmt.Sprintf("status %d", response.StatusCode)}
	}
	if strings.HasSuffix(path, "/file") {
		return callResult{kind: resultWhole}
	}
	var content ResponseBody
	if err := json.Unmarshal(data, &content); err != nil || content.Key != key {
		return callResult{kind: resultWrong, reason: "content"}
	}
	replayed := response.Header.Get(quay.HeaderReplayed) == "true"
	if content.RequestID != id && !replayed {
		return callResult{kind: resultWrong, reason: "content of another request"}
	}
	return callResult{kind: resultWhole}
}

// recordResult adds one result to the counters of its service.
func (c *Caller) recordResult(w Workload, key string, result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[w.Service]
	s.stats.Requests++
	if result.reason != "" {
		s.reasons[result.reason]++
	}
	switch result.kind {
	case resultWhole:
		s.stats.Whole++
		_ = s.latency.RecordValue(max(1, result.elapsed.Microseconds()))
		s.endFailure(key)
		return
	case resultRefused:
		s.stats.Refused++
	case resultUnknown:
		s.stats.Unknown++
	case resultTruncated:
		s.stats.Truncated++
	case resultWrong:
		s.stats.Wrong++
	case resultUnreachable:
		s.stats.Unreachable++
		return
	}
	if _, failing := s.failingSince[key]; !failing {
		s.failingSince[key] = time.Now()
	}
}

// endFailure ends the time for which requests for key failed, if they did, and
// records its length.
func (s *serviceCounters) endFailure(key string) {
	since, failing := s.failingSince[key]
	if !failing {
		return
	}
	delete(s.failingSince, key)
	s.longestGaps[key] = max(s.longestGaps[key], time.Since(since))
}
