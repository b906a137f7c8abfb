// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"slices"
	"time"
)

const (
	// initialScopeBlockDuration is the duration of the first block of a scope. Each further
	// early round doubles it, up to maxScopeBlockDuration. After a block the requests of the
	// scope are tried again at one upstream, so that a scope refused by mistake recovers
	// within seconds.
	initialScopeBlockDuration = 5 * time.Second
	maxScopeBlockDuration     = 30 * time.Second
)

// blockDuration returns how long the request or scope of an entry with sufficient evidence
// is refused.
func (t *Table) blockDuration(e *entry) time.Duration {
	if e.kind != KindScope {
		return t.settings.BlockDuration
	}
	early := e.earlyRound()
	doublings := min(max(0, early-scopeEarlyRoundsToRefuse), 3)
	return min(maxScopeBlockDuration, initialScopeBlockDuration<<doublings)
}

// clearUnrelatedRounds clears the highest round of each entry if it began in a mass failure or
// in a rolling failure, which caused its crashes. First rounds stay, because a request that is
// not yet suspect may crash every upstream that runs it. The caller holds mu.
func (t *Table) clearUnrelatedRounds(now time.Time) {
	t.raised = slices.DeleteFunc(t.raised, func(e *entry) bool {
		round, age := e.round(), now.Sub(e.roundAt)
		if round < 2 || age > rollingFailureWindow {
			return true
		}
		if age <= massFailureWindow && t.crashes.inMassFailure(e, now) || t.crashes.inRollingFailure(e) {
			t.clearRound(e, round)
			return true
		}
		return false
	})
}

// explains reports whether the request of e may have caused the crash of an incarnation that
// became known at a time. In the hold of the first round it may have caused more crashes than
// the evidence has room for. Later, only runs of the first round crash further upstreams.
func (e *entry) explains(incarnation Incarnation, knownAt time.Time) bool {
	since := knownAt.Sub(e.suspectAt)
	return since >= 0 && (since <= SettleTime || since <= maxFirstRound && e.has(incarnation))
}

// ownsCrash reports whether the crash of an incarnation is explained by the evidence alone,
// cleared or not: that against a request or part without any success. Common requests and
// parts, which succeed elsewhere, run on every upstream that a failure of power meets.
func (e *entry) ownsCrash(incarnation Incarnation) bool {
	return e.kind != KindScope && !e.proven && e.has(incarnation)
}

// clearRound clears a round of an entry, the highest one. The caller holds mu.
func (t *Table) clearRound(e *entry, round int) {
	for _, c := range e.crashes {
		if c.Round == round {
			t.crashes.setAttributed(c.Incarnation, false)
		}
	}
	e.evidence.clearRound(round)
	if !e.sufficient(e.subject) {
		e.refusedUntil = time.Time{}
	}
	t.updateSuspectCount(round, e.round())
	t.markObserved(e)
}
