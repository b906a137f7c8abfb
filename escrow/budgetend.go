// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// The values below serve the users' rule that a part of the requests must be
// served after a loss of all boxes, also late in a budget (docs/FINDINGS.md,
// hunt-3e01-71, where large requests took what was left).
const (
	// withholdBelow is the part of the prepaid total under which large requests are
	// withheld. Measured in trials (docs/PERFORMANCE.md): 0.02 earned 0.601 and
	// 0.612 at Tuul and Lima, this value 0.591 and 0.595, but too little was served
	// then after a loss of all boxes. 0.08 was the first value (7965447).
	withholdBelow = 0.06
	// withholdShare is the part of what is left that one request may take. Measured:
	// an eighth left 5 % of a small budget unspent (7965447).
	withholdShare = 0.33
	// rationBelow is the part of the prepaid total that is spent over time.
	// Measured together with minReturnPartAtEnd (0b8d3d0): the rule is kept in 5
	// of 5 runs; without the returns 3 of 5 runs broke it.
	rationBelow = 0.01
	// rationTime is about how long the last part lasts, if rationedPart of the
	// routers get requests. Chosen, not measured (0b8d3d0), so that small requests
	// find something until a standard day of the users ends.
	rationTime = 20 * time.Second
	// rationedPart is the part of the routers that are taken to spend the last part.
	rationedPart = 0.5
	// rationRequests bounds the unused ration, in requests of the mean bound.
	rationRequests = 2.0
)

// endVerdict is whether a request may be paid for near the end of a budget, and
// if not, why.
type endVerdict int

const (
	// endAllows says that the end of the budget does not stand in the way.
	endAllows endVerdict = iota
	// aboveShare says that the request would take more than withholdShare of what
	// is left.
	aboveShare
	// aboveMean says that the request is larger than the mean of the requests.
	aboveMean
	// aboveRation says that the request is larger than this router's ration.
	aboveRation
)

// withholds reports whether the verdict keeps a request from being paid for.
func (v endVerdict) withholds() bool { return v != endAllows }

// budgetEnd is what the rule for the end of a budget depends on.
type budgetEnd struct {
	// left is what is left of the budget anywhere, as old as its source.
	left budgetLeft
	// limit is the prepaid total, mean the mean bound of this router's requests.
	limit granitehoist.Tokens
	mean  float64
	// routers is the number of routers that share the budget.
	routers int
}

// judge decides whether a request of a bound may be paid for, and returns the
// ration as it is afterwards. Below withholdBelow of the prepaid total a request
// may take no more than withholdShare of what is left and be no larger than the
// mean, so that a few large requests leave something for many small ones. Below
// rationBelow each router spends by a ration that grows with time, so that
// late requests find something. Without a report of what is left, every request is
// allowed.
func (e budgetEnd) judge(bound granitehoist.Tokens, r ration, now time.Time) (endVerdict, ration) {
	left, limit, size := float64(e.left.tokens), float64(e.limit), float64(bound)
	switch {
	case !e.left.reported || left >= withholdBelow*limit:
		return endAllows, r
	case size > withholdShare*left:
		return aboveShare, r
	case size > e.mean:
		return aboveMean, r
	case left >= rationBelow*limit:
		return endAllows, r
	}
	sharing := max(1, rationedPart*float64(e.routers))
	r = r.grown(left/sharing/rationTime.Seconds(), rationRequests*e.mean, now)
	if size > r.tokens {
		return aboveRation, r
	}
	return endAllows, r
}

// ration is what a router may spend of the last part of a budget. The zero value
// allows nothing yet.
type ration struct {
	tokens float64
	// at is when the ration last grew, zero if it never did.
	at time.Time
}

// grown returns the ration with what has been added since it last grew, at a rate
// in tokens a second and up to a bound.
func (r ration) grown(perSecond, most float64, now time.Time) ration {
	if !r.at.IsZero() {
		r.tokens = min(most, r.tokens+perSecond*now.Sub(r.at).Seconds())
	}
	r.at = now
	return r
}

// less returns the ration without what a request may cost.
func (r ration) less(bound granitehoist.Tokens) ration {
	r.tokens = max(0, r.tokens-float64(bound))
	return r
}
