// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import "granitehoist.example/granitehoist"

// returnSurplus returns what is free beyond the target and beyond what requests
// wait for, if it is worth a message. A box that stops returns all that is
// free.
func (a *account) returnSurplus(closing bool) {
	if closing {
		a.addReturn(a.free())
		return
	}
	surplus := a.free() - max(a.target, a.waiting())
	switch {
	case !a.hasTarget:
	case a.scarce() && a.free() < a.smallestWaiting():
		// Parts that serve nobody here may serve somebody elsewhere.
		a.addReturn(a.free())
	case a.scarce() || surplus > a.target/8:
		a.addReturn(surplus)
	}
}

// scarce reports whether the budget is so low that a box is not to keep what one
// request needs.
func (a *account) scarce() bool { return a.hasTarget && a.target < a.largest }

// hasIdle reports whether the account has tokens that it is not to keep and
// that others may wait for.
func (a *account) hasIdle() bool {
	return a.scarce() && a.free() > max(a.target, a.waiting())
}

func (a *account) addReturn(surplus granitehoist.Tokens) {
	if surplus <= 0 {
		return
	}
	a.totals.Returned += surplus
	a.changed = true
}

// returnSurplus returns stock beyond the root's limit, in steps that are worth a
// write: a sixteenth of what the region has.
func (a *PageAccount) returnSurplus(live granitehoist.Tokens) {
	surplus := min(a.Stock(), live-a.Limit)
	if surplus > live/16 {
		a.Sent += surplus
	}
}
