// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// removedGrace is how long an instance whose announcement was removed may still be used.
// It must be below 2 s: by the users' pages the address of an upstream that ended may be
// given to one of another service then.
const removedGrace = 1500 * time.Millisecond

// usableAfterRemoval decides whether an instance may still get requests after
// its announcement was removed at removedAt. The users' pages say that an
// announcement can also disappear while the store is down, and that some upstreams
// go on serving for a while without one. Others have crashed, so candidates returns
// such instances only if the service has no other.
func usableAfterRemoval(removedAt, now time.Time) bool {
	return now.Sub(removedAt) < removedGrace
}

// forgettable decides whether the table may forget an instance: it was removed
// (removedAt is not zero), removedGrace has passed, and none of this router's
// attempts is in progress there. Their leases still record results in its state.
func forgettable(removedAt time.Time, inFlight int, now time.Time) bool {
	return !removedAt.IsZero() && !usableAfterRemoval(removedAt, now) && inFlight <= 0
}
