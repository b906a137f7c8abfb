// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package eventstream splits a text/event-stream into complete events and reads their
// ids. The edge router (package forward) relays streams event by event with it, so that
// a stream that fails can be resumed at another upstream after the last complete event.
//
// A Splitter buffers the bytes of the incomplete event of one stream and is used by one
// goroutine. Begin reading at Splitter.Add.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Splitter splits the bytes of a stream into events. The zero value is ready to use. It
// is not safe for concurrent use.
type Splitter struct {
	// incomplete holds the bytes after the last complete event, of which the first scanned
	// ones contain no end of an event.
	incomplete []byte
	scanned    int
}

// endLength is the length of the longest end of an event.
const endLength = len("\r\n\r\n")

// MaxEventBytes limits the buffered bytes of an incomplete event.
const MaxEventBytes = 1 << 20

// ErrTooLong is returned if an incomplete event is larger than MaxEventBytes.
var ErrTooLong = eris.New("eventstream: event too long")

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event, with the empty line that ends it. It is valid
	// until the next call of the Splitter.
	Raw []byte
	// ID is the event's id if HasID is set. An id that is not an integer is ignored. If
	// the event has several ids, ID is the last one.
	ID    int64
	HasID bool
}

// Add appends bytes of the stream and returns the events that they complete. It returns
// ErrTooLong, and no events, if the incomplete event after them exceeds MaxEventBytes;
// the Splitter must not be used after that.
func (s *Splitter) Add(chunk []byte) ([]Event, error) {
	s.incomplete = append(s.incomplete, chunk...)
	var events []Event
	remaining := s.incomplete
	for from := s.scanned; ; from = 0 {
		end := endOfEvent(remaining[from:])
		if end < 0 {
			break
		}
		events = append(events, parse(remaining[:from+end]))
		remaining = remaining[from+end:]
	}
	if len(remaining) > MaxEventBytes {
		return nil, ErrTooLong
	}
	s.incomplete = remaining
	// An end may have begun in the last bytes.
	s.scanned = max(0, len(remaining)-endLength+1)
	return events, nil
}

// Incomplete returns the bytes that follow the last complete event.
func (s *Splitter) Incomplete() []byte { return s.incomplete }

// endOfEvent returns the index after the first empty line, -1 if there is none. Lines
// end in LF or CRLF; an LF followed by a CRLF, or the reverse, does not end an event.
func endOfEvent(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case lf < 0 || (crlf >= 0 && crlf < lf):
		return crlf + len("\r\n\r\n")
	}
	return lf + len("\n\n")
}

// parse returns the event of raw with its id.
func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			event.ID, event.HasID = id, true
		}
	}
	return event
}
