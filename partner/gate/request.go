// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/report"
)

// request is a caller's request on its way. One goroutine owns it until it is
// answered; if an attempt's cost is unsettled then, the goroutine that asks for
// it reads asked and decided, which no longer change.
type request struct {
	asked    asked
	decided  decided
	progress progress
	// suspicion is the evidence against the request before its latest attempt.
	suspicion suspicion
	sink      *sink
}

// asked is what the caller sent.
type asked struct {
	id granitehoist.RequestID
	// hasID says that the caller chose the id.
	hasID    bool
	began    time.Time
	identity config.Identity
	options  options
	// offer is nil until the request has named a service.
	offer *config.Offer
	// model is empty for a plain service.
	model granitehoist.Model
	// bodyBytes is the size of the body as it arrived.
	bodyBytes int
	// maxOutput is the tokens that all choices may have together; zero for a
	// plain service.
	maxOutput granitehoist.Tokens
	// writeBody returns the body for the upstream, which carries the priority.
	writeBody func(granitehoist.Priority) ([]byte, error)
}

// decided is what the router has decided about the request before its first
// attempt.
type decided struct {
	budget granitehoist.BudgetID
	// bound is reserved for each attempt; no attempt costs more.
	bound granitehoist.Tokens
	// affinity is the hash by which requests share an upstream; zero for none.
	affinity uint64
	// once says that the request must not run twice.
	once bool
	// repeatable says that the request may be sent again after an attempt that
	// may have run.
	repeatable bool
	priority   granitehoist.Priority
	// call is what every attempt sends; the attempt adds its id and address.
	call granitehoist.Call
}

// progress is what has happened to the answer.
type progress struct {
	pieces    int
	lastPiece time.Time
	counts    report.Counts
}
