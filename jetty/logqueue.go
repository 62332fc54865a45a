package jetty

import (
	"bytes"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that may wait for a slow reader. Further
// ones are dropped, so that logging never blocks.
const maxQueuedLines = 512

// logQueue passes lines on to a writer without ever blocking who writes them.
// Lines written after it was closed are dropped.
type logQueue struct {
	w       io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

func newLogQueue(to io.Writer) *logQueue {
	q := &logQueue{
		w:       to,
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

// run writes lines until the queue is closed, and then those that wait.
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
		// There is no other place to report it.
		q.dropped.Add(1)
	}
}

// close writes the lines that wait and returns. It may be called once.
func (q *logQueue) close() {
	close(q.closing)
	<-q.done
}
