// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// shrinkBelowLifetime is the remaining lifetime of a budget below which horizon shortens
	// its result in proportion. The lifetime is the remaining tokens divided by the forecast
	// spending rate of all holders.
	shrinkBelowLifetime = 60 * time.Second
	// shrinkBelowRequests is the number of requests of the largest maximum cost that a budget
	// can still pay for. Below this number, horizon shortens its result in proportion.
	shrinkBelowRequests = 20
)

// The idle reserve is the number of tokens that a holder may hold even if it is forecast to
// spend fewer. With them, it can serve a few requests while it can reach no Allocator.
const (
	// idleReserveRequests is how many requests of the largest maximum cost the idle reserve
	// pays for at each box.
	idleReserveRequests = 16
	// idleReserveDivisor limits the sum of all idle reserves to the budget's remaining
	// tokens divided by it.
	idleReserveDivisor = 10
)

// claim is the demand of one holder for a share of an amount. The holder is an incarnation
// that draws on its region's stock, or a region that draws on the root's unallocated tokens.
type claim struct {
	// held is the number of tokens that the holder has.
	held granitehoist.Tokens
	// These numbers of tokens are in addition to held. least is enough for the smallest
	// waiting request. need is enough for all waiting requests, least included. want is all
	// that the holder asks for, need included.
	least, need, want granitehoist.Tokens
	// rate is the holder's forecast spending rate in tokens per second.
	rate float64
	// largest is the largest maximum cost of a request at the holder. largestSum adds up
	// the largest maximum cost at each of the holder's boxes.
	largest, largestSum granitehoist.Tokens
	// grant and limit are set by allocate. grant is the number of tokens granted, in
	// addition to held. limit is the number of tokens that the holder should hold.
	grant, limit granitehoist.Tokens
}

// supply is what a region or root record can grant of one budget, with totals over all
// holders, including the holders without a claim.
type supply struct {
	// grantable is what can be granted now: a region's stock, or the root's unallocated
	// tokens.
	grantable granitehoist.Tokens
	// total is the sum of grantable and the holdings that are not in doubt. It is zero in a
	// region whose limit is zero.
	total granitehoist.Tokens
	// rate is the forecast spending rate, in tokens per second, of all holders with a recent
	// report.
	rate float64
	// idleReserve is the largest idle reserve of each holder.
	idleReserve granitehoist.Tokens
}

// allocate divides s.grantable among claims and sets the grant and limit of each. The sum
// of the grants never exceeds s.grantable.
//
// The tokens are granted in three steps:
//   - In ascending order of claim.least, each holder with waiting requests gets its least,
//     if the remaining tokens cover all of it.
//   - The holders that got their least get the rest of their need, or as much of it as the
//     remaining tokens cover.
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
	grantable := grantWaiting(claims, s.grantable)
	for _, c := range claims {
		more := min(c.want-c.grant, c.limit-c.held-c.grant, grantable)
		if more > 0 {
			c.grant += more
			grantable -= more
		}
	}
}

// grantWaiting grants what waiting requests need, and returns how many of the grantable
// tokens remain.
func grantWaiting(claims []*claim, grantable granitehoist.Tokens) granitehoist.Tokens {
	waiting := waitingClaims(claims)
	for _, c := range waiting {
		if c.least <= grantable {
			c.grant = c.least
			grantable -= c.least
		}
	}
	for _, c := range waiting {
		if c.grant < c.least {
			continue
		}
		more := min(c.need-c.grant, grantable)
		c.grant += more
		grantable -= more
	}
	return grantable
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

// horizon returns how long a holding should last at its holder's forecast spending rate: the
// shorter of split.Cover and split.Share times the budget's remaining lifetime, which is
// total / rate. rate is in tokens per second.
//
// The result is shortened in proportion if the lifetime is below shrinkBelowLifetime, or if
// total pays for fewer than shrinkBelowRequests requests of the maximum cost largest. It is
// zero if rate is zero or total pays for at most two such requests. The last tokens then
// stay grantable, so that any holder can get them.
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

// idleReserve returns the largest idle reserve of each holder, from the remaining tokens
// of the budget and the number of holders.
func idleReserve(remaining granitehoist.Tokens, holders int) granitehoist.Tokens {
	return remaining / granitehoist.Tokens(idleReserveDivisor*max(1, holders))
}

// limitAt returns how many tokens the holder should hold: what it is forecast to spend in
// cover, or its idle reserve if that is larger and at least c.largest. reserve is the
// largest idle reserve of each holder.
func (c *claim) limitAt(cover time.Duration, maxIdleReserve granitehoist.Tokens) granitehoist.Tokens {
	limit := tokensFor(c.rate, cover)
	buffer := min(idleReserveRequests*c.largestSum, maxIdleReserve)
	if buffer >= c.largest {
		limit = max(limit, buffer)
	}
	return limit
}
