// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"context"
	"net/http"
)

// Call is one attempt as it is sent to an upstream.
type Call struct {
	// Attempt names the call at the upstream.
	Attempt AttemptID
	// Address is the upstream's base URL.
	Address string
	// Method is the HTTP method.
	Method string
	// Path begins with a slash and may carry a query.
	Path string
	// Header and Body go to the upstream with Attempt added.
	Header http.Header
	Body   []byte
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
	// Prompt is the tokens that were read, Output those that were generated, and
	// Cached the part of Prompt that came from the engine's cache.
	Prompt, Output, Cached Tokens
	// Reported is false where the upstream said nothing.
	Reported bool
}

// Total returns the tokens that the attempt costs; tokens from the cache cost as
// much as others.
func (u Usage) Total() Tokens { return u.Prompt + u.Output }

// Sink takes an answer as it arrives, from one goroutine. Nothing is given to a
// Sink before it is known to belong to the attempt.
type Sink interface {
	// Start passes on the status and header. An error means that the caller closed
	// its connection.
	Start(status int, header http.Header) error
	// Write passes on a piece of the body. An error means that the caller closed its
	// connection.
	Write(piece []byte) error
}

// Protocol speaks to the upstreams of one kind. Implementations are safe for
// concurrent use.
type Protocol interface {
	// Do sends a call and passes the answer to the sink. A nil error means that
	// the answer was whole and its own. Other errors are *Error, whose code
	// tells whether the upstream may have run the call.
	Do(ctx context.Context, c Call, sink Sink) (Usage, error)
	// Stop ends an attempt that is in doubt, where the protocol has a way to,
	// and returns what it cost. It returns false if that can't be learnt.
	Stop(ctx context.Context, address string, attempt AttemptID) (Usage, bool)
	// List returns the attempts that an upstream has on record and whose ids begin
	// with a prefix. A protocol without a way to list them returns none and no
	// error.
	List(ctx context.Context, address, prefix string) ([]KnownAttempt, error)
}

// KnownAttempt is what an upstream has on record of an attempt.
type KnownAttempt struct {
	ID AttemptID
	// Ended says that the attempt will cost no more than Usage.
	Ended bool
	// Usage is what it cost so far.
	Usage Usage
}
