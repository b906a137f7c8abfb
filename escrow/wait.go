// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// unreachableAfter is how old the last answer of the store, or of a lender in touch with
// it, may be when a wait times out: if it is older, the wait ends as Unreachable instead
// of Scarce.
const unreachableAfter = 100 * time.Millisecond

// waitVerdict is whether the wait of a request ends without tokens, and with which
// outcome. The zero value lets it wait on.
type waitVerdict struct {
	ends    bool
	outcome Outcome
}

// judgeWait decides whether a request that lacks tokens may wait for them. It ends
// at once if more tokens are needed than any source says are left, or if the end
// of the budget withholds it: nothing that a sync or a loan can bring would help.
// A router that reads the record counts what the store has and what it owns
// itself, since the record has no way to move what others hold; one that gets
// reports from lenders counts what is idle at others too, since they lend it.
// Without a source the request waits.
func judgeWait(bound granitehoist.Tokens, end endVerdict, fleet fleetView, unreserved granitehoist.Tokens) waitVerdict {
	left := fleet.leftAnywhere(unreserved)
	var unaffordable bool
	switch {
	case fleet.lenderIsNewer():
		unaffordable = bound > left.tokens
	case fleet.record.valid:
		unaffordable = bound > fleet.record.remaining+max(0, unreserved)
	}
	switch {
	case !unaffordable && !end.withholds():
		return waitVerdict{}
	case left.reported && bound > left.tokens:
		return waitVerdict{ends: true, outcome: Exhausted}
	case end.withholds():
		return waitVerdict{ends: true, outcome: Withheld}
	}
	return waitVerdict{ends: true, outcome: Scarce}
}

// judgeTimeout decides the outcome of a wait that nothing ended in time. lastAnswer
// is when the store, or a lender in touch with it, last answered: if that was
// within unreachableAfter the tokens are scarce, otherwise they could not be asked
// for.
func judgeTimeout(lastAnswer, now time.Time) Outcome {
	if now.Sub(lastAnswer) > unreachableAfter {
		return Unreachable
	}
	return Scarce
}
