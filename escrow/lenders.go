// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// lenderBackoff is how long a neighbour that did not respond is not called.
const lenderBackoff = 1500 * time.Millisecond

// exclude excludes a neighbour for lenderBackoff.
func (s *Syncer) exclude(lender Lender) {
	s.excludeMu.Lock()
	defer s.excludeMu.Unlock()
	s.excludedUntil[lender.Address] = s.settings.Clock().Add(lenderBackoff)
}

// lenders returns the neighbours that may lend a workspace's tokens, in the order in
// which they are to be called, without those that failed to respond within the last
// lenderBackoff. If none would remain, it returns all.
func (s *Syncer) lenders(w granitehoist.Workspace) []Lender {
	if s.settings.Lenders == nil || s.settings.Caller == nil {
		return nil
	}
	all := s.settings.Lenders(ShardOf(w))
	now := s.settings.Clock()
	s.excludeMu.Lock()
	defer s.excludeMu.Unlock()
	return availableLenders(all, s.excludedUntil, now)
}

// availableLenders returns the neighbours that are not excluded, or all if none would
// remain. excludedUntil holds the end of each exclusion by address.
func availableLenders(all []Lender, excludedUntil map[string]time.Time, now time.Time) []Lender {
	var available []Lender
	for _, lender := range all {
		if now.After(excludedUntil[lender.Address]) {
			available = append(available, lender)
		}
	}
	if len(available) == 0 {
		return all
	}
	return available
}
