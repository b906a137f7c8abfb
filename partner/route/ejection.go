// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import "time"

const (
	// firstEjection is how long an upstream is left out after its first failure in a row.
	firstEjection = 500 * time.Millisecond
	// maxEjection bounds it.
	maxEjection = 30 * time.Second
	// maxEjectionDoublings keeps the doubling from overflowing; it is reached
	// beyond maxEjection, and so changes nothing else.
	maxEjectionDoublings = 10
)

// ejection decides how long an upstream is left out after a number of failures
// in a row, one or more: twice as long after each, so that one failure costs
// little and an upstream that is down is rarely tried. If all upstreams of a service
// are left out, the one whose time ends first is tried anyway.
func ejection(failures int) time.Duration {
	return min(maxEjection, firstEjection<<min(failures-1, maxEjectionDoublings))
}
