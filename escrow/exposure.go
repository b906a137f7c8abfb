// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// exposedFractionAfterOutage is the fraction of a prepaid total that all routers may
	// hold together right after an outage.
	exposedFractionAfterOutage = 0.008
	// exposureHoldTime is how long after an outage the fraction stays there.
	exposureHoldTime = 4 * time.Second
	// exposureRecoveryTime is how long after an outage the fraction has grown to
	// maxHeldFraction, and the bound is lifted.
	exposureRecoveryTime = 9 * time.Second
)

// exposedFraction returns the fraction of a prepaid total that all routers may hold
// together, from the time since the last outage ended; outageEnded is zero if there was
// none. It is 1 without an outage and from exposureRecoveryTime after one. Held tokens
// cover the next outage but are lost if the routers crash. The next outage is assumed to
// be some time away, so the holdings grow back slowly.
func exposedFraction(outageEnded, now time.Time) float64 {
	if outageEnded.IsZero() {
		return 1
	}
	since := now.Sub(outageEnded)
	if since >= exposureRecoveryTime {
		return 1
	}
	grown := max(0, (since-exposureHoldTime).Seconds()/(exposureRecoveryTime-exposureHoldTime).Seconds())
	return exposedFractionAfterOutage + (maxHeldFraction-exposedFractionAfterOutage)*grown
}
