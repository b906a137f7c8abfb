// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// demand is what a router knows of the requests for a workspace, here and at other
// routers. Ledger.mu guards it. Rates are in tokens a second.
type demand struct {
	// rate is the rate of this router's own requests and, at a holder, of its loans. A
	// request counts with its bound until it is settled, and with its use afterwards. A
	// repayment is deducted from the loans.
	rate rate
	// othersRate is the sum of the rates in the other rows of the record when it was
	// last read.
	othersRate float64
	// largest and mean are the largest and the mean bound of the claims that count as
	// demand.
	largest granitehoist.Tokens
	mean    float64
	// highestPriority is the highest priority of these claims so far.
	highestPriority granitehoist.Priority
}

// meanWeight is the weight of the newest request in the exponentially weighted mean of
// the bounds, which covers about the last 20 requests.
const meanWeight = 0.05

// observe records the bound and the priority of a request.
func (d *demand) observe(bound granitehoist.Tokens, priority granitehoist.Priority) {
	d.largest = max(d.largest, bound)
	if d.mean == 0 {
		d.mean = float64(bound)
	}
	d.mean += (float64(bound) - d.mean) * meanWeight
	d.highestPriority = max(d.highestPriority, priority)
}
