package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// judge collects what happened and what must not have.
type judge struct {
	began time.Time

	mu       sync.Mutex
	timeline []string
	broken   []string
	// refused has the requests that were told that they did not run.
	refused  map[string]bool
	answered int
	turned   int
	failed   int
}

func newJudge() *judge {
	return &judge{began: time.Now(), refused: make(map[string]bool)}
}

func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.timeline = append(j.timeline, j.stamp()+fmt.Sprintf(format, args...))
}

func (j *judge) stamp() string {
	return fmt.Sprintf("%8.3f  ", time.Since(j.began).Seconds())
}

// maxViolations bounds the list; the first ones tell most.
const maxViolations = 20

func (j *judge) violation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := j.stamp() + "VIOLATION " + fmt.Sprintf(format, args...)
	j.timeline = append(j.timeline, text)
	if len(j.broken) < maxViolations {
		j.broken = append(j.broken, text)
	}
}

func (j *judge) violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

// ended notes how a request ended for its caller.
func (j *judge) ended(id string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case promisesNotRun(status):
		j.turned++
		j.refused[id] = true
	case status == 200:
		j.answered++
	default:
		j.failed++
	}
}

// promisesNotRun reports whether a status says that a request did not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// wasRefused reports whether a request was told that it did not run.
func (j *judge) wasRefused(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.refused[id]
}

func (j *judge) summary() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf("%d answered, %d refused, %d failed", j.answered, j.turned, j.failed)
}

func (j *judge) print(w io.Writer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, line := range j.timeline {
		_, _ = fmt.Fprintln(w, line)
	}
}
