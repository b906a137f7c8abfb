// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// minPostOutageHeldFraction is the fraction of a prepaid total that all routers
	// together may hold right after an outage. It and the two times below were measured
	// together only. They suit a crash of all routers soon after an outage.
	minPostOutageHeldFraction = 0.008
	// postOutageMinTime is how long after an outage postOutageHeldFraction stays at
	// minPostOutageHeldFraction.
	postOutageMinTime = 4 * time.Second
	// postOutageLimitTime is how long after an outage holdings are limited.
	postOutageLimitTime = 9 * time.Second
)

// postOutageHeldFraction returns the fraction of a prepaid total that all routers
// together may hold. outageEnded is when the last outage of the store ended, zero if
// there was none.
//
//   - For postOutageMinTime after an outage it is minPostOutageHeldFraction.
//   - Then it grows linearly to maxHeldFraction until postOutageLimitTime after the
//     outage.
//   - Later, and without an outage, it is 1.
//
// Held tokens serve requests during the next outage, but are lost if the routers crash.
// Right after an outage the next one is assumed to be some time away, so less is held.
func postOutageHeldFraction(outageEnded, now time.Time) float64 {
	if outageEnded.IsZero() {
		return 1
	}
	since := now.Sub(outageEnded)
	if since >= postOutageLimitTime {
		return 1
	}
	progress := max(0, (since-postOutageMinTime).Seconds()/(postOutageLimitTime-postOutageMinTime).Seconds())
	return minPostOutageHeldFraction + (maxHeldFraction-minPostOutageHeldFraction)*progress
}
