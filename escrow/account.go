// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// account is the state of one workspace in a Ledger. Ledger.mu guards it.
type account struct {
	// owned holds this router's tokens, the only part that decides what may be spent.
	// The other parts decide how much is held and which requests are refused.
	owned  owned
	fleet  fleetView
	demand demand
	// routers is the number of routers that share the budget. ration is this router's
	// spending limit for the last part of the budget.
	routers int
	ration  ration
	// lastTarget is the target of the holding at the last sync.
	lastTarget granitehoist.Tokens
	// waiters are the requests that wait for tokens, in order of arrival.
	waiters []*waiter
	// limitChanged is set if the limit has changed since the last sync.
	limitChanged bool
	// standInUntil is until when this router acts as a stand-in holder; zero if it was
	// never asked to.
	standInUntil time.Time
	// refilling is set while the next batch is being borrowed.
	refilling bool
	// lendersFailed is set if no lender responded to a waiting request. This router then
	// uses the record even if it is a borrower.
	lendersFailed bool
}

// claim is a demand for tokens: a request, or a loan to a borrower.
type claim struct {
	// bound is the maximum cost of the request, or the size of the loan.
	bound    granitehoist.Tokens
	priority granitehoist.Priority
	// isLoan is set for a loan. The rules for the end of a budget don't apply to it here,
	// since the borrower applies them to its own requests.
	isLoan bool
	// countsAsDemand is set if the claim counts towards the demand for which this router
	// holds tokens: for its own requests, and for the loans of a holder.
	countsAsDemand bool
}

// checkBudgetEnd applies the rules for the end of a budget to a claim, and grows the
// ration up to now. Loans are always allowed: the borrower checks its own requests.
func (a *account) checkBudgetEnd(c claim, now time.Time) endDecision {
	if c.isLoan {
		return endAllowed
	}
	end := budgetEnd{
		remaining: a.fleet.totalRemaining(a.owned.unreserved()),
		limit:     a.owned.limit,
		mean:      a.demand.mean,
		routers:   a.routers,
	}
	decision, ration := end.decide(c.bound, a.ration, now)
	a.ration = ration
	return decision
}

// checkWait decides whether a claim may go on waiting.
func (a *account) checkWait(c claim, now time.Time) waitDecision {
	return decideWait(c.bound, a.checkBudgetEnd(c, now), a.fleet, a.owned.unreserved())
}

// target returns how many tokens the router should hold. remaining is what the store has
// left.
func (a *account) target(remaining granitehoist.Tokens, c conditions) granitehoist.Tokens {
	t := targetInputs{
		remaining: remaining, unreserved: a.owned.unreserved(),
		limit: a.owned.limit, largest: a.demand.largest,
		ownRate: a.demand.rate.value(c.now), othersRate: a.demand.othersRate,
	}
	if c.role.isHolder() {
		// The rate of a holder already includes the rates of its borrowers.
		t.othersRate = 0
	}
	return t.target(c)
}

// returnInputs returns the inputs of a return of tokens to the store. remaining is what
// the store has left.
func (a *account) returnInputs(remaining granitehoist.Tokens, c conditions) returnInputs {
	return returnInputs{
		unreserved: a.owned.unreserved(), target: a.target(remaining, c),
		remaining: remaining, limit: a.owned.limit, waiting: len(a.waiters) > 0,
	}
}

// grant returns how many tokens to request from the store. remaining is what the store
// has left; threshold is the fraction of the target below which the holding is filled.
func (a *account) grant(remaining granitehoist.Tokens, c conditions, threshold float64) granitehoist.Tokens {
	if remaining <= 0 {
		return 0
	}
	unreserved := a.owned.unreserved()
	g := grantInputs{
		remaining: remaining, unreserved: unreserved, threshold: threshold,
		shortfall: shortfallOf(a.allowedBounds(c.now), remaining, unreserved),
		target:    a.target(remaining, c),
	}
	return g.grant()
}

// allowedBounds returns the bounds of the waiting requests that the rules for the end of
// the budget allow.
func (a *account) allowedBounds(now time.Time) []granitehoist.Tokens {
	bounds := make([]granitehoist.Tokens, 0, len(a.waiters))
	for _, w := range a.waiters {
		if !a.checkBudgetEnd(w.claim, now).withholds() {
			bounds = append(bounds, w.bound)
		}
	}
	return bounds
}

// loanRequestInputs returns the inputs of a loan request for the waiting requests.
func (a *account) loanRequestInputs(c conditions) loanRequestInputs {
	r := loanRequestInputs{
		unreserved: a.owned.unreserved(),
		rate:       a.demand.rate.value(c.now),
	}
	for i, w := range a.waiters {
		r.waiting += w.bound
		if i == 0 || w.bound < r.smallest {
			r.smallest = w.bound
		}
	}
	return r
}
