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

// decideWait decides whether a request that lacks tokens may wait for them. bound is the
// request's maximum cost, end the decision of the rules for the end of a budget.
//
// The request waits if the tokens that it could get cover its bound and end allows it.
// These tokens are:
//
//   - if the newer source is a lender's report, those in the store, here and idle at the
//     other routers, which may lend them;
//   - if it is the record, those in the store and here, since the tokens of other routers
//     can't be had through the record;
//   - without a source, unknown, and taken as enough.
//
// Otherwise the wait ends, since neither a sync nor a loan would help: as Exhausted if
// the bound exceeds what remains in the store and at all routers, else as Withheld if
// end withholds the request, else as Scarce.
func decideWait(bound granitehoist.Tokens, end endDecision, fleet fleetView, unreserved granitehoist.Tokens) waitDecision {
	remaining := fleet.totalRemaining(unreserved)
	var unaffordable bool
	switch {
	case fleet.lenderIsNewer():
		unaffordable = bound > remaining.tokens
	case fleet.record.valid:
		unaffordable = bound > fleet.record.remaining+max(0, unreserved)
	}
	switch {
	case !unaffordable && !end.withholds():
		return waitDecision{}
	case remaining.known && bound > remaining.tokens:
		return waitDecision{ends: true, outcome: Exhausted}
	case end.withholds():
		return waitDecision{ends: true, outcome: Withheld}
	}
	return waitDecision{ends: true, outcome: Scarce}
}

// timeoutOutcome returns the outcome of a wait that timed out: Scarce if the store, or a
// lender connected to it, responded within unreachableAfter, otherwise Unreachable.
func timeoutOutcome(lastAnswer, now time.Time) Outcome {
	if now.Sub(lastAnswer) > unreachableAfter {
		return Unreachable
	}
	return Scarce
}
