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
	// Path follows the key, for example "/file".
	Path string
	// Workers is the number of callers that send one request after another.
	Workers int
	// Pause is the time between two requests of one caller.
	Pause time.Duration
	// IdempotencyKeys sends every request with a new idempotency key, and repeats it
	// with the same key through another entry host if its outcome is unknown.
	IdempotencyKeys bool
	// Timeout bounds one request.
	Timeout time.Duration
	// HotKey receives HotShare of the requests, if it is set.
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

// ServiceStats counts the outcomes of one service's requests.
type ServiceStats struct {
	Service  berth.ServiceID `json:"service"`
	Requests int64           `json:"requests"`
	Whole    int64           `json:"whole"`
	Refused  int64           `json:"refused"`
	Unknown  int64           `json:"unknown"`
	// Truncated counts answers that were cut visibly.
	Truncated int64 `json:"broken"`
	// Wrong counts answers that belonged to another request or were
	// incomplete without showing it. It must stay zero.
	Wrong int64 `json:"wrong"`
	// Unreachable counts requests for which no entry host was reached.
	Unreachable int64 `json:"unreachable"`
	P50Micros   int64 `json:"p50_us"`
	P99Micros   int64 `json:"p99_us"`
	// LongestGap is the longest time for which a key that was asked for had
	// no whole answer.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// Reasons counts the reasons of refusals and unknown outcomes.
	Reasons []ReasonCount `json:"reasons,omitempty"`
}

// ReasonCount is the number of answers with one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Caller sends requests to entry hosts and checks the answers.
type Caller struct {
	cfg    CallerConfig
	client *http.Client

	mu       sync.Mutex
	services map[berth.ServiceID]*serviceTally
}

// serviceTally is the running count of one service.
type serviceTally struct {
	tally   ServiceStats
	latency *hdrhistogram.Histogram
	reasons map[string]int64
	// failing holds since when a key has had no whole answer.
	failing map[string]time.Time
	gaps    map[string]time.Duration
}

const (
	histogramMaxMicros = 3_600_000_000
	histogramDigits    = 3
	callerDialTimeout  = 500 * time.Millisecond
)

// NewCaller returns a caller. It sends nothing yet.
func NewCaller(cfg CallerConfig) *Caller {
	dialer := &net.Dialer{Timeout: callerDialTimeout}
	c := &Caller{
		cfg: cfg,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			DialContext:         dialer.DialContext,
		}},
		services: make(map[berth.ServiceID]*serviceTally),
	}
	for _, w := range cfg.Workloads {
		c.services[w.Service] = &serviceTally{
			tally:   ServiceStats{Service: w.Service},
			latency: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
			reasons: make(map[string]int64),
			failing: make(map[string]time.Time),
			gaps:    make(map[string]time.Duration),
		}
	}
	return c
}

// Run sends requests until ctx ends.
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

// Stats returns the counts so far, in the order of the workloads.
func (c *Caller) Stats() []ServiceStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	tallies := make([]ServiceStats, 0, len(c.cfg.Workloads))
	for _, w := range c.cfg.Workloads {
		s := c.services[w.Service]
		t := s.tally
		t.P50Micros = s.latency.ValueAtPercentile(50)
		t.P99Micros = s.latency.ValueAtPercentile(99)
		for _, gap := range s.gaps {
			t.LongestGap = max(t.LongestGap, gap)
		}
		for _, since := range s.failing {
			t.LongestGap = max(t.LongestGap, time.Since(since))
		}
		for reason, n := range s.reasons {
			t.Reasons = append(t.Reasons, ReasonCount{Reason: reason, Count: n})
		}
		tallies = append(tallies, t)
	}
	return tallies
}

// callerWorker sends one request after another.
type callerWorker struct {
	caller   *Caller
	workload Workload
	random   *rand.Rand
	sent     int
}

func (w *callerWorker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.one(ctx)
		timer := time.NewTimer(w.workload.Pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// repeatLimit bounds the repetitions of a request with an unknown outcome.
const repeatLimit = 3

// one sends one request and, if it must not run twice and its outcome is
// unknown, repeats it with the same idempotency key elsewhere.
func (w *callerWorker) one(ctx context.Context) {
	key := w.key()
	w.sent++
	idempotencyKey := ""
	if w.workload.IdempotencyKeys {
		idempotencyKey = strconv.FormatUint(w.random.Uint64(), 36)
	}
	for range repeatLimit {
		result := w.send(ctx, key, idempotencyKey)
		if ctx.Err() != nil && result.kind != resultWhole {
			return
		}
		w.caller.count(w.workload, key, result)
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

// resultKind classifies what a caller saw.
type resultKind int

const (
	resultWhole resultKind = iota
	resultRefused
	resultUnknown
	resultBroken
	resultWrong
	resultUnreachable
)

type callResult struct {
	kind   resultKind
	reason string
	took   time.Duration
}

// send makes one call and judges its answer.
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
	answer, err := w.caller.client.Do(r)
	if err != nil {
		return failedCall(err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	result := judge(answer, data, err, id, key, w.workload.Path)
	result.took = time.Since(began)
	return result
}

// failedCall classifies a call without an answer. A connection that was not
// established certainly carried no request.
func failedCall(err error) callResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return callResult{kind: resultUnreachable, reason: "dial"}
	}
	return callResult{kind: resultUnknown, reason: "no_answer"}
}

// judge checks that an answer is whole and belongs to the request.
func judge(answer *http.Response, data []byte, err error, id, key, path string) callResult {
	if err != nil {
		return callResult{kind: resultBroken, reason: "cut"}
	}
	reason := answer.Header.Get(quay.HeaderReason)
	switch answer.Header.Get(quay.HeaderOutcome) {
	case quay.OutcomeNotRun:
		return callResult{kind: resultRefused, reason: reason}
	case quay.OutcomeUnknown:
		return callResult{kind: resultUnknown, reason: reason}
	}
	if answer.StatusCode != http.StatusOK || answer.Header.Get(quay.HeaderRequestID) != id {
		return callResult{kind: resultWrong, reason: fmt.Sprintf("status %d", answer.StatusCode)}
	}
	if strings.HasSuffix(path, "/file") {
		return callResult{kind: resultWhole}
	}
	var content Answer
	if err := json.Unmarshal(data, &content); err != nil || content.Key != key {
		return callResult{kind: resultWrong, reason: "content"}
	}
	replayed := answer.Header.Get(quay.HeaderReplayed) == "true"
	if content.RequestID != id && !replayed {
		return callResult{kind: resultWrong, reason: "content of another request"}
	}
	return callResult{kind: resultWhole}
}

// count records one result.
func (c *Caller) count(w Workload, key string, result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[w.Service]
	s.tally.Requests++
	if result.reason != "" {
		s.reasons[result.reason]++
	}
	switch result.kind {
	case resultWhole:
		s.tally.Whole++
		_ = s.latency.RecordValue(max(1, result.took.Microseconds()))
		s.endGap(key)
		return
	case resultRefused:
		s.tally.Refused++
	case resultUnknown:
		s.tally.Unknown++
	case resultBroken:
		s.tally.Truncated++
	case resultWrong:
		s.tally.Wrong++
	case resultUnreachable:
		s.tally.Unreachable++
		return
	}
	if _, failing := s.failing[key]; !failing {
		s.failing[key] = time.Now()
	}
}

// endGap notes how long key had no whole answer.
func (s *serviceTally) endGap(key string) {
	since, failing := s.failing[key]
	if !failing {
		return
	}
	delete(s.failing, key)
	s.gaps[key] = max(s.gaps[key], time.Since(since))
}
