// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// Update is what changed under a prefix after a version of the store.
type Update struct {
	Prefix string `json:"prefix"`
	// HasCopy says that the sender has a copy at all.
	HasCopy bool `json:"known"`
	// At is the version that the receiver's copy has with the update.
	At granitehoist.Version `json:"at"`
	// Complete says that Entries are all that there are, so that what is missing
	// is gone. Otherwise they are the changed and the deleted ones.
	Complete bool                 `json:"whole,omitempty"`
	Entries  []granitehoist.Entry `json:"entries,omitempty"`
	// Age is how long ago At was known to be the store's newest version.
	Age time.Duration `json:"age"`
}

// maxDeletions bounds the deletions that are remembered for updates. Whoever
// lags behind further is told everything.
const maxDeletions = 512

// prefixCopy is the state of the keys under a prefix at one version. It is safe
// for concurrent use.
type prefixCopy struct {
	unchanged func(before, after granitehoist.Entry) bool

	mu      sync.Mutex
	entries map[string]granitehoist.Entry
	at      granitehoist.Version
	// newestAt is when at was known to be the newest version.
	newestAt time.Time
	listed   bool
	// deletions are the newest ones; all after deletionsFrom are among them.
	deletions     []granitehoist.Entry
	deletionsFrom granitehoist.Version
	// changed is closed at the next change.
	changed chan struct{}
}

func newPrefixCopy(unchanged func(before, after granitehoist.Entry) bool) *prefixCopy {
	return &prefixCopy{unchanged: unchanged, entries: map[string]granitehoist.Entry{}, changed: make(chan struct{})}
}

// apply takes an update in and returns the entries that it changed, deleted
// ones included. Nothing older replaces something newer.
func (c *prefixCopy) apply(update Update, now time.Time) []granitehoist.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Complete && c.listed && update.At < c.at {
		return nil
	}
	var changed []granitehoist.Entry
	for _, e := range update.Entries {
		if c.applyEntry(e, update.Complete) {
			changed = append(changed, e)
		}
	}
	if update.Complete {
		changed = append(changed, c.dropMissing(update)...)
	}
	if update.Complete && !c.listed {
		c.deletionsFrom = update.At
	}
	if update.At >= c.at {
		c.at = update.At
		if heard := now.Add(-update.Age); heard.After(c.newestAt) {
			c.newestAt = heard
		}
	}
	c.listed = true
	if len(changed) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return changed
}

// applyEntry takes one entry in, and reports whether it changed anything. A part of
// an update holds nothing new of the time before the copy's version.
func (c *prefixCopy) applyEntry(e granitehoist.Entry, whole bool) bool {
	before, had := c.entries[e.Key]
	if before.Version >= e.Version || (!whole && e.Version <= c.at) {
		return false
	}
	if e.Deleted {
		delete(c.entries, e.Key)
		c.noteDeletion(e)
		return true
	}
	if had && c.unchanged != nil && c.unchanged(before, e) {
		return false
	}
	c.entries[e.Key] = e
	return true
}

// dropMissing deletes what a whole copy does not have.
func (c *prefixCopy) dropMissing(update Update) []granitehoist.Entry {
	present := map[string]bool{}
	for _, e := range update.Entries {
		present[e.Key] = true
	}
	var dropped []granitehoist.Entry
	for key, e := range c.entries {
		if present[key] || e.Version > update.At {
			continue
		}
		gone := granitehoist.Entry{Key: key, Version: update.At, Deleted: true}
		delete(c.entries, key)
		c.noteDeletion(gone)
		dropped = append(dropped, gone)
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

// changesAfter returns what changed after a version, and a channel that is closed at
// the next change.
func (c *prefixCopy) changesAfter(after granitehoist.Version, now time.Time) (Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update := Update{HasCopy: c.listed, At: c.at, Age: now.Sub(c.newestAt)}
	if !c.listed {
		return update, c.changed
	}
	update.Complete = after < c.deletionsFrom
	for _, e := range c.entries {
		if update.Complete || e.Version > after {
			update.Entries = append(update.Entries, e)
		}
	}
	for _, e := range c.deletions {
		if !update.Complete && e.Version > after {
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
	return c.listed
}

func (c *prefixCopy) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.newestAt)
}
