// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import "granitehoist.example/granitehoist"

// A small surplus stays where it is, since a return costs a message or a write.
// Commit 82e9a37 brought both bounds in, after it had measured that boxes gave
// back and asked for the same tokens with each message.
const (
	// boxSurplusParts: a box returns a surplus only if it is more than its target divided
	// by this.
	boxSurplusParts = 8
	// regionSurplusParts: a region returns a surplus only if it is more than what the
	// region has divided by this.
	regionSurplusParts = 16
)

// scarce reports whether the budget has so little left that a box should not
// keep what one of its requests needs. Each request is then decided at the page.
func (a *account) scarce() bool { return a.reply.received && a.reply.target < a.demand.largest }

// hasIdle reports whether the account has tokens that it should not keep and
// that others may wait for.
func (a *account) hasIdle() bool {
	return a.scarce() && a.free() > max(a.reply.target, a.demand.waiting())
}

// surplus decides how many tokens a box returns to its page, from its totals as
// they are now and the Keeper's last reply, of any age. It returns what is free
// beyond both the target and what requests wait for, if that is worth a message.
// While the budget is scarce any surplus is, and a box returns even what its
// waiting requests could use if it is less than the smallest of them needs: that
// part may serve a request elsewhere. A box that stops returns all that is free.
func (a *account) surplus(closing bool) granitehoist.Tokens {
	if closing {
		return a.free()
	}
	if !a.reply.received {
		return 0
	}
	surplus := a.free() - max(a.reply.target, a.demand.waiting())
	switch {
	case a.scarce() && a.free() < a.demand.smallestWaiting():
		return a.free()
	case a.scarce() || surplus > a.reply.target/boxSurplusParts:
		return surplus
	}
	return 0
}

// returnSurplus counts the surplus as returned.
func (a *account) returnSurplus(closing bool) {
	surplus := a.surplus(closing)
	if surplus <= 0 {
		return
	}
	a.totals.Returned += surplus
	a.changed = true
}

// returnSurplus counts stock beyond the root's limit as sent to the root, if it
// is worth a write. live is what the region has that is not in doubt.
func (a *PageAccount) returnSurplus(live granitehoist.Tokens) {
	surplus := min(a.Stock(), live-a.Limit)
	if surplus > live/regionSurplusParts {
		a.Sent += surplus
	}
}
