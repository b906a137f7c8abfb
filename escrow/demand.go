// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// demand is what a router knows of the requests for a workspace, its own and those of
// other routers. Ledger.mu guards it. Rates are in tokens a second.
type demand struct {
	// rate is the rate at which this router's own requests reserve tokens. A holder also
	// counts its loans, less repayments. An unsettled request counts as its maximum cost,
	// a settled one as the tokens that it used.
	rate rate
	// othersRate is the sum of Row.Rate over the rows of other incarnations when the
	// record was last read.
	othersRate float64
	// largest and mean are the largest and the mean maximum cost of the claims that count
	// as demand (claim.countsAsDemand), granted or not.
	largest granitehoist.Tokens
	mean    float64
	// highestPriority is the highest priority of these claims so far.
	highestPriority granitehoist.Priority
}

// meanWeight is the weight of the newest request in the exponentially weighted mean of
// the maximum costs, which covers about the last 20 requests.
const meanWeight = 0.05

// observe records the maximum cost and the priority of a claim.
func (d *demand) observe(maxCost granitehoist.Tokens, priority granitehoist.Priority) {
	d.largest = max(d.largest, maxCost)
	if d.mean == 0 {
		d.mean = float64(maxCost)
	}
	d.mean += (float64(maxCost) - d.mean) * meanWeight
	d.highestPriority = max(d.highestPriority, priority)
}
