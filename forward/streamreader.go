// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/eventstream"
	"granitehoist.example/granitehoist/internal/readlimit"
)

const (
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4096
	// maxStreamBytes bounds a stream as a whole, whatever its events.
	maxStreamBytes = 64 << 20
	// maxTokenlessEvents bounds the events of a stream that carry no token.
	maxTokenlessEvents = 64
)

// chunkEndBytes is the length of the end of a chunk, which may arrive after its event.
const chunkEndBytes = int64(len("\r\n"))

// eventLimits are the limits of an event. The size of an event is bounded by package
// eventstream.
var eventLimits = readlimit.Limits{Part: readlimit.Event, MaxTime: exchange.MaxPartTime, LeadBytes: chunkEndBytes}

// maxStreamEvents returns the maximum number of events of a stream, zero if there is none.
// Events carry at least one token each, but for maxTokenlessEvents. cost is nil if the request
// uses no tokens.
func maxStreamEvents(cost *Cost) int64 {
	if cost == nil {
		return 0
	}
	return int64(cost.Output) + maxTokenlessEvents
}

// streamReader reads the events of a stream within bounds. It belongs to one goroutine.
type streamReader struct {
	response *exchange.Response
	splitter eventstream.Splitter
	buffer   []byte
	// held reserves the memory of the incomplete event.
	held readlimit.Reservation
	// events and bytes count what was read of the stream; maxEvents is zero if their number
	// is not bounded.
	events, maxEvents, bytes int64
	// eventEnded is set if the last read completed an event.
	eventEnded bool
}

// newStreamReader returns a reader of the body of a response. release must be called at the
// end.
func newStreamReader(response *exchange.Response, memory *readlimit.Memory, maxEvents int64) *streamReader {
	response.Limit(eventLimits, 0)
	return &streamReader{
		response:  response,
		buffer:    make([]byte, streamBufferBytes),
		held:      readlimit.Reservation{Memory: memory},
		maxEvents: maxEvents,
	}
}

// next reads once and returns the events that this completes, which are valid until the next
// call. At the end of the stream the error is io.EOF; it wraps a *readlimit.Error, without
// events, if the stream exceeds a bound.
func (s *streamReader) next() ([]eventstream.Event, error) {
	if s.eventEnded {
		s.response.Limit(eventLimits, int64(len(s.splitter.Incomplete())))
	}
	n, readErr := s.response.Read(s.buffer)
	s.bytes += int64(n)
	events, err := s.splitter.Add(s.buffer[:n])
	if err != nil {
		return nil, s.exceeds(readlimit.Event, readlimit.Bytes)
	}
	s.events += int64(len(events))
	s.eventEnded = len(events) > 0
	switch {
	case s.bytes > maxStreamBytes:
		return nil, s.exceeds(readlimit.Stream, readlimit.Bytes)
	case s.maxEvents > 0 && s.events > s.maxEvents:
		return nil, s.exceeds(readlimit.Stream, readlimit.Events)
	case !s.held.Resize(int64(len(s.splitter.Incomplete()))):
		return nil, s.exceeds(readlimit.Event, readlimit.Shared)
	}
	return events, readErr
}

// exceeds returns the error for a bound that the stream exceeds.
func (s *streamReader) exceeds(part readlimit.Part, bound readlimit.Bound) error {
	return &readlimit.Error{Part: part, Bound: bound, Read: s.bytes}
}

// incomplete returns the bytes after the last complete event.
func (s *streamReader) incomplete() []byte { return s.splitter.Incomplete() }

// release frees the memory of the incomplete event.
func (s *streamReader) release() { s.held.Release() }
