// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// loanCover is the time of its spending that a borrower asks for beyond what its
	// waiting requests lack.
	loanCover = 2 * time.Second
	// lendTimeout bounds a call to a lender.
	lendTimeout = 120 * time.Millisecond
	// repayTimeout bounds a repayment, for which nobody waits.
	repayTimeout = 400 * time.Millisecond
)

// shortage is what a router asks lenders for. The zero value asks for nothing.
type shortage struct {
	workspace granitehoist.Workspace
	// need is what the lender should have at least, want what would serve for a
	// while.
	need, want granitehoist.Tokens
}

// shortageInputs is what a shortage depends on.
type shortageInputs struct {
	// unreserved is what is owned here.
	unreserved granitehoist.Tokens
	// waiting is the sum of the bounds of the waiting requests, smallest the
	// smallest of them; both are zero if none waits.
	waiting, smallest granitehoist.Tokens
	// rate is what this router spends in tokens a second.
	rate float64
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
	return shortage{need: need, want: max(need, want)}
}
