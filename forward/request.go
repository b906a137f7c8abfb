// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
)

// Request is a caller's request, translated by a frontend. A Forwarder does not modify
// it.
type Request struct {
	// ID is the request id assigned by the caller.
	ID granitehoist.RequestID
	// Host and Path select the route. Host may include a port.
	Host   string
	Method string
	Path   string
	// Target is the request target sent upstream: the escaped path and query.
	Target string
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Key is the caller's key, empty if the request has none.
	Key string
	// Arrived is when the request head was received, whether or not it could be read then.
	Arrived time.Time
	// Unread is how long it then waited to be read; zero if that is not known.
	Unread time.Duration
	// Timeout is how long the caller waits, from Arrived on; zero if it states none.
	Timeout time.Duration
	// MaxCost is the maximum cost; nil for requests that use no tokens.
	MaxCost *Cost
	// PrefixParts are the ids of the parts of the prompt that may be shared with other
	// requests, in order. PrefixTokens is their total length.
	PrefixParts  []string
	PrefixTokens granitehoist.Tokens
	// LastEventID is the id of the last event of the stream that the caller has.
	LastEventID granitehoist.EventID
	// Resumes is the id of the request that brought the caller the first event of the
	// stream; empty if the caller states none.
	Resumes granitehoist.RequestID
}

// Cost is the maximum cost of a request, in tokens.
type Cost struct {
	Prompt granitehoist.Tokens
	Output granitehoist.Tokens
}

// maxCostTokens bounds each part of a cost, so that sums of costs don't overflow.
const maxCostTokens granitehoist.Tokens = 1 << 40

// valid reports whether both parts are from 0 to maxCostTokens.
func (c *Cost) valid() bool {
	return min(c.Prompt, c.Output) >= 0 && max(c.Prompt, c.Output) <= maxCostTokens
}

// Total returns the sum of prompt and output tokens.
func (c *Cost) Total() granitehoist.Tokens { return c.Prompt + c.Output }

// Attempt holds the input of Codec.Header for one attempt.
type Attempt struct {
	Request *Request
	Route   *catalog.Route
	// Workspace is nil for routes that need no key.
	Workspace *catalog.Workspace
	Priority  granitehoist.Priority
	// RequireKey is set if keys identify callers. Keys must then not be sent to upstreams.
	RequireKey bool
	// Instance is the upstream that must run the attempt; no other may.
	Instance granitehoist.Upstream
	// Remaining is the remaining timeout of the request.
	Remaining time.Duration
	// LastEventID is the id of the event after which the stream resumes; none for its
	// start.
	LastEventID granitehoist.EventID
}

// ResponseHead is the status and the header of an upstream's response.
type ResponseHead struct {
	Status int
	Header http.Header
}

// HeadInfo is what a Codec reads in the head of a response.
type HeadInfo struct {
	// NotRun is set if the upstream did not run the request and never will.
	NotRun bool
	// Misdirected is set if another instance has the address. It implies NotRun.
	Misdirected bool
	// BadRequest is set if the upstream rejected the request as invalid, so that no other
	// upstream would run it either. It implies NotRun.
	BadRequest bool
	// Usable is set if the response is authentic and may be relayed.
	Usable bool
	// RetryAfter is the Retry-After of the response; zero if it has none.
	RetryAfter time.Duration
	// Feedback is what the response states about the upstream itself.
	Feedback balance.Feedback
}

// Codec translates between requests and the protocol of upstreams. Implementations must
// be safe for concurrent use.
type Codec interface {
	// Header returns the header of an attempt. It must not modify the request's header.
	Header(a *Attempt) http.Header
	// Matches reports whether a response with header h belongs to the request. It is
	// false for a late response to an earlier request on the connection.
	Matches(r *Request, h http.Header) bool
	// ReadHead interprets the head of a response.
	ReadHead(h ResponseHead) HeadInfo
}
