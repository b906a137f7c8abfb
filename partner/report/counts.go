// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"time"

	"granitehoist.example/granitehoist"
)

// The service levels: the users ask that 95 in 100 answers keep to each, as
// docs/DEVELOPERS.md quotes from their first letter.
const (
	// firstTokenLevel bounds the time from a request's arrival to the first piece
	// of its answer.
	firstTokenLevel = 1100 * time.Millisecond
	// betweenLevel bounds the time between two pieces of a stream.
	betweenLevel = 61 * time.Millisecond
	// slowAllowance is the part of the answers that may be slower: 5 in 100.
	slowAllowance = 0.05
)

// Counts are the requests of a key in some time.
type Counts struct {
	// Requests have ended, whatever their result.
	Requests int `json:"requests"`
	// First and Between count answers with a first token and gaps between
	// tokens, and SlowFirst and SlowBetween those beyond the levels.
	First       int `json:"first"`
	SlowFirst   int `json:"slow_first"`
	Between     int `json:"between"`
	SlowBetween int `json:"slow_between"`
	// Refused were not run for want of budget, room or upstreams; Errors ended
	// with an upstream's or a router's failure. What the caller did wrong
	// counts as neither.
	Refused int `json:"refused"`
	Errors  int `json:"errors"`
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Requests:    c.Requests + d.Requests,
		First:       c.First + d.First,
		SlowFirst:   c.SlowFirst + d.SlowFirst,
		Between:     c.Between + d.Between,
		SlowBetween: c.SlowBetween + d.SlowBetween,
		Refused:     c.Refused + d.Refused,
		Errors:      c.Errors + d.Errors,
	}
}

// CountFirst enters an answer whose first token took a time.
func (c *Counts) CountFirst(took time.Duration) {
	c.First++
	if took > firstTokenLevel {
		c.SlowFirst++
	}
}

// CountBetween enters a gap between two tokens.
func (c *Counts) CountBetween(gap time.Duration) {
	c.Between++
	if gap > betweenLevel {
		c.SlowBetween++
	}
}

// Ranges of the result codes (docs/CODES.md): 30xx and 40xx are refusals, 50xx
// and 60xx failures of upstreams and of the fleet.
const (
	// refusalCodes is the first code of a refusal.
	refusalCodes = 3000
	// failureCodes is the first code of a failure.
	failureCodes = 5000
	// documentCodes is the first code of operators' documents, which no request
	// ends with.
	documentCodes = 7000
)

// CountsOf decides what one request's result counts as: a refusal, an error, or
// neither where the caller was at fault or the request had run before.
func CountsOf(code granitehoist.Code) Counts {
	c := Counts{Requests: 1}
	switch {
	case code == granitehoist.AlreadyRun:
	case code >= failureCodes && code < documentCodes:
		c.Errors = 1
	case code >= refusalCodes && code < failureCodes:
		c.Refused = 1
	}
	return c
}
