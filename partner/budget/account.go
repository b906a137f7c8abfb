// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
)

type account struct {
	totals   Totals
	reserved granitehoist.Tokens
	// target is the last one told by the Keeper; told is false before that.
	target    granitehoist.Tokens
	hasTarget bool
	// changed is set when the Keeper has to hear of the account.
	changed bool
	// reportedAt is when the Keeper last heard of the account.
	reportedAt time.Time
	// remaining is what the whole budget had left, as told at leftAt.
	remaining   granitehoist.Tokens
	remainingAt time.Time
	// lenders are the boxes that the Keeper last named.
	lenders  []granitehoist.Incarnation
	spending forecast
	largest  granitehoist.Tokens
	waiters  []*Waiter
	lent     map[granitehoist.Incarnation]granitehoist.Tokens
	borrowed map[granitehoist.Incarnation]granitehoist.Tokens
}

func (a *account) free() granitehoist.Tokens { return a.totals.Held() - a.reserved }

func (a *account) reserve(bound granitehoist.Tokens) bool {
	if a.free() < bound {
		return false
	}
	a.reserved += bound
	return true
}
