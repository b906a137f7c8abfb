// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
)

// account is what a purse has of one budget. The lock of the purse guards it.
//
// The tokens that the box holds are always totals.Held(): what it received less
// what it gave away and charged. Each total only grows, and the reserved tokens
// are a part of what is held. Only Purse.Settle may make the free tokens
// negative, by a use beyond the reserved bound; the box then runs nothing on the
// budget until it has received more.
type account struct {
	totals   Totals
	reserved granitehoist.Tokens
	// lent and borrowed are the totals for each other box.
	lent     map[granitehoist.Incarnation]granitehoist.Tokens
	borrowed map[granitehoist.Incarnation]granitehoist.Tokens

	reply  lastReply
	demand demand

	// changed is set when there is something to report to the Keeper, and
	// reportedAt is when the last report was made.
	changed    bool
	reportedAt time.Time
}

// lastReply is what the Keeper last said about a budget. Its zero value stands
// for no reply.
type lastReply struct {
	received bool
	// at is when the reply arrived.
	at time.Time
	// target is what the box should hold.
	target granitehoist.Tokens
	// remaining is what the whole budget had left.
	remaining granitehoist.Tokens
	// lenders are the boxes of the region that hold most.
	lenders []granitehoist.Incarnation
}

// demand is what the box's requests need of a budget.
type demand struct {
	spending forecast
	// largest is the largest bound of a request seen.
	largest granitehoist.Tokens
	// waiters are in the order of arrival.
	waiters []*Waiter
}

// free returns the tokens that are held and not reserved.
func (a *account) free() granitehoist.Tokens { return a.totals.Held() - a.reserved }

// reserve sets tokens aside, and reports whether enough are free.
func (a *account) reserve(bound granitehoist.Tokens) bool {
	if a.free() < bound {
		return false
	}
	a.reserved += bound
	return true
}
