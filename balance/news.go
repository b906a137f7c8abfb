// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// News is what one router tells another of what instances said in their answers. A reader
// ignores fields that it does not know; one that is missing says nothing.
type News struct {
	// Limits are those that began or ended.
	Limits []LimitRecord `json:"limits,omitempty"`
	// Leaving holds the lives that are about to end.
	Leaving []LeavingRecord `json:"leaving,omitempty"`
}

// Any reports whether there is something to tell.
func (n News) Any() bool { return len(n.Limits)+len(n.Leaving) > 0 }

// LeavingRecord tells that one life of an instance is about to end.
type LeavingRecord struct {
	Upstream granitehoist.Upstream `json:"upstream"`
	Born     int64                 `json:"born,omitempty"`
}

// life returns the life of which the record tells.
func (r LeavingRecord) life() Life { return Life{ID: r.Upstream, Born: r.Born} }

// NewsAfter returns what answers to this router itself have said after a version of the
// table, and the present version.
func (t *Table) NewsAfter(version uint64, now time.Time) (News, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news News
	if t.newsVersion <= version {
		return news, version
	}
	for _, s := range t.instances {
		if s.limit != nil && s.limit.known.version > version {
			news.Limits = append(news.Limits, s.limitRecord(now))
		}
		if s.leavingVersion > version {
			news.Leaving = append(news.Leaving, s.leavingRecord())
		}
	}
	return news, t.newsVersion
}

// AllNews returns what this router believes of all its instances, whoever told it.
func (t *Table) AllNews(now time.Time) News {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news News
	for _, s := range t.instances {
		if s.isLimited() {
			news.Limits = append(news.Limits, s.limitRecord(now))
		}
		if s.leaving {
			news.Leaving = append(news.Leaving, s.leavingRecord())
		}
	}
	return news
}

// MergeNews takes what another router told.
func (t *Table) MergeNews(news News, now time.Time) {
	t.MergeLimits(news.Limits, now)
	t.mergeLeaving(news.Leaving, now)
}

// leavingRecord returns the record of an instance that leaves.
func (s *instanceState) leavingRecord() LeavingRecord {
	return LeavingRecord{Upstream: s.ID, Born: s.Born}
}
