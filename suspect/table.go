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
	// DefaultBlock is how long a request is refused after its last crash, counted by each
	// router from when it learned of it. It is the longest TTL of a lease in the platform's
	// store, so that a router that starts finds the evidence there for as long.
	DefaultBlock = 10 * time.Minute
	// DefaultMemory is how long evidence is kept after the last crash. Within it a request
	// whose block has expired is refused again after one more crash.
	DefaultMemory = 30 * time.Minute
	// DefaultMax bounds the requests with evidence, some 0.2 KB each. An upstream that
	// crashes under load leaves some 30.
	DefaultMax = 4096
)

// Settings configure a Table. The zero value works.
type Settings struct {
	// Block is how long a request is refused after its last crash; zero means
	// DefaultBlock.
	Block time.Duration
	// Memory is how long evidence is kept after the last crash; zero means
	// DefaultMemory.
	Memory time.Duration
	// Max bounds the requests with evidence; zero means DefaultMax.
	Max int
	// Noted, if set, is called after each change that this router itself observed,
	// without a lock held.
	Noted func()
}

// Table holds the evidence against requests: what this router observed and what
// it received from others. It makes no calls and is safe for concurrent use.
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
	crashed crashedLives
	// version counts the changes that this router itself observed.
	version uint64
}

// entry is the evidence against one request. The lock of its table guards it.
type entry struct {
	evidence
	digest Digest
	// ofScope says that the digest names a scope.
	ofScope bool
	// changedAt is when the evidence last changed here.
	changedAt time.Time
	// roundAt is when the highest round became known here.
	roundAt time.Time
	// refusedUntil is when the block expires; zero if the evidence does not suffice.
	refusedUntil time.Time
	// own is the table's version at the last change that this router itself observed;
	// zero if it only heard of the request.
	own uint64
}

// New returns an empty table.
func New(s Settings) *Table {
	defaults.Set(&s.Block, DefaultBlock)
	defaults.Set(&s.Memory, DefaultMemory)
	defaults.Set(&s.Max, DefaultMax)
	if s.Noted == nil {
		s.Noted = func() {}
	}
	return &Table{settings: s, entries: map[Digest]*entry{}}
}

// Any reports whether there is evidence against any request.
func (t *Table) Any() bool { return t.suspects.Load() > 0 }

// Lookup returns the verdict on a request now.
func (t *Table) Lookup(d Digest, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries[d]
	if !found {
		return Verdict{}
	}
	return e.verdict(now)
}

// NoteCrash records that an upstream crashed while a request may have been running there,
// and returns the verdict that follows. A run that began after that life was known to have
// crashed is no evidence.
func (t *Table) NoteCrash(d Digest, o Observation, now time.Time) Verdict {
	t.mu.Lock()
	e := t.entryOf(d, now)
	e.ofScope = e.ofScope || o.OfScope
	isNews := !t.crashed.before(o.Life, o.Sent)
	t.crashed.note(o.Life, true, now)
	changed := isNews && t.add(e, []Crash{o.crash(t.crashed.inLoss(now))}, now)
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

// NoteDown records that the run of an upstream has ended, for a reason that is not known.
func (t *Table) NoteDown(l Life, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed.note(l, false, now)
}

// NoteSuccess records that a request succeeded, which clears it of all crashes that are
// known here.
func (t *Table) NoteSuccess(d Digest, now time.Time) {
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

// add merges crashes into the evidence against a request, and reports whether that
// changed anything. A new round restarts the block of a request that is refused. The
// caller holds mu.
func (t *Table) add(e *entry, crashes []Crash, now time.Time) bool {
	before, wasEnough := e.round(), e.enough(e.ofScope)
	changed := false
	for _, c := range crashes {
		t.crashed.note(c.Life, false, now)
		changed = e.evidence.add(c) || changed
	}
	if !changed {
		return false
	}
	e.changedAt = now
	if e.round() > before {
		e.roundAt = now
	}
	switch {
	case !e.enough(e.ofScope):
		e.refusedUntil = time.Time{}
	case !wasEnough, e.round() > before:
		e.refusedUntil = now.Add(t.blockOf(e))
	}
	t.recount(before, e.round())
	t.clearLoss(now)
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

// Counts returns the number of requests with evidence against them, and of those that are
// refused now.
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
