// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// LimitRecord reports the rate limit of an instance from one router to another. A
// receiver ignores unknown fields and takes missing ones as zero.
type LimitRecord struct {
	Upstream granitehoist.Upstream `json:"upstream"`
	// The JSON name of StartedAtMS stays for compatibility.
	StartedAtMS int64 `json:"born,omitempty"`
	// Limited reports whether the instance has a rate limit. Rate is the limit in requests
	// a second.
	Limited bool `json:"limited"`
	Rate    Rate `json:"rate,omitempty"`
	// AgeMS is the time since knownLimit.asOf in milliseconds. It is not a time of day,
	// because the clocks of the two routers may differ.
	AgeMS float64 `json:"age_ms"`
}

// Incarnation returns the incarnation that the record describes.
func (r LimitRecord) Incarnation() Incarnation {
	return Incarnation{ID: r.Upstream, StartedAtMS: r.StartedAtMS}
}

// maxLimitAgeMS is the maximum age of a record, one day. Higher ages are reduced to it.
const maxLimitAgeMS = 24 * 60 * 60 * 1000

// knownLimit converts a record received at now. A negative rate counts as zero, and the
// age is clamped to its valid range.
func (r LimitRecord) knownLimit(now time.Time) knownLimit {
	age := time.Duration(min(max(0, r.AgeMS), maxLimitAgeMS) * float64(time.Millisecond))
	return knownLimit{limited: r.Limited, rate: max(0, r.Rate), asOf: now.Add(-age)}
}

// maxPendingLimits is the maximum number of records kept for instances not announced yet.
const maxPendingLimits = 128

// limitRecord returns the known rate limit of an instance as a record. The caller holds
// the table's lock.
func (s *instanceState) limitRecord(now time.Time) LimitRecord {
	record := LimitRecord{Upstream: s.ID, StartedAtMS: s.StartedAtMS}
	if s.limit != nil {
		record.Limited, record.Rate = s.limit.known.limited, s.limit.known.rate
		record.AgeMS = inMilliseconds(now.Sub(s.limit.known.asOf))
	}
	return record
}

// Limits returns the rate limits currently known.
func (t *Table) Limits(now time.Time) []LimitRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []LimitRecord
	for _, s := range t.instances {
		if s.isLimited() {
			records = append(records, s.limitRecord(now))
		}
	}
	return records
}

// Limit returns the known rate limit of one incarnation of an instance. It returns false
// if that incarnation is unknown or never had a limit.
func (t *Table) Limit(incarnation Incarnation, now time.Time) (LimitRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[incarnation.ID]
	if !found || s.StartedAtMS != incarnation.StartedAtMS || s.limit == nil {
		return LimitRecord{}, false
	}
	return s.limitRecord(now), true
}

// MergeLimits applies the records of another router. A record of an instance that is not
// in the table is kept until the instance is announced. A record of an incarnation other
// than the one in the table is ignored.
func (t *Table) MergeLimits(records []LimitRecord, now time.Time) {
	var changes []LimitChange
	t.mu.Lock()
	for _, r := range records {
		s, found := t.instances[r.Upstream]
		switch {
		case !found:
			t.keepPendingLimit(r, now)
		case found && s.StartedAtMS == r.StartedAtMS:
			changes = append(changes, t.mergeLimit(s, r.knownLimit(now))...)
		}
	}
	t.mu.Unlock()
	t.notifyLimitChanges(changes)
}

// keepPendingLimit keeps a record of an instance that is not announced yet. At
// maxPendingLimits it first drops all records, since most of them then belong to instances
// that will not be announced. The caller holds mu.
func (t *Table) keepPendingLimit(r LimitRecord, now time.Time) {
	if len(t.pendingLimits) >= maxPendingLimits {
		clear(t.pendingLimits)
	}
	t.pendingLimits[r.Incarnation()] = r.knownLimit(now)
}

// mergeLimit applies another router's knowledge of the limit of an instance. The caller
// holds mu.
func (t *Table) mergeLimit(s *instanceState, other knownLimit) []LimitChange {
	before := s.knownLimit()
	return t.setLimit(s, before, before.merged(other), false)
}

// applyPendingLimit applies the record kept for a newly announced instance, and drops all
// records of its ID. The caller holds mu.
func (t *Table) applyPendingLimit(s *instanceState) {
	if len(t.pendingLimits) == 0 {
		return
	}
	if known, found := t.pendingLimits[Incarnation{ID: s.ID, StartedAtMS: s.StartedAtMS}]; found {
		s.limit = &limitState{known: known}
	}
	for incarnation := range t.pendingLimits {
		if incarnation.ID == s.ID {
			delete(t.pendingLimits, incarnation)
		}
	}
}

// knownLimit returns the known rate limit of an instance.
func (s *instanceState) knownLimit() knownLimit {
	if s.limit == nil {
		return knownLimit{}
	}
	return s.limit.known
}

// setLimit replaces the known rate limit of an instance, and returns the change to report,
// if any. observed reports that the information came from a response to this router. If
// the limit was set or lifted, the permits are dropped. The caller holds mu.
func (t *Table) setLimit(s *instanceState, before, after knownLimit, observed bool) []LimitChange {
	if before == after {
		return nil
	}
	if s.limit == nil {
		s.limit = &limitState{}
	}
	toggled := after.limited != before.limited
	if toggled && observed {
		t.updateVersion++
		after.version = t.updateVersion
	}
	s.limit.known = after
	if toggled {
		s.limit.permits = nil
		t.wakeWaiters()
	}
	if !toggled && after.rate == before.rate {
		return nil
	}
	return []LimitChange{{Instance: s.Instance, Limited: after.limited, Rate: after.rate, Observed: observed}}
}

// mayChangeLimit reports whether a response can change the known limit. A response
// without a rate cannot if no limit was known when the instance was chosen: any limit
// learned since then is newer than the request.
func (l *Lease) mayChangeLimit(feedback RateFeedback) bool { return feedback.HasRate || l.limited }

// recordRate applies the rate information in a response of the instance.
func (l *Lease) recordRate(feedback RateFeedback, now time.Time) {
	t := l.table
	t.mu.Lock()
	before := l.state.knownLimit()
	changes := t.setLimit(l.state, before, before.withResponse(feedback, l.picked, now), true)
	t.mu.Unlock()
	t.notifyLimitChanges(changes)
}

// notifyLimitChanges calls the OnLimitChange callback. The caller holds no lock.
func (t *Table) notifyLimitChanges(changes []LimitChange) {
	if t.settings.OnLimitChange == nil {
		return
	}
	for _, change := range changes {
		t.settings.OnLimitChange(change)
	}
}
