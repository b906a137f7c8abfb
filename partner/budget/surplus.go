// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import "granitehoist.example/granitehoist"

// The return of a surplus costs a message or a write, so a small surplus is kept.
const (
	// boxSurplusDivisor sets the smallest surplus that a box returns: its target divided
	// by this.
	boxSurplusDivisor = 8
	// regionSurplusDivisor sets the smallest surplus that a region returns: its live
	// tokens divided by this.
	regionSurplusDivisor = 16
)

// isScarce reports whether the target of the last reply is below the largest maximum cost of
// the box's requests. The budget then has so little left that each request waits for its own
// grant.
func (a *account) isScarce() bool { return a.reply.received && a.reply.target < a.demand.largest }

// hasUrgentSurplus reports whether the account has a surplus that requests at other
// boxes may wait for.
func (a *account) hasUrgentSurplus() bool {
	return a.isScarce() && a.free() > max(a.reply.target, a.demand.waiting())
}

// surplus returns the number of tokens that the box should return to its region. The result
// may be negative. It is
//   - all free tokens if the box is closing;
//   - zero before the first reply;
//   - all free tokens if the budget is scarce and they are too few for the smallest waiting
//     request, since they may serve a request at another box;
//   - otherwise the free tokens beyond the larger of the target and the maximum costs of all
//     waiting requests. Unless the budget is scarce, a surplus of at most the target divided
//     by boxSurplusDivisor counts as zero.
func (a *account) surplus(closing bool) granitehoist.Tokens {
	if closing {
		return a.free()
	}
	if !a.reply.received {
		return 0
	}
	surplus := a.free() - max(a.reply.target, a.demand.waiting())
	switch {
	case a.isScarce() && a.free() < a.demand.smallestWaiting():
		return a.free()
	case a.isScarce() || surplus > a.reply.target/boxSurplusDivisor:
		return surplus
	}
	return 0
}

// returnSurplus adds the surplus to the total of returned tokens.
func (a *account) returnSurplus(closing bool) {
	surplus := a.surplus(closing)
	if surplus <= 0 {
		return
	}
	a.totals.Returned += surplus
	a.changed = true
}

// returnStockSurplus adds the region's surplus to the total of tokens returned to the root.
// The surplus is the part of live beyond the root's limit, but at most the stock. live is
// the number of tokens in the region that are not in doubt. A surplus of at most live
// divided by regionSurplusDivisor is kept.
func (a *RegionAccount) returnStockSurplus(live granitehoist.Tokens) {
	surplus := min(a.Stock(), live-a.Limit)
	if surplus > live/regionSurplusDivisor {
		a.Returned += surplus
	}
}
