// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// avoidTime is how long a neighbour that did not answer is left out.
const avoidTime = 1500 * time.Millisecond

// avoid leaves a neighbour out for avoidTime.
func (s *Syncer) avoid(lender Lender) {
	s.avoiding.Lock()
	defer s.avoiding.Unlock()
	s.avoided[lender.Address] = s.settings.Clock().Add(avoidTime)
}

// lenders returns the neighbours that may lend a workspace's tokens, the likeliest
// first, without those that failed to answer in the last avoidTime.
func (s *Syncer) lenders(w granitehoist.Workspace) []Lender {
	if s.settings.Lenders == nil || s.settings.Caller == nil {
		return nil
	}
	all := s.settings.Lenders(ShardOf(w))
	now := s.settings.Clock()
	s.avoiding.Lock()
	defer s.avoiding.Unlock()
	return answering(all, s.avoided, now)
}

// answering decides which neighbours are asked: those that are not left out, or
// all if none would remain. avoided holds until when neighbours are left out, by
// address.
func answering(all []Lender, avoided map[string]time.Time, now time.Time) []Lender {
	var answering []Lender
	for _, lender := range all {
		if now.After(avoided[lender.Address]) {
			answering = append(answering, lender)
		}
	}
	if len(answering) == 0 {
		return all
	}
	return answering
}
