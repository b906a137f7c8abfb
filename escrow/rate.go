// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// rate estimates tokens a second by an exponentially weighted mean over steps. The zero
// value is ready for use. Ledger.mu guards it.
type rate struct {
	// perSecond is the mean at the end of the last step.
	perSecond float64
	// stepTokens counts the tokens of the present step, which began at stepStart.
	stepTokens float64
	stepStart  time.Time
	// covered is the total duration of the steps in the mean, up to rateWindow.
	covered time.Duration
}

const (
	// rateStep is the minimum duration of a step.
	rateStep = 500 * time.Millisecond
	// rateWindow is the time constant of the mean. It is also the time in which
	// conditions.observedFraction grows to 1.
	rateWindow = 5 * time.Second
)

// add counts tokens; a negative amount deducts tokens that were counted and not used. The
// first step starts at observedSince, so that time without requests before the first call
// lowers the mean. If observedSince is zero, the first step starts at the first call.
func (r *rate) add(t granitehoist.Tokens, observedSince, now time.Time) {
	if r.stepStart.IsZero() {
		r.stepStart = now
		if !observedSince.IsZero() {
			r.stepStart = observedSince
		}
	}
	r.advance(now)
	r.stepTokens += float64(t)
}

// advance ends the present step if it has lasted for rateStep.
func (r *rate) advance(now time.Time) {
	if r.stepStart.IsZero() {
		return
	}
	elapsed := now.Sub(r.stepStart)
	if elapsed < rateStep {
		return
	}
	// The first steps weigh as much as their part of the time covered so far, so that
	// the mean does not start at zero.
	r.covered = min(rateWindow, r.covered+elapsed)
	weight := max(1-math.Exp(-elapsed.Seconds()/rateWindow.Seconds()), min(1, elapsed.Seconds()/r.covered.Seconds()))
	r.perSecond += (r.stepTokens/elapsed.Seconds() - r.perSecond) * weight
	r.stepTokens = 0
	r.stepStart = now
}

// value returns the mean in tokens a second. It is at least zero, though the deductions
// of a step may exceed its additions.
func (r *rate) value(now time.Time) float64 {
	r.advance(now)
	return max(0, r.perSecond)
}
