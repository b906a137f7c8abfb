// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"bytes"
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// Parts of prompts. A part may crash each upstream that begins to write an answer on it,
// whatever else the request has. Each crash under a request is evidence against all parts
// of its prompt. A success clears the parts of its prompt, so that those which other requests
// use too come free, while the part that causes the crashes never does. Evidence against a
// part holds for the requests that have all parts which its crashes have in common, except
// those that have succeeded since: a part that only occurred beside the crashing one is not
// refused without it.

// MaxParts is the number of parts of a prompt that are considered. Further ones are left
// out.
const MaxParts = 16

// Part identifies a part of the prompts of a service that requests may share.
type Part struct {
	Service granitehoist.Service
	ID      string
}

// requestKey returns the fields whose digest identifies the part. They differ from those of
// any request or scope because only Host and Body are set.
func (p Part) requestKey() *RequestKey {
	return &RequestKey{Host: string(p.Service), Body: []byte(p.ID)}
}

// PartDigests returns the digests of the parts of a prompt, the first MaxParts of them
// without repetitions, and nil while no secret is set.
func (t *Table) PartDigests(s granitehoist.Service, ids []string) []Digest {
	var digests []Digest
	for _, id := range ids[:min(len(ids), MaxParts)] {
		part := Part{Service: s, ID: id}
		digest, ok := t.Digest(part.requestKey())
		if !ok || slices.Contains(digests, digest) {
			continue
		}
		digests = append(digests, digest)
		t.mu.Lock()
		if at, found := t.proven.get(part); found {
			t.provenDigests.set(digest, at)
		}
		t.mu.Unlock()
	}
	return digests
}

// compare orders digests.
func (d Digest) compare(other Digest) int { return bytes.Compare(d[:], other[:]) }

// intersection returns the digests that both sorted lists have.
func intersection(a, b []Digest) []Digest {
	if slices.Equal(a, b) {
		return a
	}
	var common []Digest
	for _, d := range a {
		if _, found := slices.BinarySearchFunc(b, d, Digest.compare); found {
			common = append(common, d)
		}
	}
	return common
}

// common returns the parts that all crashes which are not cleared have in common.
func (e *evidence) common() []Digest {
	var common []Digest
	first := true
	for _, c := range e.crashes {
		switch {
		case c.Cleared:
		case first:
			common, first = c.With, false
		default:
			common = intersection(common, c.With)
		}
	}
	return common
}

// concerns reports whether the evidence against a part holds for a prompt with the given
// parts. The caller holds mu.
func (t *Table) concerns(e *entry, parts []Digest) bool {
	for _, d := range e.common() {
		if slices.Contains(parts, d) {
			continue
		}
		if at, found := t.provenDigests.get(d); !found || at.Before(e.suspectAt) {
			return false
		}
	}
	return true
}

// PartsVerdict summarises the evidence against the parts of a prompt. The zero value means
// that there is none.
type PartsVerdict struct {
	// Parts holds the verdict on each part.
	Parts []Verdict
	// Strongest is the verdict by which the request is refused or held, or the zero Verdict
	// if it is neither, and Part the digest of its part.
	Strongest Verdict
	Part      Digest
}

// IsSuspect reports whether there is evidence against a part.
func (v *PartsVerdict) IsSuspect() bool {
	return slices.ContainsFunc(v.Parts, func(part Verdict) bool { return part.Round > 0 })
}

// LookupParts returns the verdict on a prompt with the given parts.
func (t *Table) LookupParts(parts []Digest, now time.Time) PartsVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all PartsVerdict
	for i, d := range parts {
		e, found := t.entries[d]
		if !found {
			continue
		}
		if all.Parts == nil {
			all.Parts = make([]Verdict, len(parts))
		}
		v := e.verdict(now)
		all.Parts[i] = v
		isStronger := v.Refused && !all.Strongest.Refused || v.Refused == all.Strongest.Refused && v.EarlyRound >= all.Strongest.EarlyRound
		if e.isHeld() && isStronger && t.concerns(e, parts) {
			all.Strongest, all.Part = v, d
		}
	}
	return all
}

// isHeld reports whether requests with the part are held after a round, and sent to the same
// upstream. Requests with a proven part are not, until one more round would refuse them.
func (e *entry) isHeld() bool {
	return e.round() > 0 && (!e.proven || e.earlyRound() >= provenEarlyRoundsToRefuse-1)
}

// RecordProven records that a request with parts of a prompt has succeeded.
func (t *Table) RecordProven(s granitehoist.Service, ids []string, now time.Time) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids[:min(len(ids), MaxParts)] {
		t.proven.set(Part{Service: s, ID: id}, now)
	}
}

// maxRecentParts is the number of parts after which a recentTimes forgets the older half.
const maxRecentParts = 4096

// recentTimes holds a time for each of the keys that were set last, maxRecentParts at least.
// The zero value is empty.
type recentTimes[K comparable] struct {
	newer, older map[K]time.Time
}

// set sets the time of a key.
func (r *recentTimes[K]) set(k K, at time.Time) {
	if _, found := r.newer[k]; !found && (r.newer == nil || len(r.newer) >= maxRecentParts) {
		r.newer, r.older = map[K]time.Time{}, r.newer
	}
	r.newer[k] = at
}

// get returns the time of a key, and whether it is known.
func (r *recentTimes[K]) get(k K) (time.Time, bool) {
	if at, found := r.newer[k]; found {
		return at, true
	}
	at, found := r.older[k]
	return at, found
}
