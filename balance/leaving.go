// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// An instance that is about to end says so in its answers as well as in its announcement. A
// router that knew it from the announcement only went on to send for as long as the store
// was away. Each answer of the instance is believed, also a refusal, the head of a stream or
// an answer that breaks off.
//
// Nothing takes it back for that life of the instance: a later answer that does not say so
// may have been under way for longer, and an announcement that says otherwise, or another
// router's copy of one, may be older. So it is kept apart from the announcements, also
// while the instance has none.

const (
	// leaverMemory is for how long a life is remembered after it was last known to leave
	// and to be announced: an old copy of its announcement may still come from another
	// router that was cut off.
	leaverMemory = time.Hour
	// maxLeavers bounds the lives that are remembered, 0.5 MB or so.
	maxLeavers = 4096
)

// leavers remembers which lives of instances said that they leave. The zero value is
// empty. The lock of its table guards it.
type leavers struct {
	heardAt map[Life]time.Time
}

// add remembers a life. At the bound it forgets the one that was heard of first.
func (l *leavers) add(life Life, now time.Time) {
	if l.heardAt == nil {
		l.heardAt = map[Life]time.Time{}
	}
	l.forgetOld(now)
	if _, known := l.heardAt[life]; !known && len(l.heardAt) >= maxLeavers {
		delete(l.heardAt, l.oldest())
	}
	l.heardAt[life] = now
}

// has reports whether a life said that it leaves.
func (l *leavers) has(life Life) bool {
	_, known := l.heardAt[life]
	return known
}

// forgetOld forgets the lives that were heard of longer than leaverMemory ago.
func (l *leavers) forgetOld(now time.Time) {
	for life, at := range l.heardAt {
		if now.Sub(at) > leaverMemory {
			delete(l.heardAt, life)
		}
	}
}

// oldest returns the life that was heard of first.
func (l *leavers) oldest() Life {
	var first Life
	var firstAt time.Time
	for life, at := range l.heardAt {
		if firstAt.IsZero() || at.Before(firstAt) {
			first, firstAt = life, at
		}
	}
	return first
}

// LeavingNote tells that a router learned that an instance leaves.
type LeavingNote struct {
	Instance
	// Observed says that an answer to this router told so, and not another router.
	Observed bool
}

// noteLeaving records that an answer of the instance said that it leaves.
func (l *Lease) noteLeaving(now time.Time) {
	t := l.table
	t.mu.Lock()
	isNews := t.noteLeaving(l.state, now)
	if isNews {
		t.newsVersion++
		l.state.leavingVersion = t.newsVersion
	}
	t.mu.Unlock()
	if isNews {
		t.tellLeaving(LeavingNote{Instance: l.Instance, Observed: true})
	}
}

// mergeLeaving takes what another router told. Of a life that is not announced yet it is
// kept until that.
func (t *Table) mergeLeaving(records []LeavingRecord, now time.Time) {
	var notes []LeavingNote
	t.mu.Lock()
	for _, r := range records {
		s, found := t.instances[r.Upstream]
		switch {
		case !found || s.Born != r.Born:
			t.leavers.add(r.life(), now)
		case t.noteLeaving(s, now):
			notes = append(notes, LeavingNote{Instance: s.Instance})
		}
	}
	t.mu.Unlock()
	for _, note := range notes {
		t.tellLeaving(note)
	}
}

// noteLeaving records that an instance leaves, and returns whether that is news. The
// caller holds mu.
func (t *Table) noteLeaving(s *instanceState, now time.Time) bool {
	if s.leaving {
		return false
	}
	s.leaving = true
	t.leavers.add(s.life(), now)
	return true
}

// tellLeaving passes news on to whoever drives the table. The caller holds no lock.
func (t *Table) tellLeaving(note LeavingNote) {
	if t.settings.LeavingNoted != nil {
		t.settings.LeavingNoted(note)
	}
}
