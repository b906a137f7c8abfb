// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// An instance that is about to end reports leaving in its responses as well as in its
// announcement, so that routers learn of it while the store is unavailable. Every response
// of the instance counts, including refusals, stream headers and truncated responses.
//
// A leaving incarnation remains leaving. A later response that does not report leaving
// may have been sent earlier, and an announcement that does not report it may be stale.
// The table therefore remembers leaving incarnations separately from announcements, also
// of instances that are not announced.

const (
	// leavingRetention is how long a leaving incarnation is remembered after the last
	// report or the removal of its announcement. A partitioned router may still pass on a
	// stale announcement.
	leavingRetention = time.Hour
	// maxLeavingIncarnations is the maximum number of remembered incarnations. They take
	// about 0.5 MB.
	maxLeavingIncarnations = 4096
)

// leavingSet remembers the incarnations that reported that they are leaving. The zero
// value is empty. It is guarded by the lock of its table.
type leavingSet struct {
	reportedAt map[Incarnation]time.Time
}

// add remembers an incarnation, and evicts the oldest entry if the set is full.
func (l *leavingSet) add(incarnation Incarnation, now time.Time) {
	if l.reportedAt == nil {
		l.reportedAt = map[Incarnation]time.Time{}
	}
	l.expire(now)
	if _, known := l.reportedAt[incarnation]; !known && len(l.reportedAt) >= maxLeavingIncarnations {
		delete(l.reportedAt, l.oldest())
	}
	l.reportedAt[incarnation] = now
}

// contains reports whether an incarnation reported that it is leaving.
func (l *leavingSet) contains(incarnation Incarnation) bool {
	_, known := l.reportedAt[incarnation]
	return known
}

// expire deletes the entries older than leavingRetention.
func (l *leavingSet) expire(now time.Time) {
	for incarnation, at := range l.reportedAt {
		if now.Sub(at) > leavingRetention {
			delete(l.reportedAt, incarnation)
		}
	}
}

// oldest returns the incarnation with the oldest report.
func (l *leavingSet) oldest() Incarnation {
	var first Incarnation
	var firstAt time.Time
	for incarnation, at := range l.reportedAt {
		if firstAt.IsZero() || at.Before(firstAt) {
			first, firstAt = incarnation, at
		}
	}
	return first
}

// LeavingEvent reports that this router learned that an instance is leaving.
type LeavingEvent struct {
	Instance
	// Observed reports that the information came from a response to this router, not from
	// another router.
	Observed bool
}

// recordLeaving records that a response said that the instance is leaving.
func (l *Lease) recordLeaving(now time.Time) {
	t := l.table
	t.mu.Lock()
	changed := t.recordLeaving(l.state, now)
	if changed {
		t.updateVersion++
		l.state.leavingVersion = t.updateVersion
	}
	t.mu.Unlock()
	if changed {
		t.notifyLeaving(LeavingEvent{Instance: l.Instance, Observed: true})
	}
}

// mergeLeaving applies the records of another router. It remembers incarnations that are
// not in the table, since they may be announced later.
func (t *Table) mergeLeaving(records []LeavingRecord, now time.Time) {
	var learned []LeavingEvent
	t.mu.Lock()
	for _, r := range records {
		s, found := t.instances[r.Upstream]
		switch {
		case !found || s.StartedAtMS != r.StartedAtMS:
			t.leavingIncarnations.add(r.incarnation(), now)
		case t.recordLeaving(s, now):
			learned = append(learned, LeavingEvent{Instance: s.Instance})
		}
	}
	t.mu.Unlock()
	for _, event := range learned {
		t.notifyLeaving(event)
	}
}

// recordLeaving marks an instance as leaving, and reports whether it was not marked
// before. The caller holds mu.
func (t *Table) recordLeaving(s *instanceState, now time.Time) bool {
	if s.leaving {
		return false
	}
	s.leaving = true
	t.leavingIncarnations.add(s.incarnation(), now)
	return true
}

// notifyLeaving calls the OnLeaving callback. The caller holds no lock.
func (t *Table) notifyLeaving(event LeavingEvent) {
	if t.settings.OnLeaving != nil {
		t.settings.OnLeaving(event)
	}
}
