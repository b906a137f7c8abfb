// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package eventstream cuts a text/event-stream into complete events and reads their
// ids. The edge router (package forward) passes streams on event by event with it,
// so that a stream which breaks off can continue at another upstream after the last
// complete one.
//
// A Splitter owns the bytes of the event that is still incomplete and belongs to one
// stream and one goroutine. Begin reading at Splitter.Add.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Splitter collects the bytes of a stream. The zero value works. It is not safe for
// concurrent use.
type Splitter struct {
	// incomplete holds the bytes after the last complete event.
	incomplete []byte
}

// MaxEventBytes bounds the bytes that are held of an incomplete event.
const MaxEventBytes = 1 << 20

// ErrTooLong says that an incomplete event is larger than MaxEventBytes.
var ErrTooLong = eris.New("eventstream: event too long")

// Event is one complete event.
type Event struct {
	// Raw holds its bytes, the closing empty line included. It is valid until the
	// next call of the Splitter.
	Raw []byte
	// ID is the event's id if HasID is set. An id that is not an integer is
	// ignored; of several the last counts.
	ID    int64
	HasID bool
}

// Add appends bytes of the stream and returns the events that they complete. It
// returns ErrTooLong, and no events, if what follows them is too long; the stream
// can't be used then.
func (s *Splitter) Add(piece []byte) ([]Event, error) {
	s.incomplete = append(s.incomplete, piece...)
	var events []Event
	remaining := s.incomplete
	for {
		end := endOfEvent(remaining)
		if end < 0 {
			break
		}
		events = append(events, parse(remaining[:end]))
		remaining = remaining[end:]
	}
	if len(remaining) > MaxEventBytes {
		return nil, ErrTooLong
	}
	s.incomplete = remaining
	return events, nil
}

// Incomplete returns the bytes that follow the last complete event.
func (s *Splitter) Incomplete() []byte { return s.incomplete }

// endOfEvent returns the index after the first empty line, -1 if there is none. Lines
// end in LF or CRLF; an empty line whose two ends differ is not seen as one.
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

// parse reads the id of an event.
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
