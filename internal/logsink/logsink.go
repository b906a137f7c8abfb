// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package logsink writes log lines without blocking the code that logs, so that a router
// keeps running if the reader of its standard output stops.
//
// The edge router granitehoist-edge writes its log through a Sink; both routers use
// NewLogger. A Sink owns its queue and the one goroutine that writes. Begin reading at
// Sink.Write.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist/internal/event"
)

// Sink passes lines to a writer on its own goroutine. Lines that arrive while the queue
// is full are dropped and counted; the count is logged before the next line. It
// implements io.Writer and, except for Close, is safe for concurrent use.
type Sink struct {
	lines chan []byte
	// dropped counts all dropped lines, reported those already logged by a log_dropped
	// line; only run accesses reported. written is closed when run returns.
	dropped  atomic.Int64
	reported int64
	written  chan struct{}
}

// New returns a sink that holds at most depth lines.
func New(w io.Writer, depth int) *Sink {
	s := &Sink{lines: make(chan []byte, depth), written: make(chan struct{})}
	go s.run(w)
	return s
}

// run writes the lines until the sink is closed. A line is lost if w returns an error.
func (s *Sink) run(w io.Writer) {
	defer close(s.written)
	for line := range s.lines {
		if n := s.dropped.Load() - s.reported; n > 0 {
			s.reported += n
			// The error is ignored, since w is the log to which it would be reported.
			_, _ = fmt.Fprintf(w, "event=%s lines=%d\n", event.LogDropped, n)
		}
		// The error is ignored as above.
		_, _ = w.Write(line)
	}
}

// Write queues a copy of a line, or drops it if the queue is full. It does not block,
// returns no error and panics after Close.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close waits until the queued lines are written, for at most timeout; lines still
// queued then may be lost. Neither Write nor Close may be called after it.
func (s *Sink) Close(timeout time.Duration) {
	close(s.lines)
	select {
	case <-s.written:
	case <-time.After(timeout):
	}
}
