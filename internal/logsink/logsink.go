// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package logsink writes log lines without ever holding up those who log.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist/internal/event"
)

// Sink hands lines to a writer on a goroutine of its own. Lines that come while
// its queue is full are dropped and counted, and the count is written when
// there is room again. It implements io.Writer.
type Sink struct {
	lines chan []byte
	// dropped counts all lines dropped, told those that the log was told of.
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

func (s *Sink) run(w io.Writer) {
	defer close(s.written)
	for line := range s.lines {
		if n := s.dropped.Load() - s.reported; n > 0 {
			s.reported += n
			_, _ = fmt.Fprintf(w, "event=%s lines=%d\n", event.LogDropped, n)
		}
		_, _ = w.Write(line)
	}
}

// Write takes a line. It never waits and never fails.
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

// Close writes what is queued, for at most the given time. No line may be
// written after it.
func (s *Sink) Close(timeout time.Duration) {
	close(s.lines)
	select {
	case <-s.written:
	case <-time.After(timeout):
	}
}
