// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
)

// regionReply is the root's answer about one budget.
type regionReply struct {
	Budget granitehoist.BudgetID
	// Given is the total that the root has given to the region.
	Given granitehoist.Tokens
	// Returned is the total that the root has taken back.
	Returned granitehoist.Tokens
	// Limit is what the region should hold; it gives back what is beyond.
	Limit granitehoist.Tokens
	// Elsewhere is what the budget has left outside the region.
	Elsewhere granitehoist.Tokens
}

// setPrepaid sets the prepaid total of a budget as the document of a serial has
// it. An older document changes nothing. A total below what regions hold comes
// into force as they return tokens.
func (r *Root) setPrepaid(k granitehoist.BudgetID, prepaid granitehoist.Tokens, at granitehoist.Serial) {
	a := r.account(k)
	if at <= a.PrepaidAt {
		return
	}
	a.Prepaid = prepaid
	a.PrepaidAt = at
}

// account returns the root's account of a budget, a new one at the first call.
func (r *Root) account(k granitehoist.BudgetID) *RootAccount {
	a, ok := r.Accounts[k]
	if !ok {
		a = &RootAccount{}
		r.Accounts[k] = a
	}
	if a.Regions == nil {
		a.Regions = map[granitehoist.Region]RegionRow{}
	}
	return a
}

// regionSilentAfter is how long a region may be silent before its forecast is left out
// when tokens are divided. It is 30 times rootInterval, so that a region that is cut off
// for a while keeps its part.
const regionSilentAfter = 30 * rootInterval

// serve processes a region's report and gives it what the budget allows. The
// region gets it only once the root is written.
func (r *Root) serve(region granitehoist.Region, ask RegionAsk, split Split, now time.Time) regionReply {
	a := r.account(ask.Budget)
	row := a.Regions[region]
	row.Back = max(row.Back, ask.Returned)
	row.Spent = max(row.Spent, ask.Spent)
	row.Live, row.Rate, row.Largest, row.Seen = ask.Live, ask.Rate, ask.Largest, now.Unix()
	// What was given before and the page has not seen yet is on its way.
	onTheWay := row.Given - ask.Received
	a.Regions[region] = row

	unallocated := max(0, a.Unallocated())
	elsewhere, rate := a.others(region, now)
	c := &claim{
		held:       row.Live + onTheWay,
		need:       max(0, ask.Need-onTheWay),
		least:      max(0, ask.Least-onTheWay),
		want:       max(0, ask.Want-onTheWay),
		rate:       row.Rate,
		largest:    row.Largest,
		largestSum: ask.LargestSum,
	}
	total := unallocated + elsewhere + c.held
	allot([]*claim{c}, supply{
		stock: unallocated,
		total: total,
		rate:  rate + row.Rate,
		quiet: quietShare(total, len(a.Regions)),
	}, split.withDefaults().forRegions())
	row.Given += c.grant
	row.Live += c.grant
	a.Regions[region] = row
	limit := c.limit
	if a.Unallocated() < 0 {
		limit = 0
	}
	return regionReply{
		Budget:    ask.Budget,
		Given:     row.Given,
		Returned:  row.Back,
		Limit:     limit,
		Elsewhere: unallocated - c.grant + elsewhere,
	}
}

// others returns what the other regions hold and their forecast in tokens a
// second.
func (a *RootAccount) others(region granitehoist.Region, now time.Time) (granitehoist.Tokens, float64) {
	var held granitehoist.Tokens
	var rate float64
	for _, name := range sorted(a.Regions) {
		row := a.Regions[name]
		if name == region {
			continue
		}
		held += max(0, row.Live)
		if now.Sub(time.Unix(row.Seen, 0)) <= regionSilentAfter {
			rate += row.Rate
		}
	}
	return held, rate
}

// regionCovers is how many times a box's cover a region's holding should last.
const regionCovers = 2

// forRegions returns the split between regions. They hold tokens for longer than
// boxes, and a larger share, since a write at the root costs more: all regions
// write the same record. The share lies halfway between the boxes' and all.
func (s Split) forRegions() Split {
	s.Cover *= regionCovers
	s.Share = (1 + s.Share) / 2
	return s
}
