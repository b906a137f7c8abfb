// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// rate estimates tokens a second by an exponentially weighted mean over steps. The
// zero value has seen nothing. Ledger.mu guards it.
type rate struct {
	// perSecond is the mean at the end of the last step.
	perSecond float64
	// sum counts the tokens of the present step, which began at began.
	sum   float64
	began time.Time
	// covered is the time that the mean covers, up to rateTime.
	covered time.Duration
}

const (
	// rateStep is the least time that a step of the mean covers.
	rateStep = 500 * time.Millisecond
	// rateTime is the time over which the mean forgets, and after which a router trusts
	// its own view of the demand.
	rateTime = 5 * time.Second
)

// add counts tokens; what was reserved and not used is taken off by a negative
// amount. watched is since when the router has seen requests of any workspace:
// their absence in this one counts from then on. It may be zero.
func (r *rate) add(t granitehoist.Tokens, watched, now time.Time) {
	if r.began.IsZero() {
		r.began = now
		if !watched.IsZero() {
			r.began = watched
		}
	}
	r.roll(now)
	r.sum += float64(t)
}

// roll ends the present step if it has lasted for rateStep.
func (r *rate) roll(now time.Time) {
	if r.began.IsZero() {
		return
	}
	elapsed := now.Sub(r.began)
	if elapsed < rateStep {
		return
	}
	// The first steps weigh as much as their part of the time covered so far, so
	// that the mean does not begin at zero.
	r.covered = min(rateTime, r.covered+elapsed)
	weight := max(1-math.Exp(-elapsed.Seconds()/rateTime.Seconds()), min(1, elapsed.Seconds()/r.covered.Seconds()))
	r.perSecond += (r.sum/elapsed.Seconds() - r.perSecond) * weight
	r.sum = 0
	r.began = now
}

// value returns the mean in tokens a second. It is not below zero, though what comes
// back in a step may be more than what went out.
func (r *rate) value(now time.Time) float64 {
	r.roll(now)
	return max(0, r.perSecond)
}
