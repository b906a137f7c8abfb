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

// loanDivisor limits a loan to the tokens that the lender can spare divided by loanDivisor, so
// that some are left for other borrowers.
const loanDivisor = 2

// minLenderCover is the time for which a lender keeps enough tokens for its own forecast
// spending.
const minLenderCover = 3 * DefaultInterval

// Lend transfers part of the free tokens to another box and returns the total ever lent
// to it. It lends nothing more if the borrower has not received all earlier loans, so a
// duplicated message has no effect. A closed Ledger lends nothing.
func (l *Ledger) Lend(b BorrowParams, now time.Time) BorrowResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(b.Budget)
	total := a.lent[b.Incarnation]
	more := min(b.Want-max(total, b.Known), a.lendable(minLenderCover, now))
	if more > 0 && b.Known >= total && b.Incarnation != l.incarnation && !l.closing {
		if a.lent == nil {
			a.lent = map[granitehoist.Incarnation]granitehoist.Tokens{}
		}
		total += more
		a.lent[b.Incarnation] = total
		a.totals.Lent += more
		a.changed = true
	}
	return BorrowResult{Incarnation: l.incarnation, Total: total}
}

// lendable returns the most that the box may lend: a part of what is free beyond its own
// waiting requests and its forecast spending over cover. It is negative if the box has too
// few tokens itself.
func (a *account) lendable(cover time.Duration, now time.Time) granitehoist.Tokens {
	needed := a.demand.waiting() + tokensFor(a.demand.spending.rate(now), cover)
	return (a.free() - needed) / loanDivisor
}

// LoanRequest returns the message that asks a lender for what the waiting requests of a
// budget lack and for one more request of the largest maximum cost. It returns false if they lack
// nothing or the Ledger is closed.
func (l *Ledger) LoanRequest(k granitehoist.BudgetID, lender granitehoist.Incarnation) (BorrowParams, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[k]
	if !ok {
		return BorrowParams{}, false
	}
	shortfall := a.demand.waiting() - a.free()
	if shortfall <= 0 || l.closing {
		return BorrowParams{}, false
	}
	known := a.borrowed[lender]
	return BorrowParams{Incarnation: l.incarnation, Budget: k, Known: known, Want: known + shortfall + a.demand.largest}, true
}

// ApplyLoan processes a lender's response. A delayed or duplicated response has no effect. A
// response after Close has none either: the region may have removed the incarnation's rows,
// so that the tokens could not be returned.
func (l *Ledger) ApplyLoan(k granitehoist.BudgetID, r BorrowResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(k)
	more := r.Total - a.borrowed[r.Incarnation]
	if more <= 0 || r.Incarnation == l.incarnation || l.closing {
		return
	}
	if a.borrowed == nil {
		a.borrowed = map[granitehoist.Incarnation]granitehoist.Tokens{}
	}
	a.borrowed[r.Incarnation] = r.Total
	a.totals.Borrowed += more
	a.changed = true
	a.serveWaiters()
}

// lenders returns the boxes that the last reply named as lenders for a budget.
func (l *Ledger) lenders(k granitehoist.BudgetID) []granitehoist.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[k]; ok {
		return a.reply.lenders
	}
	return nil
}

// unresolvedLoan names a loan request whose response was lost. The lender may have deducted
// tokens for it.
type unresolvedLoan struct {
	peer   granitehoist.Peer
	budget granitehoist.BudgetID
}

// borrow requests the tokens that requests still wait for from the lenders named in the
// last reply, or from all boxes of the region if no Allocator could be reached.
func (a *Agent) borrow(ctx context.Context, unreachable bool) {
	for _, k := range a.settings.Ledger.waitingBudgets() {
		lenders := a.settings.Ledger.lenders(k)
		for _, peer := range a.settings.Peers() {
			if !unreachable && !slices.Contains(lenders, peer.Incarnation) {
				continue
			}
			params, short := a.settings.Ledger.LoanRequest(k, peer.Incarnation)
			if !short {
				break
			}
			a.borrowFrom(ctx, peer, params)
		}
	}
}

// borrowFrom sends one loan request. If the response is lost, the lender may have deducted
// tokens; the next round then asks the lender for the total lent.
func (a *Agent) borrowFrom(ctx context.Context, peer granitehoist.Peer, params BorrowParams) {
	var result BorrowResult
	if err := a.settings.Caller.Call(ctx, peer, MethodBorrow, params, &result); err != nil {
		a.settings.OnError(fmt.Errorf("budget: borrow from %s: %w", peer.Incarnation, err))
		if len(a.unresolvedLoans) < maxUnresolvedLoans {
			a.unresolvedLoans = append(a.unresolvedLoans, unresolvedLoan{peer, params.Budget})
		}
		return
	}
	a.settings.Ledger.ApplyLoan(params.Budget, result)
}

// maxUnresolvedLoans bounds the list of loan requests with lost responses. Tokens deducted for
// a loan request that is not listed stay unused until the next loan between the two boxes.
const maxUnresolvedLoans = 1000

// retryLoans asks lenders whose responses were lost for the totals that they lent. It drops
// lenders that are no longer peers.
func (a *Agent) retryLoans(ctx context.Context) {
	loans := a.unresolvedLoans
	a.unresolvedLoans = nil
	peers := a.settings.Peers()
	for _, loan := range loans {
		if slices.Contains(peers, loan.peer) {
			a.borrowFrom(ctx, loan.peer, BorrowParams{Incarnation: a.settings.Ledger.Incarnation(), Budget: loan.budget})
		}
	}
}

// ServeBorrow handles MethodBorrow for the agent of another router.
func (a *Agent) ServeBorrow(_ context.Context, b BorrowParams) (BorrowResult, error) {
	return a.settings.Ledger.Lend(b, a.settings.Clock()), nil
}
