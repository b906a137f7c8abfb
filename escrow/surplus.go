// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

const (
	// returnAboveTarget is the multiple of the target above which tokens are given back.
	returnAboveTarget = 2.0
	// returnAboveTargetAfterOutage replaces returnAboveTarget while holdings are kept
	// small after an outage.
	returnAboveTargetAfterOutage = 1.2
	// minReturnPart is the part of the prepaid total below which it is not worth a write
	// to give tokens back.
	minReturnPart = 0.005
	// minReturnPartAtEnd replaces minReturnPart below endPart, since what all
	// routers keep is then a large part of what is left. Measured (0b8d3d0): eight routers kept
	// up to 4 % of a budget between them and a day broke the users' rule on service
	// after a loss of all boxes; with this value it held in 5 of 5 runs.
	minReturnPartAtEnd = 0.0002
	// endPart is the part of the prepaid total under which what the store has left
	// counts as the end of the budget. Measured together with minReturnPartAtEnd
	// (0b8d3d0).
	endPart = 0.02
)

// storeReturn is what the return of tokens to the store depends on.
type storeReturn struct {
	// unreserved is what is owned here, target what should be held.
	unreserved, target granitehoist.Tokens
	// remaining is what the store has left; it is negative if the limit was reduced
	// below what is granted. limit is the prepaid total.
	remaining, limit granitehoist.Tokens
	// waiting says that requests wait for tokens.
	waiting bool
}

// tokens decides how many tokens go back to the store: everything at a stop, what
// is granted beyond a reduced limit, or what is held beyond the target if that is
// so much that others may miss it and it is worth a write.
func (r storeReturn) tokens(c conditions) granitehoist.Tokens {
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
	above := returnAboveTarget
	if c.isExposureBounded() {
		above = returnAboveTargetAfterOutage
	}
	least := minReturnPart
	if float64(r.remaining) < endPart*float64(r.limit) {
		least = minReturnPartAtEnd
	}
	extra := r.unreserved - r.target
	if float64(r.unreserved) <= above*float64(r.target) || float64(extra) < least*float64(r.limit) {
		return 0
	}
	return extra
}

// surplus is what a router can give to a neighbour.
type surplus struct {
	workspace granitehoist.Workspace
	tokens    granitehoist.Tokens
}

// strandedPart is the part of the prepaid total that all routers together may keep in
// remainders that are not worth a call: a third of the 3 % of a budget that the users'
// pages allow to strand.
const strandedPart = 0.01

// isSurplus decides whether what is free at a router that asks holders is worth the
// call that gives it back: if it is more than the router's part of strandedPart.
func isSurplus(free, limit granitehoist.Tokens, routers int) bool {
	return float64(free) > strandedPart*float64(limit)/float64(max(1, routers))
}
