// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// loanCover is how long the part of a loan that exceeds what the waiting requests lack
	// should last at the borrower's rate of spending.
	loanCover = 2 * time.Second
	// lendTimeout is the timeout of a call to a lender.
	lendTimeout = 120 * time.Millisecond
	// repayTimeout is the timeout of a repayment. No request waits for a repayment.
	repayTimeout = 400 * time.Millisecond
)

// loanRequest is what a router requests from lenders. The zero value requests nothing.
type loanRequest struct {
	workspace granitehoist.Workspace
	// need is the smallest amount that helps. want is the amount requested, at least need;
	// the excess over need is for other requests.
	need, want granitehoist.Tokens
}

// loanRequestInputs describes the tokens, the waiting requests and the spending of a
// router that needs a loan.
type loanRequestInputs struct {
	// unreserved is what this router owns and has not reserved; it can be negative.
	unreserved granitehoist.Tokens
	// waiting is the sum of the maximum costs of the waiting requests, and smallest the
	// smallest of these costs. Both are zero if no request waits.
	waiting, smallest granitehoist.Tokens
	// rate is this router's demand.rate, in tokens a second.
	rate float64
}

// forWaiters returns the loan that a router requests from neighbours for its waiting
// requests. The need is what the smallest request lacks. The want is what all waiting
// requests lack. Unless holdings are limited after an outage, the want also includes the
// router's spending in loanCover.
func (r loanRequestInputs) forWaiters(c conditions) loanRequest {
	own := max(0, r.unreserved)
	need := max(1, r.smallest-own)
	want := r.waiting - own
	if !c.isLimitedAfterOutage() {
		want += granitehoist.Tokens(r.rate * loanCover.Seconds())
	}
	return loanRequest{need: need, want: max(need, want)}
}
