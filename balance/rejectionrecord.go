// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// RejectionRecord reports the rejections of an instance from one router to another. A
// receiver ignores unknown fields and takes missing ones as zero.
type RejectionRecord struct {
	Upstream    granitehoist.Upstream `json:"upstream"`
	StartedAtMS int64                 `json:"born,omitempty"`
	// Limit is the number of requests a second that the instance can reject.
	Limit int `json:"limit"`
	// RejectingMS is the time in milliseconds for which the instance still counts as
	// rejecting requests; zero if it does not.
	RejectingMS float64 `json:"rejecting_ms,omitempty"`
}

// rejectionRecord returns the record of an instance at now.
func (s *instanceState) rejectionRecord(now time.Time) RejectionRecord {
	return RejectionRecord{
		Upstream:    s.ID,
		StartedAtMS: s.StartedAtMS,
		Limit:       s.rejections.limit,
		RejectingMS: inMilliseconds(s.rejections.rejectingFor(now)),
	}
}

// mergeRejections applies the records of another router. Their limits count until the
// instance responds to this router. Records of instances that are not in the table are
// dropped: the limit of their service applies to them.
func (t *Table) mergeRejections(records []RejectionRecord, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range records {
		s, found := t.instances[record.Upstream]
		if !found || s.StartedAtMS != record.StartedAtMS {
			continue
		}
		if !s.rejections.answered {
			s.rejections.limit = max(0, record.Limit)
			t.hasRejectionLimits = true
		}
		s.rejections.learn(record.RejectingMS, now)
	}
}

// learn records that the instance counts as rejecting requests for some milliseconds, at
// most rejectionMemory.
func (r *rejections) learn(rejectingMS float64, now time.Time) {
	left := min(max(0, rejectingMS), inMilliseconds(rejectionMemory))
	if at := now.Add(time.Duration(left*float64(time.Millisecond)) - rejectionMemory); left > 0 && at.After(r.lastAt) {
		r.lastAt = at
	}
}
