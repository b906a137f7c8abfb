// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// An instance that turns a request away may ask this router for rest: it wants nothing of it
// for some time (package pushback). It is deferred until that is over, whatever the request.

// defaultPlaces is the capacity of an instance whose announcement states none.
const defaultPlaces = 16

// places returns how many requests the instance runs at once.
func (i *Instance) places() int {
	if i.Capacity <= 0 {
		return defaultPlaces
	}
	return i.Capacity
}

// RestNote tells that an instance asked this router for rest.
type RestNote struct {
	Instance
	// Asked is for how long by its answer, and Left until its rest ends.
	Asked, Left time.Duration
}

// noteRest records that an answer of the instance asked for rest.
func (l *Lease) noteRest(asked time.Duration, now time.Time) {
	t := l.table
	t.mu.Lock()
	l.state.rest.Ask(asked, now)
	note := RestNote{Instance: l.Instance, Asked: asked, Left: l.state.rest.Left(now)}
	t.wakeWaiting()
	t.mu.Unlock()
	if t.settings.RestNoted != nil {
		t.settings.RestNoted(note)
	}
}

// noteTaken records that the instance took the request on, as the head of a success says
// long before a stream ends.
func (l *Lease) noteTaken() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.endTrial() {
		l.state.rest.Took(l.picked, l.places())
		l.table.wakeWaiting()
	}
}

// endTrial ends the lease's trial after a rest, and reports whether it was one that had not
// ended. The caller holds the table's lock.
func (l *Lease) endTrial() bool {
	if !l.trial {
		return false
	}
	l.trial = false
	l.state.rest.EndTry()
	return true
}

// endTrialWith ends the lease's trial, if it is one, by the result of the attempt. The
// caller holds the table's lock.
func (l *Lease) endTrialWith(r Result) {
	if !l.endTrial() {
		return
	}
	switch r {
	case Good, Failed:
		l.state.rest.Took(l.picked, l.places())
	case Refused:
		l.state.rest.Refused()
	case Broken, Unclear, Moved:
	}
}
