// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"fmt"
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// lendParts is the part of its spare tokens that a box lends: one in lendParts, so that a
// box that several others ask does not give all to the first.
const lendParts = 2

// leastCover is how long a box's own demand is kept from other boxes that want to borrow:
// three DefaultIntervals, since the lender goes on while a loan is under way.
const leastCover = 3 * DefaultInterval

// Lend gives part of what is free to another box and returns the total ever
// lent to it. A doubled message lends nothing more.
func (p *Purse) Lend(b BorrowParams, now time.Time) BorrowResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(b.Budget)
	total := a.lent[b.Incarnation]
	more := min(b.Want-max(total, b.Known), a.lendable(leastCover, now))
	if more > 0 && b.Known >= total && b.Incarnation != p.incarnation && !p.closing {
		if a.lent == nil {
			a.lent = map[granitehoist.Incarnation]granitehoist.Tokens{}
		}
		total += more
		a.lent[b.Incarnation] = total
		a.totals.Lent += more
		a.changed = true
	}
	return BorrowResult{Incarnation: p.incarnation, Total: total}
}

// lendable decides how many tokens a box lends at most: a part of what is free
// beyond what its own requests wait for and what it spends within least at its
// forecast. It is negative if the box has too few tokens for itself.
func (a *account) lendable(least time.Duration, now time.Time) granitehoist.Tokens {
	keep := a.demand.waiting() + tokensFor(a.demand.spending.rate(now), least)
	return (a.free() - keep) / lendParts
}

// LoanRequest returns the message that asks a lender for what requests of a
// budget wait for, and false if none wait.
func (p *Purse) LoanRequest(k granitehoist.BudgetID, lender granitehoist.Incarnation) (BorrowParams, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.accounts[k]
	if !ok {
		return BorrowParams{}, false
	}
	missing := a.demand.waiting() - a.free()
	if missing <= 0 || p.closing {
		return BorrowParams{}, false
	}
	known := a.borrowed[lender]
	return BorrowParams{Incarnation: p.incarnation, Budget: k, Known: known, Want: known + missing + a.demand.largest}, true
}

// TakeLoan processes a lender's answer. An old or doubled answer changes nothing,
// and neither does one that comes after Close: the page may have closed the
// incarnation's rows by then, so that it could not give the tokens back.
func (p *Purse) TakeLoan(k granitehoist.BudgetID, r BorrowResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(k)
	more := r.Total - a.borrowed[r.Incarnation]
	if more <= 0 || r.Incarnation == p.incarnation || p.closing {
		return
	}
	if a.borrowed == nil {
		a.borrowed = map[granitehoist.Incarnation]granitehoist.Tokens{}
	}
	a.borrowed[r.Incarnation] = r.Total
	a.totals.Borrowed += more
	a.changed = true
	a.wake()
}

// lenders returns the boxes that the Keeper last named for a budget.
func (p *Purse) lenders(k granitehoist.BudgetID) []granitehoist.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.accounts[k]; ok {
		return a.reply.lenders
	}
	return nil
}

// unansweredLoan is a loan that the lender may have given: its answer was lost.
type unansweredLoan struct {
	peer   granitehoist.Peer
	budget granitehoist.BudgetID
}

// borrow asks the boxes that the keepers named, or all of the region if no
// keeper could be reached, for what requests still wait for.
func (a *Agent) borrow(ctx context.Context, unreachable bool) {
	for _, k := range a.settings.Purse.budgetsAwaited() {
		named := a.settings.Purse.lenders(k)
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

// maxUnanswered bounds the loans that are asked for again, so that their list does not
// grow while no box answers. What a dropped loan deducted at its lender stays unused until
// the pair's next loan.
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
