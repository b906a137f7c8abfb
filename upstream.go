// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"context"
	"net/http"
)

// Call is the request of one attempt to an upstream.
type Call struct {
	// Attempt is the id of the attempt, which is sent to the upstream.
	Attempt AttemptID
	// Address is the upstream's base URL.
	Address string
	// Method is the HTTP method.
	Method string
	// Path begins with a slash and may include a query.
	Path string
	// Header and Body are sent to the upstream, with Attempt added to the header.
	Header http.Header
	Body   []byte
	// Stream says that the response is a stream to be passed on as it arrives.
	Stream bool
	// HideUsage removes the usage that a stream reports from the response to the caller.
	HideUsage bool
	// Once is set if the call must not be sent more than once.
	Once bool
}

// Usage is the token usage of an attempt as reported by the upstream.
type Usage struct {
	// Prompt is the number of input tokens, and Cached the part of them that came from the
	// engine's cache. Output is the number of generated tokens.
	Prompt, Output, Cached Tokens
	// Reported is false if the upstream did not report any usage.
	Reported bool
}

// Total returns the number of tokens to charge. Cached tokens cost as much as all other tokens.
func (u Usage) Total() Tokens { return u.Prompt + u.Output }

// Sink receives a response as it arrives. It is used by one goroutine and only receives data
// that is known to belong to the attempt.
type Sink interface {
	// Start writes the status and header. An error means that the caller closed its
	// connection.
	Start(status int, header http.Header) error
	// Write writes a part of the body. An error means that the caller closed its
	// connection.
	Write(piece []byte) error
}

// Protocol is the client side of the protocol of one kind of upstream. Implementations are
// safe for concurrent use.
type Protocol interface {
	// Do sends a call and writes the response to the sink. A nil error means that the
	// response was complete and belonged to the attempt. Otherwise the error is an *Error
	// whose code says whether the upstream may have run the call.
	Do(ctx context.Context, c Call, sink Sink) (Usage, error)
	// Stop cancels an attempt of unknown outcome, if the protocol supports this, and
	// returns its usage. It returns false if the usage can't be determined.
	Stop(ctx context.Context, address string, attempt AttemptID) (Usage, bool)
	// List returns the attempts recorded by an upstream whose ids begin with prefix. It
	// returns no attempts and no error if the protocol doesn't support listing.
	List(ctx context.Context, address, prefix string) ([]KnownAttempt, error)
}

// KnownAttempt is an upstream's record of an attempt.
type KnownAttempt struct {
	ID AttemptID
	// Ended says that Usage is final.
	Ended bool
	// Usage is the usage so far.
	Usage Usage
}
