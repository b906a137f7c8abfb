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

// maxDeletions bounds the deletions that a copy keeps for incomplete updates. A router
// that lags behind further gets a complete update.
const maxDeletions = 512

// prefixCopy is the state of the keys under a prefix at one version. It is safe
// for concurrent use.
type prefixCopy struct {
	// unchanged reports whether two versions of an entry mean the same; nil says
	// that they never do.
	unchanged func(before, after granitehoist.Entry) bool

	mu      sync.Mutex
	entries map[string]granitehoist.Entry
	at      granitehoist.Version
	// newestAt is the last time at which at was confirmed as the store's newest
	// version.
	newestAt time.Time
	// filled says that a first update was applied, of the store or another router.
	filled bool
	// deletions are the newest ones, oldest first. Every deletion after
	// deletionsFrom is among them.
	deletions     []granitehoist.Entry
	deletionsFrom granitehoist.Version
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newPrefixCopy(unchanged func(before, after granitehoist.Entry) bool) *prefixCopy {
	if unchanged == nil {
		unchanged = func(_, _ granitehoist.Entry) bool { return false }
	}
	return &prefixCopy{unchanged: unchanged, entries: map[string]granitehoist.Entry{}, changed: make(chan struct{})}
}

// apply applies an update and returns the entries that it changed, deleted ones
// included. An older entry never replaces a newer one.
func (c *prefixCopy) apply(update Update, now time.Time) []granitehoist.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOutdated(update, c.filled, c.at) {
		return nil
	}
	var changed []granitehoist.Entry
	for _, e := range inOrder(update.Entries) {
		if c.applyEntry(e, update.Complete) {
			changed = append(changed, e)
		}
	}
	if update.Complete {
		changed = append(changed, c.dropMissing(update)...)
	}
	if update.Complete && !c.filled {
		c.deletionsFrom = update.At
	}
	c.filled = true
	c.advance(update, now)
	if len(changed) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return changed
}

// inOrder returns entries in the order of their versions. A copy sends its deletions
// after its entries, and a key may have been deleted and written again: applied
// first, the newer entry would count as a repetition of the one before the deletion,
// and the deletion would then remove it.
func inOrder(entries []granitehoist.Entry) []granitehoist.Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b granitehoist.Entry) int {
		return cmp.Compare(a.Version, b.Version)
	})
}

// advance moves the copy's version, and the time at which it was the newest, to
// those of an update that is not older.
func (c *prefixCopy) advance(update Update, now time.Time) {
	if update.At < c.at {
		return
	}
	c.at = update.At
	newestAt := now.Add(-update.Age)
	if newestAt.After(c.newestAt) {
		c.newestAt = newestAt
	}
}

// applyEntry applies one entry, and reports whether it changed the copy. An entry
// that only repeats the one held keeps that one's version, so that it is not passed
// on. One of a complete update takes its place without being reported: a deletion
// between the two may be unknown here, and a router that has seen it needs the newer
// version.
func (c *prefixCopy) applyEntry(e granitehoist.Entry, complete bool) bool {
	held, present := c.entries[e.Key]
	switch judgeEntry(held, e, complete, c.at) {
	case ignoreEntry:
		return false
	case deleteEntry:
		delete(c.entries, e.Key)
		c.noteDeletion(e)
		return true
	}
	if present && c.unchanged(held, e) {
		if complete {
			c.entries[e.Key] = e
		}
		return false
	}
	c.entries[e.Key] = e
	return true
}

// dropMissing deletes the keys that a complete update does not have, and returns
// their deletions.
func (c *prefixCopy) dropMissing(update Update) []granitehoist.Entry {
	present := map[string]bool{}
	for _, e := range update.Entries {
		present[e.Key] = true
	}
	var dropped []granitehoist.Entry
	for key, held := range c.entries {
		if !isMissing(held, present[key], update.At) {
			continue
		}
		deletion := granitehoist.Entry{Key: key, Version: update.At, Deleted: true}
		delete(c.entries, key)
		c.noteDeletion(deletion)
		dropped = append(dropped, deletion)
	}
	return dropped
}

func (c *prefixCopy) noteDeletion(deletion granitehoist.Entry) {
	c.deletions = append(c.deletions, deletion)
	for len(c.deletions) > maxDeletions {
		c.deletionsFrom = max(c.deletionsFrom, c.deletions[0].Version)
		c.deletions = c.deletions[1:]
	}
}

// changesAfter returns what changed after a version, and a channel that is closed
// at the next change.
func (c *prefixCopy) changesAfter(after granitehoist.Version, now time.Time) (Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update := Update{HasCopy: c.filled, At: c.at, Age: now.Sub(c.newestAt)}
	if !c.filled {
		return update, c.changed
	}
	update.Complete = after < c.deletionsFrom
	for _, e := range c.entries {
		if update.Complete || e.Version > after {
			update.Entries = append(update.Entries, e)
		}
	}
	if update.Complete {
		return update, c.changed
	}
	for _, e := range c.deletions {
		if e.Version > after {
			update.Entries = append(update.Entries, e)
		}
	}
	return update, c.changed
}

func (c *prefixCopy) version() granitehoist.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *prefixCopy) hasCopy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.filled
}

func (c *prefixCopy) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.newestAt)
}
