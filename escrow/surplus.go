// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

const (
	// returnAboveTarget is the multiple of the target above which tokens are returned.
	returnAboveTarget = 2.0
	// returnAboveTargetAfterOutage replaces returnAboveTarget while
	// conditions.isLimitedAfterOutage.
	returnAboveTargetAfterOutage = 1.2
	// minReturnFraction is the smallest return that is worth a write, as a fraction of the
	// prepaid total.
	minReturnFraction = 0.005
	// lowBudgetMinReturnFraction replaces minReturnFraction near the end of the budget,
	// when the holdings of all routers are a large part of what is left. Without it eight
	// routers kept up to 4 % of a budget, and 3 of 5 runs served too little after a crash
	// of all routers.
	lowBudgetMinReturnFraction = 0.0002
	// lowBudgetReturnThreshold is the fraction of the prepaid total left in the store below
	// which lowBudgetMinReturnFraction applies.
	lowBudgetReturnThreshold = 0.02
)

// returnInputs holds the inputs of a return of tokens to the store.
type returnInputs struct {
	// unreserved is what this router owns and has not reserved. target is how many
	// unreserved tokens it should hold for future requests.
	unreserved, target granitehoist.Tokens
	// remaining is what the store has left; it is negative if the limit was reduced
	// below what is granted. limit is the prepaid total.
	remaining, limit granitehoist.Tokens
	// waiting is set if requests wait for tokens.
	waiting bool
}

// tokens returns how many of the unreserved tokens to return to the store:
//
//   - at shutdown, all;
//   - after the limit was reduced below what is granted to all routers, the difference;
//   - while requests wait, none;
//   - otherwise what exceeds the target, if the holding is more than returnAboveTarget
//     times the target and the excess is at least minReturnFraction of the prepaid total
//     (or the constants that replace these two), and none if not.
func (r returnInputs) tokens(c conditions) granitehoist.Tokens {
	switch {
	case r.unreserved <= 0:
		return 0
	case c.closing:
		return r.unreserved
	case r.remaining < 0:
		return min(r.unreserved, -r.remaining)
	case r.waiting:
		return 0
	}
	maxMultiple := returnAboveTarget
	if c.isLimitedAfterOutage() {
		maxMultiple = returnAboveTargetAfterOutage
	}
	minFraction := minReturnFraction
	if float64(r.remaining) < lowBudgetReturnThreshold*float64(r.limit) {
		minFraction = lowBudgetMinReturnFraction
	}
	extra := r.unreserved - r.target
	if float64(r.unreserved) <= maxMultiple*float64(r.target) || float64(extra) < minFraction*float64(r.limit) {
		return 0
	}
	return extra
}

// surplus is the tokens of a workspace that a router can transfer to a neighbour.
type surplus struct {
	workspace granitehoist.Workspace
	tokens    granitehoist.Tokens
}

// maxIdleFraction is the fraction of the prepaid total that all borrowers together may keep
// beyond two batches each, because the amounts are too small to be worth a call. It is a
// third of the 3 % of a budget that may be stranded.
const maxIdleFraction = 0.01

// isSurplus decides whether free tokens that a borrower does not need are worth the call
// that repays them: they must exceed an equal part of maxIdleFraction.
func isSurplus(free, limit granitehoist.Tokens, routers int) bool {
	return float64(free) > maxIdleFraction*float64(limit)/float64(max(1, routers))
}
