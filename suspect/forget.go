// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// roomShare is the divisor for the part of a full table that is evicted at once, so
	// that a flood of new entries does not sort it for each: an entry takes 2.2 µs, and
	// took 314 µs when one was evicted at a time (BenchmarkNoteCrashInFullTable).
	roomShare = 16
	// clearedMemory is how long cleared evidence is kept, so that a late message does not
	// bring it back: above the time in which routers that were cut off for a while have
	// caught up.
	clearedMemory = 30 * time.Second
)

// makeRoom evicts what is no longer needed, and if that leaves no room a roomShare-th of
// the entries: those of the lowest rounds, and of these the ones that have not changed for
// longest. A flood of requests with few crashes therefore never evicts one with more. The
// caller holds mu.
func (t *Table) makeRoom(now time.Time) {
	t.sweep(now)
	if len(t.entries) < t.settings.Max {
		return
	}
	all := t.sorted(func(*entry) bool { return true }, (*entry).compare)
	for _, e := range all[:max(1, len(all)/roomShare)] {
		t.forget(e)
	}
}

// forgettable decides whether an entry is no longer needed.
func (e *entry) forgettable(memory time.Duration, now time.Time) bool {
	age := now.Sub(e.changedAt)
	return age > memory || (e.round() == 0 && age > clearedMemory)
}

// compare orders entries by round, then by the time of their last change.
func (e *entry) compare(other *entry) int {
	return cmp.Or(cmp.Compare(e.round(), other.round()), e.changedAt.Compare(other.changedAt))
}

// Sweep forgets what is no longer needed now.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
}

// sweep is Sweep for a caller that holds mu.
func (t *Table) sweep(now time.Time) {
	t.crashed.sweep(now)
	for _, e := range t.entries {
		if e.forgettable(t.settings.Memory, now) {
			t.forget(e)
		}
	}
}

// sorted returns the entries for which keep is true, in the order of compare. The
// caller holds mu.
func (t *Table) sorted(keep func(*entry) bool, compare func(a, b *entry) int) []*entry {
	var kept []*entry
	for _, e := range t.entries {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	slices.SortFunc(kept, compare)
	return kept
}
