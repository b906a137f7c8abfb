// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// rate estimates tokens a second by an exponentially weighted mean.
type rate struct {
	perSecond float64
	sum       float64
	began     time.Time
	// covered is the time that the mean covers, up to rateTime.
	covered time.Duration
}

// Times of the estimate.
const (
	rateStep = 500 * time.Millisecond
	rateTime = 5 * time.Second
)

// add counts tokens. watched is since when the absence of demand has been seen.
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

// roll closes the steps that have passed since the first tokens were spent.
func (r *rate) roll(now time.Time) {
	if r.began.IsZero() {
		return
	}
	elapsed := now.Sub(r.began)
	if elapsed < rateStep {
		return
	}
	// The first steps weigh as much as they are of what has been seen, so that
	// the mean does not begin at zero.
	r.covered = min(rateTime, r.covered+elapsed)
	weight := max(1-math.Exp(-elapsed.Seconds()/rateTime.Seconds()), min(1, elapsed.Seconds()/r.covered.Seconds()))
	r.perSecond += (r.sum/elapsed.Seconds() - r.perSecond) * weight
	r.sum = 0
	r.began = now
}

func (r *rate) value(now time.Time) float64 {
	r.roll(now)
	return r.perSecond
}
