// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import (
	"errors"
	"fmt"
)

// Part names a part of a message in metrics and logs.
type Part string

// The parts of messages.
const (
	// Head is the status line and the header of a response, with interim and stale
	// responses before it.
	Head Part = "head"
	// Body is a body, with its chunk sizes and trailers.
	Body Part = "body"
	// Event is an event of a stream, with the chunk sizes and trailers around it.
	Event Part = "event"
	// Stream is a stream as a whole.
	Stream Part = "stream"
	// RequestBody is the body of a caller's request.
	RequestBody Part = "request_body"
	// Message is a message of a neighbour.
	Message Part = "message"
	// List is a list that comes in several responses.
	List Part = "list"
)

// Bound names a bound of a part.
type Bound string

// The bounds.
const (
	// Bytes is the maximum size of a part.
	Bytes Bound = "bytes"
	// Responses is the maximum number of responses before the one to a request.
	Responses Bound = "responses"
	// Events is the maximum number of events of a stream.
	Events Bound = "events"
	// Time is the maximum time from the first to the last byte of a part.
	Time Bound = "time"
	// Framing is the maximum size of the chunk sizes and trailers of a body.
	Framing Bound = "framing"
	// Rate is the minimum rate of a part that arrives in many pieces.
	Rate Bound = "rate"
	// Shared is the memory that all reads share. Reaching it is no fault of the peer alone.
	Shared Bound = "memory"
)

// Error reports that a part exceeded a bound.
type Error struct {
	Part  Part
	Bound Bound
	// Read is the number of bytes that were read of the part.
	Read int64
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("readlimit: the %s exceeds its bound of %s after %d bytes", e.Part, e.Bound, e.Read)
}

// FaultOfPeer reports whether the part exceeded a bound of its own, which no sound peer does.
func (e *Error) FaultOfPeer() bool { return e.Bound != Shared }

// Of returns the *Error that err wraps, nil if it wraps none.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
