// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Parameters of the rules for the end of a budget. They keep tokens for small requests that
// arrive late, also after all routers have crashed.
const (
	// withholdThreshold is the fraction of the prepaid total under which large requests
	// are withheld.
	withholdThreshold = 0.06
	// maxRequestFraction is the fraction of the remaining budget that one request may
	// take.
	maxRequestFraction = 0.33
	// rationThreshold is the fraction of the prepaid total under which spending is
	// rationed over time.
	rationThreshold = 0.01
	// rationTime is about how long the rationed part lasts if rationedFraction of the
	// routers get requests.
	rationTime = 20 * time.Second
	// rationedFraction is the fraction of the routers that are assumed to spend the
	// rationed part.
	rationedFraction = 0.5
	// maxRationRequests bounds the unused ration, in requests of the mean bound.
	maxRationRequests = 2.0
)

// endDecision is whether a request may be paid for near the end of a budget, and if not,
// why.
type endDecision int

const (
	// endAllowed means that the request may be paid for.
	endAllowed endDecision = iota
	// aboveMaxFraction means that the request would take more than maxRequestFraction of
	// the remaining budget.
	aboveMaxFraction
	// aboveMean means that the request is larger than the mean of the requests.
	aboveMean
	// aboveRation means that the request is larger than this router's ration.
	aboveRation
)

// withholds reports whether the request must not be paid for.
func (v endDecision) withholds() bool { return v != endAllowed }

// budgetEnd holds the inputs of the rules for the end of a budget.
type budgetEnd struct {
	// remaining is what remains of the budget in the store and at all routers, as old as
	// its source.
	remaining remainingBudget
	// limit is the prepaid total, mean the mean bound of this router's requests.
	limit granitehoist.Tokens
	mean  float64
	// routers is the number of routers that share the budget.
	routers int
}

// decide decides whether a request with the given bound may be paid for, and returns the
// updated ration.
//
//   - If the remaining budget is unknown, or is at least withholdThreshold of the
//     prepaid total, every request is allowed.
//   - Below withholdThreshold, the bound must exceed neither maxRequestFraction of the
//     remaining budget nor the mean bound, so that a few large requests leave tokens for
//     many small ones.
//   - Below rationThreshold, the bound must not exceed the router's ration either. The
//     ration grows with time, so that late requests can be served.
func (e budgetEnd) decide(bound granitehoist.Tokens, r ration, now time.Time) (endDecision, ration) {
	remaining, limit, size := float64(e.remaining.tokens), float64(e.limit), float64(bound)
	switch {
	case !e.remaining.known || remaining >= withholdThreshold*limit:
		return endAllowed, r
	case size > maxRequestFraction*remaining:
		return aboveMaxFraction, r
	case size > e.mean:
		return aboveMean, r
	case remaining >= rationThreshold*limit:
		return endAllowed, r
	}
	sharing := max(1, rationedFraction*float64(e.routers))
	r = r.grown(remaining/sharing/rationTime.Seconds(), maxRationRequests*e.mean, now)
	if size > r.tokens {
		return aboveRation, r
	}
	return endAllowed, r
}

// ration is a router's spending limit for the last part of a budget. The zero value
// allows nothing yet.
type ration struct {
	tokens float64
	// at is when the ration last grew, zero if it never did.
	at time.Time
}

// grown returns the ration at now, with perSecond tokens a second added since it last
// grew, up to most.
func (r ration) grown(perSecond, most float64, now time.Time) ration {
	if !r.at.IsZero() {
		r.tokens = min(most, r.tokens+perSecond*now.Sub(r.at).Seconds())
	}
	r.at = now
	return r
}

// less returns the ration minus the bound of a request, at least zero.
func (r ration) less(bound granitehoist.Tokens) ration {
	r.tokens = max(0, r.tokens-float64(bound))
	return r
}
