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
	// Known says that the sender has a copy at all.
	Known bool `json:"known"`
	// At is the version that the receiver's copy has with the update.
	At granitehoist.Version `json:"at"`
	// Whole says that Entries are all that there are, so that what is missing
	// is gone. Otherwise they are the changed and the deleted ones.
	Whole   bool                 `json:"whole,omitempty"`
	Entries []granitehoist.Entry `json:"entries,omitempty"`
	// Age is how long ago At was known to be the store's newest version.
	Age time.Duration `json:"age"`
}

// keptDeletions bounds the deletions that are remembered for updates. Whoever
// lags behind further is told everything.
const keptDeletions = 512

// prefixCopy is the state of the keys under a prefix at one version. It is safe
// for concurrent use.
type prefixCopy struct {
	same func(before, after granitehoist.Entry) bool

	mu      sync.Mutex
	entries map[string]granitehoist.Entry
	at      granitehoist.Version
	// heard is when at was known to be the newest version.
	heard time.Time
	known bool
	// deletions are the newest ones; all after deletionsFrom are among them.
	deletions     []granitehoist.Entry
	deletionsFrom granitehoist.Version
	// changed is closed at the next change.
	changed chan struct{}
}

func newPrefixCopy(same func(before, after granitehoist.Entry) bool) *prefixCopy {
	return &prefixCopy{same: same, entries: map[string]granitehoist.Entry{}, changed: make(chan struct{})}
}

// apply takes an update in and returns the entries that it changed, deleted
// ones included. Nothing older replaces something newer.
func (c *prefixCopy) apply(u Update, now time.Time) []granitehoist.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Whole && c.known && u.At < c.at {
		return nil
	}
	var changed []granitehoist.Entry
	for _, e := range u.Entries {
		if c.enter(e, u.Whole) {
			changed = append(changed, e)
		}
	}
	if u.Whole {
		changed = append(changed, c.dropMissing(u)...)
	}
	if u.Whole && !c.known {
		c.deletionsFrom = u.At
	}
	if u.At >= c.at {
		c.at = u.At
		if heard := now.Add(-u.Age); heard.After(c.heard) {
			c.heard = heard
		}
	}
	c.known = true
	if len(changed) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return changed
}

// enter takes one entry in, and reports whether it changed anything. A part of
// an update holds nothing new of the time before the copy's version.
func (c *prefixCopy) enter(e granitehoist.Entry, whole bool) bool {
	before, had := c.entries[e.Key]
	if before.Version >= e.Version || (!whole && e.Version <= c.at) {
		return false
	}
	if e.Deleted {
		delete(c.entries, e.Key)
		c.remember(e)
		return true
	}
	if had && c.same != nil && c.same(before, e) {
		return false
	}
	c.entries[e.Key] = e
	return true
}

// dropMissing deletes what a whole copy does not have.
func (c *prefixCopy) dropMissing(u Update) []granitehoist.Entry {
	present := map[string]bool{}
	for _, e := range u.Entries {
		present[e.Key] = true
	}
	var dropped []granitehoist.Entry
	for key, e := range c.entries {
		if present[key] || e.Version > u.At {
			continue
		}
		gone := granitehoist.Entry{Key: key, Version: u.At, Deleted: true}
		delete(c.entries, key)
		c.remember(gone)
		dropped = append(dropped, gone)
	}
	return dropped
}

func (c *prefixCopy) remember(deletion granitehoist.Entry) {
	c.deletions = append(c.deletions, deletion)
	for len(c.deletions) > keptDeletions {
		c.deletionsFrom = max(c.deletionsFrom, c.deletions[0].Version)
		c.deletions = c.deletions[1:]
	}
}

// since returns what changed after a version, and a channel that is closed at
// the next change.
func (c *prefixCopy) since(after granitehoist.Version, now time.Time) (Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Known: c.known, At: c.at, Age: now.Sub(c.heard)}
	if !c.known {
		return u, c.changed
	}
	u.Whole = after < c.deletionsFrom
	for _, e := range c.entries {
		if u.Whole || e.Version > after {
			u.Entries = append(u.Entries, e)
		}
	}
	for _, e := range c.deletions {
		if !u.Whole && e.Version > after {
			u.Entries = append(u.Entries, e)
		}
	}
	return u, c.changed
}

func (c *prefixCopy) version() granitehoist.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *prefixCopy) isKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func (c *prefixCopy) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.heard)
}
