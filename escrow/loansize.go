// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// lendPart is the part of its free tokens that a lender gives at most, unless the
// borrower needs more and the lender has it. A lender that has less than the need
// gives this part too, so that several lenders serve one request together. Chosen, not measured (f7eef06, e36d45a).
const lendPart = 0.5

// lending is what the size of a loan depends on.
type lending struct {
	// free is what the lender may reserve.
	free granitehoist.Tokens
	// need is what one request of the borrower lacks, want what would serve it for
	// a while.
	need, want granitehoist.Tokens
	// waiting says that requests of the lender wait for tokens themselves.
	waiting bool
	// closing says that the lender stops, and gives its tokens back.
	closing bool
	// whole says that a loan below the need is of no use: a holder has the tokens
	// of all, so that parts of loans would only scatter them.
	whole bool
}

// loan decides how many tokens a lender gives: what is wanted up to lendPart of
// what is free, but all that is needed if it has that much.
func (l lending) loan() granitehoist.Tokens {
	if l.closing || l.waiting || l.need <= 0 || l.free <= 0 {
		return 0
	}
	if l.whole && l.free < l.need {
		return 0
	}
	tokens := min(l.want, granitehoist.Tokens(lendPart*float64(l.free)))
	if l.free >= l.need {
		tokens = max(l.need, tokens)
	}
	return max(0, tokens)
}
