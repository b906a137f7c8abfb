// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"sync/atomic"
)

// Current holds the active snapshot. The zero value holds none. It is safe for concurrent
// use.
type Current struct {
	snapshot atomic.Pointer[Snapshot]
}

// Get returns the active snapshot, and nil before the first one.
func (c *Current) Get() *Snapshot { return c.snapshot.Load() }

// Offer activates a snapshot if it is newer than the active one, and reports whether it did.
func (c *Current) Offer(s *Snapshot) bool {
	for {
		old := c.snapshot.Load()
		if !s.supersedes(old) {
			return false
		}
		if c.snapshot.CompareAndSwap(old, s) {
			return true
		}
	}
}

// supersedes reports whether the snapshot replaces old, the active one, which may be nil.
// It compares the store's versions, which grow with each write and are the same in copies
// from neighbours. The operators' revision and the time of arrival do not matter.
func (s *Snapshot) supersedes(old *Snapshot) bool {
	return old == nil || s.Version > old.Version
}
