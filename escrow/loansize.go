// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// maxLendFraction is the fraction of its free tokens that a lender lends at most, unless
// the borrower needs more and the lender has it. A lender with less than the need lends
// this fraction too, so that several lenders can serve one request together.
const maxLendFraction = 0.5

// loanInputs holds the inputs of the size of a loan.
type loanInputs struct {
	// free is how many tokens the lender may reserve.
	free granitehoist.Tokens
	// need and want are LendParams.Need and LendParams.Want.
	need, want granitehoist.Tokens
	// waiting is set if requests of the lender wait for tokens themselves.
	waiting bool
	// closing is set if the lender is shutting down and returns its tokens.
	closing bool
	// allOrNothing is set if no loan below the need is given, as at a holder: partial
	// loans of a holder would only scatter the tokens of its shard.
	allOrNothing bool
}

// loan returns how many tokens to lend. It is zero if the lender is closing, has waiting
// requests itself or has no free tokens, if the need is not positive, or if the lender
// has less than the need and allOrNothing is set. Otherwise it is the want, up to
// maxLendFraction of the free tokens, but at least the need if the lender has that much.
func (l loanInputs) loan() granitehoist.Tokens {
	if l.closing || l.waiting || l.need <= 0 || l.free <= 0 {
		return 0
	}
	if l.allOrNothing && l.free < l.need {
		return 0
	}
	tokens := min(l.want, granitehoist.Tokens(maxLendFraction*float64(l.free)))
	if l.free >= l.need {
		tokens = max(l.need, tokens)
	}
	return max(0, tokens)
}
