// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// maxDeletions is the maximum number of deletions that a copy keeps for incremental updates.
// A router whose copy lacks older deletions gets a complete update.
const maxDeletions = 512

// prefixCopy is the state of the keys under a prefix at one version of the store. It is safe
// for concurrent use.
type prefixCopy struct {
	order contentOrder
	// keepMissing is Settings.KeepMissing.
	keepMissing time.Duration

	mu      sync.Mutex
	entries map[string]granitehoist.Entry
	// previous holds the entry that each present or deleted entry replaced.
	previous  map[string]granitehoist.Entry
	atVersion granitehoist.Version
	// confirmedAt is when atVersion was last known to be the store's newest version.
	confirmedAt time.Time
	// populated says that an update from the store or another router has been applied.
	populated bool
	// deletions holds the newest deletions, oldest first, among them all deletions newer
	// than deletionsFrom.
	deletions     []granitehoist.Entry
	deletionsFrom granitehoist.Version
	// missingUntil is until when keys that the store lost at its restoration are kept; zero
	// if there are none.
	missingUntil time.Time
	// changeSignal is closed and replaced at each change.
	changeSignal chan struct{}
}

func newPrefixCopy(s Settings) *prefixCopy {
	return &prefixCopy{
		order: contentOrder{compare: s.Compare, equivalent: s.Equivalent}, keepMissing: s.KeepMissing,
		entries: map[string]granitehoist.Entry{}, previous: map[string]granitehoist.Entry{}, changeSignal: make(chan struct{}),
	}
}

// apply applies an update and returns the entries that changed, including deletions. An older
// entry never replaces a newer one.
func (c *prefixCopy) apply(update Update, now time.Time) []granitehoist.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOutdated(update, c.populated, c.atVersion) {
		return nil
	}
	changed := c.applyEntries(update.Entries, update.Complete)
	if update.Complete {
		changed = append(changed, c.dropMissing(update, now)...)
	}
	if update.Complete && (!c.populated || update.Version.Era() != c.atVersion.Era()) {
		c.deletionsFrom = update.Version
	}
	c.populated = true
	c.advance(update, now)
	c.signal(changed)
	return changed
}

// merge applies the entries of a complete update that have a later content than those that
// the copy holds, although the copy is newer: a neighbour may know what the store lost. It
// returns the entries that changed.
func (c *prefixCopy) merge(update Update) []granitehoist.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.DeleteFunc(slices.Clone(update.Entries), func(e granitehoist.Entry) bool {
		held, present := c.entries[e.Key]
		return !present || held.Version.Era() == e.Version.Era()
	})
	changed := c.applyEntries(known, true)
	c.signal(changed)
	return changed
}

// applyEntries applies entries and returns those that changed.
func (c *prefixCopy) applyEntries(entries []granitehoist.Entry, complete bool) []granitehoist.Entry {
	var changed []granitehoist.Entry
	for _, e := range sortedByVersion(entries) {
		if c.applyEntry(e, complete) {
			changed = append(changed, e)
		}
	}
	return changed
}

// signal wakes those that wait for a change, if there is one.
func (c *prefixCopy) signal(changed []granitehoist.Entry) {
	if len(changed) > 0 {
		close(c.changeSignal)
		c.changeSignal = make(chan struct{})
	}
}

// sortedByVersion returns the entries by ascending version. An update may list a deletion
// after the later rewrite of the same key. Without the sorting, applyEntry would ignore a
// rewrite that is equivalent to the held entry and then delete the key.
func sortedByVersion(entries []granitehoist.Entry) []granitehoist.Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b granitehoist.Entry) int {
		return cmp.Compare(a.Version, b.Version)
	})
}

// advance sets atVersion to the version of an update. It sets confirmedAt to the time at
// which the version was the store's newest (now minus the update's age), if that is later.
// An update older than the copy changes neither.
func (c *prefixCopy) advance(update Update, now time.Time) {
	if update.Version < c.atVersion {
		return
	}
	c.atVersion = update.Version
	confirmedAt := now.Add(-update.Age)
	if confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
}

// applyEntry applies one entry and reports whether the copy changed. An entry that is
// equivalent to the held one is not reported as a change:
//
//   - The entry of an incremental update leaves the held version, so that other routers do
//     not receive it.
//   - The entry of a complete update is stored with its newer version. Another router may
//     have applied a deletion of the key before that version and then needs the entry.
func (c *prefixCopy) applyEntry(e granitehoist.Entry, complete bool) bool {
	h := c.history(e.Key)
	if h.isOlder(e, complete, c.order) {
		return false
	}
	if h.present && e.Version.Era() < h.held.Version.Era() {
		c.store(e, h)
		return true
	}
	switch classifyEntry(h.held, e, complete, c.atVersion) {
	case ignoreEntry:
		return false
	case deleteEntry:
		c.remove(e)
		return true
	}
	if h.present && c.order.equivalent(h.held, e) {
		if !complete {
			e.Version = h.held.Version
		}
		c.entries[e.Key] = e
		return false
	}
	c.store(e, h)
	return true
}

// store stores an entry. h is what the copy has held under its key.
func (c *prefixCopy) store(e granitehoist.Entry, h entryHistory) {
	if h.present && !c.order.isSame(h.held, e) {
		c.previous[e.Key] = h.held
	}
	c.entries[e.Key] = e
}

// history returns what the copy has held under a key.
func (c *prefixCopy) history(key string) entryHistory {
	held, present := c.entries[key]
	h := entryHistory{held: held, present: present, previous: c.previous[key]}
	if present {
		return h
	}
	for _, deletion := range slices.Backward(c.deletions) {
		if deletion.Key == key {
			h.deletedAt = deletion.Version
			break
		}
	}
	return h
}

// remove deletes the key of a deletion and records it.
func (c *prefixCopy) remove(deletion granitehoist.Entry) {
	if held, present := c.entries[deletion.Key]; present {
		c.previous[deletion.Key] = held
	}
	delete(c.entries, deletion.Key)
	c.recordDeletion(deletion)
}

// dropMissing deletes the keys that are missing in a complete update and returns their
// deletions. Keys that a restored store has lost are kept for keepMissing, since their
// writers write them again.
func (c *prefixCopy) dropMissing(update Update, now time.Time) []granitehoist.Entry {
	present := map[string]bool{}
	for _, e := range update.Entries {
		present[e.Key] = true
	}
	if update.Version.Era() != c.atVersion.Era() {
		c.missingUntil = now.Add(c.keepMissing)
	}
	keepLost := now.Before(c.missingUntil)
	var dropped []granitehoist.Entry
	for key, held := range c.entries {
		isLost := held.Version.Era() != update.Version.Era()
		if !isMissing(held, present[key], update.Version) || (isLost && keepLost) {
			continue
		}
		deletion := granitehoist.Entry{Key: key, Version: update.Version, Deleted: true}
		c.remove(deletion)
		dropped = append(dropped, deletion)
	}
	if !keepLost {
		c.missingUntil = time.Time{}
	}
	return dropped
}

// mustList reports whether the store has to be listed again, since keys were kept that it
// had lost.
func (c *prefixCopy) mustList(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.missingUntil.IsZero() && !now.Before(c.missingUntil)
}

func (c *prefixCopy) recordDeletion(deletion granitehoist.Entry) {
	c.deletions = append(c.deletions, deletion)
	for len(c.deletions) > maxDeletions {
		oldest := c.deletions[0]
		c.deletionsFrom = max(c.deletionsFrom, oldest.Version)
		c.deletions = c.deletions[1:]
		if _, present := c.entries[oldest.Key]; !present {
			delete(c.previous, oldest.Key)
		}
	}
}

// changesAfter returns the changes after a version, and a channel that is closed at the next
// change. The update is complete if some deletion after the version may have been dropped.
func (c *prefixCopy) changesAfter(after granitehoist.Version, now time.Time) (Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update := Update{HasCopy: c.populated, Version: c.atVersion, Age: now.Sub(c.confirmedAt)}
	if !c.populated {
		return update, c.changeSignal
	}
	update.Complete = after < c.deletionsFrom
	for _, e := range c.entries {
		if update.Complete || e.Version > after {
			update.Entries = append(update.Entries, e)
		}
	}
	if update.Complete {
		return update, c.changeSignal
	}
	for _, e := range c.deletions {
		if e.Version > after {
			update.Entries = append(update.Entries, e)
		}
	}
	return update, c.changeSignal
}

func (c *prefixCopy) version() granitehoist.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.atVersion
}

func (c *prefixCopy) hasCopy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.populated
}

func (c *prefixCopy) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt)
}
