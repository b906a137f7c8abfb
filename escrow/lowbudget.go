// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Parameters of the low-budget rules, which apply near the end of a budget. They keep
// tokens for small requests that arrive late, also after all routers have crashed.
const (
	// withholdThreshold is the fraction of the prepaid total under which large requests are
	// withheld.
	withholdThreshold = 0.06
	// maxRequestFraction is the fraction of the remaining budget that one request may take.
	maxRequestFraction = 0.33
	// rationThreshold is the fraction of the prepaid total under which spending is rationed
	// over time.
	rationThreshold = 0.01
	// rationTime is about how long the remaining budget lasts once it is rationed, if
	// rationedFraction of the routers get requests.
	rationTime = 20 * time.Second
	// rationedFraction is the fraction of the routers that are assumed to get requests
	// while the budget is rationed.
	rationedFraction = 0.5
	// maxRationRequests limits the unused ration, in requests of the mean maximum cost.
	maxRationRequests = 2.0
)

// lowBudgetDecision is whether the low-budget rules allow that a request is paid for, and
// if not, why.
type lowBudgetDecision int

const (
	// lowBudgetAllowed means that the request may be paid for.
	lowBudgetAllowed lowBudgetDecision = iota
	// aboveMaxFraction means that the maximum cost of the request exceeds
	// maxRequestFraction of the remaining budget.
	aboveMaxFraction
	// aboveMeanCost means that the maximum cost of the request exceeds the mean maximum
	// cost.
	aboveMeanCost
	// aboveRation means that the maximum cost of the request exceeds this router's ration.
	aboveRation
)

// withholds reports whether the request must not be paid for.
func (d lowBudgetDecision) withholds() bool { return d != lowBudgetAllowed }

// lowBudgetRules holds the inputs of the low-budget rules.
type lowBudgetRules struct {
	// remaining is what remains of the budget in the store and at all routers, as old as
	// its source.
	remaining remainingBudget
	// limit is the prepaid total. mean is the mean maximum cost of this router's requests.
	limit granitehoist.Tokens
	mean  float64
	// routers is the number of routers that share the budget.
	routers int
}

// decide decides whether a request with the given maximum cost may be paid for, and
// returns the updated ration.
//
//   - If the remaining budget is unknown, or is at least withholdThreshold of the
//     prepaid total, every request is allowed.
//   - Below withholdThreshold, the maximum cost must exceed neither maxRequestFraction of
//     the remaining budget nor the mean maximum cost, so that a few large requests leave
//     tokens for many small ones.
//   - Below rationThreshold, the maximum cost must not exceed the router's ration either.
//     The ration grows with time, so that late requests can be served.
func (l lowBudgetRules) decide(maxCost granitehoist.Tokens, r ration, now time.Time) (lowBudgetDecision, ration) {
	remaining, limit, size := float64(l.remaining.tokens), float64(l.limit), float64(maxCost)
	switch {
	case !l.remaining.known || remaining >= withholdThreshold*limit:
		return lowBudgetAllowed, r
	case size > maxRequestFraction*remaining:
		return aboveMaxFraction, r
	case size > l.mean:
		return aboveMeanCost, r
	case remaining >= rationThreshold*limit:
		return lowBudgetAllowed, r
	}
	sharing := max(1, rationedFraction*float64(l.routers))
	r = r.refilled(remaining/sharing/rationTime.Seconds(), maxRationRequests*l.mean, now)
	if size > r.tokens {
		return aboveRation, r
	}
	return lowBudgetAllowed, r
}

// ration is a router's spending limit while the remaining budget is below
// rationThreshold. The zero value allows nothing yet.
type ration struct {
	tokens float64
	// at is when the ration was last refilled, zero if never.
	at time.Time
}

// refilled returns the ration at now: perSecond tokens a second are added for the time
// since the last refill, up to most. The first refill adds nothing.
func (r ration) refilled(perSecond, most float64, now time.Time) ration {
	if !r.at.IsZero() {
		r.tokens = min(most, r.tokens+perSecond*now.Sub(r.at).Seconds())
	}
	r.at = now
	return r
}

// minus returns the ration less the maximum cost of a request, at least zero.
func (r ration) minus(maxCost granitehoist.Tokens) ration {
	r.tokens = max(0, r.tokens-float64(maxCost))
	return r
}
