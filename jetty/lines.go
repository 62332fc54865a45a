package jetty

import (
	"bytes"
	"io"
	"sync/atomic"
)

// logBacklog is the number of lines that may wait for a slow reader. Further
// ones are dropped, so that logging never blocks.
const logBacklog = 512

// lineQueue passes lines on to a writer without ever blocking who writes them.
// Lines written after it was closed are dropped.
type lineQueue struct {
	to      io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

func newLineQueue(to io.Writer) *lineQueue {
	q := &lineQueue{
		to:      to,
		lines:   make(chan []byte, logBacklog),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until the queue is closed, and then those that wait.
func (q *lineQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.pass(line)
		case <-q.closing:
			for {
				select {
				case line := <-q.lines:
					q.pass(line)
				default:
					return
				}
			}
		}
	}
}

func (q *lineQueue) pass(line []byte) {
	if _, err := q.to.Write(line); err != nil {
		// There is no other place to report it.
		q.dropped.Add(1)
	}
}

// close writes the lines that wait and returns. It may be called once.
func (q *lineQueue) close() {
	close(q.closing)
	<-q.done
}
