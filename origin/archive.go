// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin

import (
	"sync"
	"time"
)

// MaxArchived is the number of records that an Archive holds. Further ones are dropped, and the
// origins of their streams are unknown.
const MaxArchived = 1 << 17

// Archive holds the records of segments that were read from the store. The zero value is
// empty. It is safe for concurrent use.
type Archive struct {
	mu      sync.Mutex
	records map[Fingerprint]archived
	// origins holds each origin once.
	origins []Origin
}

// archived is the record of a stream in an Archive.
type archived struct {
	// origin is the index of the stream's origin, negative if records contradict each other.
	origin  int
	expires time.Time
}

// contradicted is the origin of a stream whose records name two.
const contradicted = -1

// Add adds the records of a segment at now, and returns how many there was no room for. It
// returns an error for a malformed segment, of which nothing is added.
func (a *Archive) Add(s Segment, now time.Time) (dropped int, err error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	expires := now.Add(time.Duration(s.KeepMS) * time.Millisecond)
	for _, g := range s.Groups {
		origin := a.index(g.Origin)
		for i := 0; i < len(g.Streams); i += FingerprintBytes {
			if !a.add(Fingerprint(g.Streams[i:i+FingerprintBytes]), origin, expires, now) {
				dropped++
			}
		}
	}
	return dropped, nil
}

// add adds one record and reports whether there was room. The caller holds mu.
func (a *Archive) add(f Fingerprint, origin int, expires, now time.Time) bool {
	known, found := a.records[f]
	switch {
	case found && now.Before(known.expires):
		if known.origin != origin {
			known.origin = contradicted
		}
		if expires.After(known.expires) {
			known.expires = expires
		}
		a.records[f] = known
		return true
	case !found && len(a.records) >= MaxArchived:
		return false
	case a.records == nil:
		a.records = map[Fingerprint]archived{}
	}
	a.records[f] = archived{origin: origin, expires: expires}
	return true
}

// index returns the index of an origin, which it adds if needed. The caller holds mu.
func (a *Archive) index(o Origin) int {
	for i, known := range a.origins {
		if known == o {
			return i
		}
	}
	a.origins = append(a.origins, o)
	return len(a.origins) - 1
}

// Lookup returns where a stream began. It returns false if the archive has no record of it, or
// records that contradict each other.
func (a *Archive) Lookup(s Stream, now time.Time) (Origin, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, found := a.records[FingerprintOf(s)]
	if !found || known.origin == contradicted || !now.Before(known.expires) {
		return Origin{}, false
	}
	return a.origins[known.origin], true
}

// Sweep removes the records that are no longer needed.
func (a *Archive) Sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for f, known := range a.records {
		if !now.Before(known.expires) {
			delete(a.records, f)
		}
	}
	if len(a.records) == 0 {
		a.records, a.origins = nil, nil
	}
}

// Len returns the number of records, expired ones that Sweep has not removed included.
func (a *Archive) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.records)
}
