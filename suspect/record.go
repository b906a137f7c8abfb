// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Record is the evidence against one request, as routers send it to each other and keep
// it in the store.
type Record struct {
	Digest  Digest  `json:"digest"`
	Crashes []Crash `json:"crashes"`
	// Scope says that the digest names a scope, and not one request.
	Scope bool `json:"scope,omitempty"`
}

// Enough reports whether the evidence suffices to refuse the request, or the scope.
func (r Record) Enough() bool { return (&evidence{crashes: r.Crashes}).enough(r.Scope) }

// IsCleared reports whether the evidence sufficed until the request succeeded.
func (r Record) IsCleared() bool {
	before := evidence{crashes: slices.Clone(r.Crashes)}
	if len(before.crashes) == 0 || (&evidence{crashes: r.Crashes}).round() > 0 {
		return false
	}
	for i := range before.crashes {
		before.crashes[i].Cleared = false
	}
	return before.enough(r.Scope)
}

// MaxRecords bounds the records of one message, some 150 bytes each. What exceeds it
// follows in the next.
const MaxRecords = 64

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error says that the text is
// no digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != digestBytes {
		return eris.Errorf("suspect: a digest of %d digits", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return eris.Wrap(err, "suspect: digest")
}

func (e *entry) record() Record {
	return Record{Digest: e.digest, Crashes: append([]Crash(nil), e.crashes...), Scope: e.ofScope}
}

// ObservedAfter returns what this router itself observed after a version of the table,
// the oldest first and MaxRecords at most, and the version up to which that is all.
func (t *Table) ObservedAfter(version uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newer := t.sorted(
		func(e *entry) bool { return e.own > version },
		func(a, b *entry) int { return cmp.Compare(a.own, b.own) })
	if len(newer) <= MaxRecords {
		return records(newer), t.version
	}
	newer = newer[:MaxRecords]
	return records(newer), newer[MaxRecords-1].own
}

// Open returns the evidence that is not cleared, the highest rounds first and MaxRecords at
// most.
func (t *Table) Open() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := t.sorted(
		func(e *entry) bool { return e.round() > 0 },
		func(a, b *entry) int { return b.compare(a) })
	return records(open[:min(len(open), MaxRecords)])
}

func records(entries []*entry) []Record {
	var all []Record
	for _, e := range entries {
		all = append(all, e.record())
	}
	return all
}

// Merge adds the records of another router or of the store. Crashes without
// a life, with a round below 1, or with more early rounds than rounds are left out, as are
// records beyond MaxRecords: no router sends them.
func (t *Table) Merge(received []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range received[:min(len(received), MaxRecords)] {
		crashes := validCrashes(r.Crashes)
		if len(crashes) > 0 {
			e := t.entryOf(r.Digest, now)
			e.ofScope = e.ofScope || r.Scope
			t.add(e, crashes, now)
		}
	}
}

// validCrashes returns the crashes that a router can have sent, at most maxCrashes.
func validCrashes(crashes []Crash) []Crash {
	var valid []Crash
	for _, c := range crashes[:min(len(crashes), maxCrashes)] {
		if c.Life != "" && c.Round >= 1 && c.Early >= 0 && c.Early <= c.Round {
			valid = append(valid, c)
		}
	}
	return valid
}
