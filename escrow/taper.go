// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// The end of a budget. Below taperBelow of the prepaid total a request may be no
// larger than the mean and take no more than taperShare of what is left, so that
// a few large requests don't leave nothing for many small ones. The last part,
// below rationBelow, is spent over time, so that there is something for those who
// come last.
const (
	taperBelow  = 0.06
	taperShare  = 0.33
	rationBelow = 0.01
	// rationTime is about how long the last part lasts, if half of the routers
	// are asked for it.
	rationTime   = 20 * time.Second
	rationedPart = 0.5
	// rationRequests bounds the unused ration, in requests of the mean size.
	rationRequests = 2.0
)

// tapered reports whether a request is too large for the little that is left.
func (a *account) tapered(d claim, now time.Time) bool {
	if d.loan {
		return false
	}
	believed := a.fleet.leftAnywhere(a.owned.unreserved())
	left := float64(believed.tokens)
	limit := float64(a.owned.limit)
	if !believed.reported || left >= taperBelow*limit {
		return false
	}
	bound := float64(d.bound)
	if bound > taperShare*left || bound > a.demand.mean {
		return true
	}
	if left >= rationBelow*limit {
		return false
	}
	sharing := max(1, rationedPart*float64(a.routers))
	a.ration.grow(left/sharing/rationTime.Seconds(), rationRequests*a.demand.mean, now)
	return bound > a.ration.tokens
}

// ration is what a router may spend of the last part of a budget. The zero value
// allows nothing yet.
type ration struct {
	tokens float64
	at     time.Time
}

// grow adds what has come since the last time at a rate in tokens a second, up
// to a bound.
func (r *ration) grow(perSecond, most float64, now time.Time) {
	if !r.at.IsZero() {
		r.tokens = min(most, r.tokens+perSecond*now.Sub(r.at).Seconds())
	}
	r.at = now
}

// spend takes what a request may cost off the ration.
func (r *ration) spend(bound granitehoist.Tokens) {
	r.tokens = max(0, r.tokens-float64(bound))
}
