// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// minOutage is the shortest unresponsive period of the store that counts as an
	// outage.
	minOutage = 4 * time.Second
	// connectedTime is how long after a response of the store a router counts as
	// connected: maxRecordAge between two reads, and a second for the read.
	connectedTime = maxRecordAge + time.Second
)

// storeHealth is what a router knows of the store's availability. The zero value means a
// store that has not been called. The store counts as unresponsive from the first failed
// call until the next response. At a borrower, a response of a holder that is not
// connected to the store counts as a failed call.
type storeHealth struct {
	// lastResponse is when the store last responded to this router or to a lender that
	// reported to this router. unresponsiveSince is when a call first failed since then,
	// zero if none has.
	lastResponse      time.Time
	unresponsiveSince time.Time
	// lastDirectResponse is when the store last responded to this router itself.
	lastDirectResponse time.Time
	// unreachableSince is when a call first failed since the store last responded to this
	// router itself or to a holder that it borrows from; zero if none has.
	unreachableSince time.Time
	// outageEnded is when the last outage ended at this router or at a neighbour, zero if
	// there was none.
	outageEnded time.Time
}

// noteDirectResponse records that the store responded to this router.
func (h *storeHealth) noteDirectResponse(now time.Time) {
	h.lastDirectResponse = now
	h.noteHolderResponse(now)
}

// noteHolderResponse records that the store responded to this router or to a holder that
// it borrows from.
func (h *storeHealth) noteHolderResponse(now time.Time) {
	if h.unreachableFor(now) >= minOutage {
		h.outageEnded = now
	}
	h.unreachableSince = time.Time{}
	h.noteResponse(now)
}

// noteResponse records that the store responded to this router or to a lender.
func (h *storeHealth) noteResponse(now time.Time) {
	h.lastResponse = now
	h.unresponsiveSince = time.Time{}
}

// noteFailure records that a call to the store failed.
func (h *storeHealth) noteFailure(now time.Time) {
	if h.unresponsiveSince.IsZero() {
		h.unresponsiveSince = now
	}
	if h.unreachableSince.IsZero() {
		h.unreachableSince = now
	}
}

// noteNeighbourUnreachableFor records that the store has not responded to a neighbour for
// d. If d is at least minOutage and the store responds to this router, an outage counts as
// ended now.
func (h *storeHealth) noteNeighbourUnreachableFor(d time.Duration, now time.Time) {
	if h.unreachableSince.IsZero() && d >= minOutage {
		h.outageEnded = now
	}
}

// isUnresponsive reports whether a call has failed since the last response.
func (h storeHealth) isUnresponsive() bool { return !h.unresponsiveSince.IsZero() }

// unresponsiveFor returns for how long the store has responded neither to this router
// nor to a lender that reported to it, zero if it responds. Compare unreachableFor.
func (h storeHealth) unresponsiveFor(now time.Time) time.Duration {
	if !h.isUnresponsive() {
		return 0
	}
	return now.Sub(h.unresponsiveSince)
}

// unreachableFor returns for how long the store has responded neither to this router itself
// nor to a holder that it borrows from; zero if it does.
func (h storeHealth) unreachableFor(now time.Time) time.Duration {
	if h.unreachableSince.IsZero() {
		return 0
	}
	return now.Sub(h.unreachableSince)
}

// isConnected reports whether this router's view of the record is recent enough to be
// reported to borrowers.
func (h storeHealth) isConnected(now time.Time) bool {
	return !h.isUnresponsive() && now.Sub(h.lastDirectResponse) <= connectedTime
}
