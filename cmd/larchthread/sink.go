package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	sinkLines = 1024                   // lines that wait for a slow reader of the log; more are dropped and counted
	sinkWait  = 100 * time.Millisecond // for the last lines at the end
)

// asyncLogWriter passes log lines on from a goroutine of its own: a log that nobody reads must not stop the loop.
type asyncLogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func newAsyncLogWriter(w io.Writer) *asyncLogWriter {
	s := &asyncLogWriter{lines: make(chan []byte, sinkLines), done: make(chan struct{})}
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

// Write never waits.
func (s *asyncLogWriter) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// close passes on what is left, as far as the reader takes it soon.
func (s *asyncLogWriter) close() {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(sinkWait):
	}
}
