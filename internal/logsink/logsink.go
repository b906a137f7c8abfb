// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package logsink writes log lines without ever holding up the code that logs: a
// reader of standard output that stops must not stop a router.
//
// The edge router granitehoist-edge writes its log through a Sink; both routers use
// NewLogger. A Sink owns its queue and one goroutine, which alone writes. Begin
// reading at Sink.Write.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist/internal/event"
)

// Sink passes lines to a writer on a goroutine of its own. Lines that arrive while
// its queue is full are dropped and counted, and the count is written as a line of
// its own before the next line. It implements io.Writer and is safe for concurrent
// use, but for Close.
type Sink struct {
	lines chan []byte
	// dropped counts all lines dropped, reported those of them that a log_dropped
	// line has counted. Only run uses reported. written is closed when all lines are
	// written.
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

// run writes the lines until the sink is closed. An error of w loses a line; the
// next one is tried again.
func (s *Sink) run(w io.Writer) {
	defer close(s.written)
	for line := range s.lines {
		if n := s.dropped.Load() - s.reported; n > 0 {
			s.reported += n
			// An error of w can't be reported: w is the log.
			_, _ = fmt.Fprintf(w, "event=%s lines=%d\n", event.LogDropped, n)
		}
		// An error of w can't be reported, as above.
		_, _ = w.Write(line)
	}
}

// Write queues a copy of a line or drops it. It never waits and never fails. It
// panics after Close.
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

// Close waits until the queued lines are written, but no longer than timeout; lines
// that still wait then may be lost. Neither Write nor Close may be called after it.
func (s *Sink) Close(timeout time.Duration) {
	close(s.lines)
	select {
	case <-s.written:
	case <-time.After(timeout):
	}
}
