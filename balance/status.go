// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"sort"
	"time"
)

// SkipCounts counts calls of Pick, including calls for waiting requests and calls that
// found no instance.
type SkipCounts struct {
	// Leaving counts the calls that excluded a draining or leaving instance. Deferred counts
	// the calls that found a deferred instance.
	Leaving, Deferred int64
}

// SkipCounts returns the counts since the table was created.
func (t *Table) SkipCounts() SkipCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.skipCounts
}

// countSkips updates the skip counts for a call of Pick with the given selection. The
// caller holds mu.
func (t *Table) countSkips(s *selection) {
	if s.leaving > 0 {
		t.skipCounts.Leaving++
	}
	if len(s.deferred) > 0 {
		t.skipCounts.Deferred++
	}
}

// Status is the state of an instance in the table, for logs and metrics.
type Status struct {
	Instance
	// Ejected reports that the instance is ejected or no longer announced.
	Ejected bool
	// Leaving reports that the instance is about to end, according to its announcement or
	// to a response.
	Leaving bool
	// BackingOff reports that the instance is in a backoff that it requested from this
	// router.
	BackingOff bool
}

// Statuses returns the instances of all services, sorted by ID.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.instances))
	for _, s := range t.instances {
		statuses = append(statuses, Status{
			Instance:   s.Instance,
			Ejected:    s.ejected(now) || !s.removedAt.IsZero(),
			Leaving:    s.isLeaving(),
			BackingOff: s.backoff.Remaining(now) > 0,
		})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}
