// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// expectedOutage is how long tokens are kept for urgent requests while the
	// store is silent.
	expectedOutage = 10 * time.Second
	// minOutage is the shortest silence that counts as an outage.
	minOutage = 4 * time.Second
	// exposedAfterOutage is the part of a prepaid total that all routers may
	// hold together right after an outage. It stays so for exposedLow and grows
	// to sharePart until exposedGrown.
	exposedAfterOutage = 0.008
	exposureLowTime    = 4 * time.Second
	exposureGrownTime  = 9 * time.Second
)

// contact is what a router knows of its contact with the store. The zero value
// stands for a store that has not been called.
type contact struct {
	// lastAnswer is when the store last answered this router or a lender that is
	// in touch with it, and silentSince when a call first failed since.
	lastAnswer  time.Time
	silentSince time.Time
	// lastSync is when the store last answered this router itself.
	lastSync time.Time
	// cutSince is when a call first failed since the store answered this router
	// itself, or a relay that speaks with the store for it.
	cutSince time.Time
	// outageEnded is when the last outage ended, here or at a neighbour.
	outageEnded time.Time
}

// answeredDirectly notes that the store answered this router.
func (c *contact) answeredDirectly(now time.Time) {
	c.lastSync = now
	c.answeredThroughRelay(now)
}

// answeredThroughRelay notes that the store answered this router, or a relay that speaks with
// it for this router.
func (c *contact) answeredThroughRelay(now time.Time) {
	if c.cut(now) >= minOutage {
		c.outageEnded = now
	}
	c.cutSince = time.Time{}
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
	if c.cutSince.IsZero() {
		c.cutSince = now
	}
}

// cut returns for how long the store has not answered this router itself, nor a
// relay for it; zero if it does.
func (c *contact) cut(now time.Time) time.Duration {
	if c.cutSince.IsZero() {
		return 0
	}
	return now.Sub(c.cutSince)
}

// noteNeighbourSilence takes in for how long the store has not answered a neighbour. While
// it answers this router, an outage there holds as one here.
func (c *contact) noteNeighbourSilence(cut time.Duration, now time.Time) {
	if c.cutSince.IsZero() && cut >= minOutage {
		c.outageEnded = now
	}
}

// silence returns for how long the store has not answered, zero if it does.
func (c *contact) silence(now time.Time) time.Duration {
	if c.silentSince.IsZero() {
		return 0
	}
	return now.Sub(c.silentSince)
}

// outageLeft returns the part of an expected outage that is still to come, zero
// if there is none.
func (c *contact) outageLeft(now time.Time) float64 {
	if c.silentSince.IsZero() {
		return 0
	}
	return max(0, 1-c.silence(now).Seconds()/expectedOutage.Seconds())
}

// exposedPart returns the part of a prepaid total that all routers may hold
// together. What is held protects against the next outage and is lost if the
// routers die. Right after an outage the next one is far, so the holdings grow
// back slowly.
func (c *contact) exposedPart(now time.Time) float64 {
	if c.outageEnded.IsZero() {
		return 1
	}
	since := now.Sub(c.outageEnded)
	if since >= exposureGrownTime {
		return 1
	}
	grown := max(0, (since-exposureLowTime).Seconds()/(exposureGrownTime-exposureLowTime).Seconds())
	return exposedAfterOutage + (sharePart-exposedAfterOutage)*grown
}

// noteStoreAnswer notes that the store has answered.
func (l *Ledger) noteStoreAnswer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.answeredDirectly(now)
}

// isStoreSilent reports whether the store has not answered the last call.
func (l *Ledger) isStoreSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.contact.silentSince.IsZero()
}

// noteStoreFailure notes that the store has not answered.
func (l *Ledger) noteStoreFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.failed(now)
}

// noteRelayAnswer notes that a relay that is in touch with the store spoke for this
// router.
func (l *Ledger) noteRelayAnswer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.answeredThroughRelay(now)
}

// StoreSilence returns for how long the store has not answered this router itself, nor
// a relay for it; zero if it does.
func (l *Ledger) StoreSilence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact.cut(now)
}

// NoteNeighbourSilence takes in for how long the store has not answered a neighbour.
func (l *Ledger) NoteNeighbourSilence(cut time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.noteNeighbourSilence(cut, now)
}
