// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
)

// regionReply is the root's reply to the report of one budget.
type regionReply struct {
	Budget granitehoist.BudgetID
	// Granted is the total granted to the region.
	Granted granitehoist.Tokens
	// Returned is the total that the root has taken back.
	Returned granitehoist.Tokens
	// Limit is how many tokens the region should have. The region returns its tokens beyond
	// Limit.
	Limit granitehoist.Tokens
	// RemainingElsewhere is the number of tokens of the budget that are unallocated or in
	// other regions and not in doubt.
	RemainingElsewhere granitehoist.Tokens
}

// setPrepaid sets the prepaid total of a budget from the configuration with the given
// serial. An older configuration has no effect. If the total is below what the regions hold,
// serve sets their limits to zero until they have returned the difference.
func (r *RootRecord) setPrepaid(k granitehoist.BudgetID, prepaid granitehoist.Tokens, serial granitehoist.Serial) {
	a := r.account(k)
	if serial <= a.PrepaidSerial {
		return
	}
	a.Prepaid = prepaid
	a.PrepaidSerial = serial
}

// account returns the account of a budget and creates it if needed.
func (r *RootRecord) account(k granitehoist.BudgetID) *RootAccount {
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

// regionStaleAfter is the time without a report after which the forecast of a region is
// ignored. It is long, so that a region that is cut off for a while keeps its share.
const regionStaleAfter = 30 * rootInterval

// serve merges a region's report into the root record and grants what the budget allows.
// The reply may be used only after the record is written.
func (r *RootRecord) serve(region granitehoist.Region, report RegionReport, split Split, now time.Time) regionReply {
	a := r.account(report.Budget)
	row := a.Regions[region]
	row.Returned = max(row.Returned, report.Returned)
	row.Spent = max(row.Spent, report.Spent)
	row.Live, row.Rate, row.Largest, row.LastSeen = report.Live, report.Rate, report.Largest, now.Unix()
	// Earlier grants that the region has not seen yet are in transit.
	inTransit := row.Granted - report.Received
	a.Regions[region] = row

	unallocated := max(0, a.Unallocated())
	elsewhere, rate := a.otherRegions(region, now)
	c := &claim{
		held:       row.Live + inTransit,
		need:       max(0, report.Need-inTransit),
		least:      max(0, report.Least-inTransit),
		want:       max(0, report.Want-inTransit),
		rate:       row.Rate,
		largest:    row.Largest,
		largestSum: report.LargestSum,
	}
	total := unallocated + elsewhere + c.held
	allocate([]*claim{c}, supply{
		grantable:   unallocated,
		total:       total,
		rate:        rate + row.Rate,
		idleReserve: idleReserve(total, len(a.Regions)),
	}, split.withDefaults().forRegions())
	row.Granted += c.grant
	row.Live += c.grant
	a.Regions[region] = row
	limit := c.limit
	if a.Unallocated() < 0 {
		limit = 0
	}
	return regionReply{
		Budget:             report.Budget,
		Granted:            row.Granted,
		Returned:           row.Returned,
		Limit:              limit,
		RemainingElsewhere: unallocated - c.grant + elsewhere,
	}
}

// otherRegions returns the tokens in all regions but the given one that are not in doubt,
// and the forecast spending rate of these regions in tokens per second. The rate leaves out
// regions without a report for regionStaleAfter.
func (a *RootAccount) otherRegions(region granitehoist.Region, now time.Time) (granitehoist.Tokens, float64) {
	var held granitehoist.Tokens
	var rate float64
	for _, name := range sortedKeys(a.Regions) {
		row := a.Regions[name]
		if name == region {
			continue
		}
		held += max(0, row.Live)
		if now.Sub(time.Unix(row.LastSeen, 0)) <= regionStaleAfter {
			rate += row.Rate
		}
	}
	return held, rate
}

// regionCoverFactor is the ratio of a region's cover to a box's cover.
const regionCoverFactor = 2

// forRegions returns the split between regions. Its Cover and Share are larger than in
// the split between boxes, so that regions write the root record, which they share, less often.
func (s Split) forRegions() Split {
	s.Cover *= regionCoverFactor
	s.Share = (1 + s.Share) / 2
	return s
}
