// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"fmt"
	"slices"

	"granitehoist.example/granitehoist"
)

// unansweredLoan is a loan that the lender may have given.
type unansweredLoan struct {
	peer   granitehoist.Peer
	budget granitehoist.BudgetID
}

// borrow asks the boxes that the keepers named, or all of the region if no
// keeper could be reached, for what requests still wait for.
func (a *Agent) borrow(ctx context.Context, unreachable bool) {
	for _, k := range a.settings.Purse.Waiting() {
		named := a.settings.Purse.Lenders(k)
		for _, peer := range a.settings.Peers() {
			if !unreachable && !slices.Contains(named, peer.Incarnation) {
				continue
			}
			params, short := a.settings.Purse.Borrowing(k, peer.Incarnation)
			if !short {
				break
			}
			a.borrowFrom(ctx, peer, params)
		}
	}
}

// borrowFrom makes one call. If its answer is lost the lender may have
// deducted tokens, which askAgain fetches.
func (a *Agent) borrowFrom(ctx context.Context, peer granitehoist.Peer, params BorrowParams) {
	var result BorrowResult
	if err := a.settings.Caller.Call(ctx, peer, MethodBorrow, params, &result); err != nil {
		a.settings.Failed(fmt.Errorf("budget: borrow from %s: %w", peer.Incarnation, err))
		if len(a.unanswered) < maxUnanswered {
			a.unanswered = append(a.unanswered, unansweredLoan{peer, params.Budget})
		}
		return
	}
	a.settings.Purse.Borrow(params.Budget, result)
}

// maxUnanswered bounds the loans that are asked for again.
const maxUnanswered = 1000

// retryUnanswered asks lenders whose answers were lost what they have lent. A lender
// that can't be reached is asked no more once it has left the view.
func (a *Agent) retryUnanswered(ctx context.Context) {
	loans := a.unanswered
	a.unanswered = nil
	peers := a.settings.Peers()
	for _, loan := range loans {
		if slices.Contains(peers, loan.peer) {
			a.borrowFrom(ctx, loan.peer, BorrowParams{Incarnation: a.settings.Purse.Incarnation(), Budget: loan.budget})
		}
	}
}

// ServeBorrow serves MethodBorrow.
func (a *Agent) ServeBorrow(_ context.Context, b BorrowParams) (BorrowResult, error) {
	return a.settings.Purse.Lend(b, a.settings.Clock()), nil
}
