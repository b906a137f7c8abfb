// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// removedGrace is how long an instance may still be used after its announcement was
// removed. It must be below 2 s, after which the address of an ended upstream may be
// reassigned to another service.
const removedGrace = 1500 * time.Millisecond

// usableAfterRemoval reports whether an instance may still get requests after its
// announcement was removed at removedAt. Announcements can disappear while the store is
// unavailable although the instance still serves. A removed instance may also have
// crashed, so it is a candidate only if no instance is live or ejected.
func usableAfterRemoval(removedAt, now time.Time) bool {
	return now.Sub(removedAt) < removedGrace
}

// canForget reports whether the table may delete an instance: it was removed (removedAt
// is not zero), removedGrace has passed, and none of this router's attempts, whose leases
// refer to the state of the instance, is in progress.
func canForget(removedAt time.Time, inFlight int, now time.Time) bool {
	return !removedAt.IsZero() && !usableAfterRemoval(removedAt, now) && inFlight <= 0
}
