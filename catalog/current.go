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
// before the first. The store's version orders configurations: it grows with each
// write and comes from the store also where a neighbour passed the configuration
// on, so an old copy never takes back a newer one. The operators' revision plays no
// part, nor does the time of arrival.
func (s *Snapshot) supersedes(old *Snapshot) bool {
	return old == nil || s.Version > old.Version
}
