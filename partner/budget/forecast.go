// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// forecastWindow is the time constant of the decay. The value came with
// the measurement of commit 82e9a37 and was chosen.
const forecastWindow = 5 * time.Minute

// forecast estimates a rate of spending in tokens a second, by exponential
// decay. Its zero value has seen nothing.
type forecast struct {
	perSecond float64
	at        time.Time
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

// decay brings the estimate to now. A time before the last one changes nothing.
func (f *forecast) decay(now time.Time) {
	past := now.Sub(f.at)
	if past <= 0 {
		return
	}
	f.perSecond *= math.Exp(-past.Seconds() / forecastWindow.Seconds())
	f.at = now
}
