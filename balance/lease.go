// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Lease is an instance chosen for one attempt. Done must be called exactly once. The
// exported fields do not change; they describe the instance when it was chosen.
type Lease struct {
	Instance
	// PrefixOwner reports that the instance owns the query's prefix.
	PrefixOwner bool
	// Slow reports that the instance is slow for its service, Heavy that the prompt is
	// heavy (slow.go).
	Slow, Heavy bool
	// Ejected reports that the instance was ejected and no other could be chosen.
	Ejected bool
	// Load is the number of this router's other attempts in progress at the instance.
	Load int
	// Crossing says whether the instance is in another zone or region and why.
	Crossing Crossing

	table   *Table
	service *serviceState
	state   *instanceState
	// limited reports that the instance was rate-limited when Pick chose it.
	limited bool
	// isProbe reports that the attempt is a probe after a backoff (backoff.go) whose outcome
	// is still unknown.
	isProbe bool
	// use is how the request counts against a rejection limit.
	use rejectionUse
	// pendingTokens counts the uncached prompt tokens; zero from the first event on.
	pendingTokens granitehoist.Tokens
	// picked is when the instance was chosen. firstEvent and lastEvent are when the first
	// and the newest event of the stream arrived; zero before the first one.
	picked, firstEvent, lastEvent time.Time
	// longestEventGap is the longest time between two events.
	longestEventGap time.Duration
}

// Events records that count events of the stream, at least one, have arrived together.
// The first call marks the end of the prefill. Calls of Events, HasEvents and
// LongestEventGap must come from one goroutine.
func (l *Lease) Events(count int, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.lastEvent.IsZero() {
		l.firstEvent = now
		l.observePrefill(now)
		l.observeDelay(l.queueingDelay(now), now)
		l.finishPrefill()
	} else {
		l.observeEventGap(count, now)
	}
	l.lastEvent = now
	l.hearEvents(now)
}

// minPrefillTokens is the least number of uncached prompt tokens from which the prefill
// rate is estimated. With fewer tokens, request overhead dominates the time.
const minPrefillTokens granitehoist.Tokens = 2000

// observePrefill records the prefill rate of a prompt with at least minPrefillTokens. The
// caller holds the table's lock.
func (l *Lease) observePrefill(now time.Time) {
	elapsed := now.Sub(l.picked)
	if l.pendingTokens >= minPrefillTokens && elapsed > 0 {
		l.service.prefillRate.observe(float64(l.pendingTokens)/inMilliseconds(elapsed), prefillRateQuantile)
	}
}

// queueingDelay returns the time to the first event beyond the prefill and the way. The
// caller holds the table's lock.
func (l *Lease) queueingDelay(now time.Time) milliseconds {
	expected := float64(l.pendingTokens)/l.service.tokensPerMS() + float64(l.table.locality.delay(l.Zone, 1))
	return milliseconds(inMilliseconds(now.Sub(l.picked)) - expected)
}

// observeEventGap records the time between the previous event and events that arrived
// together at now. Unless the instance is cold, this time divided by the number of events
// is a sample of the instance's event gap. The caller holds the table's lock.
func (l *Lease) observeEventGap(events int, now time.Time) {
	gap := now.Sub(l.lastEvent)
	l.longestEventGap = max(l.longestEventGap, gap)
	if !l.state.isCold(now) {
		l.state.eventGap.observe(inMilliseconds(gap)/float64(events), eventGapQuantile)
	}
}

func inMilliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// finishPrefill removes the prompt from the instance's queued tokens. It is idempotent.
// The caller holds the table's lock.
func (l *Lease) finishPrefill() {
	l.state.queuedTokens -= l.pendingTokens
	l.pendingTokens = 0
}

// PickedAt returns when the instance was chosen.
func (l *Lease) PickedAt() time.Time { return l.picked }

// HasEvents reports whether an event of the stream has arrived. It must be called by the
// goroutine that calls Events.
func (l *Lease) HasEvents() bool { return !l.lastEvent.IsZero() }

// FirstEventAfter returns the time from the choice of the instance to the first event; zero
// if no event has arrived. It must be called by the goroutine that calls Events.
func (l *Lease) FirstEventAfter() time.Duration {
	if l.firstEvent.IsZero() {
		return 0
	}
	return l.firstEvent.Sub(l.picked)
}

// LongestEventGap returns the longest time between two events so far. It must be called by
// the goroutine that calls Events.
func (l *Lease) LongestEventGap() time.Duration { return l.longestEventGap }

// Done ends the attempt and records its result for later choices.
func (l *Lease) Done(r Result, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.finishPrefill()
	l.state.inFlight--
	l.endProbeWithResult(r)
	l.endUnconfirmed(now)
	if r == Refused {
		l.observeDelay(failureMS, now)
	}
	l.state.health = l.state.withResult(r, firstEjection, now)
	if l.service.waitingCount() > 0 {
		// The instance may have capacity for a waiting request now.
		l.table.wakeWaiters()
	}
}
