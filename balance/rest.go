// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// An instance that turns a request away may ask this router for rest: it wants nothing of it
// for some time. Until that is over it gets nothing. Then it gets one request at a time, and
// with each one that it takes twice as many, until it has room for all: if it still turns
// requests away, one caller of each router finds that out and not all that waited for it.

const (
	// maxRest bounds what is believed. An instance that means to be left alone for longer
	// is taken out by its owners; one that names more has made a mistake, which the first
	// request after it shows.
	maxRest = 10 * time.Minute
	// firstTrials is how many requests may be under way at an instance after its rest,
	// and trialGrowth times as many after each one that it took.
	firstTrials = 1
	trialGrowth = 2
	// defaultPlaces is the capacity of an instance whose announcement states none.
	defaultPlaces = 16
)

// rest is what an instance has asked this router for. The zero value has asked for nothing.
// The lock of the table guards it.
type rest struct {
	// askedAt is when it last asked, until when that ends; both are zero once it has
	// recovered.
	askedAt, until time.Time
	// trials bounds the requests sent since then that it has neither taken nor turned
	// away, and trying counts them.
	trials, trying int
}

// ask takes what an answer that arrived now asked for. Of several rests the latest end
// holds: nothing shortens one.
func (r *rest) ask(d time.Duration, now time.Time) {
	r.askedAt = now
	if until := now.Add(min(d, maxRest)); until.After(r.until) {
		r.until = until
	}
	r.trials = firstTrials
}

// isOver reports whether the instance has asked for nothing, or has recovered since.
func (r *rest) isOver() bool { return r.until.IsZero() }

// admits decides whether the instance may get a request now.
func (r *rest) admits(now time.Time) bool {
	return r.isOver() || (!now.Before(r.until) && r.trying < r.trials)
}

// left returns the time until the instance may get a request; zero if only an answer to one
// that is under way can tell.
func (r *rest) left(now time.Time) time.Duration { return max(0, r.until.Sub(now)) }

// took takes that the instance took a request that was sent at sent. One that was sent
// before it last asked for rest says nothing of the time since. places is how many requests
// it runs at once.
func (r *rest) took(sent time.Time, places int) {
	if r.isOver() || !sent.After(r.askedAt) {
		return
	}
	r.trials *= trialGrowth
	if r.trials > places {
		r.askedAt, r.until, r.trials = time.Time{}, time.Time{}, 0
	}
}

// refused takes that the instance turned a request away without asking for rest again.
func (r *rest) refused() { r.trials = min(r.trials, firstTrials) }

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
	l.state.rest.ask(asked, now)
	note := RestNote{Instance: l.Instance, Asked: asked, Left: l.state.rest.left(now)}
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
		l.state.rest.took(l.picked, l.places())
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
	l.state.rest.trying--
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
		l.state.rest.took(l.picked, l.places())
	case Refused:
		l.state.rest.refused()
	case Broken, Unclear, Moved:
	}
}
