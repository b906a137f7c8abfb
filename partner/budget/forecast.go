// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// forecastWindow is the time constant of the exponential decay.
const forecastWindow = 5 * time.Minute

// forecast estimates a spending rate in tokens per second by exponential decay. Its zero
// value is an estimate of zero.
type forecast struct {
	perSecond float64
	updatedAt time.Time
}

// add records tokens spent at now.
func (f *forecast) add(tokens granitehoist.Tokens, now time.Time) {
	f.decay(now)
	f.perSecond += float64(tokens) / forecastWindow.Seconds()
}

// rate returns the estimate at now.
func (f *forecast) rate(now time.Time) float64 {
	f.decay(now)
	return f.perSecond
}

// decay advances the estimate to now. A time before the last update has no effect.
func (f *forecast) decay(now time.Time) {
	elapsed := now.Sub(f.updatedAt)
	if elapsed <= 0 {
		return
	}
	f.perSecond *= math.Exp(-elapsed.Seconds() / forecastWindow.Seconds())
	f.updatedAt = now
}
