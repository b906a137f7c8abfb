// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist/internal/defaults"
)

const (
	// DefaultBlockDuration is the default of Settings.BlockDuration. It equals the longest
	// lease TTL of the platform's store, so that routers that start during a block still
	// find the evidence in the store.
	DefaultBlockDuration = 10 * time.Minute
	// DefaultRetention is the default of Settings.Retention. It exceeds
	// DefaultBlockDuration: after the end of a block and before the end of the retention, one
	// more round suffices to refuse the request again.
	DefaultRetention = 30 * time.Minute
	// DefaultMaxEntries is the default of Settings.MaxEntries. An entry takes about 0.2 KB,
	// and a crash adds one for each request that was running on the upstream.
	DefaultMaxEntries = 4096
)

// Settings configures a Table. The zero value selects the defaults.
type Settings struct {
	// BlockDuration is how long a request is refused from the time at which its evidence
	// suffices; each higher round restarts the block. Zero means DefaultBlockDuration. Scopes
	// have shorter blocks (initialScopeBlockDuration).
	BlockDuration time.Duration
	// Retention is how long evidence is kept after its last change; zero means
	// DefaultRetention. Cleared evidence is kept for a shorter time (clearedRetention).
	Retention time.Duration
	// MaxEntries is the maximum number of entries in the table; zero means DefaultMaxEntries.
	MaxEntries int
	// OnObserved, if set, is called after each observation of this router that changes the
	// evidence. No lock is held during the call.
	OnObserved func()
}

// Table holds the evidence against requests, both observed by this router and received from
// others. It does no I/O and is safe for concurrent use.
type Table struct {
	settings Settings
	// secret is nil until SetSecret is called.
	secret atomic.Pointer[Secret]
	// suspectCount is the number of entries with a round above zero. It is atomic so that
	// HasSuspects needs no lock.
	suspectCount atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	entries map[Digest]*entry
	crashes recentCrashes
	// proven holds when a request last succeeded with a part of prompts. provenDigests holds
	// the same by digest, as of the last look-up.
	proven        recentTimes[Part]
	provenDigests recentTimes[Digest]
	// raised holds the entries whose highest round rose above one in the last
	// rollingFailureWindow, and older ones until clearUnrelatedRounds removes them.
	raised []*entry
	// version counts the changes by observations of this router.
	version uint64
}

// entry is the evidence against one request, scope or part. The lock of its table guards it.
type entry struct {
	evidence
	subject
	digest Digest
	// changedAt is when the evidence last changed in this table.
	changedAt time.Time
	// roundAt is when this entry's highest round last rose: the time at which this table
	// learned of the crash, whether observed here or reported by another router.
	roundAt time.Time
	// suspectAt is when the request last became suspect: its highest round rose from zero.
	suspectAt time.Time
	// refusedUntil is when the block expires; zero if the evidence does not suffice for a
	// refusal.
	refusedUntil time.Time
	// observedVersion is the table's version at the last change by an observation of this
	// router; zero if all evidence was received from others.
	observedVersion uint64
}

// New returns an empty table.
func New(s Settings) *Table {
	defaults.Set(&s.BlockDuration, DefaultBlockDuration)
	defaults.Set(&s.Retention, DefaultRetention)
	defaults.Set(&s.MaxEntries, DefaultMaxEntries)
	if s.OnObserved == nil {
		s.OnObserved = func() {}
	}
	return &Table{settings: s, entries: map[Digest]*entry{}}
}

// HasSuspects reports whether there is evidence that is not cleared against any request or
// scope.
func (t *Table) HasSuspects() bool { return t.suspectCount.Load() > 0 }

// Lookup returns the verdict on a request, and the zero Verdict if there is no evidence.
func (t *Table) Lookup(d Digest, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries[d]
	if !found {
		return Verdict{}
	}
	return e.verdict(now)
}

// RecordCrash records that an upstream crashed while a request may have been running there,
// and returns the resulting verdict. It adds no evidence if the request was sent after
// this router learned of the crash.
func (t *Table) RecordCrash(d Digest, o Observation, now time.Time) Verdict {
	t.mu.Lock()
	e := t.entryOf(d, now)
	_, proven := t.provenDigests.get(d)
	e.merge(subject{kind: o.Kind, proven: proven})
	isNew := !t.crashes.knownBefore(o.Incarnation, o.Sent)
	isFirst := t.recordObservedCrash(o.Incarnation, now)
	changed := isNew && t.add(e, []Crash{o.toCrash(t.crashes.inMassFailure(e, now))}, now)
	if changed {
		t.markObserved(e)
		t.clearUnrelatedRounds(now)
	}
	verdict := e.verdict(now)
	t.mu.Unlock()
	if changed || isFirst {
		t.settings.OnObserved()
	}
	return verdict
}

// recordObservedCrash records a crash that this router observed, and reports whether it knew
// nothing of it before. The caller holds mu.
func (t *Table) recordObservedCrash(incarnation Incarnation, now time.Time) bool {
	isFirst := !t.crashes.isKnown(incarnation)
	t.crashes.record(incarnation, true, now)
	if isFirst {
		t.version++
		t.crashes.setObservedVersion(incarnation, t.version)
	}
	return isFirst
}

// CrashesObservedAfter returns the upstreams whose crash this router was the first to know of,
// after a version of the table as ObservedAfter returns it, and in the last few seconds. It
// returns at most 64, the most recent ones. Their number is not limited by the evidence
// against single requests. The other routers pass them to RecordDown.
func (t *Table) CrashesObservedAfter(version uint64) []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes.observedAfter(version)
}

// RecordDown records that an upstream incarnation has ended for an unknown reason. Later
// calls of RecordCrash add no evidence for requests sent to the incarnation after now.
func (t *Table) RecordDown(incarnation Incarnation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes.record(incarnation, false, now)
}

// RecordSuccess records that a request succeeded, which clears all crashes in its entry.
func (t *Table) RecordSuccess(d Digest, now time.Time) {
	t.mu.Lock()
	e, found := t.entries[d]
	changed := false
	if found {
		before := e.round()
		changed = e.clear()
		e.merge(subject{proven: e.kind != KindScope})
		e.refusedUntil = time.Time{}
		t.updateSuspectCount(before, 0)
	}
	if changed {
		e.changedAt = now
		t.markObserved(e)
	}
	t.mu.Unlock()
	if changed {
		t.settings.OnObserved()
	}
}

// markObserved marks an entry as changed by an observation of this router. The caller holds
// mu.
func (t *Table) markObserved(e *entry) {
	t.version++
	e.observedVersion = t.version
}

// entryOf returns the entry of a request and adds one if there is none. The caller holds
// mu.
func (t *Table) entryOf(d Digest, now time.Time) *entry {
	if e, found := t.entries[d]; found {
		return e
	}
	if len(t.entries) >= t.settings.MaxEntries {
		t.evict(now)
	}
	e := &entry{digest: d, changedAt: now}
	t.entries[d] = e
	return e
}

// add merges crashes into an entry and reports whether the entry changed. A new round
// restarts the block of a refused request. The caller holds mu, and calls
// clearUnrelatedRounds once it has added all crashes that it knows of.
func (t *Table) add(e *entry, crashes []Crash, now time.Time) bool {
	before, wasSufficient := e.round(), e.sufficient(e.subject)
	changed := false
	for _, c := range crashes {
		known := e.has(c.Incarnation)
		if !e.evidence.add(c) {
			continue
		}
		changed = true
		// A repeated report of an old crash does not make it a recent one.
		if !known {
			t.crashes.record(c.Incarnation, false, now)
		}
	}
	if !changed {
		return false
	}
	e.changedAt = now
	if round := e.round(); round > before {
		e.roundAt = now
		if before == 0 {
			e.suspectAt = now
		}
		if round >= 2 && !slices.Contains(t.raised, e) {
			t.raised = append(t.raised, e)
		}
	}
	switch {
	case !e.sufficient(e.subject):
		e.refusedUntil = time.Time{}
	case !wasSufficient, e.round() > before:
		e.refusedUntil = now.Add(t.blockDuration(e))
	}
	for _, c := range e.crashes {
		if c.unclearedRound() >= 2 {
			t.crashes.setAttributed(c.Incarnation, true)
		}
	}
	t.updateSuspectCount(before, e.round())
	return true
}

// updateSuspectCount adjusts suspectCount to the change of an entry's round from before to
// after. The caller holds mu.
func (t *Table) updateSuspectCount(before, after int) {
	switch {
	case before == 0 && after > 0:
		t.suspectCount.Add(1)
	case before > 0 && after == 0:
		t.suspectCount.Add(-1)
	}
}

// remove deletes an entry. The caller holds mu.
func (t *Table) remove(e *entry) {
	t.updateSuspectCount(e.round(), 0)
	delete(t.entries, e.digest)
	t.raised = slices.DeleteFunc(t.raised, func(other *entry) bool { return other == e })
}

// Counts returns the number of entries with evidence that is not cleared, and the number of
// entries whose request or scope is refused at the given time.
func (t *Table) Counts(now time.Time) (suspects, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		v := e.verdict(now)
		if v.Round > 0 {
			suspects++
		}
		if v.Refused {
			refused++
		}
	}
	return suspects, refused
}
