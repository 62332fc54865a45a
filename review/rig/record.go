package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// loopback is the address at which everything listens.
const loopback = "127.0.0.1"

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a moment as it is written.
func (r *record) at(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds())
}
