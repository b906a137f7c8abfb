// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

const (
	// returnAboveTarget is the multiple of the target above which tokens are returned.
	returnAboveTarget = 2.0
	// returnAboveTargetAfterOutage replaces returnAboveTarget while holdings are limited
	// after an outage.
	returnAboveTargetAfterOutage = 1.2
	// minReturnFraction is the fraction of the prepaid total below which a return is not
	// worth a write.
	minReturnFraction = 0.005
	// minReturnFractionAtEnd replaces minReturnFraction near the end of the budget, when
	// the holdings of all routers are a large part of what is left.
	minReturnFractionAtEnd = 0.0002
	// endFraction is the fraction of the prepaid total left in the store below which
	// minReturnFractionAtEnd applies.
	endFraction = 0.02
)

// returnInputs holds the inputs of a return of tokens to the store.
type returnInputs struct {
	// unreserved is what is owned here, target what should be held.
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
//   - after the limit was reduced below what is granted, the difference;
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
	if c.isExposureLimited() {
		maxMultiple = returnAboveTargetAfterOutage
	}
	minFraction := minReturnFraction
	if float64(r.remaining) < endFraction*float64(r.limit) {
		minFraction = minReturnFractionAtEnd
	}
	extra := r.unreserved - r.target
	if float64(r.unreserved) <= maxMultiple*float64(r.target) || float64(extra) < minFraction*float64(r.limit) {
		return 0
	}
	return extra
}

// surplus is what a router can transfer to a neighbour.
type surplus struct {
	workspace granitehoist.Workspace
	tokens    granitehoist.Tokens
}

// maxStrandedFraction is the fraction of the prepaid total that all routers together may
// keep without need, because the amounts are too small to be worth a call.
const maxStrandedFraction = 0.01

// isSurplus decides whether free tokens that a borrower does not need are worth the call
// that repays them: they must exceed an equal part of maxStrandedFraction.
func isSurplus(free, limit granitehoist.Tokens, routers int) bool {
	return float64(free) > maxStrandedFraction*float64(limit)/float64(max(1, routers))
}
