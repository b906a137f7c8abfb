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
	// equivalent reports whether two versions of an entry have the same meaning.
	equivalent func(before, after granitehoist.Entry) bool

	mu        sync.Mutex
	entries   map[string]granitehoist.Entry
	atVersion granitehoist.Version
	// confirmedAt is when atVersion was last known to be the store's newest version.
	confirmedAt time.Time
	// populated says that an update from the store or another router has been applied.
	populated bool
	// deletions holds the newest deletions, oldest first, among them all deletions newer
	// than deletionsFrom.
	deletions     []granitehoist.Entry
	deletionsFrom granitehoist.Version
	// changeSignal is closed and replaced at each change.
	changeSignal chan struct{}
}

func newPrefixCopy(equivalent func(before, after granitehoist.Entry) bool) *prefixCopy {
	if equivalent == nil {
		equivalent = func(_, _ granitehoist.Entry) bool { return false }
	}
	return &prefixCopy{equivalent: equivalent, entries: map[string]granitehoist.Entry{}, changeSignal: make(chan struct{})}
}

// apply applies an update and returns the entries that changed, including deletions. An older
// entry never replaces a newer one.
func (c *prefixCopy) apply(update Update, now time.Time) []granitehoist.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOutdated(update, c.populated, c.atVersion) {
		return nil
	}
	var changed []granitehoist.Entry
	for _, e := range sortedByVersion(update.Entries) {
		if c.applyEntry(e, update.Complete) {
			changed = append(changed, e)
		}
	}
	if update.Complete {
		changed = append(changed, c.dropMissing(update)...)
	}
	if update.Complete && !c.populated {
		c.deletionsFrom = update.Version
	}
	c.populated = true
	c.advance(update, now)
	if len(changed) > 0 {
		close(c.changeSignal)
		c.changeSignal = make(chan struct{})
	}
	return changed
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
//   - The entry of an incremental update is not stored either, so that other routers do not
//     receive it.
//   - The entry of a complete update is stored with its newer version. Another router may
//     have applied a deletion of the key before that version and then needs the entry.
func (c *prefixCopy) applyEntry(e granitehoist.Entry, complete bool) bool {
	held, present := c.entries[e.Key]
	switch classifyEntry(held, e, complete, c.atVersion) {
	case ignoreEntry:
		return false
	case deleteEntry:
		delete(c.entries, e.Key)
		c.recordDeletion(e)
		return true
	}
	if present && c.equivalent(held, e) {
		if complete {
			c.entries[e.Key] = e
		}
		return false
	}
	c.entries[e.Key] = e
	return true
}

// dropMissing deletes the keys that are missing in a complete update and returns their
// deletions.
func (c *prefixCopy) dropMissing(update Update) []granitehoist.Entry {
	present := map[string]bool{}
	for _, e := range update.Entries {
		present[e.Key] = true
	}
	var dropped []granitehoist.Entry
	for key, held := range c.entries {
		if !isMissing(held, present[key], update.Version) {
			continue
		}
		deletion := granitehoist.Entry{Key: key, Version: update.Version, Deleted: true}
		delete(c.entries, key)
		c.recordDeletion(deletion)
		dropped = append(dropped, deletion)
	}
	return dropped
}

func (c *prefixCopy) recordDeletion(deletion granitehoist.Entry) {
	c.deletions = append(c.deletions, deletion)
	for len(c.deletions) > maxDeletions {
		c.deletionsFrom = max(c.deletionsFrom, c.deletions[0].Version)
		c.deletions = c.deletions[1:]
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
