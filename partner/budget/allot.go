// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// shrinkBelowLife is the remaining life of a budget, at the forecast of all holders,
	// below which holdings shrink faster than the budget does.
	shrinkBelowLife = 60 * time.Second
	// shrinkBelowRequests is the number of largest requests that a budget has
	// left below which holdings shrink faster than the budget does. Measured with
	// seeds 1, 2 and 3 of 'granitehoist try' (commit 97b5189): false refusals of
	// a budget of 2,500 tokens fell from 38, 36 and 33 to 11, 4 and 2, together
	// with the return of parts that serve no request.
	shrinkBelowRequests = 20
)

// A quiet holder is one whose forecast is smaller than a few of its largest
// requests. It keeps tokens for those, so that it can serve for a while when it is
// cut off.
const (
	// quietRequests is how many of its largest requests a quiet holder keeps.
	// With 16 instead of 1 the false refusals fell from 0.336 % to 0.205 % in the
	// measured cut and from 0.523 % to 0.283 % without the store
	// (docs/design/budgets.md, commit ec9716c).
	quietRequests = 16
	// quietParts bounds what all quiet holders keep together: one part in quietParts of
	// the budget.
	quietParts = 10
)

// claim is what one holder asks for of an amount that several share: an
// incarnation of its region's stock, or a region of what is unallocated.
type claim struct {
	// held is what the holder has.
	held granitehoist.Tokens
	// least is what lets the smallest waiting request run, need what all of
	// them wait for, and want all that the holder asks for; each includes the
	// one before, and all are additions to held.
	least, need, want granitehoist.Tokens
	// rate is the forecast in tokens a second.
	rate float64
	// largest is the largest bound of a request there, and largestSum the sum of
	// the largest bounds of all boxes there.
	largest, largestSum granitehoist.Tokens
	// grant is the answer: the addition. limit is what the holder should hold.
	grant, limit granitehoist.Tokens
}

// supply is what a page or a root has to give, and its view of all holders, those
// without a claim included.
type supply struct {
	// stock is what can be granted now.
	stock granitehoist.Tokens
	// total is what all holders and the stock have together.
	total granitehoist.Tokens
	// rate is the forecast of all holders in tokens a second.
	rate float64
	// quiet is the most that each quiet holder may have.
	quiet granitehoist.Tokens
}

// allot divides the stock among claims and sets the grant and limit of each.
//
// Requests that wait go first: each holder gets what lets its smallest waiting
// request run, smallest first, and never a part of it, since a part would serve
// no request. Then holders get what their other requests wait for, as far as the
// stock goes, and only then a reserve for the time ahead, up to their limit. The sum of
// the grants never exceeds the stock.
//
// The forecasts come with the reports of the holders: those of boxes are up to
// reportInterval old, those of regions up to rootInterval.
func allot(claims []*claim, s supply, split Split) {
	var largest granitehoist.Tokens
	for _, c := range claims {
		largest = max(largest, c.largest)
	}
	hold := horizon(s.total, largest, s.rate, split)
	for _, c := range claims {
		c.limit = c.limitAt(hold, s.quiet)
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

// grantWaiting grants what waiting requests need and returns the remaining
// stock.
func grantWaiting(claims []*claim, stock granitehoist.Tokens) granitehoist.Tokens {
	waiting := byLeast(claims)
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

// byLeast returns the claims that need something, smallest request first.
func byLeast(claims []*claim) []*claim {
	var waiting []*claim
	for _, c := range claims {
		if c.need > 0 {
			waiting = append(waiting, c)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].least < waiting[j].least })
	return waiting
}

// horizon returns for how long a holding may last at the forecast: the split's
// cover or its share of the budget's remaining life, whichever is shorter. It
// shrinks near the end of a budget, so that the last tokens lie where they can
// serve any request, and is zero when the budget has fewer than two of its
// largest requests left. total and largest are in tokens, rate in tokens a
// second.
func horizon(total, largest granitehoist.Tokens, rate float64, split Split) time.Duration {
	if rate <= 0 || total <= 2*largest {
		return 0
	}
	life := float64(total) / rate
	shrink := min(1, life/shrinkBelowLife.Seconds())
	if largest > 0 {
		shrink = min(shrink, float64(total)/float64(shrinkBelowRequests*largest))
	}
	hold := min(split.Cover.Seconds(), split.Share*life)
	return time.Duration(shrink * hold * float64(time.Second))
}

// quietShare returns the most that each of some quiet holders may have of what a
// budget has left.
func quietShare(left granitehoist.Tokens, holders int) granitehoist.Tokens {
	return left / granitehoist.Tokens(quietParts*max(1, holders))
}

// limitAt returns what the holder should hold: its forecast for the time of
// hold or, if that is less, its quiet share where that serves its largest
// request.
func (c *claim) limitAt(hold time.Duration, quiet granitehoist.Tokens) granitehoist.Tokens {
	limit := tokensFor(c.rate, hold)
	inHand := min(quietRequests*c.largestSum, quiet)
	if inHand >= c.largest {
		limit = max(limit, inHand)
	}
	return limit
}
