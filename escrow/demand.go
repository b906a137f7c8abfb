// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// demand is what a router knows of the requests for a workspace, here and at
// others. Ledger.mu guards it. Rates are in tokens a second.
type demand struct {
	// rate is that of this router's own requests and, at a holder, of its loans, by
	// their bounds until they are settled or repaid.
	rate rate
	// othersRate is the sum of what the other rows of the record said when it was
	// last read.
	othersRate float64
	// largest and mean are of the bounds of the claims that count.
	largest granitehoist.Tokens
	mean    float64
	// highestPriority is that of these claims so far.
	highestPriority granitehoist.Priority
}

// meanWeight is the weight of the newest request in the mean of the bounds, which so
// covers the last 20 requests or so.
const meanWeight = 0.05

// measure records a request's bound and priority.
func (d *demand) measure(bound granitehoist.Tokens, priority granitehoist.Priority) {
	d.largest = max(d.largest, bound)
	if d.mean == 0 {
		d.mean = float64(bound)
	}
	d.mean += (float64(bound) - d.mean) * meanWeight
	d.highestPriority = max(d.highestPriority, priority)
}
