// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// shrinkBelowLifetime is the remaining lifetime of a budget, its tokens divided by the
	// forecast rate of all holders, below which horizon shortens its result in proportion.
	shrinkBelowLifetime = 60 * time.Second
	// shrinkBelowRequests is the number of requests of the largest size that a budget can
	// still pay for, below which horizon shortens its result in proportion.
	shrinkBelowRequests = 20
)

// The idle reserve is what a holder may hold even if its forecast is lower, so that it can
// serve a few requests after it is cut off.
const (
	// idleReserveRequests is how many requests of the largest size the idle reserve pays
	// for at each box.
	idleReserveRequests = 16
	// idleReserveDivisor limits the sum of all idle reserves to the budget's remaining
	// tokens divided by it.
	idleReserveDivisor = 10
)

// claim is the demand of one holder for a share of an amount. The holder is an incarnation
// that draws on its region's stock, or a region that draws on unallocated tokens.
type claim struct {
	// held is what the holder has.
	held granitehoist.Tokens
	// least is enough for the smallest waiting request, need is enough for all waiting
	// requests, and want is all that the holder asks for. Need includes least, and want
	// includes need. All three are in addition to held.
	least, need, want granitehoist.Tokens
	// rate is the forecast in tokens per second.
	rate float64
	// largest is the largest bound of a request at the holder. largestSum is the sum of
	// the largest bounds at each of the holder's boxes.
	largest, largestSum granitehoist.Tokens
	// grant is the result, in addition to held. limit is how much the holder should
	// hold.
	grant, limit granitehoist.Tokens
}

// supply is what a region or root record can grant, with totals over all holders,
// including those without a claim.
type supply struct {
	// stock is what can be granted now.
	stock granitehoist.Tokens
	// total is the sum of the stock and all holdings.
	total granitehoist.Tokens
	// rate is the forecast of all holders in tokens per second.
	rate float64
	// idleReserve bounds the idle reserve of each holder.
	idleReserve granitehoist.Tokens
}

// allocate divides the stock among claims and sets the grant and limit of each. The sum
// of the grants never exceeds the stock.
//
// The stock is granted in three steps:
//   - In ascending order of claim.least, each holder with waiting requests gets its least,
//     if the remaining stock covers all of it.
//   - The holders that got their least get the rest of their need, or as much of it as the
//     stock covers.
//   - All holders get more, up to their want and their limit.
func allocate(claims []*claim, s supply, split Split) {
	var largest granitehoist.Tokens
	for _, c := range claims {
		largest = max(largest, c.largest)
	}
	cover := horizon(s.total, largest, s.rate, split)
	for _, c := range claims {
		c.limit = c.limitAt(cover, s.idleReserve)
	}
	stock := grantWaiting(claims, s.stock)
	for _, c := range claims {
		more := min(c.want-c.grant, c.limit-c.held-c.grant, stock)
		if more > 0 {
			c.grant += more
			stock -= more
		}
	}
}

// grantWaiting grants what waiting requests need and returns the remaining stock.
func grantWaiting(claims []*claim, stock granitehoist.Tokens) granitehoist.Tokens {
	waiting := waitingClaims(claims)
	for _, c := range waiting {
		if c.least <= stock {
			c.grant = c.least
			stock -= c.least
		}
	}
	for _, c := range waiting {
		if c.grant < c.least {
			continue
		}
		more := min(c.need-c.grant, stock)
		c.grant += more
		stock -= more
	}
	return stock
}

// waitingClaims returns the claims with waiting requests, smallest request first.
func waitingClaims(claims []*claim) []*claim {
	var waiting []*claim
	for _, c := range claims {
		if c.need > 0 {
			waiting = append(waiting, c)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].least < waiting[j].least })
	return waiting
}

// horizon returns how long a holding should last at its holder's forecast: the shorter of
// split.Cover and split.Share times the budget's remaining lifetime, which is total / rate.
// rate is in tokens per second.
//
// The result is shortened in proportion if the lifetime is below shrinkBelowLifetime, or if
// total pays for fewer than shrinkBelowRequests requests of the largest size. It is zero if
// rate is zero or total pays for at most two such requests. The last tokens then stay in
// the stock, from which any holder can get them.
func horizon(total, largest granitehoist.Tokens, rate float64, split Split) time.Duration {
	if rate <= 0 || total <= 2*largest {
		return 0
	}
	lifetime := float64(total) / rate
	shrink := min(1, lifetime/shrinkBelowLifetime.Seconds())
	if largest > 0 {
		shrink = min(shrink, float64(total)/float64(shrinkBelowRequests*largest))
	}
	cover := min(split.Cover.Seconds(), split.Share*lifetime)
	return time.Duration(shrink * cover * float64(time.Second))
}

// idleReserve returns the bound on each holder's idle reserve, from the remaining tokens
// of the budget and the number of holders.
func idleReserve(remaining granitehoist.Tokens, holders int) granitehoist.Tokens {
	return remaining / granitehoist.Tokens(idleReserveDivisor*max(1, holders))
}

// limitAt returns how much the holder should hold: its forecast over cover, or its idle
// reserve if that is larger and pays for its largest request.
func (c *claim) limitAt(cover time.Duration, reserve granitehoist.Tokens) granitehoist.Tokens {
	limit := tokensFor(c.rate, cover)
	buffer := min(idleReserveRequests*c.largestSum, reserve)
	if buffer >= c.largest {
		limit = max(limit, buffer)
	}
	return limit
}
