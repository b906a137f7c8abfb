// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin

import (
	"sync"
	"time"
)

// MaxRecords is the number of records that a Table holds. Further ones are dropped, and the
// origins of their streams are unknown.
const MaxRecords = 1 << 16

// Table holds records. The zero value is an empty table. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Stream]*entry
}

// entry is the record of a stream.
type entry struct {
	origin  Origin
	expires time.Time
	// contradicted is set if records of the stream name two origins.
	contradicted bool
	// own is set if this router recorded the stream itself.
	own bool
}

// Add adds a record that this router made. It reports whether there was room.
func (t *Table) Add(r Record, now time.Time) bool { return t.add(r, now, true) }

// Merge adds records of another router and returns how many there was no room for.
func (t *Table) Merge(records []Record, now time.Time) (dropped int) {
	for _, r := range records {
		if !t.add(r, now, false) {
			dropped++
		}
	}
	return dropped
}

func (t *Table) add(r Record, now time.Time, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expires := now.Add(time.Duration(r.KeepMS) * time.Millisecond)
	if known, found := t.records[r.Stream]; found && now.Before(known.expires) {
		known.contradicted = known.contradicted || known.origin != r.Origin
		known.own = known.own || own
		if expires.After(known.expires) {
			known.expires = expires
		}
		return true
	}
	if len(t.records) >= MaxRecords {
		t.sweepLocked(now)
		if len(t.records) >= MaxRecords {
			return false
		}
	}
	if t.records == nil {
		t.records = map[Stream]*entry{}
	}
	t.records[r.Stream] = &entry{origin: r.Origin, expires: expires, own: own}
	return true
}

// Lookup returns where a stream began. It returns false if the table has no record of it,
// or records that contradict each other.
func (t *Table) Lookup(s Stream, now time.Time) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[s]
	if !found || known.contradicted || !now.Before(known.expires) {
		return Origin{}, false
	}
	return known.origin, true
}

// Own returns the records that this router made and that are still needed.
func (t *Table) Own(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []Record
	for stream, known := range t.records {
		left := known.expires.Sub(now)
		if known.own && !known.contradicted && left > 0 {
			own = append(own, Record{Stream: stream, Origin: known.origin, KeepMS: left.Milliseconds()})
		}
	}
	return own
}

// Len returns the number of records, expired ones that Sweep has not removed included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Sweep removes the records that are no longer needed.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweepLocked(now)
}

// sweepLocked is Sweep. The caller holds mu.
func (t *Table) sweepLocked(now time.Time) {
	for stream, known := range t.records {
		if !now.Before(known.expires) {
			delete(t.records, stream)
		}
	}
}
