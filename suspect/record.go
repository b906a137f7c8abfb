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

// Record is the evidence against one request, scope or part, as routers send it to each other
// and store it.
type Record struct {
	Digest  Digest  `json:"digest"`
	Crashes []Crash `json:"crashes"`
	// Scope says that the digest identifies a scope instead of a request, Part that it
	// identifies a part of prompts.
	Scope bool `json:"scope,omitempty"`
	Part  bool `json:"part,omitempty"`
	// Proven says that the request, or requests with the part, have succeeded.
	Proven bool `json:"proven,omitempty"`
}

// subject returns what the record is about.
func (r Record) subject() subject {
	switch {
	case r.Scope:
		return subject{kind: KindScope}
	case r.Part:
		return subject{kind: KindPart, proven: r.Proven}
	}
	return subject{proven: r.Proven}
}

// Sufficient reports whether the evidence suffices to refuse the request or scope.
func (r Record) Sufficient() bool { return (&evidence{crashes: r.Crashes}).sufficient(r.subject()) }

// IsCleared reports whether all crashes are cleared and would suffice for a refusal if they
// were not.
func (r Record) IsCleared() bool {
	before := evidence{crashes: slices.Clone(r.Crashes)}
	if len(before.crashes) == 0 || (&evidence{crashes: r.Crashes}).round() > 0 {
		return false
	}
	for i := range before.crashes {
		before.crashes[i].Cleared = false
	}
	return before.sufficient(r.subject())
}

// MaxRecords is the maximum number of records in one message. A record takes about 150
// bytes, that of a part 35 bytes more for each crash and part of the prompt.
const MaxRecords = 64

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error unless text is
// the hexadecimal form of a digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != digestBytes {
		return eris.Errorf("suspect: digest has %d digits instead of %d", len(text), 2*digestBytes)
	}
	_, err := hex.Decode(d[:], text)
	return eris.Wrap(err, "suspect: digest")
}

func (e *entry) record() Record {
	return Record{
		Digest: e.digest, Crashes: append([]Crash(nil), e.crashes...),
		Scope: e.kind == KindScope, Part: e.kind == KindPart, Proven: e.proven,
	}
}

// ObservedAfter returns the records that this router changed by its own observations after
// a version of the table: the MaxRecords ones with the oldest changes, oldest first. It also
// returns the version to pass to the next call, which returns the records that follow.
func (t *Table) ObservedAfter(version uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newer := t.sorted(
		func(e *entry) bool { return e.observedVersion > version },
		func(a, b *entry) int { return cmp.Compare(a.observedVersion, b.observedVersion) })
	if len(newer) <= MaxRecords {
		return records(newer), t.version
	}
	newer = newer[:MaxRecords]
	return records(newer), newer[MaxRecords-1].observedVersion
}

// Uncleared returns the records with a crash that is not cleared: the MaxRecords ones with
// the highest rounds, highest first.
func (t *Table) Uncleared() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	uncleared := t.sorted(
		func(e *entry) bool { return e.round() > 0 },
		func(a, b *entry) int { return b.compare(a) })
	return records(uncleared[:min(len(uncleared), MaxRecords)])
}

func records(entries []*entry) []Record {
	var all []Record
	for _, e := range entries {
		all = append(all, e.record())
	}
	return all
}

// Merge adds records received from another router or the store. It ignores
//
//   - records beyond MaxRecords, and crashes of a record beyond maxCrashes;
//   - crashes without an incarnation, or with more than MaxParts parts;
//   - crashes with a round below 1;
//   - crashes with an early round that is negative or above the round.
func (t *Table) Merge(received []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range received[:min(len(received), MaxRecords)] {
		crashes := validCrashes(r.Crashes)
		if len(crashes) > 0 {
			e := t.entryOf(r.Digest, now)
			e.merge(r.subject())
			t.add(e, crashes, now)
		}
	}
	t.clearUnrelatedRounds(now)
}

// validCrashes returns the valid ones among the first maxCrashes crashes.
func validCrashes(crashes []Crash) []Crash {
	var valid []Crash
	for _, c := range crashes[:min(len(crashes), maxCrashes)] {
		if c.Incarnation != "" && len(c.With) <= MaxParts && c.Round >= 1 && c.EarlyRound >= 0 && c.EarlyRound <= c.Round {
			valid = append(valid, c)
		}
	}
	return valid
}
