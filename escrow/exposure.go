// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// exposedAfterOutage is the part of a prepaid total that all routers may hold
	// together right after an outage. Measured with the two times below
	// (e3d7583): Tuul 0.864 to 0.891, Lima 0.954 to 0.975. The single values were
	// chosen for the users' standard days, on which all routers are killed soon
	// after an outage.
	exposedAfterOutage = 0.008
	// exposureLowTime is how long after an outage the part stays there. See
	// exposedAfterOutage.
	exposureLowTime = 4 * time.Second
	// exposureGrownTime is when the part has grown to sharePart. See
	// exposedAfterOutage.
	exposureGrownTime = 9 * time.Second
)

// exposedPart decides which part of a prepaid total all routers may hold together,
// from the time since the last outage ended; outageEnded is zero if there was
// none. From exposureGrownTime after an outage on, and without one, it is all of
// it. What is held protects against the next outage and is lost if the routers
// die. Right after an outage the next one is far, so the holdings grow back
// slowly.
func exposedPart(outageEnded, now time.Time) float64 {
	if outageEnded.IsZero() {
		return 1
	}
	since := now.Sub(outageEnded)
	if since >= exposureGrownTime {
		return 1
	}
	grown := max(0, (since-exposureLowTime).Seconds()/(exposureGrownTime-exposureLowTime).Seconds())
	return exposedAfterOutage + (sharePart-exposedAfterOutage)*grown
}
