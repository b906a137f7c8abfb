// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// standing is how far an instance comes into question for an attempt.
type standing int

const (
	// excluded instances get no new request: they drain, this request tried
	// them before, or they were removed too long ago.
	excluded standing = iota
	// removed instances have lost their announcement a moment ago.
	removed
	// ejected instances are left out because of failures.
	ejected
	// live instances are announced and not ejected.
	live
)

// standing decides how far an instance comes into question for an attempt whose
// request tried the instances in tried before. The announcement it reads is as
// old as this router's copy of the store.
func (m *member) standing(tried map[granitehoist.Upstream]bool, now time.Time) standing {
	switch {
	case tried[m.ID] || m.Draining:
		return excluded
	case !m.removedAt.IsZero() && usableAfterRemoval(m.removedAt, now):
		return removed
	case !m.removedAt.IsZero():
		return excluded
	case m.ejected(now):
		return ejected
	}
	return live
}

// candidates decides which instances an attempt chooses among. They are all that
// are live; if there is none, the one ejected instance whose ejection ends first,
// since a request that is refused has no chance at all; if there is none either,
// those removed a moment ago. It returns none if all are excluded. The order is
// that of members, on which the random choice among equals depends.
func candidates(members []*member, tried map[granitehoist.Upstream]bool, now time.Time) []*member {
	lives := make([]*member, 0, len(members))
	var removals []*member
	var nextBack *member
	for _, m := range members {
		switch m.standing(tried, now) {
		case live:
			lives = append(lives, m)
		case ejected:
			if nextBack == nil || m.ejectedUntil.Before(nextBack.ejectedUntil) {
				nextBack = m
			}
		case removed:
			removals = append(removals, m)
		case excluded:
		}
	}
	switch {
	case len(lives) > 0:
		return lives
	case nextBack != nil:
		return []*member{nextBack}
	}
	return removals
}
