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

// decideWait decides whether a request that lacks tokens may wait for them. The wait
// ends at once if it needs more tokens than the newer source reports, or if the end of
// the budget withholds it, since neither a sync nor a loan would help. A router that
// reads the record counts the tokens of the store and its own, since it can't get those
// of others through the record; with a newer report of a lender it also counts the idle
// tokens of others, which they lend. Without a source the request waits.
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
