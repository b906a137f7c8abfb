// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// loanCover is how long a loan should last at the borrower's rate of spending,
	// beyond what its waiting requests lack.
	loanCover = 2 * time.Second
	// lendTimeout bounds a call to a lender.
	lendTimeout = 120 * time.Millisecond
	// repayTimeout bounds a repayment. No request waits for it.
	repayTimeout = 400 * time.Millisecond
)

// loanRequest is what a router requests from lenders. The zero value requests nothing.
type loanRequest struct {
	workspace granitehoist.Workspace
	// need is the least amount that helps, want what would serve for a while.
	need, want granitehoist.Tokens
}

// loanRequestInputs describes the tokens, the waiting requests and the spending of a
// router that needs a loan.
type loanRequestInputs struct {
	// unreserved is what is owned here.
	unreserved granitehoist.Tokens
	// waiting is the sum of the bounds of the waiting requests, smallest the smallest of
	// them; both are zero if none waits.
	waiting, smallest granitehoist.Tokens
	// rate is what this router spends in tokens a second.
	rate float64
}

// forWaiters returns the loan that a router requests from neighbours for its waiting
// requests. The need is what the smallest request lacks. The want is what all of them
// lack, plus the router's spending in loanCover unless holdings are limited after an
// outage.
func (r loanRequestInputs) forWaiters(c conditions) loanRequest {
	own := max(0, r.unreserved)
	need := max(1, r.smallest-own)
	want := r.waiting - own
	if !c.isExposureLimited() {
		want += granitehoist.Tokens(r.rate * loanCover.Seconds())
	}
	return loanRequest{need: need, want: max(need, want)}
}
