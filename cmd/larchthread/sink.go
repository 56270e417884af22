package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	logQueueLines   = 1024                   // queued lines before further ones are dropped and counted
	logFlushTimeout = 100 * time.Millisecond // limit on flushing the last lines
)

// asyncLogWriter writes log lines from its own goroutine, so that a blocked log reader does not stop the event
// loop. Lines beyond its queue are dropped, and their number is logged.
type asyncLogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// newAsyncLogWriter starts an asyncLogWriter for w.
func newAsyncLogWriter(w io.Writer) *asyncLogWriter {
	s := &asyncLogWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			if n := s.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
			}
			w.Write(line)
		}
	}()
	return s
}

// Write queues a copy of p, or drops it if the queue is full. It neither blocks nor fails.
func (s *asyncLogWriter) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// close flushes queued lines, waiting at most logFlushTimeout.
func (s *asyncLogWriter) close() {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(logFlushTimeout):
	}
}
