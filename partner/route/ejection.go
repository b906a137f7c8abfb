// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import "time"

const (
	// baseEjectionTime is the ejection time after the first failure.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 30 * time.Second
	// maxEjectionDoublings prevents overflow. The result exceeds maxEjectionTime
	// before this many doublings.
	maxEjectionDoublings = 10
)

// ejectionTime returns how long an upstream is ejected after a number of consecutive
// failures, which must be positive. The time doubles with each failure.
func ejectionTime(failures int) time.Duration {
	return min(maxEjectionTime, baseEjectionTime<<min(failures-1, maxEjectionDoublings))
}
