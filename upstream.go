// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"context"
	"net/http"
)

// Call is one attempt as it is sent to an upstream.
type Call struct {
	Attempt AttemptID
	// Address is the upstream's base URL; Path begins with a slash and may
	// carry a query.
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Stream says that the answer comes in pieces that are to be passed on as
	// they come.
	Stream bool
	// HideUsage keeps the usage that a stream reports from the caller.
	HideUsage bool
	// Once says that the transport must never send the call a second time.
	Once bool
}

// Usage is what an upstream reports of the cost of an attempt.
type Usage struct {
	Prompt, Output, Cached Tokens
	// Reported is false where the upstream said nothing.
	Reported bool
}

// Total returns the tokens that the attempt costs.
func (u Usage) Total() Tokens { return u.Prompt + u.Output }

// Sink takes an answer as it arrives. Nothing is given to a Sink before it is
// known to belong to the attempt.
type Sink interface {
	// Start passes on the status and header.
	Start(status int, header http.Header) error
	// Write passes on a piece of the body. An error means that the caller has
	// gone.
	Write(piece []byte) error
}

// Protocol speaks to the upstreams of one kind.
type Protocol interface {
	// Do sends a call and passes the answer to the sink. A nil error means that
	// the answer was whole and its own. Other errors are *Error, whose code
	// tells whether the upstream may have run the call.
	Do(ctx context.Context, c Call, sink Sink) (Usage, error)
	// Stop ends an attempt that is in doubt, where the protocol has a way to,
	// and returns what it cost. It returns false if that can't be learnt.
	Stop(ctx context.Context, address string, attempt AttemptID) (Usage, bool)
	// List returns the attempts that an upstream knows of and whose ids begin
	// with a prefix. A protocol without a way to returns none.
	List(ctx context.Context, address, prefix string) ([]KnownAttempt, error)
}

// KnownAttempt is what an upstream tells of an attempt.
type KnownAttempt struct {
	ID AttemptID
	// Ended says that the attempt costs no more than Usage.
	Ended bool
	Usage Usage
}
