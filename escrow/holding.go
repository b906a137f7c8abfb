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
	sharePart = 0.5
	// spareRequests bounds what is held for single requests.
	spareRequests = 1.0
	// startPart of what is left is what all routers together hold before
	// requests tell the demand. Operators prepay in the proportions of the demand that
	// they expect.
	startPart = 0.2
	// sparePart of what is left is what all routers together may keep for single
	// requests where they see no demand to speak of.
	sparePart = 0.15
	// lentCover is the time of its borrowers' demand that a router holds tokens
	// for: they hold their own.
	lentCover = 2 * time.Second
)

// conditions is what the size of a holding depends on besides the account.
type conditions struct {
	now time.Time
	// routers is the number of routers that share the budgets.
	routers int
	cover   time.Duration
	// start is the part of what is left that all routers hold before requests
	// tell the demand.
	start float64
	// confidence grows from 0 to 1 as the router comes to know the demand: no request
	// for a workspace then says as much as many do.
	confidence float64
	// exposedPart is the part of a prepaid total that all routers may hold.
	exposedPart float64
}

// conditions returns the outlook at a time.
func (l *Ledger) conditions(routers int, now time.Time) conditions {
	o := conditions{now: now, routers: max(1, routers), cover: l.settings.Cover, start: startPart, exposedPart: exposedPart(l.contact.outageEnded, now)}
	if !l.began.IsZero() {
		o.confidence = min(1, now.Sub(l.began).Seconds()/rateTime.Seconds())
	}
	return o
}

// target is what the router should hold ahead of requests while rest is left in
// the store.
func (a *account) target(remaining granitehoist.Tokens, o conditions) granitehoist.Tokens {
	want := a.demand.rate.value(o.now)*o.cover.Seconds() + a.demand.borrowersRate(o.now)*lentCover.Seconds()
	left := float64(max(0, remaining+max(0, a.owned.unreserved())))
	want = max(want, o.start*left/float64(o.routers)*(1-o.confidence))
	held := min(want, sharePart*left*a.portion(o))
	spare := min(spareRequests*float64(a.demand.largest), sparePart*left/float64(o.routers))
	return granitehoist.Tokens(min(max(held, spare), o.exposedPart*float64(a.owned.limit)*a.portion(o)))
}

// portion is the router's part of the fleet's demand as far as that is known, but
// no less than an equal one while the router does not know its own yet.
func (a *account) portion(o conditions) float64 {
	equal := 1 / float64(o.routers)
	// Whoever lends to others holds for them too.
	own := a.demand.rate.value(o.now) + a.demand.borrowersRate(o.now)
	fleet := max(own+a.demand.othersRate, a.demand.fleetRate)
	if fleet <= 0 {
		return equal
	}
	return max(equal*(1-o.confidence), own/fleet)
}
