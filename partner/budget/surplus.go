// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import "granitehoist.example/granitehoist"

// A small surplus is kept, since its return costs a message or a write.
const (
	// boxSurplusDivisor sets the smallest surplus that a box returns: its target divided
	// by this.
	boxSurplusDivisor = 8
	// regionSurplusDivisor sets the smallest surplus that a region returns: its live
	// tokens divided by this.
	regionSurplusDivisor = 16
)

// isScarce reports whether the target of the last reply is too low for the largest request
// of the box. The budget then has so little left that requests wait for a grant each.
func (a *account) isScarce() bool { return a.reply.received && a.reply.target < a.demand.largest }

// hasUrgentSurplus reports whether the account has a surplus that requests elsewhere may
// wait for.
func (a *account) hasUrgentSurplus() bool {
	return a.isScarce() && a.free() > max(a.reply.target, a.demand.waiting())
}

// surplus returns the number of tokens that the box should return to its region. The result
// may be negative. It is
//   - all free tokens if the box is closing;
//   - zero before the first reply;
//   - all free tokens if the budget is scarce and they are too few for the smallest waiting
//     request, since they may serve a request elsewhere;
//   - otherwise the free tokens beyond both the target and what requests wait for. Unless
//     the budget is scarce, a surplus too small to be worth a message counts as zero.
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

// returnSurplus deducts the surplus as returned.
func (a *account) returnSurplus(closing bool) {
	surplus := a.surplus(closing)
	if surplus <= 0 {
		return
	}
	a.totals.Returned += surplus
	a.changed = true
}

// returnStockSurplus deducts what the region has beyond the root's limit, but at most its
// stock, as returned to the root. It keeps a surplus that is too small to be worth a write.
// live is what the region has that is not in doubt.
func (a *RegionAccount) returnStockSurplus(live granitehoist.Tokens) {
	surplus := min(a.Stock(), live-a.Limit)
	if surplus > live/regionSurplusDivisor {
		a.Returned += surplus
	}
}
