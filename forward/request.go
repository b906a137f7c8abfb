// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

// Request is a caller's request, translated.
type Request struct {
	ID     granitehoist.RequestID
	Host   string
	Method string
	// Path picks the route. Target is the path and query as they are passed
	// on.
	Path   string
	Target string
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty if it gave none.
	Key string
	// Arrived is when the request arrived.
	Arrived time.Time
	// Timeout is how long the caller waits from then on; zero if it did not
	// say.
	Timeout time.Duration
	// Cost is what the request may cost; nil for requests without tokens.
	Cost *Cost
	// PrefixParts are the ids of the parts of the prompt that other requests
	// share, in order, and SharedTokens their length.
	PrefixParts  []string
	PrefixTokens granitehoist.Tokens
	// LastEventID is the id of the last event that the caller has of the stream.
	LastEventID int64
}

// Cost is what a request may cost at its most.
type Cost struct {
	Prompt granitehoist.Tokens
	Output granitehoist.Tokens
}

// Bound returns the most that the request can cost.
func (c *Cost) Bound() granitehoist.Tokens { return c.Prompt + c.Output }

// Attempt is one sending of a request, as a Codec needs to know it.
type Attempt struct {
	Request *Request
	Route   *catalog.Route
	// Workspace is nil for a request of nobody's.
	Workspace *catalog.Workspace
	Priority  granitehoist.Priority
	// Keyed says that keys identify callers and must not be passed on.
	Keyed bool
	// Instance is the upstream that alone may run it.
	Instance granitehoist.Upstream
	// Remaining is the time that the upstream has.
	Remaining time.Duration
	// LastEventID is the id of the last event that has been passed on.
	LastEventID int64
}

// ResponseHead is the beginning of an upstream's answer, as a Codec reads it.
type ResponseHead struct {
	Status int
	Header http.Header
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Moved says that another instance answered.
	Moved bool
	// Usable says that the answer is one of an upstream, so that it may be
	// passed on.
	Usable bool
	// RetryAfter is when the upstream says to come back.
	RetryAfter time.Duration
}

// Codec translates between requests and what upstreams understand.
type Codec interface {
	// Header returns the header of an attempt.
	Header(a *Attempt) http.Header
	// Matches reports whether an answer belongs to a request.
	Matches(r *Request, h http.Header) bool
	// Judge reads the head of an answer.
	Judge(h ResponseHead) Verdict
}
