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
	// keptLargest bounds what is held for single requests.
	keptLargest = 1.0
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
	// exposed is the part of a prepaid total that all routers may hold.
	exposed float64
}

// outlook returns the outlook at a time.
func (l *Ledger) outlook(routers int, now time.Time) outlook {
	o := outlook{now: now, routers: max(1, routers), cover: l.settings.Cover, start: startPart, exposed: l.contact.exposed(now)}
	if !l.began.IsZero() {
		o.seen = min(1, now.Sub(l.began).Seconds()/rateTime.Seconds())
	}
	return o
}

// target is what the router should hold ahead of requests while rest is left in
// the store.
func (a *account) target(rest granitehoist.Tokens, o outlook) granitehoist.Tokens {
	want := a.rate.value(o.now)*o.cover.Seconds() + a.borrowersDemand(o.now)*lentCover.Seconds()
	left := float64(max(0, rest+max(0, a.owned())))
	want = max(want, o.start*left/float64(o.routers)*(1-o.seen))
	held := min(want, sharePart*left*a.portion(o))
	spare := min(keptLargest*float64(a.largest), sparePart*left/float64(o.routers))
	return granitehoist.Tokens(min(max(held, spare), o.exposed*float64(a.limit)*a.portion(o)))
}

// portion is the router's part of the fleet's demand as far as that is known, but
// no less than an equal one while the router does not know its own yet.
func (a *account) portion(o outlook) float64 {
	equal := 1 / float64(o.routers)
	// Whoever lends to others holds for them too.
	own := a.rate.value(o.now) + a.borrowersDemand(o.now)
	fleet := max(own+a.rateElsewhere, a.fleetRate)
	if fleet <= 0 {
		return equal
	}
	return max(equal*(1-o.seen), own/fleet)
}

// Times for which a borrower's word counts.
const (
	demandFresh = 8 * time.Second
	idleFresh   = 15 * time.Second
)

// borrowersDemand returns the tokens a second that borrowers spend.
func (a *account) borrowersDemand(now time.Time) float64 {
	var sum float64
	for _, told := range a.demands {
		if now.Sub(told.at) <= demandFresh {
			sum += told.perSecond
		}
	}
	return sum
}

// borrowersIdle returns what borrowers have idle, one of them left out.
func (a *account) borrowersIdle(without granitehoist.Incarnation, now time.Time) granitehoist.Tokens {
	var sum granitehoist.Tokens
	for borrower, told := range a.demands {
		if borrower != without && now.Sub(told.at) <= idleFresh {
			sum += told.idle
		}
	}
	return sum
}

// hearDemand notes what a borrower told of itself.
func (a *account) hearDemand(p LendParams, now time.Time) {
	for borrower, told := range a.demands {
		if now.Sub(told.at) > idleFresh {
			delete(a.demands, borrower)
		}
	}
	if a.demands == nil {
		a.demands = map[granitehoist.Incarnation]toldDemand{}
	}
	a.demands[p.Borrower] = toldDemand{perSecond: float64(max(0, p.Rate)), idle: max(0, p.Idle), at: now}
}

// secondhand reports whether what a lender told is newer than the record.
func (a *account) secondhand() bool { return a.told && a.toldAt.After(a.restAt) }

// believedRest returns what is left in the store as far as is known: as the
// record said or a lender told, whichever is newer.
func (a *account) believedRest() granitehoist.Tokens {
	switch {
	case a.secondhand():
		return a.toldRest
	case a.known:
		return a.rest
	}
	return a.limit
}

// believedLeft returns what is left of the budget anywhere as far as is known,
// and whether anything is.
func (a *account) believedLeft() (left granitehoist.Tokens, known bool) {
	own := max(0, a.owned())
	switch {
	case a.secondhand():
		return a.toldLeft + own, true
	case a.known:
		return max(0, a.rest) + own + a.idle + a.lentIdle, true
	}
	return 0, false
}
