// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// unreachableAfter is the age of the last response of the store, or of a lender
// connected to it, above which a wait that times out ends as Unreachable instead of
// Scarce.
const unreachableAfter = 100 * time.Millisecond

// waitDecision is whether the wait of a request ends without tokens, and with which
// outcome. The zero value lets it go on.
type waitDecision struct {
	ends    bool
	outcome Outcome
}

// decideWait decides whether a request that lacks tokens may wait for them. maxCost is the
// request's maximum cost, decision the result of the low-budget rules, and unreserved what
// this router owns and has not reserved.
//
// The request waits if the tokens that it could get cover its maximum cost and decision
// allows it. These tokens are:
//
//   - if the newer source is a lender's report, what remains in the store and at all
//     routers, since other routers may lend their tokens;
//   - if the newer source is the record, what remains in the store and the unreserved
//     tokens of this router, since the record gives no tokens of other routers;
//   - without a source, unknown, and taken as enough.
//
// Otherwise the wait ends, since neither a sync nor a loan would help: as Exhausted if
// maxCost exceeds what remains in the store and at all routers, else as Withheld if
// decision withholds the request, else as Scarce.
func decideWait(maxCost granitehoist.Tokens, decision lowBudgetDecision, fleet fleetView, unreserved granitehoist.Tokens) waitDecision {
	remaining := fleet.totalRemaining(unreserved)
	var unaffordable bool
	switch {
	case fleet.lenderIsNewer():
		unaffordable = maxCost > remaining.tokens
	case fleet.record.valid:
		unaffordable = maxCost > fleet.record.remaining+max(0, unreserved)
	}
	switch {
	case !unaffordable && !decision.withholds():
		return waitDecision{}
	case remaining.known && maxCost > remaining.tokens:
		return waitDecision{ends: true, outcome: Exhausted}
	case decision.withholds():
		return waitDecision{ends: true, outcome: Withheld}
	}
	return waitDecision{ends: true, outcome: Scarce}
}

// timeoutOutcome returns the outcome of a wait that timed out, or that ended after the
// calls to all lenders: Scarce if the store, or a lender connected to it, responded
// within unreachableAfter, otherwise Unreachable.
func timeoutOutcome(lastResponse, now time.Time) Outcome {
	if now.Sub(lastResponse) > unreachableAfter {
		return Unreachable
	}
	return Scarce
}
