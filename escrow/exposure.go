// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// exposedFractionAfterOutage is the fraction of a prepaid total that all routers may
	// hold together right after an outage.
	exposedFractionAfterOutage = 0.008
	// exposureHoldTime is how long after an outage exposedFraction stays at
	// exposedFractionAfterOutage.
	exposureHoldTime = 4 * time.Second
	// exposureRecoveryTime is how long after an outage holdings are limited.
	exposureRecoveryTime = 9 * time.Second
)

// exposedFraction returns the fraction of a prepaid total that all routers together may
// hold. outageEnded is when the last outage of the store ended, zero if there was none.
//
//   - For exposureHoldTime after an outage it is exposedFractionAfterOutage.
//   - Then it grows linearly to maxHeldFraction until exposureRecoveryTime after the
//     outage.
//   - Later, and without an outage, it is 1, which sets no limit.
//
// Held tokens serve requests during the next outage, but are lost if the routers crash.
// Right after an outage the next one is assumed to be some time away, so less is held.
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
