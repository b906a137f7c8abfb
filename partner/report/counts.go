// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Service level objectives: 95 % of responses stay within each latency bound
// (docs/DEVELOPERS.md).
const (
	// firstTokenObjective bounds the time from a request's arrival to its first token.
	firstTokenObjective = 1100 * time.Millisecond
	// tokenGapObjective bounds the time between two tokens of a stream.
	tokenGapObjective = 61 * time.Millisecond
	// errorBudget is the fraction of events that may miss an objective.
	errorBudget = 0.05
)

// Counts holds the event counts of a key over a period.
type Counts struct {
	// Requests counts all ended requests, whatever their result.
	Requests int `json:"requests"`
	// FirstTokens counts the responses with a first token, and SlowFirstTokens the responses
	// whose first token missed firstTokenObjective. TokenGaps counts the gaps between
	// tokens, and SlowTokenGaps the gaps that missed tokenGapObjective.
	FirstTokens     int `json:"first"`
	SlowFirstTokens int `json:"slow_first"`
	TokenGaps       int `json:"between"`
	SlowTokenGaps   int `json:"slow_between"`
	// Refused counts the requests rejected for lack of budget, capacity or upstreams.
	// Errors counts the requests that failed in an upstream or a router. A client error
	// counts as neither.
	Refused int `json:"refused"`
	Errors  int `json:"errors"`
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Requests:        c.Requests + d.Requests,
		FirstTokens:     c.FirstTokens + d.FirstTokens,
		SlowFirstTokens: c.SlowFirstTokens + d.SlowFirstTokens,
		TokenGaps:       c.TokenGaps + d.TokenGaps,
		SlowTokenGaps:   c.SlowTokenGaps + d.SlowTokenGaps,
		Refused:         c.Refused + d.Refused,
		Errors:          c.Errors + d.Errors,
	}
}

// RecordFirstToken records the time to the first token of a response.
func (c *Counts) RecordFirstToken(latency time.Duration) {
	c.FirstTokens++
	if latency > firstTokenObjective {
		c.SlowFirstTokens++
	}
}

// RecordTokenGap records the time between two tokens.
func (c *Counts) RecordTokenGap(gap time.Duration) {
	c.TokenGaps++
	if gap > tokenGapObjective {
		c.SlowTokenGaps++
	}
}

// Ranges of the result codes (docs/CODES.md): 30xx and 40xx are refusals, 50xx
// and 60xx failures of upstreams and of the fleet.
const (
	// firstRefusalCode begins the range of refusals.
	firstRefusalCode = 3000
	// firstFailureCode begins the range of failures.
	firstFailureCode = 5000
	// firstDocumentCode begins the range of document errors, which requests never
	// return.
	firstDocumentCode = 7000
)

// CountsOf classifies the result of one request as a refusal, an error, or neither if
// it is a success, a client error or a repeated request that was not run again.
func CountsOf(code granitehoist.Code) Counts {
	c := Counts{Requests: 1}
	switch {
	case code == granitehoist.AlreadyRun:
	case code >= firstFailureCode && code < firstDocumentCode:
		c.Errors = 1
	case code >= firstRefusalCode && code < firstFailureCode:
		c.Refused = 1
	}
	return c
}
