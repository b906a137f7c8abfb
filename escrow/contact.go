// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// minOutage is the shortest silence of the store that counts as an outage.
	minOutage = 4 * time.Second
	// inTouchTime is how long after an answer of the store a router says that it is in
	// touch: a healthy router reads the record every maxRecordAge, and has a second more
	// for the read.
	inTouchTime = maxRecordAge + time.Second
)

// contact is what a router knows of its contact with the store. The zero value
// means a store that has not been called. The store counts as silent from
// the first failed call until the next answer; there is no threshold, since a
// call fails only after its timeout.
type contact struct {
	// lastAnswer is when the store last answered this router or a lender that is
	// in touch with it, and silentSince when a call first failed since.
	lastAnswer  time.Time
	silentSince time.Time
	// lastDirectAnswer is when the store last answered this router itself.
	lastDirectAnswer time.Time
	// cutOffSince is when a call first failed since the store answered this router
	// itself, or a holder that it asks.
	cutOffSince time.Time
	// outageEnded is when the last outage ended, here or at a neighbour.
	outageEnded time.Time
}

// answeredDirectly notes that the store answered this router.
func (c *contact) answeredDirectly(now time.Time) {
	c.lastDirectAnswer = now
	c.answeredThroughLender(now)
}

// answeredThroughLender notes that the store answered this router, or a holder that
// it asks.
func (c *contact) answeredThroughLender(now time.Time) {
	if c.cutOffTime(now) >= minOutage {
		c.outageEnded = now
	}
	c.cutOffSince = time.Time{}
	c.answeredAnyone(now)
}

// answeredAnyone notes that the store answered this router or a lender.
func (c *contact) answeredAnyone(now time.Time) {
	c.lastAnswer = now
	c.silentSince = time.Time{}
}

// failed notes that a call to the store failed.
func (c *contact) failed(now time.Time) {
	if c.silentSince.IsZero() {
		c.silentSince = now
	}
	if c.cutOffSince.IsZero() {
		c.cutOffSince = now
	}
}

// noteNeighbourCutOff records for how long the store has not answered a neighbour.
// While it answers this router, an outage there counts as one here.
func (c *contact) noteNeighbourCutOff(cutOff time.Duration, now time.Time) {
	if c.cutOffSince.IsZero() && cutOff >= minOutage {
		c.outageEnded = now
	}
}

// isSilent reports whether a call has failed since the last answer.
func (c contact) isSilent() bool { return !c.silentSince.IsZero() }

// silence returns for how long the store has answered neither this router nor a
// lender that reported to it, zero if it answers. Compare cutOffTime.
func (c contact) silence(now time.Time) time.Duration {
	if !c.isSilent() {
		return 0
	}
	return now.Sub(c.silentSince)
}

// cutOffTime returns for how long the store has not answered this router itself, nor a
// holder that it asks; zero if it does.
func (c contact) cutOffTime(now time.Time) time.Duration {
	if c.cutOffSince.IsZero() {
		return 0
	}
	return now.Sub(c.cutOffSince)
}

// isInTouch reports whether what this router knows of the record is new enough to
// be reported to borrowers.
func (c contact) isInTouch(now time.Time) bool {
	return !c.isSilent() && now.Sub(c.lastDirectAnswer) <= inTouchTime
}
