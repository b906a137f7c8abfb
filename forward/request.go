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

// Request is a caller's request, translated by a frontend. A Forwarder does not
// change it.
type Request struct {
	// ID is the caller's own id of the request.
	ID granitehoist.RequestID
	// Host and Path choose the route. Host may name a port.
	Host   string
	Method string
	Path   string
	// Target is the path and query as they are passed on.
	Target string
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Key is the caller's key, empty if it gave none.
	Key string
	// Arrived is when the head of the request had arrived.
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived on; zero if it states
	// nothing.
	Timeout time.Duration
	// Cost is the most that the request can cost; nil for requests without
	// tokens.
	Cost *Cost
	// PrefixParts are the ids of the parts of the prompt that other requests
	// share, in order, and PrefixTokens is their length together.
	PrefixParts  []string
	PrefixTokens granitehoist.Tokens
	// LastEventID is the id of the last event of the stream that the caller
	// already has; zero if it has none.
	LastEventID int64
}

// Cost is the most that a request can cost, in tokens.
type Cost struct {
	Prompt granitehoist.Tokens
	Output granitehoist.Tokens
}

// Bound returns the most that the request can cost.
func (c *Cost) Bound() granitehoist.Tokens { return c.Prompt + c.Output }

// Attempt is one attempt of a request, as a Codec needs it to write the header.
type Attempt struct {
	Request *Request
	Route   *catalog.Route
	// Workspace is nil on routes that need no key.
	Workspace *catalog.Workspace
	Priority  granitehoist.Priority
	// Keyed says that keys identify callers and must not be passed on.
	Keyed bool
	// Instance is the only upstream that may run the attempt.
	Instance granitehoist.Upstream
	// Remaining is the time until the request's timeout.
	Remaining time.Duration
	// LastEventID is the id of the event after which the stream continues; zero
	// for its start.
	LastEventID int64
}

// ResponseHead is the beginning of an upstream's answer, as a Codec reads it.
type ResponseHead struct {
	Status int
	Header http.Header
}

// Verdict is what a Codec reads in the head of an answer.
type Verdict struct {
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Moved says that another instance has the address. It also sets NotRun.
	Moved bool
	// Faulty says that the upstream did not run the request for what the request
	// itself states, so that no other would run it either. It also sets NotRun.
	Faulty bool
	// Usable says that the answer is the upstream's own and may be passed on.
	Usable bool
	// RetryAfter is how long the upstream asks callers to wait; zero if it states
	// nothing.
	RetryAfter time.Duration
	// Said is what the answer says of the upstream itself.
	Said balance.Statement
}

// Codec translates between requests and the protocol of upstreams. It is safe
// for concurrent use.
type Codec interface {
	// Header returns the header of an attempt. It does not change the request's.
	Header(a *Attempt) http.Header
	// Matches reports whether an answer with header h belongs to a request. A
	// late answer to an earlier request of the connection does not.
	Matches(r *Request, h http.Header) bool
	// Judge reads the head of an answer.
	Judge(h ResponseHead) Verdict
}
