// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"sync"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

const (
	// DefaultBlock is how long a request is refused after its last crash, counted by each
	// router from when it learned of it. It is the longest TTL of a lease in the platform's
	// store, so that a router that starts finds the evidence there for as long.
	DefaultBlock = 10 * time.Minute
	// DefaultMemory is how long evidence is kept after the last crash. Within it a
	// request whose block has expired is refused again after one more crash.
	// Chosen, not measured.
	DefaultMemory = 30 * time.Minute
	// DefaultMax bounds the requests with evidence, some 0.2 KB each. An upstream that
	// crashes under load leaves some 30. Chosen, not measured.
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

// Verdict sums up the evidence against a request at one moment. The zero value means
// that there is none.
type Verdict struct {
	// Round is the highest round of crashes; zero if there is no evidence.
	Round int
	// Early is the highest round of early crashes.
	Early int
	// Crashes is the number of upstreams that crashed under the request.
	Crashes int
	// Hold is how long the request must not be sent yet, since what made upstreams crash
	// may be under way.
	Hold time.Duration
	// Refused says that the request must not be sent, for another Left.
	Refused bool
	Left    time.Duration
}

// Refusal returns the error for a request that the verdict refuses. Its RetryAfter is the
// rest of the block even where a caller can't wait for it: an earlier attempt would be
// refused too.
func (v Verdict) Refusal() *granitehoist.Error {
	e := granitehoist.Errorf(granitehoist.CrashesUpstreams, "%d upstreams crashed in %d rounds, %d of them early", v.Crashes, v.Round, v.Early)
	e.RetryAfter = v.Left
	return e
}

// HoldRefusal returns the error for a request that is held for longer than it can wait. Its
// RetryAfter is the rest of the hold.
func (v Verdict) HoldRefusal() *granitehoist.Error {
	e := granitehoist.Errorf(granitehoist.CrashesUpstreams, "%d upstreams crashed, the last a moment ago", v.Crashes)
	e.RetryAfter = v.Hold
	return e
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

// verdict sums up the evidence now.
func (e *entry) verdict(now time.Time) Verdict {
	v := Verdict{Round: e.round(), Crashes: e.openCrashes()}
	v.Early, _ = e.earlyRound()
	if v.Round > 0 {
		v.Hold = max(0, SettleTime-now.Sub(e.roundAt))
	}
	if now.Before(e.refusedUntil) {
		v.Refused, v.Left = true, e.refusedUntil.Sub(now)
	}
	return v
}

// Observation is what a router saw of a crash under a request.
type Observation struct {
	// Life is the run of the upstream.
	Life Life
	// Known is the verdict on the request when it was sent there.
	Known Verdict
	// Early says that no event of the answer had arrived.
	Early bool
	// Sent is when the request was sent.
	Sent time.Time
	// OfScope says that the digest names a scope.
	OfScope bool
}

// crash numbers the rounds of the observed crash. A run that was sent while the request
// was to be held belongs to the round before, and so does one that crashed in a loss of
// many upstreams.
func (o Observation) crash(inLoss bool) Crash {
	next := 1
	if o.Known.Hold > 0 || inLoss {
		next = 0
	}
	c := Crash{Life: o.Life, Round: max(1, o.Known.Round+next)}
	if o.Early {
		c.Early = max(1, o.Known.Early+next)
	}
	return c
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

const (
	// firstScopeBlock is how long a scope is refused at first, and maxScopeBlock at most;
	// each further round doubles it. After a block its requests are tried again at one
	// upstream. Chosen, not measured: an innocent scope is free after seconds, and one that
	// goes on crashes one upstream in half a minute.
	firstScopeBlock = 5 * time.Second
	maxScopeBlock   = 30 * time.Second
)

// blockOf decides how long a request or scope is refused whose evidence suffices.
func (t *Table) blockOf(e *entry) time.Duration {
	if !e.ofScope {
		return t.settings.Block
	}
	early, _ := e.earlyRound()
	doublings := min(max(0, early-enoughEarlyOfScope), 3)
	return min(maxScopeBlock, firstScopeBlock<<doublings)
}

// clearLoss clears the later rounds that began in a loss of many upstreams, before it could
// be told as one. First rounds stay: requests that are no suspects yet crash as many
// upstreams as they run on. The caller holds mu.
func (t *Table) clearLoss(now time.Time) {
	if !t.crashed.inLoss(now) {
		return
	}
	for _, e := range t.entries {
		before := e.round()
		if before < 2 || now.Sub(e.roundAt) > lossTime {
			continue
		}
		e.clearRound(before)
		if !e.enough(e.ofScope) {
			e.refusedUntil = time.Time{}
		}
		t.recount(before, e.round())
		t.noteOwn(e)
	}
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
