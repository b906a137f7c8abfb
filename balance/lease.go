// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Lease is an instance chosen for one attempt. Done must be called on it once.
// Its exported fields do not change and show the instance as it was chosen.
type Lease struct {
	Instance
	// Owner says that the instance owns the query's prefix.
	Owner bool
	// Slow says that the instance is a slow one of its service, Heavy that the prompt
	// is heavy for the streams beside it.
	Slow, Heavy bool
	// Load is the number of this router's requests that were in progress there.
	Load int

	table   *Table
	service *serviceState
	state   *instanceState
	// limited says that the instance named a limit when it was chosen.
	limited bool
	// trial says that the request is one after a rest of the instance, of which it is not
	// known yet whether the instance took it.
	trial bool
	// unreadTokens is the part of the prompt that the instance has yet to read.
	unreadTokens granitehoist.Tokens
	// picked is when the instance was chosen, lastEvent when the newest event of its
	// stream arrived, zero before the first.
	picked, lastEvent time.Time
	// longestPause is the longest time between two events.
	longestPause time.Duration
}

// Events records that a number of events of the stream, at least one, have arrived
// together. The first ones say that the instance has read the prompt. It is called by
// one goroutine, as LongestPause is.
func (l *Lease) Events(count int, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.lastEvent.IsZero() {
		l.observeReading(now)
		l.readPrompt()
	} else {
		l.observePause(count, now)
	}
	l.lastEvent = now
}

// minObservedPrompt is the shortest prompt that shows how fast an instance reads: for
// shorter ones the start of the request is a large part of the time.
const minObservedPrompt granitehoist.Tokens = 2000

// observeReading records how long the prompt took to read. The caller holds the
// table's lock.
func (l *Lease) observeReading(now time.Time) {
	took := now.Sub(l.picked)
	if l.unreadTokens >= minObservedPrompt && took > 0 {
		l.service.readRate.observe(float64(l.unreadTokens)/inMilliseconds(took), readingPart)
	}
}

// observePause records the pause before events that arrived together now. The caller
// holds the table's lock.
func (l *Lease) observePause(events int, now time.Time) {
	pause := now.Sub(l.lastEvent)
	l.longestPause = max(l.longestPause, pause)
	if !l.state.isCold(now) {
		l.state.eventGap.observe(inMilliseconds(pause)/float64(events), gapPart)
	}
}

func inMilliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// readPrompt takes the prompt off what the instance has yet to read. Calls after the
// first change nothing. The caller holds the table's lock.
func (l *Lease) readPrompt() {
	l.state.unreadTokens -= l.unreadTokens
	l.unreadTokens = 0
}

// PickedAt returns when the instance was chosen.
func (l *Lease) PickedAt() time.Time { return l.picked }

// HasEvents reports whether an event of the stream has arrived. It is called by the
// goroutine that calls Events.
func (l *Lease) HasEvents() bool { return !l.lastEvent.IsZero() }

// LongestPause returns the longest pause between two events so far.
func (l *Lease) LongestPause() time.Duration { return l.longestPause }

// Done ends the attempt and records its result for later choices.
func (l *Lease) Done(r Result, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.readPrompt()
	l.state.inFlight--
	l.endTrialWith(r)
	l.state.health = l.state.withResult(r, firstEjection, now)
	if l.service.waitingCount() > 0 {
		// The instance may have room now.
		l.table.wakeWaiting()
	}
}
