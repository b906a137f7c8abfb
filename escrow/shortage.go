// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// loanCover is the time of its spending that a borrower asks for beyond what
	// its waiting requests lack. Chosen, not measured (f7eef06).
	loanCover = 2 * time.Second
	// lendTimeout bounds a call to a lender while requests wait. Chosen, not
	// measured (c1de361).
	lendTimeout = 120 * time.Millisecond
	// replenishTimeout bounds such a call while none waits, and a repayment.
	// Chosen, not measured
	// (c1de361).
	replenishTimeout = 400 * time.Millisecond
)

// shortage is what a router asks lenders for. The zero value asks for nothing.
type shortage struct {
	workspace granitehoist.Workspace
	// need is what the lender should have at least, want what would serve for a
	// while.
	need, want granitehoist.Tokens
	// rate is what this router spends in tokens a second, idle what it owns and has
	// not reserved: the lender reports both to others.
	rate, idle granitehoist.Tokens
	// waiting says that requests wait for the answer.
	waiting bool
}

// timeout returns how long a lender may take to answer.
func (s shortage) timeout() time.Duration {
	if s.waiting {
		return lendTimeout
	}
	return replenishTimeout
}

// shortageInputs is what a shortage depends on.
type shortageInputs struct {
	// unreserved is what is owned here, target what should be held.
	unreserved, target granitehoist.Tokens
	// waiting is the sum of the bounds of the waiting requests, smallest the
	// smallest of them; both are zero if none waits.
	waiting, smallest granitehoist.Tokens
	// rate is what this router spends in tokens a second.
	rate float64
	// frozen says that the limit was reduced: only the record can help then.
	frozen bool
}

// forHolding decides what a router behind relays asks them for: if its holding is
// low or requests wait, what fills the holding beside what they need.
func (s shortageInputs) forHolding() shortage {
	own := max(0, s.unreserved)
	if s.frozen || (s.waiting == 0 && !isLow(own, s.target, refillBelow)) {
		return shortage{}
	}
	want := max(1, s.target+s.waiting-own)
	return shortage{
		need: min(want, max(1, s.waiting)), want: want,
		rate: granitehoist.Tokens(s.rate), idle: own, waiting: s.waiting > 0,
	}
}

// forWaiters decides what any router asks its neighbours for while requests wait
// and the store does not help: what the smallest request lacks at least, what all
// lack if possible, and loanCover of its spending unless holdings are kept small
// after an outage.
func (s shortageInputs) forWaiters(c conditions) shortage {
	own := max(0, s.unreserved)
	need := max(1, s.smallest-own)
	want := s.waiting - own
	if !c.isExposureBounded() {
		want += granitehoist.Tokens(s.rate * loanCover.Seconds())
	}
	return shortage{
		need: need, want: max(need, want),
		rate: granitehoist.Tokens(s.rate), idle: own, waiting: true,
	}
}
