// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// LimitRecord is what one router tells another of the limit of an instance. A reader
// ignores fields that it does not know; one that is missing has its zero value.
type LimitRecord struct {
	Upstream granitehoist.Upstream `json:"upstream"`
	Born     int64                 `json:"born,omitempty"`
	// Limited says that the instance names a limit, of Rate requests a second.
	Limited bool `json:"limited"`
	Rate    Rate `json:"rate,omitempty"`
	// AgeMS is how long before the message this held, in milliseconds: the times of day
	// of two machines may differ.
	AgeMS float64 `json:"age_ms"`
}

// Life returns the life of the instance of which the record tells.
func (r LimitRecord) Life() Life { return Life{ID: r.Upstream, Born: r.Born} }

// maxLimitAgeMS is the greatest age of a record that is told apart, a day.
const maxLimitAgeMS = 24 * 60 * 60 * 1000

// known returns the record as it arrived now. A rate that can't be one counts as zero, an
// age as the nearest that can be.
func (r LimitRecord) known(now time.Time) knownLimit {
	age := time.Duration(min(max(0, r.AgeMS), maxLimitAgeMS) * float64(time.Millisecond))
	return knownLimit{named: r.Limited, rate: max(0, r.Rate), asOf: now.Add(-age)}
}

// maxEarlyLimits bounds the records of instances that this router does not know yet: above
// a third of the 140 instances of the users' largest site.
const maxEarlyLimits = 128

// limitRecord returns what is believed of the limit of an instance. The caller holds the
// table's lock.
func (s *instanceState) limitRecord(now time.Time) LimitRecord {
	record := LimitRecord{Upstream: s.ID, Born: s.Born}
	if s.limit != nil {
		record.Limited, record.Rate = s.limit.known.named, s.limit.known.rate
		record.AgeMS = inMilliseconds(now.Sub(s.limit.known.asOf))
	}
	return record
}

// Limits returns the limits that are believed to hold.
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

// Limit returns what is believed of the limit of one life of an instance, and false if this
// router has never heard of one or does not know that life.
func (t *Table) Limit(life Life, now time.Time) (LimitRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[life.ID]
	if !found || s.Born != life.Born || s.limit == nil {
		return LimitRecord{}, false
	}
	return s.limitRecord(now), true
}

// MergeLimits takes what another router believes. Of an instance that is not announced yet
// it is kept until that.
func (t *Table) MergeLimits(records []LimitRecord, now time.Time) {
	var changes []LimitChange
	t.mu.Lock()
	for _, r := range records {
		s, found := t.instances[r.Upstream]
		switch {
		case !found:
			t.keepEarlyLimit(r, now)
		case found && s.Born == r.Born:
			changes = append(changes, t.mergeLimit(s, r.known(now))...)
		}
	}
	t.mu.Unlock()
	t.tell(changes)
}

// keepEarlyLimit keeps a record of an instance that is not announced yet. When there are too
// many all are dropped: most are then of instances that never will be. The caller holds mu.
func (t *Table) keepEarlyLimit(r LimitRecord, now time.Time) {
	if len(t.earlyLimits) >= maxEarlyLimits {
		clear(t.earlyLimits)
	}
	t.earlyLimits[r.Life()] = r.known(now)
}

// mergeLimit takes what another router believes of the limit of an instance. The caller
// holds mu.
func (t *Table) mergeLimit(s *instanceState, other knownLimit) []LimitChange {
	before := s.knownLimit()
	return t.setLimit(s, before, before.merged(other), false)
}

// takeEarlyLimit takes what another router said of an instance that is announced now. The
// caller holds mu. The limits of earlier lives of an instance are dropped with it.
func (t *Table) takeEarlyLimit(s *instanceState) {
	if len(t.earlyLimits) == 0 {
		return
	}
	if known, found := t.earlyLimits[Life{ID: s.ID, Born: s.Born}]; found {
		s.limit = &limitState{known: known}
	}
	for life := range t.earlyLimits {
		if life.ID == s.ID {
			delete(t.earlyLimits, life)
		}
	}
}

// knownLimit returns what is believed of the limit of an instance.
func (s *instanceState) knownLimit() knownLimit {
	if s.limit == nil {
		return knownLimit{}
	}
	return s.limit.known
}

// setLimit records what is believed of the limit of an instance, and returns the change
// that is to be told, if it is one. The caller holds mu.
func (t *Table) setLimit(s *instanceState, before, after knownLimit, observed bool) []LimitChange {
	if before == after {
		return nil
	}
	if s.limit == nil {
		s.limit = &limitState{}
	}
	began := after.named != before.named
	if began && observed {
		t.newsVersion++
		after.version = t.newsVersion
	}
	s.limit.known = after
	if began {
		s.limit.permits = nil
		t.wakeWaiting()
	}
	if !began && after.rate == before.rate {
		return nil
	}
	return []LimitChange{{Instance: s.Instance, Named: after.named, Rate: after.rate, Observed: observed}}
}

// learnsRate reports whether an answer can change what is believed of the instance's limit.
// One without a rate can't if no limit was known when the instance was chosen: one that has
// become known since is later than that.
func (l *Lease) learnsRate(said RateStatement) bool { return said.Named || l.limited }

// noteRate records what an answer of the instance says of its limit.
func (l *Lease) noteRate(said RateStatement, now time.Time) {
	t := l.table
	t.mu.Lock()
	before := l.state.knownLimit()
	changes := t.setLimit(l.state, before, before.after(said, l.picked, now), true)
	t.mu.Unlock()
	t.tell(changes)
}

// tell passes changes on to whoever drives the table. The caller holds no lock.
func (t *Table) tell(changes []LimitChange) {
	if t.settings.LimitChanged == nil {
		return
	}
	for _, change := range changes {
		t.settings.LimitChanged(change)
	}
}
