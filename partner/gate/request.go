// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/report"
)

// request is the state of one request. It belongs to the goroutine that serves the
// request until the response is sent. If the cost of an attempt is then unsettled, a
// background goroutine reads input and plan, which no longer change.
type request struct {
	input    callerRequest
	plan     requestPlan
	progress responseProgress
	// crashes is the crash history of the request before its latest attempt.
	crashes crashHistory
	sink    *sink
	// body holds the body as received.
	body readlimit.Buffer
}

// callerRequest is the request as the caller sent it.
type callerRequest struct {
	id granitehoist.RequestID
	// hasID is set if the caller chose the id.
	hasID     bool
	startedAt time.Time
	identity  config.Identity
	options   options
	// offer is the requested service, nil until it is known.
	offer *config.Offer
	// model is empty for a plain service.
	model granitehoist.Model
	// bodyBytes is the size of the received body.
	bodyBytes int
	// maxOutput is the maximum output tokens of all choices together, zero for a plain
	// service.
	maxOutput granitehoist.Tokens
	// writeBody returns the body for the upstream with the given priority.
	writeBody func(granitehoist.Priority) ([]byte, error)
}

// requestPlan is how the router reserves and sends the request, decided before the first
// attempt.
type requestPlan struct {
	budget granitehoist.BudgetID
	// maxCost is the most tokens that one attempt can cost. It is reserved for each attempt.
	maxCost granitehoist.Tokens
	// affinity is a hash; requests with the same hash prefer the same upstream. Zero means none.
	affinity uint64
	// once means that the request must not run twice.
	once bool
	// repeatable means that the request may be sent again after an attempt that may have run.
	repeatable bool
	priority   granitehoist.Priority
	// call is the call that each attempt sends with its own id and address.
	call granitehoist.Call
}

// responseProgress is how much of the response has arrived.
type responseProgress struct {
	chunks      int
	lastChunkAt time.Time
	counts      report.Counts
}
