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

// supersedes reports whether the snapshot replaces the one in force. Within an era of the
// store, the later version does. Across eras the operators' revisions decide: a store that
// was restored returns older configurations under later versions.
func (s *Snapshot) supersedes(old *Snapshot) bool {
	switch {
	case old == nil:
		return true
	case s.Version.Era() == old.Version.Era() || s.Revision == old.Revision:
		return s.Version > old.Version
	}
	return s.Revision > old.Revision
}
