// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import "time"

// An open connection to the store may go silent while new ones work: the peer's kernel
// acknowledges what is sent and no response arrives, so that only the timeout of a call shows
// it. The time from the silence until later changes are applied is at most the sum of
//
//   - maxWatchAge, the age of the copy at which the wait of a watch ends,
//   - ResponseGrace, until the watch fails,
//   - reconnectTime, until the watch that repeats it on a new connection has its response.
//
// The sum is at most the fraction maxCatchUp of Settings.ContactTime. Within that time a router
// that polls relays has given up two silent relays and watched the store itself. A contact time
// that Settings.MinWatchInterval and the two constants below exceed can't be kept.

const (
	// ResponseGrace is the time beyond the wait of a watch after which it fails.
	ResponseGrace = 500 * time.Millisecond
	// reconnectTime bounds a call on a new connection to a store that responds.
	reconnectTime = 250 * time.Millisecond
	// maxCatchUp leaves a margin for what delays the timers and the process.
	maxCatchUp = 0.875
	// longestWatchAge is the largest result of maxWatchAge.
	longestWatchAge = 2500 * time.Millisecond
)

// maxWatchAge returns the age of a copy at which a watch of the store ends without a change, for
// a router that must have caught up a time contact after its connections went silent. Zero means
// that there is no such time, and no limit.
func maxWatchAge(contact time.Duration) time.Duration {
	if contact <= 0 {
		return 0
	}
	catchUp := time.Duration(maxCatchUp * float64(contact))
	return min(longestWatchAge, max(probeWatchTimeout, catchUp-ResponseGrace-reconnectTime))
}

// watchWait returns the wait of a watch that begins at an age of the copy and is to end at the
// age end. Zero means the limit of the store's client.
func watchWait(age, end time.Duration) time.Duration {
	if end <= 0 {
		return 0
	}
	return max(probeWatchTimeout, end-age)
}
