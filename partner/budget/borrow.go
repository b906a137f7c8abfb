// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"fmt"
	"slices"

	"granitehoist.example/granitehoist"
)

// unansweredLoan is a loan that the lender may have given: its answer was lost.
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
			params, short := a.settings.Purse.LoanRequest(k, peer.Incarnation)
			if !short {
				break
			}
			a.borrowFrom(ctx, peer, params)
		}
	}
}

// borrowFrom makes one call. If its answer is lost the lender may have
// deducted tokens, which retryUnanswered fetches with the next step.
func (a *Agent) borrowFrom(ctx context.Context, peer granitehoist.Peer, params BorrowParams) {
	var result BorrowResult
	if err := a.settings.Caller.Call(ctx, peer, MethodBorrow, params, &result); err != nil {
		a.settings.Failed(fmt.Errorf("budget: borrow from %s: %w", peer.Incarnation, err))
		if len(a.unanswered) < maxUnanswered {
			a.unanswered = append(a.unanswered, unansweredLoan{peer, params.Budget})
		}
		return
	}
	a.settings.Purse.TakeLoan(params.Budget, result)
}

// maxUnanswered bounds the loans that are asked for again, so that their list
// does not grow while no box answers. What a dropped loan deducted at its lender
// stays unused until the pair's next loan. Chosen, not measured.
const maxUnanswered = 1000

// retryUnanswered asks lenders whose answers were lost what they have lent. It
// gives up on a lender that is no longer among the peers of the region.
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

// ServeBorrow serves MethodBorrow for another router's agent.
func (a *Agent) ServeBorrow(_ context.Context, b BorrowParams) (BorrowResult, error) {
	return a.settings.Purse.Lend(b, a.settings.Clock()), nil
}
