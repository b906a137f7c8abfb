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
	Load  int
	table *Table
	state *instanceState
	// unreadTokens is the part of the prompt that the instance has yet to read.
	unreadTokens granitehoist.Tokens
	service      *serviceState
	// picked is when that was; lastEvent is when the newest event arrived, zero
	// before the first.
	picked, lastEvent time.Time
	longestPause      time.Duration
}

// Events records that a number of events of a stream have arrived together. The
// first ones say that the prompt has been read.
func (l *Lease) Events(count int, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.lastEvent.IsZero() {
		l.observeReading(now)
	} else {
		l.longestPause = max(l.longestPause, now.Sub(l.lastEvent))
		gap := now.Sub(l.lastEvent).Seconds() * 1000
		if !l.state.Cold {
			l.state.eventGap.observe(gap/float64(count), gapPart)
		}
	}
	l.lastEvent = now
	l.readPrompt()
}

// observeReading records how long the prompt took to read. The caller holds the
// table's lock.
func (l *Lease) observeReading(now time.Time) {
	took := now.Sub(l.picked).Seconds() * 1000
	if l.unreadTokens >= minObservedPrompt && took > 0 {
		l.service.readRate.observe(float64(l.unreadTokens)/took, readingPart)
	}
}

// minObservedPrompt is the shortest prompt that shows how fast an instance reads:
// for shorter ones the start of the request is a large part of the time. Chosen, not
// measured.
const minObservedPrompt granitehoist.Tokens = 2000

// readPrompt takes the prompt off what the instance has yet to read. Calls after the
// first change nothing. The caller holds the table's lock.
func (l *Lease) readPrompt() {
	l.state.unreadTokens -= l.unreadTokens
	l.unreadTokens = 0
}

// LongestPause returns the longest pause between two events so far.
func (l *Lease) LongestPause() time.Duration { return l.longestPause }

// Done ends the attempt and records its result for later choices.
func (l *Lease) Done(r Result, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.readPrompt()
	l.state.inFlight--
	l.state.health = l.state.withResult(r, firstEjection, now)
}
