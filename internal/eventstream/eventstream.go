// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package eventstream cuts a text/event-stream into whole events and reads
// their ids.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Splitter collects the bytes of a stream. The zero value works.
type Splitter struct {
	incomplete []byte
}

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// ErrTooLong says that an event is larger than MaxEventBytes.
var ErrTooLong = eris.New("eventstream: event too long")

// Event is one whole event, its closing empty line included. Raw is valid until
// the next call of the Splitter.
type Event struct {
	Raw []byte
	// ID is the event's id if HasID is set.
	ID    int64
	HasID bool
}

// Add takes in bytes and returns the events that are now whole.
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

// Incomplete returns the bytes of an event that is not whole.
func (s *Splitter) Incomplete() []byte { return s.incomplete }

// endOfEvent returns the index after the first empty line, -1 if there is none.
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
