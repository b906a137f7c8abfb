// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import "time"

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
	if !e.isScope {
		return t.settings.BlockDuration
	}
	early, _ := e.earlyRound()
	doublings := min(max(0, early-scopeEarlyRoundsToRefuse), 3)
	return min(maxScopeBlockDuration, initialScopeBlockDuration<<doublings)
}

// clearMassFailureRounds does nothing unless a mass failure is in progress. Then it clears
// the highest round of each entry whose highest round was reached within massFailureWindow:
// that round began with the mass failure, before the table recognised the mass failure. First
// rounds stay, because a request that is not yet suspect may crash every upstream that runs
// it. The caller holds mu.
func (t *Table) clearMassFailureRounds(now time.Time) {
	if !t.crashes.inMassFailure(now) {
		return
	}
	for _, e := range t.entries {
		before := e.round()
		if before < 2 || now.Sub(e.roundAt) > massFailureWindow {
			continue
		}
		e.clearRound(before)
		if !e.sufficient(e.isScope) {
			e.refusedUntil = time.Time{}
		}
		t.updateSuspectCount(before, e.round())
		t.markObserved(e)
	}
}
