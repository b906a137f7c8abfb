// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Updates carries, from one router to another, information that instances gave in their
// responses. A receiver ignores unknown fields; a missing field carries no information.
type Updates struct {
	// Limits holds the rate limits that were set or lifted.
	Limits []LimitRecord `json:"limits,omitempty"`
	// Leaving holds the incarnations that are about to end.
	Leaving []LeavingRecord `json:"leaving,omitempty"`
	// Rejections holds the rejection limits of instances, and whether they reject requests.
	Rejections []RejectionRecord `json:"rejections,omitempty"`
}

// HasAny reports whether there is any information.
func (u Updates) HasAny() bool { return len(u.Limits)+len(u.Leaving)+len(u.Rejections) > 0 }

// LeavingRecord reports that one incarnation of an instance is about to end.
type LeavingRecord struct {
	Upstream granitehoist.Upstream `json:"upstream"`
	// The JSON name of StartedAtMS stays for compatibility.
	StartedAtMS int64 `json:"born,omitempty"`
}

// incarnation returns the incarnation that the record describes.
func (r LeavingRecord) incarnation() Incarnation {
	return Incarnation{ID: r.Upstream, StartedAtMS: r.StartedAtMS}
}

// UpdatesSince returns what this router has learned from responses since a version of the
// table, and the current version.
func (t *Table) UpdatesSince(version uint64, now time.Time) (Updates, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates Updates
	if t.updateVersion <= version {
		return updates, version
	}
	for _, s := range t.instances {
		if s.limit != nil && s.limit.known.version > version {
			updates.Limits = append(updates.Limits, s.limitRecord(now))
		}
		if s.leavingVersion > version {
			updates.Leaving = append(updates.Leaving, s.leavingRecord())
		}
		if s.rejections.version > version {
			updates.Rejections = append(updates.Rejections, s.rejectionRecord(now))
		}
	}
	return updates, t.updateVersion
}

// Snapshot returns the current rate limits and the leaving instances, whether this router
// learned of them from responses or from other routers, and the rejection limits that it
// learned from responses.
func (t *Table) Snapshot(now time.Time) Updates {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates Updates
	for _, s := range t.instances {
		if s.isLimited() {
			updates.Limits = append(updates.Limits, s.limitRecord(now))
		}
		if s.leaving {
			updates.Leaving = append(updates.Leaving, s.leavingRecord())
		}
		if s.rejections.version > 0 {
			updates.Rejections = append(updates.Rejections, s.rejectionRecord(now))
		}
	}
	return updates
}

// MergeUpdates applies the information of another router.
func (t *Table) MergeUpdates(updates Updates, now time.Time) {
	t.MergeLimits(updates.Limits, now)
	t.mergeLeaving(updates.Leaving, now)
	t.mergeRejections(updates.Rejections, now)
}

// leavingRecord returns the record of a leaving instance.
func (s *instanceState) leavingRecord() LeavingRecord {
	return LeavingRecord{Upstream: s.ID, StartedAtMS: s.StartedAtMS}
}
