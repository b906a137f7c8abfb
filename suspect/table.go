// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"sync"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist/internal/defaults"
)

const (
	// DefaultHold is how long a request is refused after the latest end. It is the
	// longest life of a key in the platform's store, so that a router that starts
	// finds the evidence there as long as the others hold it.
	DefaultHold = 10 * time.Minute
	// DefaultMemory is how long evidence is kept after the latest end. Within it a
	// request that was refused for DefaultHold is refused again after one more end.
	// Chosen, not measured.
	DefaultMemory = 30 * time.Minute
	// DefaultMax bounds the requests with evidence, some 0.2 KB each. Upstreams that
	// end under a router's load leave some 30 each. Chosen, not measured.
	DefaultMax = 4096
)

// Settings configure a Table. The zero value works.
type Settings struct {
	// Hold is how long a request is refused after the latest end; zero means
	// DefaultHold.
	Hold time.Duration
	// Memory is how long evidence is kept after the latest end; zero means
	// DefaultMemory.
	Memory time.Duration
	// Max bounds the requests with evidence; zero means DefaultMax.
	Max int
	// Noted, if set, is called after each change that this router itself observed,
	// without a lock held.
	Noted func()
}

// Verdict is what speaks against a request at one moment. The zero value says that
// nothing does.
type Verdict struct {
	// Round is the latest round of ends; zero if nothing speaks against the request.
	Round int
	// Early is the latest round of early ends.
	Early int
	// Ends is the number of upstreams that ended under it.
	Ends int
	// Refused says that the request must not be sent, for another Left.
	Refused bool
	Left    time.Duration
}

// Table holds the evidence against requests: what this router observed and what
// others told it. It makes no calls and is safe for concurrent use.
type Table struct {
	settings Settings
	// secret is nil until it is known.
	secret atomic.Pointer[Secret]
	// suspects is the number of entries with a round above zero, so that a request
	// pays nothing while there are none.
	suspects atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	entries map[Digest]*entry
	// version counts the changes that this router itself observed.
	version uint64
}

// entry is the evidence against one request. The lock of its table guards it.
type entry struct {
	evidence
	digest Digest
	// changedAt is when the evidence last changed here.
	changedAt time.Time
	// refusedUntil is when the hold ends; zero if the evidence was never enough.
	refusedUntil time.Time
	// own is the table's version at the last change that this router itself observed;
	// zero if it only heard of the request.
	own uint64
}

// New returns an empty table.
func New(s Settings) *Table {
	defaults.Set(&s.Hold, DefaultHold)
	defaults.Set(&s.Memory, DefaultMemory)
	defaults.Set(&s.Max, DefaultMax)
	if s.Noted == nil {
		s.Noted = func() {}
	}
	return &Table{settings: s, entries: map[Digest]*entry{}}
}

// Any reports whether anything speaks against any request.
func (t *Table) Any() bool { return t.suspects.Load() > 0 }

// Look returns what speaks against a request now.
func (t *Table) Look(d Digest, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries[d]
	if !found {
		return Verdict{}
	}
	return e.verdict(now)
}

// verdict returns what speaks against the request now.
func (e *entry) verdict(now time.Time) Verdict {
	v := Verdict{Round: e.round(), Ends: e.openEnds()}
	v.Early, _ = e.earlyRound()
	if now.Before(e.refusedUntil) {
		v.Refused, v.Left = true, e.refusedUntil.Sub(now)
	}
	return v
}

// Observation is what a router observed of a request and an upstream that ended.
type Observation struct {
	// Life is the run of the upstream.
	Life Life
	// Known is what spoke against the request when it was sent there.
	Known Verdict
	// Early says that no event of the answer had arrived.
	Early bool
}

// end returns the observation as an end.
func (o Observation) end() End {
	end := End{Life: o.Life, Round: o.Known.Round + 1}
	if o.Early {
		end.Early = o.Known.Early + 1
	}
	return end
}

// NoteEnd notes that an upstream ended while a request may have run there. It returns
// what speaks against the request now.
func (t *Table) NoteEnd(d Digest, o Observation, now time.Time) Verdict {
	t.mu.Lock()
	e := t.entryOf(d, now)
	changed := t.add(e, []End{o.end()}, now)
	if changed {
		t.noteOwn(e)
	}
	verdict := e.verdict(now)
	t.mu.Unlock()
	if changed {
		t.settings.Noted()
	}
	return verdict
}

// NoteAnswer notes that an upstream answered a request with success, which clears it of
// all ends that are known here.
func (t *Table) NoteAnswer(d Digest, now time.Time) {
	t.mu.Lock()
	e, found := t.entries[d]
	changed := false
	if found {
		before := e.round()
		changed = e.clear()
		e.refusedUntil = time.Time{}
		t.recount(before, 0)
	}
	if changed {
		e.changedAt = now
		t.noteOwn(e)
	}
	t.mu.Unlock()
	if changed {
		t.settings.Noted()
	}
}

// noteOwn marks an entry as changed by what this router observed. The caller holds mu.
func (t *Table) noteOwn(e *entry) {
	t.version++
	e.own = t.version
}

// entryOf returns the entry of a request, a new one if there is none. The caller holds
// mu.
func (t *Table) entryOf(d Digest, now time.Time) *entry {
	if e, found := t.entries[d]; found {
		return e
	}
	if len(t.entries) >= t.settings.Max {
		t.makeRoom(now)
	}
	e := &entry{digest: d, changedAt: now}
	t.entries[d] = e
	return e
}

// add joins ends with the evidence against a request, and reports whether that changed
// anything. Evidence that is enough starts the hold anew. The caller holds mu.
func (t *Table) add(e *entry, ends []End, now time.Time) bool {
	before, wasEnough := e.round(), e.enough()
	changed := false
	for _, end := range ends {
		changed = e.evidence.add(end) || changed
	}
	if !changed {
		return false
	}
	e.changedAt = now
	switch {
	case !e.enough():
		e.refusedUntil = time.Time{}
	case !wasEnough, e.round() > before:
		e.refusedUntil = now.Add(t.settings.Hold)
	}
	t.recount(before, e.round())
	return true
}

// recount follows an entry's round from one value to another in suspects. The caller
// holds mu.
func (t *Table) recount(before, after int) {
	switch {
	case before == 0 && after > 0:
		t.suspects.Add(1)
	case before > 0 && after == 0:
		t.suspects.Add(-1)
	}
}

// forget deletes an entry. The caller holds mu.
func (t *Table) forget(e *entry) {
	t.recount(e.round(), 0)
	delete(t.entries, e.digest)
}

// Counts returns the number of requests that something speaks against, and of those
// that are refused now.
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
