package jetty

import (
	"bytes"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that may wait for a slow writer.
// Further lines are dropped, so that logging never blocks.
const maxQueuedLines = 512

// logQueue is an io.Writer that passes lines on to another writer without ever
// blocking. It drops lines when it is full or closed.
type logQueue struct {
	w       io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

func newLogQueue(w io.Writer) *logQueue {
	q := &logQueue{
		w:       w,
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until the queue is closed, and then those still queued.
func (q *logQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.closing:
			for {
				select {
				case line := <-q.lines:
					q.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

func (q *logQueue) writeLine(line []byte) {
	if _, err := q.w.Write(line); err != nil {
		// The log itself failed, so the line is only counted.
		q.dropped.Add(1)
	}
}

// close writes the lines still queued and stops the queue. It must be called
// only once.
func (q *logQueue) close() {
	close(q.closing)
	<-q.done
}
