package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// checker records the timeline of a run, the outcomes of its requests and the
// violations of the guarantees that are tested.
type checker struct {
	start time.Time

	mu             sync.Mutex
	timeline       []string
	violationLines []string
	// refused has the ids of the requests whose response implied that they did not
	// run.
	refused map[string]bool
	// failed has the requests without a complete response of a backend server.
	failed        []failedRequest
	answeredCount int
	refusedCount  int
	failedCount   int
}

func newChecker() *checker {
	return &checker{start: time.Now(), refused: make(map[string]bool)}
}

func (c *checker) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline = append(c.timeline, c.timestamp()+fmt.Sprintf(format, args...))
}

func (c *checker) timestamp() string {
	return fmt.Sprintf("%8.3f  ", time.Since(c.start).Seconds())
}

// maxViolations bounds the violations that are kept. The first ones are closest
// to the cause.
const maxViolations = 20

func (c *checker) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := c.timestamp() + "VIOLATION " + fmt.Sprintf(format, args...)
	c.timeline = append(c.timeline, text)
	if len(c.violationLines) < maxViolations {
		c.violationLines = append(c.violationLines, text)
	}
}

func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violationLines...)
}

// recordOutcome records the status that a caller received for a request; 0 means
// that it received no complete response.
func (c *checker) recordOutcome(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case impliesNotRun(status):
		c.refusedCount++
		c.refused[id] = true
	case status == 200:
		c.answeredCount++
	default:
		c.failedCount++
	}
}

// recordFailure records a request without a complete response of a backend server.
func (c *checker) recordFailure(r failedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, r)
}

func (c *checker) failedRequests() []failedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]failedRequest(nil), c.failed...)
}

// impliesNotRun reports whether a status implies that the request did not run.
func impliesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// wasRefused reports whether the response to a request implied that it did not
// run.
func (c *checker) wasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[id]
}

func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d answered, %d refused, %d failed", c.answeredCount, c.refusedCount, c.failedCount)
}

func (c *checker) print(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range c.timeline {
		_, _ = fmt.Fprintln(w, line)
	}
}
