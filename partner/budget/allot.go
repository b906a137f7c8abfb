// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// Below endGame of remaining life at its forecast, or endRequests of its
// largest requests, a budget's holdings shrink faster than the budget does. At
// the very end each request is decided at the page.
const (
	shrinkBelowLife     = 60 * time.Second
	shrinkBelowRequests = 20
)

// A quiet holder, whose forecast is smaller, keeps some of its largest requests
// in hand, so that it goes on for a while when it is cut off: at most
// quietRequests, and all quiet holders together at most one part in quietParts
// of the budget.
const (
	quietRequests = 16
	quietParts    = 10
)

// claim is one holder's wish to an amount that several share: an incarnation's
// to its region's stock, or a region's to what is unallocated.
type claim struct {
	// held is what the holder has.
	held granitehoist.Tokens
	// least is what lets the smallest waiting request run, need what all of
	// them wait for, and want all that the holder wishes; each includes the one
	// before, and all are additions to held.
	least, need, want granitehoist.Tokens
	// rate is the forecast in tokens a second.
	rate float64
	// largest is the largest bound of a request there, and largestSum the sum of the
	// largest bounds of all boxes there.
	largest, largestSum granitehoist.Tokens
	// grant is the answer: the addition. limit is what the holder should hold.
	grant, limit granitehoist.Tokens
}

// allot divides stock among claims. total is what all holders and the stock
// have together, and rate the forecast of all holders, those without a claim
// included; quiet is the most that a
// quiet holder may have. First each holder gets what lets its smallest waiting request run,
// smallest first and never a part of it; then what its others wait for, as far
// as it goes; then wishes up to its limit. The sum of the gifts never exceeds
// stock.
func allot(claims []*claim, stock, total granitehoist.Tokens, rate float64, quiet granitehoist.Tokens, split Split) {
	var largest granitehoist.Tokens
	for _, c := range claims {
		largest = max(largest, c.largest)
	}
	hold := horizon(total, largest, rate, split)
	for _, c := range claims {
		c.limit = c.limitAt(hold, quiet)
	}
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
	for _, c := range claims {
		more := min(c.want-c.grant, c.limit-c.held-c.grant, stock)
		if more > 0 {
			c.grant += more
			stock -= more
		}
	}
}

// horizon returns how long a holding may last, from what a budget has left and
// its largest request. It is zero when the budget has fewer than two such
// requests left, so that the last tokens lie where they can serve any.
func horizon(total, largest granitehoist.Tokens, rate float64, split Split) time.Duration {
	if rate <= 0 || total <= 2*largest {
		return 0
	}
	life := float64(total) / rate
	shrink := min(1, life/shrinkBelowLife.Seconds())
	if largest > 0 {
		shrink = min(shrink, float64(total)/float64(shrinkBelowRequests*largest))
	}
	shrunk := min(split.Cover.Seconds(), split.Share*life)
	return time.Duration(shrink * shrunk * float64(time.Second))
}

// quietShare returns the most that each of some quiet holders may have of what a
// budget has left.
func quietShare(left granitehoist.Tokens, holders int) granitehoist.Tokens {
	return left / granitehoist.Tokens(quietParts*max(1, holders))
}

// limitAt returns what the holder should hold, of which quiet is the most that a
// quiet holder may have.
func (c *claim) limitAt(hold time.Duration, quiet granitehoist.Tokens) granitehoist.Tokens {
	limit := tokensFor(c.rate, hold)
	inHand := min(quietRequests*c.largestSum, quiet)
	if inHand >= c.largest {
		limit = max(limit, inHand)
	}
	return limit
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
