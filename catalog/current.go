// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"sync/atomic"
)

// Current holds the snapshot in force. The zero value holds none. It is safe for
// concurrent use.
type Current struct {
	newest atomic.Pointer[Snapshot]
}

// Get returns the snapshot in force, nil before the first.
func (c *Current) Get() *Snapshot { return c.newest.Load() }

// Offer puts a snapshot in force if it supersedes the present one, and reports
// whether it did.
func (c *Current) Offer(s *Snapshot) bool {
	for {
		old := c.newest.Load()
		if !s.supersedes(old) {
			return false
		}
		if c.newest.CompareAndSwap(old, s) {
			return true
		}
	}
}

// supersedes decides whether a snapshot replaces the one in force, which is nil
// before the first. Only the store's version counts: it grows with each write, and a
// configuration from a neighbour carries it too, so an old copy never replaces a
// newer one. The operators' revision and the time of arrival do not matter.
func (s *Snapshot) supersedes(old *Snapshot) bool {
	return old == nil || s.Version > old.Version
}
