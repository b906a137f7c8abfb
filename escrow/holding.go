// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Parts of a budget that decide how much is held ahead of requests.
const (
	// sharePart of what is left is what all routers together may hold ahead of
	// requests.
	sharePart = 0.6
	// keptLargest bounds what is held for single requests.
	keptLargest = 1.0
	// startPart of what is left is what all routers together hold before
	// requests tell the demand. Operators prepay in the proportions of the demand that
	// they expect.
	startPart = 0.2
	// lentCover is the time of lending at the present rate that a router holds
	// tokens for: borrowers hold their own.
	lentCover = 2 * time.Second
)

// outlook is what the size of a holding depends on besides the account.
type outlook struct {
	now time.Time
	// routers is the number of routers that share the budgets.
	routers int
	cover   time.Duration
	// start is the part of what is left that all routers hold before requests
	// tell the demand.
	start float64
	// seen grows from 0 to 1 as the router comes to know the demand: no request
	// for a workspace then says as much as many do.
	seen float64
}

// outlook returns the outlook at a time.
func (l *Ledger) outlook(routers int, now time.Time) outlook {
	o := outlook{now: now, routers: max(1, routers), cover: l.settings.Cover, start: startPart}
	if !l.began.IsZero() {
		o.seen = min(1, now.Sub(l.began).Seconds()/rateTime.Seconds())
	}
	return o
}

// target is what the router should hold ahead of requests while rest is left in
// the store.
func (a *account) target(rest granitehoist.Tokens, o outlook) granitehoist.Tokens {
	want := a.rate.value(o.now)*o.cover.Seconds() + a.lentRate.value(o.now)*lentCover.Seconds()
	want = max(want, keptLargest*float64(a.largest))
	left := float64(max(0, rest+max(0, a.owned())))
	want = max(want, o.start*left/float64(o.routers)*(1-o.seen))
	return granitehoist.Tokens(min(want, sharePart*left*a.portion(o)))
}

// portion is the router's part of the fleet's demand: an equal one at first, and
// that of its own demand in the fleet's once both are known.
func (a *account) portion(o outlook) float64 {
	equal := 1 / float64(o.routers)
	own := a.rate.value(o.now) + a.lentRate.value(o.now)
	fleet := max(own+a.rateElsewhere, a.fleetRate)
	if fleet <= 0 {
		return equal
	}
	return equal*(1-o.seen) + own/fleet*o.seen
}
