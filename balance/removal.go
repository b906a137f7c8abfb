// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// removedGrace is how long an instance whose announcement was removed may still
// be used. Chosen, not measured; the users' pages bound it from above: 2 s after
// an upstream has ended its address may be given to one of another service.
const removedGrace = 1500 * time.Millisecond

// usableAfterRemoval decides whether an instance may still get requests after
// its announcement was removed at removedAt. The users' pages say that an
// announcement can also disappear while the store is down, and that some upstreams
// serve on for a while after theirs has. Others have crashed, so candidates uses
// such instances only if the service has no other.
func usableAfterRemoval(removedAt, now time.Time) bool {
	return now.Sub(removedAt) < removedGrace
}

// forgettable decides whether the table may forget an instance: it was removed
// (removedAt is not zero), its grace is over, and none of this router's
// attempts is in progress there, whose ends would have nowhere to be recorded.
func forgettable(removedAt time.Time, inFlight int, now time.Time) bool {
	return !removedAt.IsZero() && !usableAfterRemoval(removedAt, now) && inFlight <= 0
}
